package vm

import (
	"cmp"
	"net/netip"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

// ConnectionID names a connection of a caller.
type ConnectionID uint64

// Phase is what a connection is in the middle of.
type Phase int32

// Phases of a connection. One that is Serving waits for the VM, not for its caller, and is never closed.
const (
	Idle        Phase = iota // between two requests, or unused
	Reading                  // within a request's head, or a message
	Serving                  // its request is answered
	Writing                  // bytes of an answer are on their way to the caller
	ReadingBody              // within a request's body
)

// Activity is what a connection shows of itself.
type Activity interface {
	// Activity returns the number of bytes that the connection has moved in both directions, and its phase.
	Activity() (moved uint64, phase Phase)
}

const (
	// StallTime is the time without progress after which a connection may be closed to make room. No connection is closed
	// for it while there is room.
	StallTime = time.Second
	// slowRate is the rate, in bytes a second, below which a connection may be closed if those that stalled do not make room. Who
	// calls from the same address as a crowd can't be told from it otherwise.
	slowRate = 64 << 10
	// minProgress is the number of bytes that count as progress within StallTime.
	minProgress = 4 << 10
	// waitTime limits the wait for room. It is longer than StallTime: the connections that stalled are known by then.
	waitTime = 1500 * time.Millisecond
	// observePeriod is the time between two looks at the connections while there is pressure.
	observePeriod = 250 * time.Millisecond
	// reservedShare is the divisor of the part of the budget that is kept for callers which hold little, and of what counts
	// as little.
	reservedShare = 4
	// crowdShare is the same for connections.
	crowdShare = 8
)

// Account counts what the connections of callers hold against a budget.
type Account struct {
	budget      Budget
	connections map[ConnectionID]*connection
	callers     map[netip.Addr]*holdings
	held        int64 // bytes granted
	closing     int64 // part of them whose connections are being closed
	ending      int   // connections that are being closed
	waiting     []*connection
	observedAt  clock.Instant
}

type connection struct {
	id       ConnectionID
	caller   netip.Addr
	activity Activity
	held     int64
	closing  bool

	wanted     int64 // bytes asked for; zero: it does not wait
	waitsUntil clock.Instant

	moved      uint64 // at its last progress
	phase      Phase
	progressAt clock.Instant

	phaseAt    clock.Instant // when it was first seen in its phase
	phaseMoved uint64        // by then
	seenRate   float64       // bytes a second since then, when it was last found to be slow
}

// holdings is what the connections of one caller hold together.
type holdings struct {
	connections int
	held        int64
}

// Verdict is an answer to a connection that has asked for room.
type Verdict struct {
	ID      ConnectionID
	Granted bool
}

// Decisions are what the VM has to do. No connection is in both.
type Decisions struct {
	Verdicts []Verdict
	Close    []ConnectionID
}

// NewAccount returns an account without connections.
func NewAccount(b Budget) *Account {
	return &Account{budget: b, connections: make(map[ConnectionID]*connection), callers: make(map[netip.Addr]*holdings)}
}

// Open counts a new connection. admitted is false if there are too many and none of them has stalled; the connection is then
// not counted. victim, at most one, is closed in its place.
func (a *Account) Open(
	id ConnectionID, caller netip.Addr, activity Activity, now clock.Instant,
) (admitted bool, victim []ConnectionID) {
	if len(a.connections)-a.ending+1 > a.connectionLimit(caller) {
		victim = a.closeStalled(now, func(c *connection) bool { return true }, func(c *connection) int64 {
			return int64(a.callers[c.caller].connections)
		}, 1, func(*connection) int64 { return 1 })
		if len(victim) == 0 {
			return false, nil
		}
	}
	c := &connection{id: id, caller: caller, activity: activity, progressAt: now}
	a.connections[id] = c
	if a.callers[caller] == nil {
		a.callers[caller] = &holdings{}
	}
	a.callers[caller].connections++
	return true, victim
}

// connectionLimit returns the number of connections up to which one more of a caller is admitted: a caller that has many leaves
// a part to the others.
func (a *Account) connectionLimit(caller netip.Addr) int {
	reserved := a.budget.Connections / crowdShare
	if h := a.callers[caller]; h != nil && h.connections >= reserved {
		return a.budget.Connections - reserved
	}
	return a.budget.Connections
}

// Closed removes a connection and what it holds. It reports whether the connection waited for room.
func (a *Account) Closed(id ConnectionID) (waited bool) {
	c := a.connections[id]
	if c == nil {
		return false
	}
	waited = c.wanted > 0
	a.Release(id, c.held)
	a.stopWaiting(c)
	if c.closing {
		a.ending--
	}
	delete(a.connections, id)
	h := a.callers[c.caller]
	if h.connections--; h.connections == 0 {
		delete(a.callers, c.caller)
	}
	return waited
}

// Ask asks for room for so many bytes. A verdict follows from Settle.
func (a *Account) Ask(id ConnectionID, bytes int64, now clock.Instant) {
	c := a.connections[id]
	if c == nil || c.wanted > 0 {
		return
	}
	c.wanted, c.waitsUntil = bytes, now.Add(waitTime)
	a.waiting = append(a.waiting, c)
}

// Release gives back bytes that a connection holds.
func (a *Account) Release(id ConnectionID, bytes int64) {
	c := a.connections[id]
	if c == nil {
		return
	}
	bytes = min(bytes, c.held)
	c.held -= bytes
	a.callers[c.caller].held -= bytes
	a.held -= bytes
	if c.closing {
		a.closing -= bytes
	}
}

// Settle decides on those that wait for room: callers that hold little come first. It returns what is to be done now.
func (a *Account) Settle(now clock.Instant) Decisions {
	var d Decisions
	if a.Pressure() && now.Sub(a.observedAt) >= observePeriod {
		a.observe(now)
	}
	slices.SortStableFunc(a.waiting, func(x, y *connection) int {
		return cmp.Compare(a.callers[x.caller].held, a.callers[y.caller].held)
	})
	var missing int64
	for _, c := range slices.Clone(a.waiting) {
		switch limit := a.heldLimit(c); {
		case !c.closing && a.held+c.wanted <= limit:
			a.grant(c, now)
			d.Verdicts = append(d.Verdicts, Verdict{ID: c.id, Granted: true})
		case c.closing || c.wanted > a.budget.Held || !now.Before(c.waitsUntil):
			a.stopWaiting(c)
			d.Verdicts = append(d.Verdicts, Verdict{ID: c.id})
		default:
			missing = max(missing, a.held+c.wanted-limit)
		}
	}
	if missing -= a.closing; missing > 0 {
		d.Close = a.closeStalled(now, func(c *connection) bool { return c.held > 0 }, func(c *connection) int64 {
			return a.callers[c.caller].held
		}, missing, func(c *connection) int64 { return c.held })
	}
	return d
}

// heldLimit returns the number of held bytes up to which a connection's wish is granted: all of the budget if its caller holds
// little, or if nobody else holds anything.
func (a *Account) heldLimit(c *connection) int64 {
	if reserved := a.budget.Held / reservedShare; a.callers[c.caller].held+c.wanted > reserved && a.held > c.held {
		return a.budget.Held - reserved
	}
	return a.budget.Held
}

func (a *Account) grant(c *connection, now clock.Instant) {
	c.held += c.wanted
	a.callers[c.caller].held += c.wanted
	a.held += c.wanted
	c.progressAt = now
	a.stopWaiting(c)
}

func (a *Account) stopWaiting(c *connection) {
	c.wanted = 0
	if i := slices.Index(a.waiting, c); i >= 0 {
		a.waiting = slices.Delete(a.waiting, i, i+1)
	}
}

// observe notes which connections have made progress.
func (a *Account) observe(now clock.Instant) {
	unseen := now.Sub(a.observedAt) > StallTime
	a.observedAt = now
	for _, c := range a.connections {
		if !c.note(now) && unseen {
			c.progressAt = now
		}
	}
}

// note reads what a connection shows of itself, and reports whether it has made progress since its last one.
func (c *connection) note(now clock.Instant) bool {
	moved, phase := c.activity.Activity()
	if phase != c.phase || phase == Serving || c.wanted > 0 || c.phaseAt == 0 {
		c.phaseAt, c.phaseMoved = now, moved
	}
	if moved-c.moved < minProgress && phase == c.phase && phase != Serving && c.wanted == 0 {
		return false
	}
	c.moved, c.phase, c.progressAt = moved, phase, now
	return true
}

// rate returns the bytes a second that a connection has moved since it was first seen in its phase. slow reports whether they are
// few, and have been for a while.
func (c *connection) rate(now clock.Instant) (rate float64, slow bool) {
	moved, _ := c.activity.Activity()
	d := now.Sub(c.phaseAt)
	if c.phaseAt == 0 || d < StallTime {
		return 0, false
	}
	rate = float64(moved-c.phaseMoved) / d.Seconds()
	return rate, rate < slowRate
}

// closeStalled chooses connections until enough of what is missing comes free. Those without progress for StallTime come first: of
// the callers that hold most, then those without progress for the longest time. Slow ones follow, the slowest first.
func (a *Account) closeStalled(
	now clock.Instant, candidate func(*connection) bool, load func(*connection) int64, missing int64, freed func(*connection) int64,
) []ConnectionID {
	if now.Sub(a.observedAt) >= observePeriod {
		a.observe(now)
	}
	var stalled, slow []*connection
	for _, c := range a.connections {
		switch {
		case c.closing || c.wanted > 0 || c.phase == Serving || !candidate(c):
		case now.Sub(c.progressAt) >= StallTime:
			stalled = append(stalled, c)
		default:
			if rate, isSlow := c.rate(now); isSlow {
				c.seenRate = rate
				slow = append(slow, c)
			}
		}
	}
	slices.SortFunc(stalled, func(x, y *connection) int {
		return cmp.Or(cmp.Compare(load(y), load(x)), cmp.Compare(x.progressAt, y.progressAt), cmp.Compare(x.id, y.id))
	})
	slices.SortFunc(slow, func(x, y *connection) int {
		return cmp.Or(cmp.Compare(x.seenRate, y.seenRate), cmp.Compare(x.id, y.id))
	})
	var out []ConnectionID
	for i, c := range slices.Concat(stalled, slow) {
		if missing <= 0 {
			break
		}
		if before := c.phase; c.note(now) && (i < len(stalled) || c.phase != before) { // since the last look
			continue
		}
		missing -= freed(c)
		c.closing = true
		a.closing += c.held
		a.ending++
		out = append(out, c.id)
	}
	return out
}

// ChosenIn returns the phase in which a connection was when it was chosen to be closed.
func (a *Account) ChosenIn(id ConnectionID) Phase { return a.connections[id].phase }

// Kept says that a connection which was chosen to be closed has left the phase in which it was chosen, and stays open.
func (a *Account) Kept(id ConnectionID, now clock.Instant) {
	if c := a.connections[id]; c != nil && c.closing {
		c.closing, c.progressAt = false, now
		a.closing -= c.held
		a.ending--
	}
}

// Pressure reports whether callers hold so much that connections may be refused or closed soon.
func (a *Account) Pressure() bool {
	return len(a.waiting) > 0 || a.held > a.budget.Held/2 ||
		len(a.connections) > a.budget.Connections-2*a.budget.Connections/crowdShare
}

// NextAt returns when Settle should run next though nothing happens; zero: it need not.
func (a *Account) NextAt() clock.Instant {
	if !a.Pressure() {
		return 0
	}
	return a.observedAt.Add(observePeriod)
}

// Held returns the bytes and the number of the connections that are counted.
func (a *Account) Held() (bytes int64, connections int) { return a.held, len(a.connections) }
