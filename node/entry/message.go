package entry

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/memory"
	"github.com/mangopass/mangopass/platform"
)

// message is an input of the routing duty's ring. apply carries out its effect on the duty's state.
type message interface {
	apply(r *routing, now clock.Instant)
}

// call is the state of one caller's request. The handler sets ctx and request; the routing duty owns the rest.
type call struct {
	ctx       context.Context
	request   *contract.Request
	parts     []uint64 // of the prompt, as far as other requests may share them
	decisions *ring.Ring[decision]

	admitted    contract.Admission
	service     contract.ServiceName
	artifact    machine.Artifact
	cost        float64 // taken from the organisation's quota; zero after a refund
	deadline    clock.Instant
	waitUntil   clock.Instant // end of the wait for a replica
	waiting     bool
	quotaHeld   bool          // it waits for its organisation's quota
	originUntil clock.Instant // while it waits for its origin: the end of that; zero: it does not
	heldUntil   clock.Instant // while it waits: when the first runner with the model takes requests again; zero: none has it
	sends       int           // attempts sent to runners
	runs        int           // of those, attempts that the runner may have executed
	exclude     []machine.RunnerID
	cancel      context.CancelCauseFunc // ends the attempt in progress; nil: there is none
	streaming   bool                    // part of the answer has been sent to the caller
	passedOn    passedOn                // by the attempts that have ended
	sentTo      attempt                 // the last attempt
	givenUp     bool                    // an attempt was given up because its runner was silent
	cut         bool                    // that the answer is cut off has been recorded
	pinned      bool                    // its stream has begun and goes on only at runners of version
	version     machine.SoftwareVersion // that began the stream

	retry     link.ReservedRetry // for the next attempt
	reserved  *attempt           // counts as sent to a runner until the attempt in progress has ended; nil: none
	suspected bool               // the runner of the attempt in progress has been silent, which counts as a failure
	kept      keptReason         // why that attempt was not given up, as logged last
	slow      slowStreak         // of the stream at its runner
	claim     memory.Claim       // while it waits for room in a runner's memory
	share     callShare          // its place in its organisation's share
}

// decision is the routing duty's reply to a new call or a failed attempt: another attempt or a refusal.
type decision struct {
	refusal *contract.Refusal // the final outcome; nil: make the attempt
	attempt attempt
}

// attempt is one transmission of a call to a runner.
type attempt struct {
	ctx             context.Context // ends with the call, or by cancel
	cancel          context.CancelCauseFunc
	runner          machine.RunnerID
	boot            int64
	address         string
	artifact        machine.Artifact
	organisation    contract.OrganisationName
	work            time.Duration // of its prompt, as counted in the runner's queue
	nominal         time.Duration // time to the first event or answer at the nominal pace
	tokens          int           // that it is expected to hold in the runner's memory
	sentAt          clock.Instant
	timely          bool          // expected to meet the latency objective
	limited         bool          // the runner has stated a rate limit
	expectedLatency time.Duration // time to the first event or answer
	deadline        clock.Instant
	priority        int
	resumable       bool // a stream that breaks off may continue on another runner
	version         machine.SoftwareVersion
	begins          bool          // the attempt's first event begins a resumable stream
	recorded        bool          // the store must hold what begins the stream before its first event is passed on
	stream          link.StreamID // of the stream that begins
	engine          bool          // the runner is a model engine, which states its process when it is asked
	verifyBoot      bool          // the runner must be asked first whether it still is the process that boot names
	silenceTimeout  time.Duration // time without an event or answer after which the runner is suspected; zero: no limit
	soundSilence    time.Duration // time between two events that a sound runner may take; zero: as silenceTimeout
}

// result is the outcome of an attempt.
type result int

const (
	resultServed      result = iota
	resultUnreachable        // not executed: the request could not be sent
	resultShed               // not executed: the runner has no room or too little time is left
	resultNoReplica          // not executed: the runner lacks the model, or another runner has its address
	resultBroken             // no complete answer; the request may have run
	resultFailed             // a server error to a safe request, which another runner may still answer
	resultTimeout            // the deadline has passed
	resultStopped            // a planned stop waited no longer
	resultCallerGone         // the caller has disconnected
	resultWithdrawn          // cancelled by the routing duty; the request may have run
	resultUnrecorded         // the stream has begun, and what began it could not be recorded
)

// String returns the result's name for logs and metrics.
func (r result) String() string {
	return [...]string{"served", "unreachable", "shed", "no_replica", "broken", "failed", "timeout", "stopped", "gone",
		"withdrawn", "unrecorded"}[r]
}

// callArrived is a new call.
type callArrived struct{ call *call }

// callCancelled is a call whose caller disconnected while a decision was pending, or whose connection was closed at the end of a
// planned stop.
type callCancelled struct {
	call    *call
	stopped bool
}

// attemptStarted is the first event of a stream.
type attemptStarted struct {
	call    *call
	attempt attempt
	took    time.Duration
}

// limitStated is the rate limit that a runner has stated in an answer.
type limitStated struct {
	runner    machine.RunnerID
	boot      int64
	perSecond float64 // zero: the answer states none
}

// runnerStated is what a runner has stated of itself in an answer that came at the given instant, beside its rate limit.
type runnerStated struct {
	process machine.Process
	stated  platform.Stated
	at      clock.Instant
}

// attemptEnded is the end of an attempt. The call waits for a further decision unless final is set.
type attemptEnded struct {
	call          *call
	attempt       attempt
	result        result
	cause         error
	took          time.Duration
	status        int           // of the answer; zero: none
	delimited     bool          // the answer tells where it ends, so that a complete one is known to be complete
	lost          bool          // the connection ended before the answer did
	paused        bool          // the runner has rejected it and asked for a pause
	answered      bool          // the head of the answer has arrived
	answering     time.Duration // time since then
	started       bool          // the first event has arrived
	first         time.Duration // if so, after this time
	startReported bool          // attemptStarted was pushed; the ring was not full
	streaming     bool          // events have been sent to the caller
	sent          passedOn      // to the caller, by all attempts
	final         bool
	untaken       bool // the whole answer could not be written to the caller
}

// storeChanged carries changed entries of the platform's store.
type storeChanged struct {
	manifest *platform.Entry // nil: no change
	runners  []runnerChange
	ownKeys  []ownKeyChange
	zones    []evacuationChange
	position link.Position // the changes up to it are known now
	complete bool          // a full listing: what it does not name does not exist
	sent     clock.Instant // when the call that returned them was sent

	outage link.Outage // the store's last one. Entries that lapsed in it come back after it
}

// runnerChange is a runner's new or changed entry, or its removal.
type runnerChange struct {
	id           machine.RunnerID
	entry        platform.Entry // as read from the store
	announcement machine.Announcement
	gone         bool
	invalid      error // why the entry cannot be used; nil: it can
}

// ownKeyChange is a change of one of the keys that mangopass itself keeps in the store.
type ownKeyChange struct {
	key      string
	value    []byte
	era      int64 // of the store, in which the key was read
	revision int64
	gone     bool
}

// at returns the position of the change in the store's history.
func (c ownKeyChange) at() link.Position { return link.Position{Era: c.era, Revision: c.revision} }

// leaseRenewed extends the lease on this VM's keys in the store, which was granted in the given era; leaseLost ends it.
type (
	leaseRenewed struct {
		era   int64
		until clock.Instant
	}
	leaseLost struct{}
)

// peerReported is a report from another entry VM.
type peerReported struct{ report link.Report }

// reportDelivered says whether a peer has received a report.
type reportDelivered struct {
	node    string
	boot    int64     // of the peer process to which the report was sent
	role    link.Role // as in the report, like series and version
	series  int64
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
		stated  platform.Stated
		at      clock.Instant // when the answer came
	}
	runnerReported struct {
		runner   machine.RunnerID
		boot     int64
		contents machine.Contents
		err      error
		stated   platform.Stated
		at       clock.Instant // when the answer came
	}
)

// stopRequested announces a planned stop.
type stopRequested struct{}
