package agent

import (
	"context"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/node/wire"
)

// pieceRingItems bounds the pieces of an answer that wait for the entry VM.
const pieceRingItems = 16

// job is one attempt that an entry VM has sent.
type job struct {
	ctx    context.Context // ends when the entry VM gives up the attempt
	run    wire.RunRequest
	pieces *ring.Ring[piece]
}

// piece is one step of a job's answer. Kinds are those of the frames.
type piece struct {
	kind    wire.FrameKind
	status  int
	mime    string
	data    []byte
	refusal *contract.Refusal
}

func newJob(ctx context.Context, run wire.RunRequest) *job {
	return &job{ctx: ctx, run: run, pieces: ring.New[piece]("pieces", pieceRingItems)}
}

// refuse ends a job that has not started to answer. The ring then is empty and has room.
func (j *job) refuse(r *contract.Refusal) {
	if !j.pieces.TryPush(piece{kind: wire.FrameRefused, refusal: r}) {
		panic("agent: refusal of a job whose answer has started")
	}
}

func (j *job) waiting() machine.Waiting {
	return machine.Waiting{
		ID: j.run.Attempt, Organisation: j.run.Organisation, Class: j.run.Class, Artifact: j.run.Artifact,
		Tokens: j.run.Tokens, Deadline: j.run.Deadline,
	}
}
