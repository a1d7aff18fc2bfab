package entry

import (
	"strings"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/zone"
	"github.com/mangopass/mangopass/platform"
)

// evacuationChange is the key of an evacuated zone, written or removed.
type evacuationChange struct {
	zone  zone.ID
	entry platform.Entry // as read from the store
}

func evacuationOf(e platform.Entry) evacuationChange {
	return evacuationChange{zone: zone.ID(strings.TrimPrefix(e.Key, platform.PrefixEvacuations)), entry: e}
}

// overtaken reports whether a listing was in flight while a feed brought later changes.
func (r *routing) overtaken(m storeChanged) bool {
	known := r.changes.Position()
	return known.Era == m.position.Era && m.position.Before(known) && m.sent <= r.fedAt
}

// applyEvacuations applies what the store shows of evacuated zones. Of those that a complete listing does not show, the ones
// that a store in a new era may have lost are held until the operators must have written them again.
func (r *routing) applyEvacuations(m storeChanged, now clock.Instant) {
	if m.complete {
		r.evacuations.Relist()
	}
	var shown []zone.ID
	for _, c := range m.zones {
		r.changes.Record(link.StoreEntry(c.entry))
		switch {
		case c.zone == "":
			r.log.Warn("evacuation rejected", "key", c.entry.Key, "error", "the zone is missing")
		case !r.evacuations.Read(c.zone, m.position.Era, c.entry.Revision): // a feed has overtaken this answer of the store
		case c.entry.Deleted:
			r.takeBack(c.zone, "key removed", now)
		default:
			shown = append(shown, c.zone)
			r.evacuate(c.zone, c.entry.Revision, now)
		}
	}
	if !m.complete {
		return
	}
	for _, z := range r.evacuations.Missing(shown) {
		settledAt := r.era.beganAt.Add(lateRewrite)
		if r.era.beganAt == 0 || !now.Before(settledAt) {
			r.takeBack(z, "key not listed", now)
		} else if r.evacuations.HeldUntil(z) < settledAt {
			r.evacuations.Begin(z) // the store may have been restored again while the zone was held
			r.evacuations.Hold(z, settledAt)
			r.log.Info("evacuation held", "zone", z, "reason", "a restored store does not show it",
				"until_ms", settledAt.Sub(now).Milliseconds())
		}
	}
}

// evacuate keeps everything new from the runners of a zone.
func (r *routing) evacuate(z zone.ID, revision int64, now clock.Instant) {
	if !r.evacuations.Begin(z) {
		return
	}
	r.fleet.Evacuate(z, true)
	r.log.Info("zone evacuated", "zone", z, "revision", revision, "runners", r.runnersIn(z))
}

// takeBack lets the runners of a zone get requests again.
func (r *routing) takeBack(z zone.ID, reason string, now clock.Instant) {
	if !r.evacuations.End(z) {
		return
	}
	r.evacuations.NoteEnd(z, now)
	r.fleet.Evacuate(z, false)
	r.expectCold(z, now)
	r.log.Info("zone taken back", "zone", z, "reason", reason, "runners", r.runnersIn(z))
}

// runnersIn returns the number of runners in a zone.
func (r *routing) runnersIn(z zone.ID) int {
	n := 0
	for _, runner := range r.fleet.All() {
		if runner.Zone == z {
			n++
		}
	}
	return n
}

// endHeldEvacuations takes back the zones whose keys a restored store has not shown again in time.
func (r *routing) endHeldEvacuations(now clock.Instant) {
	for _, z := range r.evacuations.Expired(now) {
		r.takeBack(z, "key not written again after the store was restored", now)
	}
}
