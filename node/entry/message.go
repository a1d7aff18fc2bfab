package entry

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// message is what the routing duty takes from its ring. Each kind knows its effect on the duty's state.
type message interface {
	apply(r *routing, now clock.Instant)
}

// call is one caller's request on its way through this VM. The handler fills ctx and request; the routing duty owns the
// rest.
type call struct {
	ctx       context.Context
	request   *contract.Request
	decisions *ring.Ring[decision]

	admitted  contract.Admission
	service   contract.ServiceName
	artifact  machine.Artifact
	cost      float64 // taken from the organisation's quota
	deadline  clock.Instant
	waitUntil clock.Instant // end of the wait for a replica
	waiting   bool
	sends     int // attempts that went out
	runs      int // of those, attempts that may have run
	exclude   []machine.RunnerID
	streaming bool // part of the answer has been passed on
}

// decision is the routing duty's answer to a call or to the failure of an attempt.
type decision struct {
	refusal *contract.Refusal // the final outcome; nil: make the attempt
	attempt attempt
}

// attempt is one sending of a call to a runner.
type attempt struct {
	runner          machine.RunnerID
	boot            int64
	address         string
	artifact        machine.Artifact
	organisation    contract.OrganisationName
	prefill         time.Duration
	expectedLatency time.Duration // time to the first event or answer
	deadline        clock.Instant
	priority        int
	resumable       bool          // a stream that breaks may go on at another runner
	silenceTimeout  time.Duration // longest silence before the attempt is given up; zero: no bound
}

// result is how an attempt ended.
type result int

const (
	resultServed      result = iota
	resultUnreachable        // not sent
	resultShed               // not executed: the runner is full or the time is over
	resultNoReplica          // not executed: the runner does not hold the model, or is another one
	resultBroken             // no whole answer; it may have run
	resultFailed             // a failure of a safe request that another runner may answer
	resultTimeout            // the deadline has passed
	resultCallerGone         // the caller has gone away
)

// String returns the result's name for logs and metrics.
func (r result) String() string {
	return [...]string{"served", "unreachable", "shed", "no_replica", "broken", "failed", "timeout", "gone"}[r]
}

// callArrived is a new call.
type callArrived struct{ call *call }

// callCancelled is a call whose caller has gone away while the decision was pending.
type callCancelled struct{ call *call }

// attemptStarted is the first event of a stream.
type attemptStarted struct {
	attempt attempt
	took    time.Duration
}

// attemptEnded is the end of an attempt. The call waits for a further decision unless final is set.
type attemptEnded struct {
	call      *call
	attempt   attempt
	result    result
	cause     error
	took      time.Duration
	started   bool // the first event had come; started was pushed
	streaming bool // events have been passed on to the caller
	final     bool
}

// storeChanged carries entries of the platform's store.
type storeChanged struct {
	manifest []byte // nil: no change
	runners  []runnerChange
	ownKeys  []ownKeyChange
	complete bool          // the changes list all that there is
	outage   bool          // the store had been away
	sent     clock.Instant // before the call that brought them
}

// runnerChange is a runner's entry or its removal.
type runnerChange struct {
	id           machine.RunnerID
	announcement machine.Announcement
	gone         bool
	invalid      error // the entry names no runner to use
}

// ownKeyChange is a key of mangopass's own in the store.
type ownKeyChange struct {
	key      string
	value    []byte
	revision int64
	gone     bool
}

// leaseRenewed extends the lease of this VM's keys; leaseLost ends it.
type (
	leaseRenewed struct{ until clock.Instant }
	leaseLost    struct{}
)

// peerReported is a report of another entry VM.
type peerReported struct{ report link.Report }

// reportDelivered says whether a peer has got a report.
type reportDelivered struct {
	node    string
	boot    int64 // of the peer, to which the report went
	version uint64
	ok      bool
}

// orderAnswered is the outcome of an order, runnerReported that of a state query.
type (
	orderAnswered struct {
		order   machine.Order
		outcome machine.OrderOutcome
		cause   error
		took    time.Duration
	}
	runnerReported struct {
		runner   machine.RunnerID
		boot     int64
		contents machine.Contents
		err      error
	}
)

// stopRequested announces a planned stop.
type stopRequested struct{}
