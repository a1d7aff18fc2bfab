package entry

import (
	"encoding/json"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Timing of the election of leaders.
const (
	// registrationWait delays the claims to shards that have had no leader yet, so that the other entry VMs can
	// register in the store.
	registrationWait = 400 * time.Millisecond
	// claimStagger is the time between the claims of two VMs to one shard.
	claimStagger = 150 * time.Millisecond
	// fairShareDelay delays the claims of a VM that holds its fair share of the shards already.
	fairShareDelay = 600 * time.Millisecond
	// lastHolderDelay delays the claims of other VMs while a shard's last holder is running, which may claim it again.
	lastHolderDelay = 800 * time.Millisecond
	// claimPause is the time between two claims of one VM to one shard.
	claimPause = 700 * time.Millisecond
)

// holderEntry is the value of a shard's holder key and last-term key.
type holderEntry struct {
	Node string `json:"node"`
	// Address is the IP:port for reports. It tells this VM from a former one of the same name that it replaces.
	Address string `json:"address"`
	Boot    int64  `json:"boot"`
	Era     int64  `json:"era"` // of the store, in which the term was claimed
	// PauseMs is the pause after another leader with which the term began. A later process of the same VM can't know how
	// much of it was over.
	PauseMs int64 `json:"pause_ms"`
}

// era returns the store's era in which the term was claimed. Earlier builds stated none.
func (e holderEntry) era() int64 { return max(e.Era, link.FirstEra) }

func (e holderEntry) pause() time.Duration { return time.Duration(e.PauseMs) * time.Millisecond }

// isSelf reports whether the holder is this VM, in this process or an earlier one.
func (r *routing) isSelf(e holderEntry) bool { return e.Node == r.node && e.Address == r.address }

// claim asks the lease duty to write or to remove the holder key of a shard, provided that the keys still have the
// given revisions.
type claim struct {
	shard          machine.Shard
	release        bool
	era            int64 // of the store, in which the revisions were read
	holderRevision int64
	lastRevision   int64
	pause          time.Duration // with which the term begins
}

func keyHolder(k machine.Shard) string { return prefixHolders + strconv.Itoa(int(k)) }

func keyLastTerm(k machine.Shard) string { return prefixLastTerms + strconv.Itoa(int(k)) }

// shardOfKey returns the shard that a key with the given prefix names.
func shardOfKey(key, prefix string) (machine.Shard, bool) {
	rest, ok := strings.CutPrefix(key, prefix)
	n, err := strconv.Atoi(rest)
	return machine.Shard(n), ok && err == nil && n >= 0 && n < machine.Shards
}

// applyHolder applies a change of a shard's holder key.
func (r *routing) applyHolder(k machine.Shard, c ownKeyChange, now clock.Instant) {
	s := &r.leader.shards[k]
	if c.at().Before(s.holderKey.at()) {
		return
	}
	lost := s.holderKey.at().Fence()
	s.holderKey, s.holderIsOld = c, false
	if c.gone {
		s.leaderNode = ""
		r.leader.scheduler.LeaderLost(k, lost)
		r.endTerm(k, "holder key removed", now)
		return
	}
	var e holderEntry
	if err := json.Unmarshal(c.value, &e); err != nil {
		r.log.Error("holder entry rejected", "shard", k, "error", err.Error())
		s.leaderNode, s.leaderIsSelf, s.continued = "", false, false
		r.endTerm(k, "holder key not readable", now)
		return
	}
	if s.holderIsOld = e.era() < c.era; s.holderIsOld {
		r.log.Info("holder key of an earlier era", "shard", k, "holder", e.Node, "claimed_in", e.era(), "era", c.era)
		if s.termEra == c.era {
			r.endTerm(k, "holder key replaced", now)
		}
		return
	}
	s.vacantSince = 0
	s.leaderNode, s.leaderBoot = e.Node, e.Boot
	s.leaderIsSelf = r.isSelf(e)
	if s.leaderIsSelf && e.Boot == r.boot {
		s.statedPause = e.pause()
		r.beginTerm(k, c.at().Fence(), now)
		return
	}
	s.continued = false
	r.endTerm(k, "another VM took the term", now)
}

// checkTerms ends terms whose lease has run out and claims shards without a holder.
func (r *routing) checkTerms(now clock.Instant) {
	l := &r.leader
	for k := range l.shards {
		s := &l.shards[k]
		switch {
		case s.leadership.Term().Fence != 0 && !s.leadership.HoldsTerm(now):
			r.endTerm(machine.Shard(k), "lease ran out", now)
		case s.unused() && s.leaderBoot == r.boot && s.endedFence != s.holderKey.at().Fence():
			r.applyHolder(machine.Shard(k), s.holderKey, now) // it could not begin while the lease seemed to have run out
		}
	}
	if !l.ownKeysRead || r.stopping || !r.hasModels() || !now.Before(l.leaseEnd) {
		return
	}
	for k := range l.shards {
		if s := &l.shards[k]; s.vacant() || s.unused() {
			r.claimWhenDue(machine.Shard(k), s, now)
		}
	}
}

// claimWhenDue claims a shard without a holder, or one whose key names an ended term of this VM or of an earlier process of it.
func (r *routing) claimWhenDue(k machine.Shard, s *shardState, now clock.Instant) {
	if s.vacantSince == 0 {
		s.vacantSince = now
		s.nextClaimAt = now.Add(r.claimDelay(k, s, now))
	}
	if now.Before(s.nextClaimAt) {
		return
	}
	s.nextClaimAt, s.lastTermAtClaim = now.Add(claimPause), s.lastTermKey
	c := claim{shard: k, era: s.holderKey.era, lastRevision: s.lastTermKey.revision}
	if !s.holderKey.gone {
		c.holderRevision = s.holderKey.revision
	}
	previous, ordersFrom := r.previousOrders(k, s, now)
	c.pause = max(0, ordersFrom.Sub(now))
	if r.isSelf(previous) && !r.leader.begun.has(k, s.lastTermAtClaim) {
		c.pause = max(c.pause, previous.pause())
	}
	r.leader.claims.TryPush(c)
}

// claimDelay returns how long this VM waits before it claims a shard. The last holder goes first, since it needs no
// pause after its own orders; the others follow by rank.
func (r *routing) claimDelay(k machine.Shard, s *shardState, now clock.Instant) time.Duration {
	var last holderEntry
	known := s.lastTermKey.value != nil && json.Unmarshal(s.lastTermKey.value, &last) == nil
	ofEra := known && last.era() >= s.lastTermKey.era
	if s.continued || ofEra && r.isSelf(last) {
		return 0
	}
	delay := time.Duration(r.rank(k)) * claimStagger
	p := r.members.peers[last.Node]
	switch {
	case !ofEra && s.holderKey.era > link.FirstEra: // the leader of the era before may go on without a pause
		delay += lastHolderDelay
	case s.lastTermKey.value == nil:
		delay += registrationWait
	case p != nil && !p.stopping && s.releasedFence != s.lastTermKey.at().Fence():
		delay += lastHolderDelay
	}
	if share := (machine.Shards + r.members.count() - 1) / r.members.count(); r.leader.heldShards(now) >= share {
		delay += fairShareDelay
	}
	return delay
}

// rank returns the number of peers that should claim a shard before this VM, by rendezvous hashing.
func (r *routing) rank(k machine.Shard) int {
	weight := func(node string) uint64 { return xxhash.Sum64String(strconv.Itoa(int(k)) + "/" + node) }
	own, n := weight(r.node), 0
	for name, p := range r.members.peers {
		if !p.stopping && weight(name) > own {
			n++
		}
	}
	return n
}

// apply extends the lease of this VM's keys and with it the terms that it took in the lease's era.
func (m leaseRenewed) apply(r *routing, now clock.Instant) {
	if r.enterEra(m.era, now) {
		r.leader.leaseEnd = m.until
	}
	for k := range r.leader.shards {
		if s := &r.leader.shards[k]; s.termEra == m.era {
			s.leadership.Renew(m.until)
		}
	}
}

// forgetKeys forgets what the keys of a former era of the store have shown of the leaders. This VM's own terms go on until
// their leases have run out: other VMs wait for that.
func (l *leader) forgetKeys(era int64, now clock.Instant) {
	l.ownKeysRead, l.leaseEnd, l.begun = false, 0, begunTerms{}
	for k := range l.shards {
		s := &l.shards[k]
		s.holderKey, s.holderIsOld = ownKeyChange{gone: true, era: era}, false
		s.lastTermKey = ownKeyChange{era: era}
		s.leaderIsSelf, s.vacantSince = false, 0
		s.continued = s.leadership.HoldsTerm(now) && !now.Before(s.leadership.OrdersFrom())
	}
}

// unused reports whether the holder key names this VM, in this process or an earlier one, and this process has no term under it.
func (s *shardState) unused() bool {
	return s.leaderIsSelf && !s.vacant() && s.leadership.Term().Fence == 0
}

// vacant reports whether no VM leads the shard, as far as the store shows.
func (s *shardState) vacant() bool { return s.holderKey.gone || s.holderIsOld }

// apply ends all terms, since their keys lived under the lease.
func (leaseLost) apply(r *routing, now clock.Instant) {
	r.leader.leaseEnd = 0
	for k := range r.leader.shards {
		r.endTerm(machine.Shard(k), "lease lost", now)
	}
}

// claimApplied is a holder key that this VM has just written.
type claimApplied struct {
	shard  machine.Shard
	change ownKeyChange
}

// apply applies the change before the watch brings it.
func (m claimApplied) apply(r *routing, now clock.Instant) {
	if r.enterEra(m.change.era, now) {
		r.applyHolder(m.shard, m.change, now)
	}
}
