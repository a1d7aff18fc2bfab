// Package link holds what one process knows about the peers it talks to: their health, their load and the retries that
// it may still spend on them. It does no I/O; the time is always an argument.
package link

import (
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/zone"
)

// SilentAfter is the time without a heartbeat after which an agent gets no new requests. Agents send one a second.
const SilentAfter = 3 * time.Second

// AgentID names the agent beside one target.
type AgentID string

// Report is an agent's heartbeat: the state of its target as the agent sees it.
type Report struct {
	Agent      AgentID
	Stream     string // IP:port that takes requests
	DataCentre zone.DataCentreID
	Service    contract.ServiceID // the plain service beside the agent; empty beside a model engine
	Leaving    bool
	Running    int   // requests at the target
	Waiting    int   // requests in the agent's queue
	Slots      int   // requests that the target runs at once
	FreeBytes  int64 // memory that no replica or reservation holds
	Resident   []contract.Artifact
	OnDisk     []contract.Artifact // checkpoints that need no weight-store load
	Generation uint64              // configuration generation in force at the agent
}

// Agent is the link to one agent.
type Agent struct {
	report   Report
	heard    time.Time
	inFlight int // sent from here and not finished
	sent     int // sent from here since the last heartbeat; the report does not count them yet
	resident map[contract.Artifact]bool
}

// NewAgent returns a link on which the first heartbeat has arrived.
func NewAgent(r Report, now time.Time) *Agent {
	a := &Agent{}
	a.Heard(r, now)
	return a
}

// Heard applies a heartbeat.
func (a *Agent) Heard(r Report, now time.Time) {
	a.report = r
	a.heard = now
	a.sent = 0
	a.resident = make(map[contract.Artifact]bool, len(r.Resident))
	for _, art := range r.Resident {
		a.resident[art] = true
	}
}

// Report returns the last heartbeat.
func (a *Agent) Report() Report { return a.report }

// Usable reports whether new requests may be sent over the link.
func (a *Agent) Usable(now time.Time) bool {
	return !a.report.Leaving && now.Sub(a.heard) < SilentAfter
}

// Holds reports whether the artifact is resident on the target.
func (a *Agent) Holds(art contract.Artifact) bool { return a.resident[art] }

// Sent counts a request that is dispatched over the link.
func (a *Agent) Sent() { a.inFlight++; a.sent++ }

// Finished counts the end of a dispatched request.
func (a *Agent) Finished() { a.inFlight-- }

// Load estimates the requests at the agent: its last report plus what went out from here since then.
func (a *Agent) Load() int {
	return max(a.report.Running+a.report.Waiting+a.sent, a.inFlight)
}
