package entry

import (
	"encoding/json"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

const (
	// prefixBegun is the prefix of keys that aren't leased: for each VM, its terms whose pause after another leader is over. A
	// later process of the VM, which can't know when they began, goes on with them at once.
	prefixBegun = prefixOwn + "begun/"
	// begunWritePeriod is the time between two writes of this VM's key: several terms often begin within it.
	begunWritePeriod = time.Second
)

// begunEntry is the value of such a key.
type begunEntry struct {
	Fences map[machine.Shard]int64 `json:"fences"`
}

// begunTerms is what this VM knows of its own key.
type begunTerms struct {
	fences    map[machine.Shard]int64 // as last read
	revision  int64                   // of the key; zero: there is none
	writtenAt clock.Instant
}

// has reports whether the pause of a shard's last term is known to be over.
func (b *begunTerms) has(k machine.Shard, last ownKeyChange) bool {
	return last.value != nil && b.fences[k] == last.at().Fence()
}

// applyBegun applies a change of this VM's key.
func (r *routing) applyBegun(c ownKeyChange) {
	b := &r.leader.begun
	b.fences, b.revision = nil, 0
	if c.gone {
		return
	}
	b.revision = c.revision
	var e begunEntry
	if err := json.Unmarshal(c.value, &e); err != nil {
		r.log.Warn("begun terms rejected", "error", err.Error())
		return
	}
	b.fences = e.Fences
}

// recordBegunTerms writes to the store which of this VM's terms have begun after a pause that is over now.
func (r *routing) recordBegunTerms(now clock.Instant) {
	b := &r.leader.begun
	if r.keyWrites == nil || !r.leader.ownKeysRead || b.writtenAt != 0 && now.Sub(b.writtenAt) < begunWritePeriod {
		return
	}
	fences, news := make(map[machine.Shard]int64), false
	for i := range r.leader.shards {
		k, s := machine.Shard(i), &r.leader.shards[i]
		fence := s.leadership.Term().Fence
		if s.statedPause > 0 && s.termEra == r.era.newest && s.leadership.HoldsTerm(now) && !now.Before(s.ordersFrom) {
			fences[k] = fence
			news = news || b.fences[k] != fence
		}
	}
	if !news {
		return
	}
	b.writtenAt = now
	r.keyWrites.TryPush(keyWrite{
		key: prefixBegun + r.node, era: r.era.newest, revision: b.revision, value: begunEntry{Fences: fences},
	})
}
