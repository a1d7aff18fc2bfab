package agent

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/node/wire"
)

// OrderOutcome is the result of an order to an engine.
type OrderOutcome int

const (
	// OrderApplied means that the engine has carried out the order.
	OrderApplied OrderOutcome = iota
	// OrderRefused means that the engine has not carried out the order and will not.
	OrderRefused
	// OrderUnknown means that the engine may have carried out the order, or still may.
	OrderUnknown
)

// Engine gives orders to a model engine.
type Engine interface {
	// Load loads an artifact. The engine may refuse a fence lower than one it has seen.
	Load(ctx context.Context, a contract.Artifact, bytes int64, fence uint64) OrderOutcome
	// Unload removes an artifact.
	Unload(ctx context.Context, a contract.Artifact, fence uint64) OrderOutcome
}

// Backend runs requests: a model engine or a plain service.
type Backend interface {
	// Run sends the request and returns the answer once its head has arrived.
	Run(ctx context.Context, r *wire.RunRequest) (*http.Response, error)
}

// httpEngine speaks the engines' HTTP interface.
type httpEngine struct {
	base   string
	client *http.Client
	orders time.Duration // longest life of an order
}

var (
	_ Engine  = (*httpEngine)(nil)
	_ Backend = (*httpEngine)(nil)
)

func newBackendClient(slots int) *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: slots, IdleConnTimeout: time.Minute}}
}

func newHTTPEngine(address string, slots int, orders time.Duration) *httpEngine {
	return &httpEngine{base: "http://" + address, client: newBackendClient(slots), orders: orders}
}

// orderDocument is the JSON body of an order. DeadlineMs is the Unix time after which the engine must not start it.
type orderDocument struct {
	Kind       string `json:"kind"` // load or unload
	Model      string `json:"model"`
	Adapter    string `json:"adapter,omitempty"`
	Bytes      int64  `json:"bytes,omitempty"`
	Fence      uint64 `json:"fence"`
	DeadlineMs int64  `json:"deadline_ms"`
}

// Load implements Engine.
func (e *httpEngine) Load(ctx context.Context, a contract.Artifact, bytes int64, fence uint64) OrderOutcome {
	return e.order(ctx, orderDocument{Kind: "load", Model: string(a.Model), Adapter: string(a.Adapter), Bytes: bytes, Fence: fence})
}

// Unload implements Engine.
func (e *httpEngine) Unload(ctx context.Context, a contract.Artifact, fence uint64) OrderOutcome {
	return e.order(ctx, orderDocument{Kind: "unload", Model: string(a.Model), Adapter: string(a.Adapter), Fence: fence})
}

func (e *httpEngine) order(ctx context.Context, doc orderDocument) OrderOutcome {
	ctx, cancel := context.WithTimeout(ctx, e.orders)
	defer cancel()
	doc.DeadlineMs = time.Now().Add(e.orders).UnixMilli()
	body, err := json.Marshal(doc)
	if err != nil {
		panic("agent: order without JSON form: " + err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, e.base+"/admin/orders", bytes.NewReader(body))
	if err != nil {
		return OrderRefused
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return orderFailure(err)
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	switch resp.StatusCode {
	case http.StatusOK:
		return OrderApplied
	case http.StatusConflict, http.StatusInsufficientStorage, http.StatusBadRequest:
		return OrderRefused
	}
	return OrderUnknown
}

func orderFailure(err error) OrderOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return OrderRefused
	}
	return OrderUnknown
}

// Run implements Backend.
func (e *httpEngine) Run(ctx context.Context, r *wire.RunRequest) (*http.Response, error) {
	return send(ctx, e.client, http.MethodPost, e.base+"/v1/chat/completions", r)
}

// httpService is a plain service.
type httpService struct {
	base   string
	client *http.Client
}

var _ Backend = (*httpService)(nil)

func newHTTPService(address string, slots int) *httpService {
	return &httpService{base: "http://" + address, client: newBackendClient(slots)}
}

// Run implements Backend.
func (s *httpService) Run(ctx context.Context, r *wire.RunRequest) (*http.Response, error) {
	return send(ctx, s.client, r.Method, s.base+r.Path, r)
}

func send(ctx context.Context, client *http.Client, method, url string, r *wire.RunRequest) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(r.Body))
	if err != nil {
		return nil, errors.Wrap(err, "target address")
	}
	req.GetBody = nil // the transport must not resend a request by itself
	req.Header.Set("Content-Type", r.ContentType)
	req.Header.Set("X-Request-Id", r.Request)
	return client.Do(req)
}
