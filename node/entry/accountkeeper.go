package entry

import (
	"context"
	"log/slog"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/vm"
	"github.com/mangopass/mangopass/node/metrics"
)

const (
	// accountCapacity limits the messages that wait for the account. A connection that finds the ring full waits.
	accountCapacity = 256
	// quietTime is the time without a refused or closed connection after which the pressure has ended.
	quietTime = 5 * time.Second
)

// accountKeeper is the duty that owns the account of what callers, or other VMs, make this VM hold. Connections ask it for room,
// and it closes those that the account chooses.
type accountKeeper struct {
	name        string // of whom the connections are
	budget      vm.Budget
	account     *vm.Account
	messages    *ring.Ring[accountMessage]
	log         *slog.Logger
	metrics     *accountMetrics
	connections map[vm.ConnectionID]*callerConn
	pressure    bool          // as logged
	pressedAt   clock.Instant // when a connection was last refused or closed
	refused     int           // requests and connections, since the pressure began
	closed      int           // connections, since then
}

func newAccountKeeper(name string, b vm.Budget, log *slog.Logger, r prometheus.Registerer) *accountKeeper {
	return &accountKeeper{
		name: name, budget: b, account: vm.NewAccount(b), messages: ring.New[accountMessage]("account of "+name, accountCapacity), log: log,
		metrics: newAccountMetrics(prometheus.WrapRegistererWith(prometheus.Labels{"of": name}, r)), connections: make(map[vm.ConnectionID]*callerConn),
	}
}

// accountMessage is a message to the account's duty.
type accountMessage interface {
	apply(k *accountKeeper, now clock.Instant)
}

// run applies messages until the context ends. Connections that are closed later find the ring closed.
func (k *accountKeeper) run(ctx context.Context) {
	defer k.messages.Close()
	batch := make([]accountMessage, accountCapacity)
	var wakeAt time.Time
	for {
		n, err := k.messages.PopBatchUntil(ctx, wakeAt, batch)
		if err != nil {
			return
		}
		now := clock.Now()
		for _, m := range batch[:n] {
			m.apply(k, now)
		}
		clear(batch[:n])
		k.carryOut(k.account.Settle(now), now)
		wakeAt = k.notePressure(now)
		k.metrics.set(k.account.Held())
	}
}

// carryOut answers the connections that asked for room and closes those that make room.
func (k *accountKeeper) carryOut(d vm.Decisions, now clock.Instant) {
	for _, v := range d.Verdicts {
		if c := k.connections[v.ID]; c != nil {
			c.verdicts.TryPush(v.Granted) // it waits for this one
		}
		if !v.Granted {
			k.refused++
			k.pressedAt = now
			k.metrics.refused.WithLabelValues(refusedRoom).Inc()
		}
	}
	k.close(d.Close, now)
}

func (k *accountKeeper) close(ids []vm.ConnectionID, now clock.Instant) {
	for _, id := range ids {
		if !k.connections[id].evict(k.account.ChosenIn(id)) {
			k.account.Kept(id, now)
			continue
		}
		k.closed++
		k.pressedAt = now
		k.metrics.closed.Inc()
	}
}

// notePressure logs when the pressure of callers begins and ends, and returns when to look again; zero: it need not.
func (k *accountKeeper) notePressure(now clock.Instant) time.Time {
	next := k.account.NextAt()
	recent := k.pressedAt > 0 && now.Sub(k.pressedAt) < quietTime
	if recent != k.pressure {
		k.pressure = recent
		bytes, connections := k.account.Held()
		fields := []any{"of", k.name, "held_bytes", bytes, "connections", connections, "refused", k.refused, "closed", k.closed}
		if recent {
			k.log.Warn("connections press the limits", fields...)
		} else {
			k.log.Info("connections are within the limits", fields...)
			k.refused, k.closed = 0, 0
		}
	}
	if end := k.pressedAt.Add(quietTime); recent && (next == 0 || end.Before(next)) {
		next = end
	}
	if next == 0 {
		return time.Time{}
	}
	return time.Now().Add(next.Sub(now))
}

// connectionOpened says that a connection has been accepted.
type connectionOpened struct{ conn *callerConn }

func (m connectionOpened) apply(k *accountKeeper, now clock.Instant) {
	admitted, victim := k.account.Open(m.conn.id, m.conn.caller, m.conn, now)
	k.close(victim, now)
	if !admitted {
		k.refused++
		k.pressedAt = now
		k.metrics.refused.WithLabelValues(refusedConnection).Inc()
		_ = m.conn.Conn.Close() // its goroutine ends and says so
		return
	}
	k.connections[m.conn.id] = m.conn
}

// connectionClosed says that a connection has been closed.
type connectionClosed struct{ id vm.ConnectionID }

func (m connectionClosed) apply(k *accountKeeper, _ clock.Instant) {
	if k.account.Closed(m.id) {
		k.connections[m.id].verdicts.TryPush(false) // its goroutine waits
	}
	delete(k.connections, m.id)
}

// roomWanted asks for room for so many bytes. The connection waits for the verdict.
type roomWanted struct {
	conn  *callerConn
	bytes int64
}

func (m roomWanted) apply(k *accountKeeper, now clock.Instant) {
	if k.connections[m.conn.id] == nil { // refused, or closed meanwhile
		m.conn.verdicts.TryPush(false)
		return
	}
	k.account.Ask(m.conn.id, m.bytes, now)
}

// roomGivenBack gives back bytes that a connection holds.
type roomGivenBack struct {
	id    vm.ConnectionID
	bytes int64
}

func (m roomGivenBack) apply(k *accountKeeper, _ clock.Instant) { k.account.Release(m.id, m.bytes) }

// What is refused, as the label of the metric.
const (
	refusedRoom       = "room"
	refusedConnection = "connection"
)

// accountMetrics are the metrics of the account.
type accountMetrics struct {
	held        prometheus.Gauge
	connections prometheus.Gauge
	refused     *prometheus.CounterVec
	closed      prometheus.Counter

	heldNow, connectionsNow atomic.Int64 // read by the status listener
}

func newAccountMetrics(r prometheus.Registerer) *accountMetrics {
	m := &accountMetrics{
		held:        newGauge("account_held_bytes", "Bytes of large heads, bodies and messages that are held or reserved, by whose they are."),
		connections: newGauge("account_connections", "Open connections that were accepted, by whose they are."),
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "account_refused_total",
			Help: "Requests and connections that were refused for want of room, by what was wanted and by whose they are.",
		}, []string{"wanted"}),
		closed: prometheus.NewCounter(prometheus.CounterOpts{
			Namespace: metrics.Namespace, Name: "account_closed_total",
			Help: "Connections without progress that were closed to make room, by whose they are.",
		}),
	}
	m.refused.WithLabelValues(refusedRoom)
	m.refused.WithLabelValues(refusedConnection)
	r.MustRegister(m.held, m.connections, m.refused, m.closed)
	return m
}

func (m *accountMetrics) set(bytes int64, connections int) {
	m.held.Set(float64(bytes))
	m.connections.Set(float64(connections))
	m.heldNow.Store(bytes)
	m.connectionsNow.Store(int64(connections))
}
