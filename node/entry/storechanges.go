package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// apply applies what the watch has read from the platform's store, or a relay has passed on.
func (m storeChanged) apply(r *routing, now clock.Instant) {
	if !r.enterEra(m.position.Era, now) {
		return
	}
	if m.outage.EndedAt > r.outage.EndedAt {
		r.outage = m.outage
	}
	if m.complete && r.overtaken(m) {
		return
	}
	if m.complete {
		r.changes.Restart(m.position)
	}
	if m.complete && m.manifest == nil && r.manifest != nil {
		r.withdrawManifest("manifest not listed", "revision", m.position.Revision)
	}
	if m.manifest != nil {
		r.changes.Record(link.StoreEntry(*m.manifest))
		r.noteWritten(m, r.applyManifest(*m.manifest, now))
	}
	fromCopy := m.complete && r.era.unread
	r.applyEvacuations(m, now)
	present := make(map[machine.RunnerID]bool, len(m.runners))
	for _, change := range m.runners {
		present[change.id] = true
		r.dropUnlimitedCold(&change.announcement)
		if r.isNews(change) {
			r.changes.Record(link.StoreEntry(change.entry))
		}
		if fromCopy && change.invalid == nil && r.fleet.Hold(change.announcement, now) {
			r.log.Info("runner held back", "runner", change.id, "reason", "it had left before the store was restored")
			continue
		}
		r.applyRunner(change, now)
	}
	if m.complete {
		for _, runner := range r.fleet.All() {
			if !present[runner.ID] {
				r.applyRunner(runnerChange{id: runner.ID, gone: true}, now)
			}
		}
		r.runnersListed = true
	}
	r.table.Prune(r.fleet)
	for i, c := range m.ownKeys {
		m.ownKeys[i].era = m.position.Era
		r.changes.Record(link.StoreEntry{Key: c.key, Value: c.value, Revision: c.revision, Deleted: c.gone})
	}
	r.changes.Advance(m.position.Revision)
	r.applyOwnKeys(m.ownKeys, m.complete, now)
	r.era.unread = r.era.unread && !m.complete
	if r.manifest != nil && !r.lacksManifest(now) {
		r.freshness.Confirm(m.sent)
	}
	r.versions.readAt = max(r.versions.readAt, m.sent)
	r.publishView()
}

// noteWritten records the last write of the manifest in force, which a change shows or not. One in the store's present era
// proves that the operators have written again what an older copy lacked. A listing shows such a write only if this VM
// knows the revision that the same manifest had in the era before, and the copy can't be of an earlier one.
func (r *routing) noteWritten(m storeChanged, shown manifestChange) {
	at := link.Position{Era: m.position.Era, Revision: m.manifest.Revision}
	moved := shown == manifestSame && r.era.revisionsKnown && r.manifestAt.Era == at.Era-1 &&
		r.manifestAt.Revision != at.Revision
	if shown == manifestOther {
		return
	}
	if !m.complete || moved {
		r.freshness.Settle()
	}
	r.manifestAt = at
}

// isNews reports whether a runner's entry says more than that the runner lives, or what it holds: its leader reports
// that. Only such entries are passed on to the VMs below.
func (r *routing) isNews(change runnerChange) bool {
	runner := r.fleet.Get(change.id)
	return runner == nil || change.gone || change.invalid != nil || runner.Missing() ||
		!runner.SameAs(change.announcement)
}

func (r *routing) manifestVersion() int64 {
	if r.manifest == nil {
		return 0
	}
	return r.manifest.Version
}

// lapsed reports whether the entry of a runner that was removed may have lapsed in the last outage of the store. One that the
// runner has renewed since the outage began has not: the runner has left.
func (r *routing) lapsed(id machine.RunnerID, now clock.Instant) bool {
	o := r.outage
	if o.EndedAt == 0 || now.Sub(o.EndedAt) > machine.MissingGrace {
		return false
	}
	runner := r.fleet.Get(id)
	return runner == nil || !runner.RenewedSince(o.Before.Revision)
}

// applyRunner applies a runner's entry or its removal. An entry that lapsed in an outage of the store gets time to
// return, counted from the end of the outage: one that is removed later has left.
func (r *routing) applyRunner(change runnerChange, now clock.Instant) {
	switch {
	case change.gone && r.lapsed(change.id, now):
		r.fleet.MarkMissing(change.id, r.outage.EndedAt)
	case change.gone:
		if r.fleet.Remove(change.id, now) {
			r.log.Info("runner gone", "runner", change.id, "reason", "entry removed")
		}
	case change.invalid != nil:
		r.fleet.Remove(change.id, now)
		r.log.Warn("runner entry rejected", "runner", change.id, "error", change.invalid.Error())
	default:
		a := change.announcement
		cold := r.coldLeft(a.ID, now)
		effect := r.fleet.Announce(a, now)
		r.noteCold(a.ID, effect, cold, now)
		switch effect {
		case machine.Unchanged, machine.Outdated:
		default:
			r.endReplacedAttempts(a.ID, a.Version)
			r.leader.scheduler.RunnerAnnounced(a.ID, now)
			r.log.Info("runner changed", "runner", a.ID, "service", a.Service, "zone", a.Zone,
				"version", a.Version, "boot", a.Boot, "draining", a.Draining)
		}
	}
}

// hasModels reports whether any service has model engines, which take orders.
func (r *routing) hasModels() bool {
	if r.manifest == nil {
		return false
	}
	for _, s := range r.manifest.Services {
		if s.Engine != nil && len(s.Engine.Models) > 0 {
			return true
		}
	}
	return false
}

// organisation returns an organisation of the manifest, or nil if it is not there.
func (r *routing) organisation(name contract.OrganisationName) *contract.Organisation {
	if r.manifest == nil {
		return nil
	}
	return r.manifest.Organisations[name]
}
