package entry

import (
	"bytes"
	"context"
	"encoding/gob"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/node/wire"
)

const (
	// answerGrace is the time after a request's deadline within which the agent's own refusal still has to arrive.
	answerGrace = 500 * time.Millisecond
	dialTimeout = time.Second
)

// forwarder is one of the duties that carry dispatched calls to agents and answers back, one call at a time.
type forwarder struct {
	queue     *ring.Ring[*dispatch]
	admission *ring.Ring[message]
	client    *http.Client
}

func newAgentClient(forwarders int) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: forwarders, IdleConnTimeout: time.Minute,
	}}
}

func (f *forwarder) run(ctx context.Context) {
	for {
		d, err := f.queue.Pop(ctx)
		if err != nil {
			return
		}
		done := f.carry(d)
		if f.admission.Push(ctx, done) != nil {
			return
		}
	}
}

// carry runs one attempt and passes the answer on to the caller.
func (f *forwarder) carry(d *dispatch) *finished {
	ctx, cancel := context.WithCancel(d.call.ctx)
	defer cancel()
	late := time.AfterFunc(time.Until(d.run.Deadline)+answerGrace, cancel)
	defer late.Stop()

	resp, err := f.send(ctx, d)
	if err != nil {
		return &finished{dispatch: d, outcome: sendFailure(err)}
	}
	defer resp.Body.Close()
	frames := wire.NewFrameReader(resp.Body, d.run.Request, d.run.Attempt)
	head, err := frames.Next()
	if err != nil {
		return &finished{dispatch: d, outcome: attemptUnknown}
	}
	switch head.Kind {
	case wire.FrameRefused:
		return &finished{dispatch: d, outcome: attemptRefused, refusal: head.Refusal}
	case wire.FrameHead:
		late.Stop()
		f.stream(d, head, frames)
		return &finished{dispatch: d, outcome: attemptAnswered}
	default:
		return &finished{dispatch: d, outcome: attemptUnknown}
	}
}

func (f *forwarder) send(ctx context.Context, d *dispatch) (*http.Response, error) {
	d.run.Body = d.call.body.forArtifact(d.run.Artifact)
	var body bytes.Buffer
	if err := gob.NewEncoder(&body).Encode(d.run); err != nil {
		panic("entry: run request without gob form: " + err.Error())
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+d.addr+wire.RunPath, &body)
	if err != nil {
		return nil, errors.Wrap(err, "agent address")
	}
	req.GetBody = nil // the transport must not resend a request by itself
	return f.client.Do(req)
}

// sendFailure tells whether the agent can have received the request.
func sendFailure(err error) attemptOutcome {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return attemptNotSent
	}
	return attemptUnknown
}

// stream passes the answer on. A caller that has gone away ends it, since the pushes then fail.
func (f *forwarder) stream(d *dispatch, head wire.Frame, frames *wire.FrameReader) {
	c := d.call
	if c.reply.Push(c.ctx, reply{kind: replyHead, status: head.Status, mime: head.ContentType}) != nil {
		return
	}
	for {
		frame, err := frames.Next()
		next := reply{kind: replyTruncated}
		if err == nil {
			next = answerReply(frame)
		}
		if c.reply.Push(c.ctx, next) != nil || next.kind != replyData {
			return
		}
	}
}

func answerReply(f wire.Frame) reply {
	switch f.Kind {
	case wire.FrameData:
		return reply{kind: replyData, data: f.Data}
	case wire.FrameEnd:
		return reply{kind: replyEnd}
	default:
		return reply{kind: replyTruncated}
	}
}

// truncated is the refusal of an answer that broke off.
func truncated() *contract.Refusal {
	return &contract.Refusal{Code: contract.AnswerTruncated, Run: contract.RunUnknown, Detail: "the answer broke off"}
}
