package link

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
)

const (
	// minBlockTime is how long a suspect is blocked at first. Each crash after that doubles it, up to maxBlockTime.
	minBlockTime = 5 * time.Minute
	maxBlockTime = time.Hour
	// maxBlocks limits the count of blocks in a row.
	maxBlocks = 16
)

// BlockedSuspect is a prompt part, or a whole request, that crashes runners, so that requests with it are refused.
type BlockedSuspect struct {
	Part   uint64        // ID of the prompt part, or the digest of the request
	Since  time.Duration // time since its first crash
	Left   time.Duration // time until it is tried again
	Blocks int           // times that it was blocked in a row
}

func (b BlockedSuspect) valid() bool {
	return b.Blocks >= 1 && b.Blocks <= maxBlocks && b.Left > 0 && b.Since >= 0
}

// StoredBlock returns the block of a suspect that was found in the platform's store. When it began is unknown: any complete
// run that is remembered counts as later.
func StoredBlock(id uint64, blocks int) BlockedSuspect {
	blocks = min(blocks, maxBlocks)
	return BlockedSuspect{Part: id, Since: partWindow, Left: blockTime(blocks), Blocks: blocks}
}

// block is the time for which a suspect is blocked.
type block struct {
	since clock.Instant // of its first crash
	until clock.Instant // zero: never blocked
	times int           // in a row
}

// blockTime returns how long a suspect is blocked that has been blocked the given number of times in a row.
func blockTime(blocks int) time.Duration { return min(minBlockTime<<(blocks-1), maxBlockTime) }

// begin blocks the suspect, twice as long as the last time.
func (b *block) begin(now, firstCrash clock.Instant) {
	b.since = min(now, firstCrash)
	b.times = min(b.times+1, maxBlocks)
	b.until = now.Add(blockTime(b.times))
}

func (b *block) active(now clock.Instant) bool { return now.Before(b.until) }

// over reports whether the block need not be remembered any longer: it ended as long ago as it has lasted.
func (b *block) over(now clock.Instant) bool { return now.Sub(b.until) > b.until.Sub(b.since) }

// adopt takes over a peer's block unless this one is as good. began reports whether there was none.
func (b *block) adopt(peers BlockedSuspect, now clock.Instant) (adopted, began bool) {
	if b.times > peers.Blocks || b.times == peers.Blocks && b.active(now) {
		return false, false
	}
	began = !b.active(now)
	b.since, b.until, b.times = now.Add(-peers.Since), now.Add(min(peers.Left, maxBlockTime)), peers.Blocks
	return true, began
}

// state returns the block as reported to peers.
func (b *block) state(id uint64, now clock.Instant) BlockedSuspect {
	return BlockedSuspect{Part: id, Since: now.Sub(b.since), Left: b.until.Sub(now), Blocks: b.times}
}
