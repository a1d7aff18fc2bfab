package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/api/gen/calls"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/node/wire"
)

const (
	// bytesPerToken estimates the tokens of a prompt from the size of its text.
	bytesPerToken = 4
	// defaultMaxTokens is assumed for a chat request that does not bound its answer.
	defaultMaxTokens = 256
	// serviceCallTokens is the charge for a call to a plain service.
	serviceCallTokens = 1
)

// callsService implements the callers' endpoints. Its methods run on the goroutines of net/http; they decode, push the
// call to admission and wait on the call's reply ring.
type callsService struct {
	admission *ring.Ring[message]
	metrics   *entryMetrics
}

var _ calls.Service = (*callsService)(nil)

// chatBody is a chat request's body: all fields as they came, and those that are read here.
type chatBody struct {
	raw    []byte
	fields map[string]json.RawMessage
}

// forArtifact implements callBody: the body's model becomes the artifact.
func (b chatBody) forArtifact(a contract.Artifact) []byte {
	name, _ := json.Marshal(a.String())
	fields := make(map[string]json.RawMessage, len(b.fields))
	for k, v := range b.fields {
		fields[k] = v
	}
	fields["model"] = name
	out, err := json.Marshal(fields)
	if err != nil {
		panic("entry: decoded body without JSON form: " + err.Error())
	}
	return out
}

// rawBody is the body of a call to a plain service.
type rawBody []byte

// forArtifact implements callBody.
func (b rawBody) forArtifact(contract.Artifact) []byte { return b }

// chatFields are the fields of a chat request that routing needs.
type chatFields struct {
	Model               string `json:"model"`
	Stream              bool   `json:"stream"`
	MaxTokens           int    `json:"max_tokens"`
	MaxCompletionTokens int    `json:"max_completion_tokens"`
}

// Chat implements calls.Service.
func (s *callsService) Chat(ctx context.Context, p *calls.CallPayload, body io.ReadCloser) (*calls.CallResult, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	var fields chatFields
	parsed := chatBody{raw: raw}
	if json.Unmarshal(raw, &parsed.fields) != nil || json.Unmarshal(raw, &fields) != nil {
		return nil, nil, refused(contract.Refuse(contract.InvalidRequest, 0, "the body is not a JSON chat request"))
	}
	if fields.Model == "" || fields.MaxTokens < 0 || fields.MaxCompletionTokens < 0 {
		return nil, nil, refused(contract.Refuse(contract.InvalidRequest, 0, "model is missing or a token bound is negative"))
	}
	request := newRequest(ctx, raw, p.IdempotencyKey, p.DeadlineMs)
	request.Route = fields.Model
	request.PromptTokens = len(raw) / bytesPerToken
	request.MaxTokens = max(fields.MaxTokens, fields.MaxCompletionTokens)
	if request.MaxTokens == 0 {
		request.MaxTokens = defaultMaxTokens
	}
	c := newCall(ctx, request)
	c.method, c.mime, c.body = http.MethodPost, "application/json", parsed
	return s.answer(c, fields.Stream)
}

// Invoke implements calls.Service.
func (s *callsService) Invoke(ctx context.Context, p *calls.InvokePayload, body io.ReadCloser) (*calls.CallResult, io.ReadCloser, error) {
	raw, err := readBody(body)
	if err != nil {
		return nil, nil, err
	}
	request := newRequest(ctx, raw, p.IdempotencyKey, p.DeadlineMs)
	request.Route = p.Route
	request.PromptTokens = serviceCallTokens
	c := newCall(ctx, request)
	c.service, c.body = true, rawBody(raw)
	c.method, c.path, c.mime = exchangeOf(ctx).method, "/"+p.Path, "application/json"
	return s.answer(c, false)
}

// Models implements calls.Service.
func (s *callsService) Models(ctx context.Context) (*calls.ModelList, error) {
	x := exchangeOf(ctx)
	q := &routesQuery{key: x.key, hasKey: x.hasKey, reply: ring.New[routesReply]("routes", 1)}
	if !s.admission.TryPush(q) {
		return nil, refused(intakeFull())
	}
	r, err := q.reply.Pop(ctx)
	if err != nil {
		return nil, err
	}
	if r.refusal != nil {
		return nil, refused(r.refusal)
	}
	list := &calls.ModelList{Object: "list", Data: []*calls.ModelObject{}}
	for _, name := range r.names {
		list.Data = append(list.Data, &calls.ModelObject{ID: name, Object: "model", OwnedBy: "mangopass"})
	}
	return list, nil
}

// answer hands the call to admission and waits for its answer or refusal. A streamed answer is passed on as it comes;
// any other is first collected, so that an answer that breaks off becomes a refusal.
func (s *callsService) answer(c *call, streamed bool) (*calls.CallResult, io.ReadCloser, error) {
	if !s.admission.TryPush(c) {
		s.metrics.refused.WithLabelValues(string(contract.Overloaded)).Inc()
		return nil, nil, refused(intakeFull())
	}
	first, err := c.reply.Pop(c.ctx)
	if err != nil {
		return nil, nil, err // the caller has gone away
	}
	if first.kind != replyHead {
		return nil, nil, refused(first.refusal)
	}
	x := exchangeOf(c.ctx)
	body := &answerBody{call: c}
	if !streamed {
		whole, err := body.collect()
		if err != nil {
			return nil, nil, err
		}
		x.status = first.status
		x.Header().Set(headerRun, contract.Ran.String())
		return &calls.CallResult{ContentType: first.mime}, io.NopCloser(bytes.NewReader(whole)), nil
	}
	x.status = first.status
	x.Header().Set(headerRun, contract.Ran.String())
	return &calls.CallResult{ContentType: first.mime}, body, nil
}

// answerBody is the rest of an answer after its head. goa hands its WriteTo the response writer, so that each piece can
// be flushed; a plain io.Reader would be copied without flushing.
type answerBody struct{ call *call }

// Read implements io.Reader; it is never used.
func (b *answerBody) Read([]byte) (int, error) {
	return 0, errors.AssertionFailedf("answerBody is written by WriteTo")
}

// Close implements io.Closer.
func (b *answerBody) Close() error { return nil }

// WriteTo implements io.WriterTo. An answer that breaks off returns an error and a count above zero, for which goa
// aborts the connection: the caller must not take the truncated answer for a whole one.
func (b *answerBody) WriteTo(w io.Writer) (int64, error) {
	written := int64(0)
	flusher := http.NewResponseController(w.(http.ResponseWriter))
	for {
		r, err := b.call.reply.Pop(b.call.ctx)
		if err != nil || r.kind == replyTruncated {
			return max(written, 1), errors.CombineErrors(err, refused(truncated()))
		}
		if r.kind == replyEnd {
			return written, nil
		}
		n, err := w.Write(r.data)
		written += int64(n)
		if err != nil {
			return max(written, 1), err
		}
		if err := flusher.Flush(); err != nil {
			return max(written, 1), err
		}
	}
}

func (b *answerBody) collect() ([]byte, error) {
	var whole []byte
	for {
		r, err := b.call.reply.Pop(b.call.ctx)
		switch {
		case err != nil:
			return nil, err
		case r.kind == replyEnd:
			return whole, nil
		case r.kind == replyTruncated:
			return nil, refused(truncated())
		}
		whole = append(whole, r.data...)
	}
}

func newRequest(ctx context.Context, raw []byte, idempotencyKey *string, deadlineMs *int) contract.Request {
	x := exchangeOf(ctx)
	r := contract.Request{
		ID: x.id, Key: x.key, HasKey: x.hasKey, BodyDigest: xxhash.Sum64(raw), Arrived: time.Now(),
		AskedDeadline: deadlineOf(deadlineMs),
	}
	if idempotencyKey != nil {
		r.IdempotencyKey = *idempotencyKey
	}
	return r
}

func readBody(body io.ReadCloser) ([]byte, error) {
	raw, err := io.ReadAll(body)
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return nil, refused(contract.Refuse(contract.RequestTooLarge, 0, "the body is over %d bytes", tooLarge.Limit))
	}
	if err != nil {
		return nil, refused(contract.Refuse(contract.InvalidRequest, 0, "the body could not be read"))
	}
	return raw, nil
}

func refused(r *contract.Refusal) error { return refusalError{refusal: r} }

func intakeFull() *contract.Refusal {
	return contract.Refuse(contract.Overloaded, retryAfterNoSlot, "too many requests are waiting here")
}

// routesQuery asks admission for the routes that a key may use.
type routesQuery struct {
	key    contract.KeyHash
	hasKey bool
	reply  *ring.Ring[routesReply]
}

type routesReply struct {
	names   []string
	refusal *contract.Refusal
}

// routes answers a routesQuery.
func (a *admission) routes(q *routesQuery) {
	var r routesReply
	owner, known := contract.OrganisationID(""), false
	if a.config != nil && q.hasKey {
		owner, known = a.config.KeyOwner(q.key)
	}
	if !known {
		r.refusal = contract.Refuse(contract.InvalidKey, 0, "the request carries no valid key")
	} else {
		for name, route := range a.config.Routes {
			if route.Allows(owner) {
				r.names = append(r.names, name)
			}
		}
		slices.Sort(r.names)
	}
	q.reply.TryPush(r)
}

// control is the entry VM's net/rpc service.
type control struct{ admission *ring.Ring[message] }

// Heartbeat takes an agent's report. It fails if admission has no room for it; the next one then counts.
func (c *control) Heartbeat(args wire.HeartbeatArgs, reply *wire.HeartbeatReply) error {
	if !c.admission.TryPush(heartbeat{report: link.Report(args.Report)}) {
		return errors.New("admission is busy")
	}
	return nil
}
