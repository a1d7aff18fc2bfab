package share

import (
	"cmp"
	"math"
	"slices"

	"github.com/mangopass/mangopass/duty/clock"
)

// Report is what an entry VM tells a neighbour of what organisations asked and got: the sums that the receiver has not from
// elsewhere, as of the time of the report. An entry replaces what was told of the same organisation before, and decays at the
// receiver as it does at the sender, so that a report which is lost, late or doubled does no harm.
type Report []Entry

// Entry is about one organisation at one service. Its sums are in milliseconds.
type Entry struct {
	Key
	Asked, Missed, Within, Done int64
}

const (
	unitsPerSecond = 1000
	// maxUnits is the largest sum that a report may state.
	maxUnits = 1e10
	// changedShare is the relative difference from what the receiver holds from which on an entry is sent again.
	changedShare = 0.15
	// entriesPerSecond is the number of entries that a VM sends in a second, to all of its neighbours together. At about 52 bytes
	// each they take 5 KB of the 22 KB that a VM may send in a second for control.
	entriesPerSecond = 100
	// allAtOnce is the number of entries that may go to all neighbours at once, when a service becomes saturated, and leastAtOnce
	// to each of them.
	allAtOnce, leastAtOnce = 200, 4
)

// allowance limits the entries in the reports to one neighbour.
type allowance struct {
	entries float64
	at      clock.Instant
}

func (a *allowance) refill(neighbours int, now clock.Instant) {
	n := float64(max(1, neighbours))
	atOnce := max(leastAtOnce, allAtOnce/n)
	if a.at == 0 {
		a.entries = atOnce
	}
	a.entries = min(atOnce, a.entries+entriesPerSecond*now.Sub(a.at).Seconds()/n)
	a.at = now
}

func units(v float64) int64 { return int64(math.Round(min(maxUnits, max(0, v)*unitsPerSecond))) }

// sums returns what an entry states, and false if it cannot be true.
func (e Entry) sums() (sums, bool) {
	for _, v := range []int64{e.Asked, e.Missed, e.Within, e.Done} {
		if v < 0 || v > maxUnits {
			return sums{}, false
		}
	}
	return sums{
		asked: float64(e.Asked) / unitsPerSecond, missed: float64(e.Missed) / unitsPerSecond,
		within: float64(e.Within) / unitsPerSecond, done: float64(e.Done) / unitsPerSecond,
	}, true
}

// distance returns the largest difference from other sums, as a part of the largest of all.
func (s sums) distance(o sums) float64 {
	most, difference := 0.0, 0.0
	for _, pair := range [][2]float64{{s.asked, o.asked}, {s.missed, o.missed}, {s.within, o.within}, {s.done, o.done}} {
		most = max(most, pair[0], pair[1])
		difference = max(difference, math.Abs(pair[0]-pair[1]))
	}
	return difference / max(most, math.SmallestNonzeroFloat64)
}

// ReportFor returns what a neighbour does not know yet of the services at which requests miss their time; below says that this
// VM relays for it, whole that all is to be told anew, neighbours how many there are.
func (b *Book) ReportFor(name string, below, whole bool, neighbours int, now clock.Instant) Report {
	n := b.peer(name, below)
	if whole {
		clear(n.told)
	}
	n.allowance.refill(neighbours, now)
	scale := b.scale(now)
	type change struct {
		key  Key
		now  sums
		size float64
	}
	var changed []change
	for service, s := range b.services {
		if !s.saturated && s.sum().missed/scale < reportedMissed {
			continue
		}
		for organisation, total := range s.total {
			k := Key{service, organisation}
			known := s.below[organisation]
			if below {
				known = total.plus(n.held[k], -1)
			}
			told := n.told[k]
			if max(known.demand(), known.done, told.demand(), told.done)/scale < forgottenSum {
				continue
			}
			if d := known.distance(told); d > changedShare {
				changed = append(changed, change{k, known, d * max(known.demand(), told.demand())})
			}
		}
	}
	limit := int(n.allowance.entries)
	if len(changed) > limit {
		slices.SortFunc(changed, func(a, b change) int { return cmp.Compare(b.size, a.size) })
		changed = changed[:limit]
	}
	n.allowance.entries -= float64(len(changed))
	var out Report
	for _, c := range changed {
		n.told[c.key] = c.now
		out = append(out, Entry{
			Key: c.key, Asked: units(c.now.asked / scale), Missed: units(c.now.missed / scale),
			Within: units(c.now.within / scale), Done: units(c.now.done / scale),
		})
	}
	return out
}

// Apply applies a neighbour's report.
func (b *Book) Apply(name string, below bool, in Report, now clock.Instant) {
	if len(in) == 0 {
		return
	}
	n, scale := b.peer(name, below), b.scale(now)
	for _, e := range in {
		if s, valid := e.sums(); valid {
			b.replace(n, e.Key, s, scale)
		}
	}
}

// RemovePeer forgets what a neighbour has reported and been told: its process has ended, or its place in the tree has changed.
func (b *Book) RemovePeer(name string) { b.remove(name) }
