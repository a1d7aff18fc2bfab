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
	// prefixBlocked is the prefix of the keys of blocked suspects in the platform's store, which outlive all entry VMs.
	prefixBlocked = prefixOwn + "blocked/"
	// requestMark begins the rest of the key of a request. That of a prompt part begins with its ID.
	requestMark = "request-"
	// blockWritePeriod is the time between two comparisons of the blocked suspects with those in the store. A write shows in
	// the watch sooner, unless it failed.
	blockWritePeriod = 3 * time.Second
	// maxStoredBlocks limits the blocked suspects in the store.
	maxStoredBlocks = 64
)

// suspect identifies a prompt part or a request that may crash runners.
type suspect struct {
	request bool
	id      uint64 // of the part, or the digest of the request
}

// key returns the suspect's key in the platform's store.
func (s suspect) key() string {
	id := strconv.FormatUint(s.id, 16)
	if s.request {
		id = requestMark + id
	}
	return prefixBlocked + id
}

// suspectOf returns the suspect that a key names.
func suspectOf(key string) (suspect, error) {
	text, request := strings.CutPrefix(strings.TrimPrefix(key, prefixBlocked), requestMark)
	id, err := strconv.ParseUint(text, 16, 64)
	return suspect{request: request, id: id}, err
}

// blockEntry is the value of a blocked suspect's key. It states no time: a VM that starts blocks the suspect for as long as it
// was blocked at first, unless the key is removed before.
type blockEntry struct {
	Blocks int `json:"blocks"` // times that it was blocked in a row
}

// storedBlock is a blocked suspect's key as last read.
type storedBlock struct {
	revision int64
	blocks   int
}

// applyStoredBlock applies a blocked suspect's key, or its removal.
func (r *routing) applyStoredBlock(c ownKeyChange, now clock.Instant) {
	s, err := suspectOf(c.key)
	if err != nil {
		r.log.Warn("blocked suspect rejected", "key", c.key, "error", err.Error())
		return
	}
	if c.gone {
		delete(r.storedBlocks, s)
		return
	}
	var e blockEntry
	if err := json.Unmarshal(c.value, &e); err != nil || e.Blocks <= 0 {
		r.log.Warn("blocked suspect rejected", "key", c.key, "error", errorText(err), "blocks", e.Blocks)
		e.Blocks = 0
	}
	r.storedBlocks[s] = storedBlock{revision: c.revision, blocks: e.Blocks}
	if e.Blocks <= 0 || r.era.unread { // the reports of the other VMs are newer than a copy of the store
		return
	}
	if b := link.StoredBlock(s.id, e.Blocks); s.request {
		r.adoptRequest(b, "store", now)
	} else {
		r.adoptPart(b, "store", now)
	}
}

// recordBlocked brings the store up to date with the blocked suspects. Only the planner does so.
func (r *routing) recordBlocked(now clock.Instant) {
	version := r.blockedVersion()
	if r.keyWrites == nil || r.members.planner != r.node || !r.leader.ownKeysRead ||
		now.Sub(r.blocksRecordedAt) < blockWritePeriod && r.blocksRecorded == version {
		return
	}
	r.blocksRecordedAt, r.blocksRecorded = now, version
	blocked := make(map[suspect]bool)
	record := func(request bool, blocks []link.BlockedSuspect) {
		for _, b := range blocks {
			s := suspect{request: request, id: b.Part}
			blocked[s] = true
			stored := r.storedBlocks[s]
			if stored.blocks != b.Blocks && (stored.revision != 0 || len(r.storedBlocks) < maxStoredBlocks) {
				r.writeBlock(s, stored.revision, blockEntry{Blocks: b.Blocks})
			}
		}
	}
	record(false, r.promptParts.BlockedParts(now))
	record(true, r.crashes.BlockedRequests(now))
	for s, stored := range r.storedBlocks {
		if !blocked[s] {
			r.writeBlock(s, stored.revision, nil)
		}
	}
}

// writeBlock changes the key of a blocked suspect; without a value, it removes the key.
func (r *routing) writeBlock(s suspect, revision int64, value any) {
	r.keyWrites.TryPush(keyWrite{key: s.key(), era: r.era.newest, revision: revision, value: value})
}
