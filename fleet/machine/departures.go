package machine

import (
	"maps"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
)

const (
	// departureMemory is how long the fleet remembers a runner that has left, and what it has stated. It is far longer than
	// the time by which a copy of the platform's store is older than its present state.
	departureMemory = 5 * time.Minute
	// holdTime is how long the entry of a runner that has left is held back when an older copy of the store shows it. The
	// store removes it sooner unless the runner lives: after three heartbeats of 1.2 s without one.
	holdTime = 4 * time.Second
	// replacementGap is the longest time between two runners that leave in one replacement of a service's runners.
	replacementGap = 10 * time.Second
)

// departure is what is remembered of a process of a runner that is not in the fleet: it has left, or its entry has not
// been read yet.
type departure struct {
	service     contract.ServiceName
	boot        int64
	version     SoftwareVersion // empty: unknown
	at          clock.Instant
	leaving     bool // it has stated that it leaves
	pausedUntil clock.Instant
	cold        coldEnds
}

// heldEntry is an entry that is held back.
type heldEntry struct {
	announcement Announcement
	until        clock.Instant
}

// Hold keeps back a runner's entry that an older copy of the store shows, if the runner has left. Release returns it later,
// unless the entry is removed or written again before. It reports false if the runner is not known to have left.
func (f *Fleet) Hold(a Announcement, now clock.Instant) bool {
	d, left := f.departed[a.ID]
	if !left || f.runners[a.ID] != nil || a.Boot > d.boot {
		return false
	}
	if a.Boot == d.boot {
		f.held[a.ID] = heldEntry{announcement: a, until: now.Add(holdTime)}
	}
	return true
}

// Release returns the held entries that the store has not removed for so long that their runners must live.
func (f *Fleet) Release(now clock.Instant) []Announcement {
	var out []Announcement
	for id, h := range f.held {
		if !now.Before(h.until) {
			out = append(out, h.announcement)
			delete(f.held, id)
		}
	}
	maps.DeleteFunc(f.departed, func(_ RunnerID, d departure) bool { return now.Sub(d.at) > departureMemory })
	return out
}

// Outgoing returns, for each service, the latest start of a runner that leaves or has left within replacementGap. Where the
// runners of a service are replaced one after the other, those that started no later are likely to leave next.
func (f *Fleet) Outgoing(now clock.Instant) map[contract.ServiceName]int64 {
	boots := make(map[contract.ServiceName]int64)
	for _, r := range f.sorted {
		if r.Draining || r.StatedLeaving || r.LeavesAt != 0 {
			boots[r.Service] = max(boots[r.Service], r.Boot)
		}
	}
	for _, d := range f.departed {
		if d.service != "" && now.Sub(d.at) <= replacementGap {
			boots[d.service] = max(boots[d.service], d.boot)
		}
	}
	return boots
}
