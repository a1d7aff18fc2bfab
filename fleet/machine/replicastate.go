package machine

import (
	"cmp"
	"slices"
)

// ReplicaState is what the planner knows of a model's demand and replicas, for operators.
type ReplicaState struct {
	Artifact Artifact
	Load     float64 // of all replicas, in units of that which one should have at most
	LateRate float64 // requests per second that come late
	Waiting  int     // requests that wait for a replica
	Needed   int     // replicas
	Present  int     // replicas, those included that are about to be loaded
	Loading  int     // of the present replicas, those that are not ready
}

// ReplicaStates returns the states of the models with demand or requests that wait, as the last run of the placement saw them.
func (s *Scheduler) ReplicaStates() []ReplicaState {
	var out []ReplicaState
	for need, d := range s.modelDemands {
		if need.Version != "" || d.needed() == 0 && d.waiting == 0 {
			continue
		}
		out = append(out, ReplicaState{
			Artifact: need.Artifact, Load: d.load(), LateRate: d.lateRate, Waiting: d.waiting, Needed: d.needed(),
			Present: d.replicas, Loading: d.loading,
		})
	}
	slices.SortFunc(out, func(a, b ReplicaState) int {
		return cmp.Or(cmp.Compare(a.Artifact.Service, b.Artifact.Service), cmp.Compare(a.Artifact.Model, b.Artifact.Model))
	})
	return out
}

// LoadReason is why a model is loaded.
type LoadReason int

// The reasons of loads.
const (
	Prewarm    LoadReason = iota // no runner has a copy, and there is no demand
	Missing                      // requests wait, and no replica can take them
	Saturated                    // the replicas have more load than they should, or a second one is kept in case the first is lost
	Late                         // many requests come late
	Relocation                   // only runners of an evacuated zone have it, and it has been asked for lately
)

// LoadReasons lists the reasons.
func LoadReasons() []LoadReason { return []LoadReason{Prewarm, Missing, Saturated, Late, Relocation} }

// String returns the reason's name for logs and metrics.
func (r LoadReason) String() string {
	return [...]string{"prewarm", "missing", "saturated", "late", "relocation"}[r]
}

// StartedLoad is a load of a model that the planner has decided on.
type StartedLoad struct {
	Need
	Runner    RunnerID
	Reason    LoadReason
	FromStore bool // the runner has no copy
	Gain      float64
	Lost      float64 // value of the models to be unloaded
}

// reason returns why the model gets one more replica.
func (d *modelDemand) reason() LoadReason {
	switch {
	case d.starved():
		return Missing
	case d.relocates():
		return Relocation
	case d.needed() == 0:
		return Prewarm
	case d.lateness() && d.load() <= d.capacity+capacityTolerance:
		return Late
	}
	return Saturated
}
