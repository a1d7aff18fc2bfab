package entry

import (
	"encoding/json"
	"net/http"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/platform"
)

// statusTimeout limits the wait for the routing duty's answer to a status query.
const statusTimeout = 2 * time.Second

// Status is the state of an entry VM as shown to operators.
type Status struct {
	Node          string                 `json:"node"`
	Ready         bool                   `json:"ready"`
	NotReady      notReadyReason         `json:"not_ready"` // empty if it is ready
	Stopping      bool                   `json:"stopping"`
	Manifest      int64                  `json:"manifest"`
	ManifestAgeMs int64                  `json:"manifest_age_ms"` // since the store last confirmed that it is the newest
	Planner       string                 `json:"planner"`
	Waiting       int                    `json:"waiting"`   // requests that wait for a replica, for room in a runner's memory or for a free slot
	Shards        []int                  `json:"shards"`    // that this VM leads
	Evacuated     []zone.ID              `json:"evacuated"` // zones
	Quotas        []admission.LineStatus `json:"quotas"`    // for which requests wait or are booked
	Peers         []PeerStatus           `json:"peers"`
	Runners       []RunnerStatus         `json:"runners"`

	Overflow []OverflowStatus `json:"overflow"` // by service with runners in several zones
	Shares   []ShareStatus    `json:"shares"`   // of saturated services
	Replicas []ReplicaStatus  `json:"replicas"` // of the models with demand; empty unless this VM is the planner

	Bookings     BookingStatus `json:"bookings"`
	StreamsMoved int           `json:"streams_moved"` // that have left slow runners, since the start
	Callers      CallersStatus `json:"callers"`
}

// BookingStatus counts the bookings of an entry VM since its start.
type BookingStatus struct {
	Made   int `json:"made"`
	Kept   int `json:"kept"`   // their callers came in time and were admitted, here
	Lapsed int `json:"lapsed"` // nobody took them up; each VM of the zone counts them
	Lost   int `json:"lost"`   // their callers came in time and were refused
}

// CallersStatus is what callers make an entry VM hold.
type CallersStatus struct {
	HeldBytes      int64 `json:"held_bytes"`
	MaxBytes       int64 `json:"max_bytes"`
	Connections    int64 `json:"connections"`
	MaxConnections int64 `json:"max_connections"`
}

// PeerStatus is the state of another entry VM.
type PeerStatus struct {
	Node     string `json:"node"`
	HeardMs  int64  `json:"heard_ms"` // since its last report
	Stopping bool   `json:"stopping"`
}

// RunnerStatus is the state of a runner.
type RunnerStatus struct {
	ID       string               `json:"id"`
	Service  string               `json:"service"`
	Zone     string               `json:"zone"`
	Usable   bool                 `json:"usable"`
	Ejected  bool                 `json:"avoided"`   // because of failed answers
	Leaving  bool                 `json:"leaving"`   // it has stated so
	PausedMs int64                `json:"paused_ms"` // until the end of the pause that it has asked for
	ColdMs   int64                `json:"cold_ms"`   // for which it counts as cold
	QueuedMs int64                `json:"queued_ms"`
	Slowness float64              `json:"slowness"`        // times the usual of its service
	Answers  float64              `json:"answers"`         // decayed number of answers behind it
	FirstMs  int64                `json:"first_event_ms"`  // expected time of an idle runner, after the prompt has been read
	Held     int                  `json:"held_tokens"`     // by the requests of all VMs
	Claimed  int                  `json:"claimed_tokens"`  // by requests that wait for room
	Capacity int                  `json:"capacity_tokens"` // of its memory; zero: not known
	Models   []contract.ModelName `json:"models"`
}

// statusQuery asks the routing duty for the status.
type statusQuery struct{ reply *ring.Ring[Status] }

// apply answers the query.
func (q statusQuery) apply(r *routing, now clock.Instant) {
	s := Status{
		Node: r.node, Ready: r.isReady(now), NotReady: r.notReady(now), Stopping: r.stopping, Manifest: r.manifestVersion(),
		ManifestAgeMs: r.freshness.ManifestAge(now).Milliseconds(), Planner: r.members.planner, Waiting: len(r.waiting),
		Shards: []int{}, Evacuated: append([]zone.ID{}, r.evacuations.All()...), Peers: []PeerStatus{}, Runners: []RunnerStatus{},
		Quotas:   r.quotaWaits.Status(),
		Overflow: r.overflowStatus(),
		Replicas: r.replicaStatus(),
		Bookings: r.bookingStatus(), StreamsMoved: r.streamsMoved,
		Shares: r.shareStatus(now),
	}
	for k := range r.leader.shards {
		if r.leader.shards[k].leadership.HoldsTerm(now) {
			s.Shards = append(s.Shards, k)
		}
	}
	for name, p := range r.members.peers {
		s.Peers = append(s.Peers, PeerStatus{
			Node: name, HeardMs: now.Sub(p.heardAt).Milliseconds(), Stopping: p.stopping,
		})
	}
	slices.SortFunc(s.Peers, func(a, b PeerStatus) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	for _, runner := range r.fleet.All() {
		status := RunnerStatus{
			ID: string(runner.ID), Service: string(runner.Service), Zone: string(runner.Zone),
			Usable: runner.Usable(now), Ejected: r.table.Link(runner).Ejected(now),
			Leaving: runner.StatedLeaving, PausedMs: runner.Paused(now).Milliseconds(),
			ColdMs:   runner.ColdLeft(now).Milliseconds(),
			QueuedMs: r.table.Queued(runner.ID).Milliseconds(), Models: []contract.ModelName{},
			Slowness: r.table.Pace.Slowness(runner.ID), Answers: r.table.Pace.Answers(runner.ID),
			FirstMs: r.table.Pace.FirstEvent(runner.ID, machine.Artifact{Service: runner.Service}).Milliseconds(),
		}
		held := r.table.Held(runner)
		status.Held, status.Claimed, status.Capacity = held.Tokens, held.Claimed, r.table.Memory.Capacity(runner)
		for m := range runner.Replicas {
			status.Models = append(status.Models, m)
		}
		slices.Sort(status.Models)
		s.Runners = append(s.Runners, status)
	}
	q.reply.TryPush(s)
}

// bookingStatus returns the numbers of bookings since the start.
func (r *routing) bookingStatus() BookingStatus {
	c := r.quotaWaits.Counts()
	return BookingStatus{Made: c.Made, Kept: c.TakenUp, Lapsed: c.Lapsed, Lost: c.Lost}
}

// callersStatus returns what the account of callers holds.
func (e *Entry) callersStatus() CallersStatus {
	k := e.callers
	return CallersStatus{
		HeldBytes: k.metrics.heldNow.Load(), MaxBytes: k.budget.Held,
		Connections: k.metrics.connectionsNow.Load(), MaxConnections: int64(k.budget.Connections),
	}
}

// showManifest keeps the manifest in force for operators, without its keys.
func (r *routing) showManifest(f *platform.ManifestFile) {
	text, err := f.Redacted()
	if err != nil {
		panic(err) // all that has been read can be written
	}
	r.manifestText.Store(&text)
}

// serveManifest answers GET /manifest with the redacted manifest in force.
func (e *Entry) serveManifest(w http.ResponseWriter, _ *http.Request) {
	text := e.routing.manifestText.Load()
	if text == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(*text) // fails only if the client has disconnected
}

// serveStatus answers GET /status.
func (e *Entry) serveStatus(w http.ResponseWriter, req *http.Request) {
	q := statusQuery{reply: ring.New[Status]("status", 1)}
	buf := make([]Status, 1)
	if !e.routing.intake.TryPush(q) {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	n, err := q.reply.PopBatchUntil(req.Context(), time.Now().Add(statusTimeout), buf)
	if err != nil || n == 0 {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	buf[0].Callers = e.callersStatus()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(buf[0]) // fails only if the client has disconnected
}
