package contract

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// PromptPart is one part of a prompt that requests may share, in the order of the prompt.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// Request is a caller's request as far as decisions need it.
type Request struct {
	ID      string
	Host    string
	Path    string
	Key     KeyHash
	HasKey  bool
	Arrived clock.Instant
	Timeout time.Duration // time that the caller waits; zero: not stated

	Model        ModelName   // empty for plain services
	Adapter      AdapterName // empty: the model itself
	PromptTokens int
	MaxTokens    int
	Counted      bool // the caller stated its token counts
	Prompt       []PromptPart
	Digest       uint64 // of path, key and body; names the request across repeats
}

// Deadline returns the instant at which the request must have its final answer.
func (r *Request) Deadline(route *Route) clock.Instant {
	bound := route.Timeout
	if r.Timeout > 0 && r.Timeout < bound {
		bound = r.Timeout
	}
	return r.Arrived.Add(bound)
}
