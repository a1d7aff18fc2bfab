package contract

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// PromptPart is a part of a prompt that several requests may have in common.
type PromptPart struct {
	ID     uint64 // equal parts have equal IDs
	Tokens int    // length of the part
}

// Request holds those properties of a caller's request on which decisions depend.
type Request struct {
	ID      string
	Host    string // without a port
	Path    string // without the query
	Key     KeyHash
	HasKey  bool // the caller sent an API key
	Arrived clock.Instant
	Timeout time.Duration // how long the caller waits from Arrived on; zero: not stated

	Model        ModelName   // empty for plain services
	Adapter      AdapterName // empty: the model itself
	PromptTokens int
	MaxTokens    int
	Bytes        int          // length of the body
	Counted      bool         // PromptTokens and MaxTokens are known
	LengthHint   int          // output tokens that the caller expects; zero: not stated
	Prompt       []PromptPart // in the order of the prompt
	LastEvent    string       // ID of the last event that the caller has of a stream that it takes up; empty: it begins one
	Resumes      string       // ID of the request that brought the first event of that stream; empty: not stated
	Digest       uint64       // hash of method, path, query, key and body; equal if the caller sends the request again
}

// Deadline returns the instant by which the request must have its final answer: the caller's timeout or that of the
// route, whichever is shorter.
func (r *Request) Deadline(route *Route) clock.Instant {
	bound := route.Timeout
	if r.Timeout > 0 && r.Timeout < bound {
		bound = r.Timeout
	}
	return r.Arrived.Add(bound)
}
