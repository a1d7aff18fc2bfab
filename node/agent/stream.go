package agent

import (
	"encoding/gob"
	"net/http"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/node/wire"
)

// streamHandler takes requests from entry VMs. It runs on the goroutines of net/http: it decodes, pushes the job to the
// scheduler and copies the pieces of the answer as frames.
type streamHandler struct {
	scheduler *ring.Ring[message]
}

// ServeHTTP implements http.Handler.
func (h *streamHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var run wire.RunRequest
	if err := gob.NewDecoder(r.Body).Decode(&run); err != nil {
		http.Error(w, "not a run request", http.StatusBadRequest)
		return
	}
	frames := wire.NewFrameWriter(w, run.Request, run.Attempt)
	j := newJob(r.Context(), run)
	if !h.scheduler.TryPush(j) {
		_ = frames.Refuse(*contract.Refuse(contract.Overloaded, retryAfterFull, "too many requests wait at the target"))
		return
	}
	flusher := http.NewResponseController(w)
	for {
		p, err := j.pieces.Pop(r.Context())
		if err != nil || writePiece(frames, p) != nil {
			return
		}
		if flusher.Flush() != nil || p.kind == wire.FrameEnd || p.kind == wire.FrameRefused {
			return
		}
	}
}

func writePiece(w *wire.FrameWriter, p piece) error {
	switch p.kind {
	case wire.FrameHead:
		return w.Head(p.status, p.mime)
	case wire.FrameData:
		return w.Data(p.data)
	case wire.FrameEnd:
		return w.End()
	default:
		return w.Refuse(*p.refusal)
	}
}
