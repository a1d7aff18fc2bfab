package machine

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

// OrderKind is the action that an order asks for.
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

// Order is a command to a runner to load or unload a model or an adapter. The runner executes it only if it has
// accepted exactly Expected orders since its start, so that a late order cannot change a state that it was not made
// for.
type Order struct {
	Runner   RunnerID
	Address  string
	Boot     int64 // start of the runner for which the order is meant
	Kind     OrderKind
	Model    contract.ModelName
	Adapter  contract.AdapterName // empty: the model itself
	Expected int64                // number of orders that the runner must have accepted before

	Term    Term          // the leader's term under which the order is given
	Expires clock.Instant // the order must be sent before this instant
}

// OrderOutcome is the result of an attempt to give an order.
type OrderOutcome int

// The outcomes of an order.
const (
	OrderUnknown  OrderOutcome = iota // no answer: the runner may execute the order now or later
	OrderAccepted                     // the runner executes the order
	OrderHolds                        // the artifact is already loaded, or already absent, as ordered
	OrderConflict                     // another order is in progress, or Expected differs
	OrderRejected                     // the runner refuses it: wrong runner, outdated fence or invalid order
	OrderNotSent                      // the order expired, or its term ended, before it was sent
)

// String returns the outcome's name for logs.
func (o OrderOutcome) String() string {
	return [...]string{"unknown", "accepted", "holds", "conflict", "rejected", "not_sent"}[o]
}

// Shard is a part of the runners with one leader.
type Shard int

// Shards is the number of shards. The loss of a leader delays the orders to the runners of its own shards only.
const Shards = 16

// ShardOf returns the shard of a runner, chosen by a hash of its ID.
func ShardOf(id RunnerID) Shard { return Shard(xxhash.Sum64String(string(id)) % Shards) }

// Term is one leader's exclusive right to give orders to the runners of a shard.
type Term struct {
	Holder string // the leader's node name
	Fence  int64  // numbers the terms of a shard, in rising order
}

// Leadership is this process's view of its own term over one shard. The zero value holds no term.
type Leadership struct {
	term       Term
	ordersFrom clock.Instant // orders may be given from this instant on
	leaseEnd   clock.Instant // end of the lease, measured from before the call that granted or renewed it
}

// sendMargin is the time before the end of the lease in which no order is sent any more.
const sendMargin = 150 * time.Millisecond

// Begin starts a term that gives no orders before ordersFrom, since another leader may have given some until shortly
// before. leaseEnd is the end of the lease.
func (l *Leadership) Begin(term Term, ordersFrom, leaseEnd clock.Instant) {
	*l = Leadership{term: term, ordersFrom: ordersFrom, leaseEnd: leaseEnd}
}

// Renew extends the term to the end of the renewed lease. It has no effect without a term.
func (l *Leadership) Renew(leaseEnd clock.Instant) {
	if l.term.Fence != 0 && leaseEnd.After(l.leaseEnd) {
		l.leaseEnd = leaseEnd
	}
}

// End gives up the term.
func (l *Leadership) End() { *l = Leadership{} }

// HoldsTerm reports whether the process holds a term at now, even if it may not give orders yet.
func (l *Leadership) HoldsTerm(now clock.Instant) bool {
	return l.term.Fence != 0 && now.Before(l.leaseEnd)
}

// MayOrder reports whether orders may be given at now.
func (l *Leadership) MayOrder(now clock.Instant) bool {
	return l.term.Fence != 0 && !now.Before(l.ordersFrom) && now.Before(l.expiry())
}

// Stamp sets an order's term and expiry.
func (l *Leadership) Stamp(o *Order) {
	o.Term = l.term
	o.Expires = l.expiry()
}

// Term returns the current term.
func (l *Leadership) Term() Term { return l.term }

// OrdersFrom returns the first instant at which orders may be given.
func (l *Leadership) OrdersFrom() clock.Instant { return l.ordersFrom }

func (l *Leadership) expiry() clock.Instant { return l.leaseEnd.Add(-sendMargin) }
