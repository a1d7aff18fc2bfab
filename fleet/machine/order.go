package machine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// OrderKind is what a runner is told to do.
type OrderKind int

// The kinds of orders.
const (
	Load OrderKind = iota
	Unload
)

// String returns the kind's name for logs.
func (k OrderKind) String() string {
	if k == Unload {
		return "unload"
	}
	return "load"
}

// Order tells a runner to load or unload a model or an adapter. The runner carries it out only if it has accepted
// exactly Expected orders before, so that an order that arrives late cannot act on a state that it was not made for.
type Order struct {
	Runner   RunnerID
	Address  string
	Boot     int64
	Kind     OrderKind
	Model    contract.ModelName
	Adapter  contract.AdapterName // empty: the model itself
	Expected int64

	Term    Term          // under which the order is given
	Expires clock.Instant // it must not be sent later
}

// OrderOutcome is what became of an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderUnknown  OrderOutcome = iota // no answer: it may be carried out, now or later
	OrderAccepted                     // it is being carried out
	OrderHolds                        // what it asks for holds already
	OrderConflict                     // another order is in progress, or Expected differs
	OrderRejected                     // the runner does not take it: another runner, an old fence, a bad order
	OrderNotSent                      // it expired before it was sent
)

// String returns the outcome's name for logs.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "rejected", "not_sent"}[o]
}

// Shard is a part of the runners with one leader.
type Shard int

// Shards is the number of shards. A lost leader holds up the orders to its shards only.
const Shards = 16

// ShardOf returns the shard of a runner.
func ShardOf(id RunnerID) Shard { return Shard(xxhash.Sum64String(string(id)) % Shards) }

// Term is one holder's exclusive right to give orders.
type Term struct {
	Holder string
	Fence  int64 // grows from term to term
}

// Leadership is this process's view of its own term. The zero value holds no term.
type Leadership struct {
	term  Term
	from  clock.Instant // first instant at which orders may be given
	until clock.Instant // end of the lease, counted from before the call that renewed it
}

// sendMargin is kept between the last sending of an order and the end of the lease.
const sendMargin = 150 * time.Millisecond

// Begin starts a term. The previous holder may have given orders until taken; quiet is the time that must pass after
// them, zero if there was none.
func (t *Leadership) Begin(term Term, taken clock.Instant, quiet time.Duration, until clock.Instant) {
	*t = Leadership{term: term, from: taken.Add(quiet), until: until}
}

// Renew extends the term to the end of the renewed lease.
func (t *Leadership) Renew(until clock.Instant) {
	if t.term.Fence != 0 && until.After(t.until) {
		t.until = until
	}
}

// End gives up the term.
func (t *Leadership) End() { *t = Leadership{} }

// HoldsTerm reports whether the process holds a term, with or without the right to give orders yet.
func (t *Leadership) HoldsTerm(now clock.Instant) bool {
	return t.term.Fence != 0 && now.Before(t.until)
}

// MayOrder reports whether orders may be given at now.
func (t *Leadership) MayOrder(now clock.Instant) bool {
	return t.term.Fence != 0 && !now.Before(t.from) && now.Before(t.expiry())
}

// Stamp marks an order as given under the term.
func (t *Leadership) Stamp(o *Order) {
	o.Term = t.term
	o.Expires = t.expiry()
}

// Term returns the current term.
func (t *Leadership) Term() Term { return t.term }

// OrdersFrom returns the first instant at which orders may be given.
func (t *Leadership) OrdersFrom() clock.Instant { return t.from }

func (t *Leadership) expiry() clock.Instant { return t.until.Add(-sendMargin) }
