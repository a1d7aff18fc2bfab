package machine

import (
	"testing"
	"time"
)

// TestMissingRunnersExpireAfterOutage guards against the loss of live runners after an outage of the store, in which
// all entries lapse. Runners have MissingGrace to announce themselves again; only one that doesn't is removed.
func TestMissingRunnersExpireAfterOutage(t *testing.T) {
	sim := newSimulation(2, 4)
	sim.fleet.MarkMissing("r0", sim.now)
	sim.fleet.MarkMissing("r1", sim.now)
	sim.advance(2 * time.Second)
	if gone := sim.fleet.Expire(sim.now); len(gone) != 0 {
		t.Fatalf("runners removed after 2 s: %v, want none", gone)
	}
	sim.announce(sim.engines["r1"])
	sim.advance(time.Second)
	if gone := sim.fleet.Expire(sim.now); len(gone) != 1 || gone[0] != "r0" {
		t.Errorf("runners removed after 3 s: %v, want [r0]", gone)
	}
}

// TestOldEntriesAreIgnored guards against store entries that arrive late and overwrite newer ones: those of an
// earlier start of the runner, and those of an earlier heartbeat.
func TestOldEntriesAreIgnored(t *testing.T) {
	f := NewFleet()
	a := Announcement{ID: "r", Service: "s", Address: "1.1.1.1:1", Boot: 5, Heartbeat: 9}
	if got := f.Announce(a, start); got != Joined {
		t.Fatalf("first entry: change = %v, want Joined", got)
	}
	a.Boot, a.Address = 4, "2.2.2.2:2"
	if got := f.Announce(a, start); got != Outdated || f.Get("r").Address != "1.1.1.1:1" {
		t.Errorf("entry of an earlier start: change = %v, address = %s, want Outdated and 1.1.1.1:1",
			got, f.Get("r").Address)
	}
	a.Boot, a.Heartbeat = 5, 8
	if got := f.Announce(a, start); got != Outdated {
		t.Errorf("entry of an earlier heartbeat: change = %v, want Outdated", got)
	}
	a.Boot, a.Heartbeat, a.Draining = 5, 10, true
	if f.Announce(a, start); f.Get("r").Usable(start) {
		t.Error("a draining runner is usable")
	}
}
