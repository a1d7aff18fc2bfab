package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"strconv"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/platform"
)

const (
	// prefixBlocked is the prefix of the keys of blocked prompt parts in the platform's store, which outlive all entry VMs.
	prefixBlocked = prefixOwn + "blocked/"
	// partWritePeriod is the time between two comparisons of the blocked parts with those in the store. A write shows in
	// the watch sooner, unless it failed.
	partWritePeriod = 3 * time.Second
	// maxStoredParts limits the blocked parts in the store.
	maxStoredParts = 64
	// partWriteCapacity is the number of writes that can wait for the duty.
	partWriteCapacity = 2 * maxStoredParts
)

// partEntry is the value of a blocked part's key. It states no time: a VM that starts blocks the part for as long as it was
// blocked at first, unless the key is removed before.
type partEntry struct {
	Blocks int `json:"blocks"` // times that the part was blocked in a row
}

// partWrite is a change of a blocked part's key, if it still has the given revision.
type partWrite struct {
	part     uint64
	era      int64 // of the revision
	revision int64
	blocks   int // zero: the key is removed
}

// partKeeper is the duty that writes the blocked prompt parts to the platform's store. The watch shows what was written.
type partKeeper struct {
	store  *platform.Store
	writes *ring.Ring[partWrite]
	log    *slog.Logger
}

func (k *partKeeper) run(ctx context.Context) {
	for {
		w, err := k.writes.Pop(ctx)
		if err != nil {
			return
		}
		key := prefixBlocked + strconv.FormatUint(w.part, 16)
		txn := platform.Txn{Era: w.era, Conditions: []platform.Condition{{Key: key, Revision: w.revision}}}
		if w.blocks > 0 {
			txn.Writes = []platform.Write{{Key: key, Value: marshal(partEntry{Blocks: w.blocks})}}
		} else {
			txn.Removes = []string{key}
		}
		if _, outcome, err := k.store.Commit(ctx, txn); outcome != platform.Applied && outcome != platform.Conflict {
			k.log.Warn("blocked part not written", "key", key, "outcome", outcome.String(), "error", errorText(err))
		}
	}
}

// storedPart is a blocked part's key as last read.
type storedPart struct {
	revision int64
	blocks   int
}

// applyStoredPart applies a blocked part's key, or its removal.
func (r *routing) applyStoredPart(c ownKeyChange, now clock.Instant) {
	part, err := strconv.ParseUint(strings.TrimPrefix(c.key, prefixBlocked), 16, 64)
	if err != nil {
		r.log.Warn("blocked part rejected", "key", c.key, "error", err.Error())
		return
	}
	if c.gone {
		delete(r.storedParts, part)
		return
	}
	var e partEntry
	if err := json.Unmarshal(c.value, &e); err != nil || e.Blocks <= 0 {
		r.log.Warn("blocked part rejected", "key", c.key, "error", errorText(err), "blocks", e.Blocks)
		e.Blocks = 0
	}
	r.storedParts[part] = storedPart{revision: c.revision, blocks: e.Blocks}
	if e.Blocks > 0 {
		r.adoptPart(link.StoredBlock(part, e.Blocks), "store", now)
	}
}

// recordBlockedParts brings the store up to date with the blocked parts. Only the planner does so.
func (r *routing) recordBlockedParts(now clock.Instant) {
	if r.partWrites == nil || r.members.planner != r.node || !r.leader.ownKeysRead ||
		now.Sub(r.partsRecordedAt) < partWritePeriod && r.partsRecorded == r.promptParts.Version() {
		return
	}
	r.partsRecordedAt, r.partsRecorded = now, r.promptParts.Version()
	blocked := make(map[uint64]bool)
	for _, b := range r.promptParts.BlockedParts(now) {
		blocked[b.Part] = true
		stored := r.storedParts[b.Part]
		if stored.blocks != b.Blocks && (stored.revision != 0 || len(r.storedParts) < maxStoredParts) {
			r.partWrites.TryPush(partWrite{part: b.Part, era: r.era, revision: stored.revision, blocks: b.Blocks})
		}
	}
	for part, stored := range r.storedParts {
		if !blocked[part] {
			r.partWrites.TryPush(partWrite{part: part, era: r.era, revision: stored.revision})
		}
	}
}
