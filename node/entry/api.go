package entry

import (
	"context"
	"encoding/json"
	"fmt"
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
	// bytesPerToken estimates a prompt's token count from the size of the request body.
	bytesPerToken = 4
	// defaultMaxTokens is the assumed answer length, in tokens, of a chat request that states no limit.
	defaultMaxTokens = 256
	bearerPrefix     = "Bearer "
	chatPath         = "chat/completions"
)

// api is the OpenAI-compatible front end. Its requests are admitted and routed like those of the platform's front end.
type api struct{ *callHandler }

var _ calls.Service = (*api)(nil)

// newAPI returns the handler of the API's listener.
func newAPI(c *callHandler) http.Handler {
	mux := goahttp.NewMuxer()
	endpoints := calls.NewEndpoints(&api{c})
	callsserver.Mount(mux, callsserver.New(endpoints, mux, goahttp.RequestDecoder, encodeJSON, nil, formatError))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer c.begin(w)()
		req := &apiRequest{ResponseWriter: w, httpRequest: r}
		req.id = uuid.NewString()
		if key, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix); ok {
			req.key, req.hasKey = contract.HashKey(key), true
		}
		r.Header.Del("Authorization") // the key is not passed on to runners
		countAsChat(r)
		mux.ServeHTTP(req, r.WithContext(context.WithValue(r.Context(), apiRequestKey{}, req)))
	})
}

// apiRequestKey is the context key of an apiRequest.
type apiRequestKey struct{}

// apiRequest is one request to the API and the response writer that goa gets for it. Once bypassGoa is set, goa's calls
// to WriteHeader have no effect, since the exchange writes the response to the underlying writer itself.
type apiRequest struct {
	http.ResponseWriter
	httpRequest *http.Request
	id          string
	key         contract.KeyHash
	hasKey      bool
	bypassGoa   bool
}

// WriteHeader implements http.ResponseWriter.
func (req *apiRequest) WriteHeader(status int) {
	if !req.bypassGoa {
		req.ResponseWriter.WriteHeader(status)
	}
}

func apiRequestOf(ctx context.Context) *apiRequest {
	return ctx.Value(apiRequestKey{}).(*apiRequest)
}

// chatFields are the fields of a chat request that admission and routing need.
type chatFields struct {
	Model               string `json:"model"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// decodeChat decodes the fields of a chat that the API needs.
func decodeChat(raw []byte) (fields chatFields, err error) {
	err = json.Unmarshal(raw, &fields)
	return fields, errors.Wrap(err, "decode chat")
}

// Chat implements calls.Service.
func (a *api) Chat(
	ctx context.Context, p *calls.CallPayload, body io.ReadCloser,
) (*calls.CallResult, io.ReadCloser, error) {
	whole, err := a.readBody(ctx, body)
	if err != nil {
		return nil, nil, err
	}
	raw := whole.Bytes()
	fields, err := decodeChat(raw)
	if err != nil {
		return nil, nil, asError(contract.Refuse(contract.InvalidRequest, 0, "the body is not a JSON chat request"))
	}
	name, artifact, ok := strings.Cut(fields.Model, "/")
	if !ok || fields.MaxTokens < 0 || fields.MaxCompletionTokens < 0 {
		return nil, nil, asError(contract.Refuse(contract.InvalidRequest, 0,
			"model is not ROUTE/MODEL, or a token bound is negative"))
	}
	model, adapter, _ := strings.Cut(artifact, "/")
	route, err := a.route(ctx, name)
	if err != nil {
		return nil, nil, err
	}
	if raw, err = withModel(raw, artifact); err != nil {
		return nil, nil, errors.Wrap(err, "encode body")
	}
	request := a.newRequest(ctx, route, chatPath, p.DeadlineMs)
	request.Model, request.Adapter = contract.ModelName(model), contract.AdapterName(adapter)
	request.PromptTokens, request.Counted = len(raw)/bytesPerToken, true
	if request.MaxTokens = max(fields.MaxTokens, fields.MaxCompletionTokens); request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	return a.deferExchange(ctx, platform.CallSpec{
		Request: request, Method: http.MethodPost, Target: request.Path, ContentType: "application/json",
		Body: platform.NewBody(raw),
	})
}

// Invoke implements calls.Service.
func (a *api) Invoke(
	ctx context.Context, p *calls.InvokePayload, body io.ReadCloser,
) (*calls.CallResult, io.ReadCloser, error) {
	raw, err := a.readBody(ctx, body)
	if err != nil {
		return nil, nil, err
	}
	route, err := a.route(ctx, p.Route)
	if err != nil {
		return nil, nil, err
	}
	req := apiRequestOf(ctx)
	request := a.newRequest(ctx, route, p.Path, p.DeadlineMs)
	spec := platform.CallSpec{
		Request: request, Method: req.httpRequest.Method, Target: request.Path,
		ContentType: req.httpRequest.Header.Get("Content-Type"), Body: raw,
	}
	if req.httpRequest.URL.RawQuery != "" {
		spec.Target += "?" + req.httpRequest.URL.RawQuery
	}
	return a.deferExchange(ctx, spec)
}

// Models implements calls.Service.
func (a *api) Models(ctx context.Context) (*calls.ModelList, error) {
	req := apiRequestOf(ctx)
	routes, err := a.queryRoutes(ctx, routesQuery{key: req.key, hasKey: req.hasKey})
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
func (a *api) route(ctx context.Context, name string) (*contract.Route, error) {
	routes, err := a.queryRoutes(ctx, routesQuery{name: name})
	if err != nil {
		return nil, err
	}
	return routes[0], nil
}

// queryRoutes sends a query to the routing duty and waits for the reply.
func (a *api) queryRoutes(ctx context.Context, q routesQuery) ([]*contract.Route, error) {
	q.reply = ring.New[routesReply]("routes", 1)
	if !a.routing.TryPush(q) {
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

// newRequest returns the request of an API call to a path under a route's prefix.
func (a *api) newRequest(ctx context.Context, route *contract.Route, path string, deadlineMs *int) contract.Request {
	req := apiRequestOf(ctx)
	r := contract.Request{
		ID: req.id, Host: route.Host, Path: route.Prefix + path, Key: req.key, HasKey: req.hasKey, Arrived: clock.Now(),
	}
	if deadlineMs != nil {
		r.Timeout = time.Duration(*deadlineMs) * time.Millisecond
	}
	return r
}

// deferExchange returns a body that runs the exchange when goa writes it. The exchange then writes the whole response,
// including the head.
func (a *api) deferExchange(ctx context.Context, spec platform.CallSpec) (*calls.CallResult, io.ReadCloser, error) {
	req := apiRequestOf(ctx)
	req.bypassGoa = true
	payload := platform.NewCall(spec)
	return &calls.CallResult{}, &apiBody{exchange: &exchange{
		callHandler: a.callHandler, w: req.ResponseWriter, payload: payload,
		call: newCall(ctx, &payload.Request), writeRefusal: writeEnvelope,
	}}, nil
}

// apiBody is the response body given to goa; writing it runs the exchange.
type apiBody struct{ exchange *exchange }

// Read implements io.Reader. It is never called, since goa uses WriteTo.
func (b *apiBody) Read([]byte) (int, error) {
	return 0, errors.AssertionFailedf("apiBody supports only WriteTo")
}

// Close implements io.Closer.
func (b *apiBody) Close() error { return nil }

// WriteTo implements io.WriterTo. It ignores its writer: the exchange writes to the original http.ResponseWriter, so
// that it can flush each event.
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

// apply answers the query. A route that is there needs no current manifest, since each request to it is admitted by itself.
func (q routesQuery) apply(r *routing, now clock.Instant) {
	var reply routesReply
	reply.routes, reply.refusal = r.findRoutes(q)
	if stale := r.manifestStale(now); stale != nil && (q.name == "" || reply.refusal != nil) {
		reply = routesReply{refusal: stale}
	}
	q.reply.TryPush(reply)
}

// findRoutes returns the routes that a query asks for, as the manifest in force has them.
func (r *routing) findRoutes(q routesQuery) ([]*contract.Route, *contract.Refusal) {
	switch {
	case r.manifest == nil:
		return nil, r.missingManifest()
	case q.name != "":
		if route := r.manifest.RouteNamed(q.name); route != nil {
			return []*contract.Route{route}, nil
		}
		return nil, r.manifest.NoRoute(fmt.Sprintf("no route is named %q", q.name))
	}
	if _, refusal := r.manifest.Authenticate(q.key, q.hasKey); refusal != nil {
		return nil, refusal
	}
	routes := r.manifest.Routes()
	slices.SortFunc(routes, func(a, b *contract.Route) int { return strings.Compare(a.Name, b.Name) })
	return routes, nil
}

// readBody reads the body of the request that goa handles.
func (a *api) readBody(ctx context.Context, body io.Reader) (platform.Body, error) {
	whole, refusal := platform.ReadBody(body, apiRequestOf(ctx).httpRequest.ContentLength, a.bodyLimit.Load())
	if refusal != nil {
		return whole, asError(refusal)
	}
	return whole, nil
}

// refusalError wraps a refusal as an error, so that it can be returned through goa.
type refusalError struct{ refusal *contract.Refusal }

// Error implements error.
func (e refusalError) Error() string { return string(e.refusal.Code) + ": " + e.refusal.Detail }

func asError(r *contract.Refusal) error { return refusalError{refusal: r} }

// errorEnvelope is an error response in the OpenAI format.
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

// formatError converts an error to the response that goa writes.
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
	setRetryAfter(apiRequestOf(ctx).Header(), refusal)
	return newEnvelope(refusal)
}

// writeEnvelope writes a refusal in the OpenAI format.
func writeEnvelope(w http.ResponseWriter, id string, refusal *contract.Refusal) {
	e := newEnvelope(refusal)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Request-Id", id)
	setRetryAfter(w.Header(), refusal)
	w.WriteHeader(e.status)
	_ = json.NewEncoder(w).Encode(e) // fails only if the caller has disconnected
}

func setRetryAfter(h http.Header, refusal *contract.Refusal) {
	if refusal.RetryAfter > 0 && !refusal.MayHaveRun {
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(refusal.RetryAfter.Seconds()))))
	}
}

// encodeJSON returns goa's response encoder. Responses are JSON whatever the Accept header says.
func encodeJSON(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return bypassEncoder{json.NewEncoder(w), w}
}

// bypassEncoder encodes nothing for a call whose response the exchange writes itself.
type bypassEncoder struct {
	goahttp.Encoder
	w http.ResponseWriter
}

// Encode implements goahttp.Encoder.
func (e bypassEncoder) Encode(v any) error {
	if req, ok := e.w.(*apiRequest); ok && req.bypassGoa {
		return nil
	}
	return errors.Wrap(e.Encoder.Encode(v), "encode answer")
}
