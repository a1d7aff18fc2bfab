package entry

import (
	"context"
	"encoding/json"
	"math"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
	goahttp "goa.design/goa/v3/http"
	goa "goa.design/goa/v3/pkg"

	"github.com/mangopass/mangopass/fleet/contract"
)

// Headers of answers.
const (
	headerRequestID = "X-Request-Id"
	headerRun       = "X-Mangopass-Run"
	bearerPrefix    = "Bearer "
)

// exchange is one HTTP request and its answer, as far as goa's typed endpoints do not carry them.
type exchange struct {
	http.ResponseWriter
	id     string
	method string
	key    contract.KeyHash
	hasKey bool
	status int // replaces the status that goa writes; zero: keep it
}

// WriteHeader implements http.ResponseWriter.
func (x *exchange) WriteHeader(status int) {
	if x.status != 0 {
		status = x.status
	}
	x.ResponseWriter.WriteHeader(status)
}

// Unwrap lets http.ResponseController flush.
func (x *exchange) Unwrap() http.ResponseWriter { return x.ResponseWriter }

type exchangeKey struct{}

func exchangeOf(ctx context.Context) *exchange { return ctx.Value(exchangeKey{}).(*exchange) }

// open is the set of requests that have not been answered yet, for the report of a planned stop.
type open struct {
	mu  sync.Mutex
	ids map[string]struct{}
}

func (o *open) add(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.ids[id] = struct{}{}
}

func (o *open) remove(id string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.ids, id)
}

func (o *open) list() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	ids := make([]string, 0, len(o.ids))
	for id := range o.ids {
		ids = append(ids, id)
	}
	slices.Sort(ids)
	return ids
}

// withExchange gives each request an id, replaces the caller's key by its hash and bounds the body.
func withExchange(next http.Handler, requests *open, bodyLimit int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		x := &exchange{ResponseWriter: w, id: uuid.NewString(), method: r.Method}
		if presented, ok := strings.CutPrefix(r.Header.Get("Authorization"), bearerPrefix); ok {
			x.key, x.hasKey = contract.HashKey(presented), true
		}
		r.Header.Del("Authorization") // the key goes no further
		w.Header().Set(headerRequestID, x.id)
		requests.add(x.id)
		defer requests.remove(x.id)
		r.Body = http.MaxBytesReader(w, r.Body, bodyLimit)
		next.ServeHTTP(x, r.WithContext(context.WithValue(r.Context(), exchangeKey{}, x)))
	})
}

// refusalError carries a refusal through goa's error path.
type refusalError struct{ refusal *contract.Refusal }

// Error implements error.
func (e refusalError) Error() string { return e.refusal.String() }

// errorEnvelope is the OpenAI form of an error.
type errorEnvelope struct {
	Detail errorDetail `json:"error"`
	status int
}

type errorDetail struct {
	Message string `json:"message"`
	Type    string `json:"type"`
	Code    string `json:"code"`
	Run     string `json:"run"`
}

// StatusCode implements goahttp.Statuser.
func (e *errorEnvelope) StatusCode() int { return e.status }

// formatError is goa's error formatter. It turns each error into the envelope and sets the headers of a refusal.
func formatError(ctx context.Context, err error) goahttp.Statuser {
	refusal := refusalOf(err)
	x := exchangeOf(ctx)
	x.Header().Set(headerRun, refusal.Run.String())
	if refusal.RetryAfter > 0 {
		seconds := int(math.Ceil(refusal.RetryAfter.Seconds()))
		x.Header().Set("Retry-After", strconv.Itoa(seconds))
	}
	status := refusalStatus(refusal.Code)
	return &errorEnvelope{status: status, Detail: errorDetail{
		Message: refusal.Detail, Type: errorType(status), Code: string(refusal.Code), Run: refusal.Run.String(),
	}}
}

func refusalOf(err error) *contract.Refusal {
	var r refusalError
	if errors.As(err, &r) {
		return r.refusal
	}
	var invalid *goa.ServiceError
	if errors.As(err, &invalid) {
		return contract.Refuse(contract.InvalidRequest, 0, "%s", invalid.Message)
	}
	return &contract.Refusal{Code: contract.TargetFailed, Run: contract.RunUnknown, Detail: "internal error"}
}

// refusalStatus maps a refusal's code to the HTTP status of the answer.
func refusalStatus(c contract.Code) int {
	switch c {
	case contract.InvalidRequest, contract.IdempotencyKeyMissing:
		return http.StatusBadRequest
	case contract.InvalidKey:
		return http.StatusUnauthorized
	case contract.RouteNotAllowed:
		return http.StatusForbidden
	case contract.RouteNotFound:
		return http.StatusNotFound
	case contract.IdempotencyKeyReused, contract.OutcomeUnknown:
		return http.StatusConflict
	case contract.RequestTooLarge:
		return http.StatusRequestEntityTooLarge
	case contract.CrashSuspect:
		return http.StatusUnprocessableEntity
	case contract.RateLimited:
		return http.StatusTooManyRequests
	case contract.DeadlineExceeded:
		return http.StatusGatewayTimeout
	case contract.TargetFailed, contract.AnswerTruncated:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

func errorType(status int) string {
	switch {
	case status == http.StatusTooManyRequests:
		return "rate_limit_error"
	case status == http.StatusUnauthorized:
		return "authentication_error"
	case status < http.StatusInternalServerError:
		return "invalid_request_error"
	}
	return "server_error"
}

// encodeJSON is goa's response encoder; it answers in JSON whatever the caller accepts.
func encodeJSON(_ context.Context, w http.ResponseWriter) goahttp.Encoder {
	w.Header().Set("Content-Type", "application/json")
	return json.NewEncoder(w)
}

func deadlineOf(ms *int) time.Duration {
	if ms == nil {
		return 0
	}
	return time.Duration(*ms) * time.Millisecond
}
