package entry

import (
	"encoding/json"
	"math"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
)

const (
	// noEra is the store's era while it has not answered yet.
	noEra = -1
	// keySettledEra is the key that names the last era of the store of which a VM knows that it has settled. A listing
	// returns it before the manifest, so that the manifest is at least as new.
	keySettledEra = prefixOwn + "era"
	// lateRewrite is the time after the store's return from an older copy in which the operators may still have to write a
	// manifest again that another VM has in force. One of which they never got an acknowledgement may not be written again.
	lateRewrite = 10 * time.Second
	// maxCopyAge bounds the time by which a copy of the store is older than the state that it replaces.
	maxCopyAge = time.Minute
	// eraWritePeriod is the time between two writes of keySettledEra, of which the first failed.
	eraWritePeriod = 3 * time.Second
)

// eraEntry is the value of keySettledEra.
type eraEntry struct {
	Settled int64 `json:"settled"`
}

// storeEra is what this VM knows of the eras of the platform's store.
type storeEra struct {
	newest     int64         // of all answers; noEra: none yet
	beganAt    clock.Instant // first answer of the newest era; zero: it is the store's first one
	settled    int64         // as last read from the store
	revision   int64         // of keySettledEra; zero: there is none
	recordedAt clock.Instant
	unread     bool // no listing has come since the store was restored
	awaiting   bool // a newer manifest than the one that the store shows is awaited

	shown          int64 // version of the manifest that the store has shown last in the newest era; zero: none
	revisionsKnown bool  // a copy shows no other revisions than those that this VM has read in the era before
}

// enterEra takes note of the store's era that an answer shows. It returns false if the answer is of an earlier era than
// another one before it: what it shows is no longer so.
func (r *routing) enterEra(era int64, now clock.Instant) bool {
	if era <= r.era.newest {
		return era == r.era.newest
	}
	before := r.era.newest
	r.era.revisionsKnown = before == link.FirstEra || r.freshness.EraSettled() && now.Sub(r.era.beganAt) > maxCopyAge
	r.era.newest, r.era.shown = era, 0
	r.leader.forgetKeys(era, now)
	if era > link.FirstEra {
		r.freshness.BeginEra(now)
		r.era.beganAt = now
	}
	if before == noEra {
		return true
	}
	r.era.unread = true
	// Entries that the copy lacks come back as after an outage. Revisions don't tell which of them were renewed since.
	r.outage = link.Outage{EndedAt: now, Before: link.Position{Era: era, Revision: math.MaxInt64}}
	r.log.Warn("store restored", "era", era, "before", before, "known_up_to", r.changes.Position().Revision)
	return true
}

// lacksManifest reports whether the store shows an older manifest than one that this VM or a peer knows of. After the store's
// return from an older copy, the operators may then still have to write theirs again.
func (r *routing) lacksManifest(now clock.Instant) bool {
	newest := max(r.manifestVersion(), r.members.newestManifest)
	lacks := r.era.beganAt != 0 && now.Sub(r.era.beganAt) < lateRewrite && r.era.shown < newest
	if lacks != r.era.awaiting {
		r.era.awaiting = lacks
		r.log.Info("newer manifest awaited", "awaited", lacks, "shown", r.era.shown, "in_force", r.manifestVersion(),
			"known_to_peers", r.members.newestManifest, "era_ms", now.Sub(r.era.beganAt).Milliseconds())
	}
	return lacks
}

// applySettledEra applies the key that names the last settled era.
func (r *routing) applySettledEra(c ownKeyChange) {
	if c.gone {
		r.era.revision = 0
		return
	}
	r.era.revision = c.revision
	var e eraEntry
	if err := json.Unmarshal(c.value, &e); err != nil {
		r.log.Warn("settled era rejected", "error", err.Error())
		return
	}
	if r.era.settled = e.Settled; e.Settled >= r.era.newest {
		r.freshness.Settle()
	}
}

// recordSettledEra writes to the store that its era has settled, so that a VM that starts later need not wait for that.
// Only the planner does so.
func (r *routing) recordSettledEra(now clock.Instant) {
	e := &r.era
	if r.keyWrites == nil || r.members.planner != r.node || !r.leader.ownKeysRead || e.newest <= link.FirstEra ||
		e.settled >= e.newest || !r.freshness.EraSettled() || e.recordedAt != 0 && now.Sub(e.recordedAt) < eraWritePeriod {
		return
	}
	e.recordedAt = now
	r.keyWrites.TryPush(keyWrite{
		key: keySettledEra, era: e.newest, revision: e.revision, value: eraEntry{Settled: e.newest},
	})
}
