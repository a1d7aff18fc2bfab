package entry

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/mangopass/mangopass/api/gen/calls"
	callsserver "github.com/mangopass/mangopass/api/gen/http/calls/server"
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/platform"
)

const (
	// bytesPerToken estimates the tokens of a prompt from the size of its text.
	bytesPerToken = 4
	// defaultMaxTokens is assumed for a chat request that does not bound its answer.
	defaultMaxTokens = 256
	bearerPrefix     = "Bearer "
	chatPath         = "chat/completions"
)

// api is the OpenAI-style front end. It decodes requests for the same decisions as the platform's front end.
type api struct{ *callHandler }

var _ calls.Service = (*api)(nil)

func newAPI(c *callHandler) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := calls.NewEndpoints(&api{c})
	callsserver.Mount(mux, callsserver.New(endpoints, mux, goahttp.RequestDecoder, encodeJSON, nil, formatError))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &apiExchange{ResponseWriter: w, request: r}
		x.id = uuid.NewString()
		if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix); ok {
			x.key, x.hasKey = contract.HashKey(key), true
		}
		r.Header.Del("Authorization") // the key goes no further
		r.Body = http.MaxBytesReader(w, r.Body, c.bodyLimit.Load())
		mux.ServeHTTP(x, r.WithContext(context.WithValue(r.Context(), exchangeContextKey{}, x)))
	})
}

type exchangeContextKey struct{}

// apiExchange is one request of the API. Its head is written by the exchange with the runner instead of goa once
// answered is set.
type apiExchange struct {
	http.ResponseWriter
	request   *http.Request
	id        string
	key       contract.KeyHash
	hasKey    bool
	bypassGoa bool
}

// WriteHeader implements http.ResponseWriter.
func (x *apiExchange) WriteHeader(status int) {
	if !x.bypassGoa {
		x.ResponseWriter.WriteHeader(status)
	}
}

func apiExchangeOf(ctx context.Context) *apiExchange {
	return ctx.Value(exchangeContextKey{}).(*apiExchange)
}

// chatFields are the fields of a chat request that routing needs.
type chatFields struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// Chat implements calls.Service.
func (s *api) Chat(ctx context.Context, p *calls.CallPayload, body io.ReadCloser) (*calls.CallResult, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	var fields chatFields
	var all map[string]json.RawMessage
	if json.Unmarshal(raw, &all) != nil || json.Unmarshal(raw, &fields) != nil {
		return nil, nil, asError(contract.Refuse(contract.InvalidRequest, 0, "the body is not a JSON chat request"))
	}
	name, artifact, ok := strings.Cut(fields.Model, "/")
	if !ok || fields.MaxTokens < 0 || fields.MaxCompletionTokens < 0 {
		return nil, nil, asError(contract.Refuse(contract.InvalidRequest, 0, "model is not ROUTE/MODEL, or a token bound is negative"))
	}
	model, adapter, _ := strings.Cut(artifact, "/")
	route, err := s.route(ctx, name)
	if err != nil {
		return nil, nil, err
	}
	if all["model"], err = json.Marshal(artifact); err != nil {
		return nil, nil, errors.Wrap(err, "model")
	}
	if raw, err = json.Marshal(all); err != nil {
		return nil, nil, errors.Wrap(err, "body")
	}
	request := s.newRequest(ctx, route, chatPath, p.DeadlineMs)
	request.Model, request.Adapter = contract.ModelName(model), contract.AdapterName(adapter)
	request.PromptTokens, request.Counted = len(raw)/bytesPerToken, true
	if request.MaxTokens = max(fields.MaxTokens, fields.MaxCompletionTokens); request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return s.deferExchange(ctx, platform.CallSpec{Request: request, Method: http.MethodPost, Target: request.Path, ContentType: "application/json", Body: raw})
}

// Invoke implements calls.Service.
func (s *api) Invoke(ctx context.Context, p *calls.InvokePayload, body io.ReadCloser) (*calls.CallResult, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	route, err := s.route(ctx, p.Route)
	if err != nil {
		return nil, nil, err
	}
	x := apiExchangeOf(ctx)
	request := s.newRequest(ctx, route, p.Path, p.DeadlineMs)
	spec := platform.CallSpec{Request: request, Method: x.request.Method, Target: request.Path, ContentType: x.request.Header.Get("Content-Type"), Body: raw}
	if x.request.URL.RawQuery != "" {
		spec.Target += "?" + x.request.URL.RawQuery
	}
	return s.deferExchange(ctx, spec)
}

// Models implements calls.Service.
func (s *api) Models(ctx context.Context) (*calls.ModelList, error) {
	x := apiExchangeOf(ctx)
	routes, err := s.queryRoutes(ctx, routesQuery{key: x.key, hasKey: x.hasKey})
	if err != nil {
		return nil, err
	}
	list := &calls.ModelList{Object: "list", Data: []*calls.ModelObject{}}
	for _, r := range routes {
		list.Data = append(list.Data, &calls.ModelObject{ID: r.Name, Object: "model", OwnedBy: "mangopass"})
	}
	return list, nil
}

// route returns the route with a name.
func (s *api) route(ctx context.Context, name string) (*contract.Route, error) {
	routes, err := s.queryRoutes(ctx, routesQuery{name: name})
	if err != nil {
		return nil, err
	}
	return routes[0], nil
}

func (s *api) queryRoutes(ctx context.Context, q routesQuery) ([]*contract.Route, error) {
	q.reply = ring.New[routesReply]("routes", 1)
	if !s.routing.TryPush(q) {
		return nil, asError(contract.Refuse(contract.Overloaded, time.Second, "too many requests are waiting"))
	}
	r, err := q.reply.Pop(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "await routes")
	}
	if r.refusal != nil {
		return nil, asError(r.refusal)
	}
	return r.routes, nil
}

func (s *api) newRequest(ctx context.Context, route *contract.Route, path string, deadlineMs *int) contract.Request {
	x := apiExchangeOf(ctx)
	r := contract.Request{
		ID: x.id, Host: route.Host, Path: route.Prefix + path, Key: x.key, HasKey: x.hasKey, Arrived: clock.Now(),
	}
	if deadlineMs != nil {
		r.Timeout = time.Duration(*deadlineMs) * time.Millisecond
	}
	return r
}

// deferExchange returns a body that carries the exchange out when goa writes it, with head and all.
func (s *api) deferExchange(ctx context.Context, spec platform.CallSpec) (*calls.CallResult, io.ReadCloser, error) {
	x := apiExchangeOf(ctx)
	x.bypassGoa = true
	payload := platform.NewCall(spec)
	return &calls.CallResult{}, &apiBody{exchange: &exchange{
		callHandler: s.callHandler, w: x.ResponseWriter, payload: payload, call: newCall(ctx, &payload.Request), writeRefusal: writeEnvelope,
	}}, nil
}

// apiBody is the answer of a call.
type apiBody struct{ exchange *exchange }

// Read implements io.Reader; goa uses WriteTo.
func (b *apiBody) Read([]byte) (int, error) {
	return 0, errors.AssertionFailedf("apiBody is written by WriteTo")
}

// Close implements io.Closer.
func (b *apiBody) Close() error { return nil }

// WriteTo implements io.WriterTo. The answer goes to the caller's own writer, which flushes each event.
func (b *apiBody) WriteTo(io.Writer) (int64, error) {
	b.exchange.serve()
	return 1, nil
}

// routesQuery asks the routing duty for the route with a name, or for all routes that a key may use.
type routesQuery struct {
	name   string
	key    contract.KeyHash
	hasKey bool
	reply  *ring.Ring[routesReply]
}

type routesReply struct {
	routes  []*contract.Route
	refusal *contract.Refusal
}

// apply answers the query.
func (q routesQuery) apply(r *routing, _ clock.Instant) {
	var reply routesReply
	switch {
	case r.manifest == nil:
		reply.refusal = contract.Refuse(contract.ManifestMissing, manifestRetryAfter, "no manifest has been read yet")
	case q.name != "":
		if route := r.manifest.RouteNamed(q.name); route != nil {
			reply.routes = []*contract.Route{route}
		} else {
			reply.refusal = contract.Refuse(contract.RouteNotFound, 0, "no route is named %q", q.name)
		}
	case !q.hasKey || r.manifest.Owner(q.key) == nil:
		reply.refusal = contract.Refuse(contract.InvalidKey, 0, "the request carries no valid key")
	default:
		reply.routes = r.manifest.Routes()
		slices.SortFunc(reply.routes, func(a, b *contract.Route) int { return strings.Compare(a.Name, b.Name) })
	}
	q.reply.TryPush(reply)
}

func readBody(body io.ReadCloser) ([]byte, error) {
	raw, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, asError(contract.Refuse(contract.RequestTooLarge, 0, "the body is over %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, asError(contract.Refuse(contract.InvalidRequest, 0, "the body could not be read"))
	}
	return raw, nil
}

// refusalError carries a refusal through goa's error path.
type refusalError struct{ refusal *contract.Refusal }

// Error implements error.
func (e refusalError) Error() string { return string(e.refusal.Code) + ": " + e.refusal.Detail }

func asError(r *contract.Refusal) error { return refusalError{refusal: r} }

// errorEnvelope is the OpenAI form of an error.
type errorEnvelope struct {
	Detail errorDetail `json:"error"`
	status int
}

type errorDetail struct {
	Message    string `json:"message"`
	Type       string `json:"type"`
	Code       string `json:"code"`
	MayHaveRun bool   `json:"may_have_run"`
}

// StatusCode implements goahttp.Statuser.
func (e *errorEnvelope) StatusCode() int { return e.status }

func newEnvelope(refusal *contract.Refusal) *errorEnvelope {
	status := platform.HTTPStatus(refusal)
	kind := "server_error"
	switch {
	case status == http.StatusTooManyRequests:
		kind = "rate_limit_error"
	case status == http.StatusUnauthorized:
		kind = "authentication_error"
	case status < http.StatusInternalServerError:
		kind = "invalid_request_error"
	}
	return &errorEnvelope{status: status, Detail: errorDetail{
		Message: refusal.Detail, Type: kind, Code: string(refusal.Code), MayHaveRun: refusal.MayHaveRun,
	}}
}

// formatError is goa's error formatter.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	refusal := contract.Failed(contract.RunnerFailed, "internal error")
	var r refusalError
	var invalid *goa.ServiceError
	switch {
	case errors.As(err, &r):
		refusal = r.refusal
	case errors.As(err, &invalid):
		refusal = contract.Refuse(contract.InvalidRequest, 0, "%s", invalid.Message)
	}
	setRetryAfter(apiExchangeOf(ctx).Header(), refusal)
	return newEnvelope(refusal)
}

// writeEnvelope answers a call that no runner answered.
func writeEnvelope(w http.ResponseWriter, id string, refusal *contract.Refusal) {
	e := newEnvelope(refusal)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	setRetryAfter(w.Header(), refusal)
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(e) // a caller that has gone away needs no answer
}

func setRetryAfter(h http.Header, refusal *contract.Refusal) {
	if refusal.RetryAfter > 0 && !refusal.MayHaveRun {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
}

// encodeJSON is goa's response encoder; it answers in JSON whatever the caller accepts.
func encodeJSON(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return bypassEncoder{json.NewEncoder(w), w}
}

// bypassEncoder leaves the body of a call's answer to the exchange.
type bypassEncoder struct {
	goahttp.Encoder
	w http.ResponseWriter
}

// Encode implements goahttp.Encoder.
func (e bypassEncoder) Encode(v any) error {
	if x, ok := e.w.(*apiExchange); ok && x.bypassGoa {
		return nil
	}
	return errors.Wrap(e.Encoder.Encode(v), "encode answer")
}
