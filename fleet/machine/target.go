package machine

import (
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
)

// ReplicaState is the state of an artifact on a target as its agent knows it.
type ReplicaState int

const (
	// Absent means that the target holds nothing of the artifact.
	Absent ReplicaState = iota
	// Loading means that a load order is on its way or has an unknown outcome.
	Loading
	// Resident means that the target can run requests for the artifact.
	Resident
	// Unloading means that an unload order is on its way or has an unknown outcome.
	Unloading
)

// Replica is one artifact on one target.
type Replica struct {
	Artifact contract.Artifact
	State    ReplicaState
	Running  int
	LastUsed time.Time
}

// Target is one rented accelerator with its model engine, or one plain service, as seen by the agent beside it.
type Target struct {
	ledger   *Ledger
	slots    int // requests that run at once
	running  int
	replicas map[contract.Artifact]*Replica
}

// NewTarget returns an empty target with the given memory in bytes and number of requests that it runs at once.
func NewTarget(memory int64, slots int) *Target {
	return &Target{ledger: NewLedger(memory), slots: slots, replicas: make(map[contract.Artifact]*Replica)}
}

// State returns the state of an artifact on the target.
func (t *Target) State(a contract.Artifact) ReplicaState {
	if r, ok := t.replicas[a]; ok {
		return r.State
	}
	return Absent
}

// FreeBytes returns the memory that nothing holds.
func (t *Target) FreeBytes() int64 { return t.ledger.Free() }

// Running returns the number of requests at the target.
func (t *Target) Running() int { return t.running }

// HasRoom reports whether the target can take one more request.
func (t *Target) HasRoom() bool { return t.running < t.slots }

// Start counts a request that is given to the target.
func (t *Target) Start(a contract.Artifact, now time.Time) {
	t.running++
	t.use(a, 1, now)
}

// Finish counts the end of a request.
func (t *Target) Finish(a contract.Artifact, now time.Time) {
	t.running--
	t.use(a, -1, now)
}

func (t *Target) use(a contract.Artifact, requests int, now time.Time) {
	for _, part := range parts(a) {
		if r, ok := t.replicas[part]; ok {
			r.Running += requests
			r.LastUsed = now
		}
	}
}

// parts returns what has to be resident to run an artifact, in load order.
func parts(a contract.Artifact) []contract.Artifact {
	if a.Adapter == "" {
		return []contract.Artifact{a}
	}
	return []contract.Artifact{a.Base(), a}
}

// MissingPart returns the next part of an artifact that has to be loaded, and false if all are resident.
func (t *Target) MissingPart(a contract.Artifact) (contract.Artifact, bool) {
	for _, part := range parts(a) {
		if t.State(part) != Resident {
			return part, true
		}
	}
	return contract.Artifact{}, false
}

// BeginLoad reserves memory for an artifact and marks it as loading. It is false if the memory does not suffice.
func (t *Target) BeginLoad(a contract.Artifact, bytes int64, now time.Time) bool {
	if !t.ledger.Reserve(a, bytes) {
		return false
	}
	t.replicas[a] = &Replica{Artifact: a, State: Loading, LastUsed: now}
	return true
}

// Loaded marks an artifact as resident.
func (t *Target) Loaded(a contract.Artifact) { t.replicas[a].State = Resident }

// BeginUnload marks an artifact as unloading; its memory stays reserved.
func (t *Target) BeginUnload(a contract.Artifact) { t.replicas[a].State = Unloading }

// Gone releases an artifact's memory after the engine has confirmed that it holds nothing of it.
func (t *Target) Gone(a contract.Artifact) {
	t.ledger.Release(a)
	delete(t.replicas, a)
}

// Resident returns the artifacts that can run requests.
func (t *Target) Resident() []contract.Artifact {
	var list []contract.Artifact
	for a, r := range t.replicas {
		if r.State == Resident {
			list = append(list, a)
		}
	}
	return list
}

// Evictable returns the resident artifact that has been unused for longest, and false if each one is in use. A model
// with adapters on the target is in use.
func (t *Target) Evictable() (contract.Artifact, bool) {
	var oldest *Replica
	for _, r := range t.replicas {
		if r.State != Resident || r.Running > 0 || t.hasAdapters(r.Artifact) {
			continue
		}
		if oldest == nil || r.LastUsed.Before(oldest.LastUsed) {
			oldest = r
		}
	}
	if oldest == nil {
		return contract.Artifact{}, false
	}
	return oldest.Artifact, true
}

func (t *Target) hasAdapters(a contract.Artifact) bool {
	for other := range t.replicas {
		if other != a && other.Base() == a {
			return true
		}
	}
	return false
}
