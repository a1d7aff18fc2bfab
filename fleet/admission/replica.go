package admission

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

const (
	// plannerTime is how long a request waits for a load to begin that would end too late for it. The planner learns of the
	// request in that time, and may know of a copy that this VM does not.
	plannerTime = 400 * time.Millisecond
	// usualWaitShare is the share of the time from a request's arrival to its deadline during which it may wait for a
	// replica of which nothing better is known. After that it is refused, so that its caller has time to try elsewhere.
	usualWaitShare = 0.45
	// returnSpreadShare is the part of a date by which the callers that are refused together are spread.
	returnSpreadShare = 0.25
	// minLimitRetryAfter is the least retry delay sent to a caller if all runners are at their rate limits.
	minLimitRetryAfter = 100 * time.Millisecond
	// minQueueRetryAfter is the least retry delay sent to a caller if its request can't be answered in time by any runner.
	minQueueRetryAfter = 100 * time.Millisecond
)

// Patience is how long a request can wait.
type Patience struct {
	Arrived  clock.Instant
	Deadline clock.Instant
	Answer   time.Duration // from the end of the wait to the first event
}

// UsualWait returns when a request ends its wait for a replica of which nothing better is known.
func (p Patience) UsualWait() clock.Instant {
	return p.Arrived.Add(time.Duration(usualWaitShare * float64(p.Deadline.Sub(p.Arrived))))
}

// ReplicaWait returns until when a request waits for a replica, and why. It waits for a load that ends in time, however
// long; if no load can end before its deadline it is refused now, or as soon as the planner could have begun one that
// this VM does not expect. It answers the load of many requests for models that are being loaded or can't be loaded in
// time: those were held for the same share of their time.
func ReplicaWait(p Patience, o machine.Outlook, now clock.Instant) (clock.Instant, Reason) {
	latest := p.Deadline.Add(-p.Answer)
	copyInTime := o.Load > 0 && !now.Add(o.Load).After(latest)
	switch {
	case o.Loading && o.ReadyAt.After(latest) && copyInTime: // the planner may begin a second load
		return p.UsualWait(), NotLoaded
	case o.Loading && o.ReadyAt.After(latest):
		return now, LoadTooLate
	case o.Loading:
		return min(latest, max(p.UsualWait(), o.ReadyAt.Add(o.Slack))), LoadOverdue
	case o.Load > 0 && now.Add(o.Load).After(latest):
		return min(p.UsualWait(), p.Arrived.Add(plannerTime)), LoadTooLate
	}
	return p.UsualWait(), NotLoaded
}

// The reasons of refusals for lack of a replica.
const (
	LoadTooLate Reason = "load_too_late" // no load can end before the deadline
	LoadOverdue Reason = "load_overdue"  // the load under way has not ended when it was expected
	NotLoaded   Reason = "not_loaded"    // no load has begun in time
)

// ReplicaReasons returns the reasons of refusals for lack of a replica.
func ReplicaReasons() []Reason { return []Reason{LoadTooLate, LoadOverdue, NotLoaded} }

// ReplicaRetry returns when a caller may come again that was refused for lack of a replica: when the load under way ends,
// or a load that begins now would end, as far as the caller honours that.
func ReplicaRetry(o machine.Outlook, deadline clock.Instant, spread float64, now clock.Instant) time.Duration {
	wait := o.Load
	if ready := o.ReadyAt.Sub(now); o.Loading && (wait == 0 || ready < wait) {
		wait = ready
	}
	wait = max(wait, minRetryAfter)
	longest := max(minRetryAfter, honoured(deadline, now))
	if wait > longest {
		return longest - time.Duration(spread*returnSpreadShare*float64(longest))
	}
	return wait + time.Duration(spread*returnSpreadShare*float64(min(wait, longest-wait)))
}

// QueueRetry returns when a caller may come again whose request can't be answered in time because of the queue at each
// runner: when half of it is gone, at a random time after that. There may be no queue, and only the end of the answer too late.
func QueueRetry(queued time.Duration, spread float64) time.Duration {
	queued = max(queued, minQueueRetryAfter*2)
	return queued/2 + time.Duration(spread*float64(queued/2))
}

// LimitRetry returns when a caller may come again if a runner at its rate limit takes the next request after the given
// time, at a random time after that.
func LimitRetry(next time.Duration, spread float64) time.Duration {
	next = max(next, minLimitRetryAfter)
	return next + time.Duration(spread*float64(next))
}
