package entry

import (
	"context"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/node/wire"
)

// replyRingItems bounds the pieces of an answer that wait for a slow caller.
const replyRingItems = 16

// call is one caller's request on its way through the entry VM. The handler fills request, ask and body; admission owns
// the rest until it hands the call to a forwarder.
type call struct {
	ctx     context.Context // ends when the caller goes away
	request contract.Request
	service bool // the call names a plain service's route
	method  string
	path    string
	mime    string
	body    callBody
	reply   *ring.Ring[reply]

	grant    contract.Grant
	tried    []link.AgentID // agents at which an attempt has failed
	attempts int
}

// callBody gives the body to send to a target.
type callBody interface {
	// forArtifact returns the body that names the artifact as the engine knows it.
	forArtifact(a contract.Artifact) []byte
}

// replyKind tells what a reply holds.
type replyKind int

const (
	replyRefused   replyKind = iota // refusal; last
	replyHead                       // status and mime
	replyData                       // data
	replyEnd                        // the answer is complete; last
	replyTruncated                  // the answer broke off after its head; last
)

// reply is one step of the answer to a call.
type reply struct {
	kind    replyKind
	refusal *contract.Refusal
	status  int
	mime    string
	data    []byte
}

func newCall(ctx context.Context, request contract.Request) *call {
	return &call{ctx: ctx, request: request, reply: ring.New[reply]("reply", replyRingItems)}
}

// refuse ends a call that has no answer yet. The reply ring is then empty and has room.
func (c *call) refuse(r *contract.Refusal) {
	if !c.reply.TryPush(reply{kind: replyRefused, refusal: r}) {
		panic("entry: refusal of a call whose answer has started")
	}
}

// dispatch is one attempt of a call at one agent.
type dispatch struct {
	call  *call
	agent link.AgentID
	addr  string // IP:port of the agent's stream listener
	run   wire.RunRequest
}
