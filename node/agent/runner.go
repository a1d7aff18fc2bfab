package agent

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/node/wire"
)

// pieceBytes bounds the data of one piece of an answer.
const pieceBytes = 32 << 10

// runner is one of the duties that carry jobs to the target and their answers back, one job at a time.
type runner struct {
	jobs      *ring.Ring[*job]
	scheduler *ring.Ring[message]
	backend   Backend
}

func (r *runner) run(ctx context.Context) {
	for {
		j, err := r.jobs.Pop(ctx)
		if err != nil {
			return
		}
		r.carry(j)
		if r.scheduler.Push(ctx, runDone{job: j}) != nil {
			return
		}
	}
}

// carry runs the job. The deadline bounds the time to the head of the answer.
func (r *runner) carry(j *job) {
	ctx, cancel := context.WithCancel(j.ctx)
	defer cancel()
	late := time.AfterFunc(time.Until(j.run.Deadline), cancel)
	defer late.Stop()
	resp, err := r.backend.Run(ctx, &j.run)
	if err != nil {
		j.refuse(&contract.Refusal{
			Code: contract.TargetFailed, Run: contract.RunUnknown, Detail: "the target did not answer",
		})
		return
	}
	defer resp.Body.Close()
	late.Stop()
	if j.pieces.Push(j.ctx, piece{kind: wire.FrameHead, status: resp.StatusCode, mime: resp.Header.Get("Content-Type")}) == nil {
		pass(j, resp)
	}
}

// pass copies the answer's body into the job's ring. An answer that breaks off gets no end.
func pass(j *job, resp *http.Response) {
	for {
		buf := make([]byte, pieceBytes)
		n, err := resp.Body.Read(buf)
		if n > 0 && j.pieces.Push(j.ctx, piece{kind: wire.FrameData, data: buf[:n]}) != nil {
			return
		}
		if err == io.EOF {
			_ = j.pieces.Push(j.ctx, piece{kind: wire.FrameEnd})
			return
		}
		if err != nil {
			_ = j.pieces.Push(j.ctx, piece{kind: wire.FrameRefused, refusal: &contract.Refusal{
				Code: contract.AnswerTruncated, Run: contract.RunUnknown, Detail: "the target broke off its answer",
			}})
			return
		}
	}
}
