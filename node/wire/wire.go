// Package wire holds the messages that mangopass processes exchange: the arguments of net/rpc calls and the frames of an
// answer stream, both encoded by encoding/gob. It holds no decisions.
package wire

import (
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
)

// RunPath is the path of the agent's HTTP endpoint that takes requests. The body is a gob RunRequest, the answer a gob
// sequence of Frame.
const RunPath = "/run"

// RunRequest is one attempt to run a request at a target. It never carries the caller's key.
type RunRequest struct {
	Request      string // request id
	Attempt      string // attempt id; differs for each dispatch of the request
	Organisation contract.OrganisationID
	Route        string
	Class        contract.Class
	Idempotent   bool
	Artifact     contract.Artifact
	Service      contract.ServiceID
	Method       string // HTTP method at a plain service
	Path         string // path at a plain service
	ContentType  string
	Digest       uint64 // xxhash64 of the caller's body
	Tokens       float64
	Deadline     time.Time
	Body         []byte
}

// FrameKind tells what a Frame holds.
type FrameKind int

const (
	// FrameHead comes first in an answer and holds Status and ContentType.
	FrameHead FrameKind = iota + 1
	// FrameData holds a piece of the body.
	FrameData
	// FrameEnd comes last and holds the size and hash of all data. An answer without it is truncated.
	FrameEnd
	// FrameRefused replaces the answer, or what is left of it, by a refusal.
	FrameRefused
)

// Frame is one piece of an answer. Request and Attempt repeat the ids of the RunRequest.
type Frame struct {
	Request     string
	Attempt     string
	Seq         uint64 // 0 for the first frame of the stream
	Kind        FrameKind
	Status      int
	ContentType string
	Data        []byte
	Bytes       uint64 // FrameEnd: bytes of all data
	Hash        uint64 // FrameEnd: xxhash64 of all data
	Refusal     contract.Refusal
}

// HeartbeatArgs is the argument of Entry.Heartbeat.
type HeartbeatArgs struct {
	Report link.Report
}

// HeartbeatReply is the reply of Entry.Heartbeat. Generation is the entry VM's configuration generation.
type HeartbeatReply struct {
	Generation uint64
}
