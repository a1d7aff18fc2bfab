package entry

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
)

const (
	// prefixBlocked is the prefix of the keys of blocked prompt parts in the platform's store, which outlive all entry VMs.
	prefixBlocked = prefixOwn + "blocked/"
	// partWritePeriod is the time between two comparisons of the blocked parts with those in the store. A write shows in
	// the watch sooner, unless it failed.
	partWritePeriod = 3 * time.Second
	// maxStoredParts limits the blocked parts in the store.
	maxStoredParts = 64
)

// partEntry is the value of a blocked part's key. It states no time: a VM that starts blocks the part for as long as it was
// blocked at first, unless the key is removed before.
type partEntry struct {
	Blocks int `json:"blocks"` // times that the part was blocked in a row
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
	if e.Blocks > 0 && !r.era.unread { // the reports of the other VMs are newer than a copy of the store
		r.adoptPart(link.StoredBlock(part, e.Blocks), "store", now)
	}
}

// recordBlockedParts brings the store up to date with the blocked parts. Only the planner does so.
func (r *routing) recordBlockedParts(now clock.Instant) {
	if r.keyWrites == nil || r.members.planner != r.node || !r.leader.ownKeysRead ||
		now.Sub(r.partsRecordedAt) < partWritePeriod && r.partsRecorded == r.promptParts.Version() {
		return
	}
	r.partsRecordedAt, r.partsRecorded = now, r.promptParts.Version()
	blocked := make(map[uint64]bool)
	for _, b := range r.promptParts.BlockedParts(now) {
		blocked[b.Part] = true
		stored := r.storedParts[b.Part]
		if stored.blocks != b.Blocks && (stored.revision != 0 || len(r.storedParts) < maxStoredParts) {
			r.writePart(b.Part, stored.revision, partEntry{Blocks: b.Blocks})
		}
	}
	for part, stored := range r.storedParts {
		if !blocked[part] {
			r.writePart(part, stored.revision, nil)
		}
	}
}

// writePart changes the key of a blocked part; without a value, it removes the key.
func (r *routing) writePart(part uint64, revision int64, value any) {
	r.keyWrites.TryPush(keyWrite{
		key: prefixBlocked + strconv.FormatUint(part, 16), era: r.era.newest, revision: revision, value: value,
	})
}
