package link

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Parts of the prompts in these tests.
const (
	sharedPart   = 1 // in all requests
	crashingPart = 2 // crashes each runner
)

// brokenRun returns a run of request i with the given parts that the n-th crash of the test broke off.
func brokenRun(n, i int, answered bool, parts ...uint64) BrokenRun {
	return BrokenRun{
		Digest: uint64(i), Parts: parts, Runner: machine.RunnerID(fmt.Sprint("r", n)), Boot: int64(n), Answered: answered,
	}
}

// TestCrashingPartIsBlocked guards against a prompt part that crashes one runner after the other in requests that share
// nothing else, and against refusing requests that only share other parts with them: three crashes within BeginTime of
// the answer's head are enough, and five if the runners go down before they send one.
func TestCrashingPartIsBlocked(t *testing.T) {
	for answered, enough := range map[bool]int{true: 3, false: 5} {
		tracker, now := NewPartTracker(), start
		for n := 1; n <= enough; n++ {
			now = now.Add(crashSpacing)
			tracker.Add(brokenRun(n, 100+n, false, sharedPart, uint64(10+n)), now)
			tracker.Add(brokenRun(n, n, answered, sharedPart, crashingPart), now)
			tracker.Review(now.Add(settleTime))
			if _, blocked := tracker.Blocked([]uint64{crashingPart}, now); blocked != (n == enough) {
				t.Errorf("answered %v: blocked is %v after %d crashes, want it from %d on", answered, blocked, n, enough)
			}
		}
		if part, blocked := tracker.Blocked([]uint64{sharedPart, 11, 12, 13}, now); blocked {
			t.Errorf("answered %v: part %d is blocked too, which other requests share", answered, part)
		}
	}
}

// TestPartsOfSoundRequestsAreNotBlocked guards against refusing requests because of runners that go down for another
// reason.
func TestPartsOfSoundRequestsAreNotBlocked(t *testing.T) {
	cases := map[string]func(tracker *PartTracker, n int){
		"all runners go down together": func(tracker *PartTracker, n int) {
			tracker.Add(brokenRun(n, n, true, sharedPart), start.Add(time.Duration(n)*time.Millisecond))
		},
		"requests with the part complete between the crashes": func(tracker *PartTracker, n int) {
			now := start.Add(time.Duration(n) * time.Second)
			tracker.Add(brokenRun(n, n, true, sharedPart), now)
			tracker.Completed([]uint64{sharedPart}, now.Add(time.Millisecond))
		},
		"one request is sent again and again": func(tracker *PartTracker, n int) {
			tracker.Add(brokenRun(n, 7, true, sharedPart), start.Add(time.Duration(n)*time.Second))
		},
		"the runs of one crash are reported late": func(tracker *PartTracker, n int) {
			run := brokenRun(1, n, true, sharedPart)
			run.Age = time.Duration(n) * time.Second
			tracker.Add(run, start.Add(run.Age))
		},
		"the crashes are rare": func(tracker *PartTracker, n int) {
			tracker.Add(brokenRun(n, n, true, sharedPart), start.Add(time.Duration(n)*partWindow))
		},
	}
	for name, crash := range cases {
		tracker := NewPartTracker()
		for n := range 9 {
			crash(tracker, n)
			tracker.Review(start.Add(time.Duration(n)*partWindow + settleTime))
			if _, blocked := tracker.Blocked([]uint64{sharedPart}, start.Add(time.Minute)); blocked {
				t.Errorf("%s: the part is blocked after %d crashes", name, n+1)
				break
			}
		}
	}
}

// TestExplainedCrashesAreForgotten guards against refusing requests whose runs were broken off by the crashes of others.
// Once the part that crashes the runners is known, neither these requests nor their parts are suspects, however often they
// were hit, and also if they are reported later.
func TestExplainedCrashesAreForgotten(t *testing.T) {
	tracker, now := NewPartTracker(), start
	for n := 1; n <= 3; n++ {
		now = now.Add(time.Second)
		for _, run := range []BrokenRun{
			brokenRun(n, 50, true, sharedPart, 9), brokenRun(n, 60, true, sharedPart, 9),
			brokenRun(n, n, true, sharedPart, crashingPart),
		} {
			tracker.Add(run, now)
		}
	}
	now = now.Add(settleTime)
	_, explained := tracker.Review(now)
	late := tracker.Add(brokenRun(3, 70, true, sharedPart, 9), now)
	if !late || !slices.Contains(explained, 50) || !slices.Contains(explained, 60) {
		t.Errorf("requests %v are explained, the late one is: %v; want 50, 60 and the late one", explained, late)
	}
	if part, blocked := tracker.Blocked([]uint64{sharedPart, 9}, now); blocked {
		t.Errorf("part %d is blocked", part)
	}
}

// TestBlockedPartIsTriedAgain guards against refusing a part for good that was blocked in error or has been mended, and
// against three more crashes each time that a part is tried which still crashes runners.
func TestBlockedPartIsTriedAgain(t *testing.T) {
	tracker, now := NewPartTracker(), start
	for n := 1; n <= 3; n++ {
		now = now.Add(time.Second)
		tracker.Add(brokenRun(n, n, true, crashingPart), now)
	}
	now = now.Add(settleTime)
	tracker.Review(now)
	now = now.Add(minBlockTime)
	tracker.Expire(now)
	if _, blocked := tracker.Blocked([]uint64{crashingPart}, now); blocked {
		t.Fatal("the part is still blocked after minBlockTime")
	}
	tracker.Add(brokenRun(4, 4, false, crashingPart), now)
	now = now.Add(settleTime)
	if blocked, _ := tracker.Review(now); len(blocked) != 1 {
		t.Fatal("the part is not blocked again by the next crash")
	}
	now = now.Add(2*minBlockTime - time.Second)
	tracker.Expire(now)
	if _, blocked := tracker.Blocked([]uint64{crashingPart}, now); !blocked {
		t.Error("the second block is not twice as long as the first")
	}
	if sound := tracker.Completed([]uint64{crashingPart}, now); len(sound) != 1 {
		t.Error("a complete run with the part does not clear it")
	}
	if _, blocked := tracker.Blocked([]uint64{crashingPart}, now); blocked {
		t.Error("the part is blocked after a complete run")
	}
}

// TestPeersBlockIsAdopted guards VMs that saw none of the crashes, such as one that has just started, and against taking
// over the block of a part that is known to be sound.
func TestPeersBlockIsAdopted(t *testing.T) {
	peer, now := NewPartTracker(), start
	for n := 1; n <= 3; n++ {
		now = now.Add(time.Second)
		peer.Add(brokenRun(n, n, true, crashingPart), now)
	}
	now = now.Add(settleTime)
	peer.Review(now)
	parts := peer.BlockedParts(now)
	if len(parts) != 1 {
		t.Fatalf("blocked parts %+v, want one", parts)
	}
	fresh := NewPartTracker()
	if !fresh.Adopt(parts[0], now) || fresh.Adopt(parts[0], now) {
		t.Error("the block is not adopted, or is adopted twice")
	}
	if _, blocked := fresh.Blocked([]uint64{crashingPart}, now.Add(minBlockTime-time.Second)); !blocked {
		t.Error("the adopted block ends too early")
	}
	witness := NewPartTracker()
	witness.Completed([]uint64{crashingPart}, now)
	if witness.Adopt(parts[0], now) {
		t.Error("the block is adopted by a VM that has seen a complete run since the first crash")
	}
}

// TestCrashingPartIsFound is a stateful test against a simple model of a fleet: one part crashes each runner that answers
// a request with it, the crashes break off runs of sound requests too, and runs are reported in any order. The part must
// be blocked within five crashes, and no other part that complete runs share.
func TestCrashingPartIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewPartTracker(), start
		crashes, request := 0, 0
		for crashes < 5 {
			now = now.Add(crashSpacing + time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms"))*time.Millisecond)
			crashes++
			request++
			runs := []BrokenRun{
				brokenRun(crashes, request, rapid.Bool().Draw(t, "answered"), sharedPart, crashingPart),
			}
			for range rapid.IntRange(0, 8).Draw(t, "others") {
				request++
				runs = append(runs, brokenRun(crashes, request, rapid.Bool().Draw(t, "answered"), sharedPart,
					uint64(100+rapid.IntRange(0, 50).Draw(t, "session"))))
			}
			for _, run := range rapid.Permutation(runs).Draw(t, "order") {
				run.Age = time.Duration(rapid.IntRange(0, 50).Draw(t, "late")) * time.Millisecond
				tracker.Add(run, now.Add(run.Age))
			}
			sessions := []uint64{sharedPart}
			for s := range uint64(51) {
				sessions = append(sessions, 100+s)
			}
			tracker.Completed(sessions, now.Add(settleTime))
			tracker.Review(now.Add(settleTime + 50*time.Millisecond))
			if part, blocked := tracker.Blocked(sessions, now.Add(crashSpacing)); blocked {
				t.Fatalf("part %d of sound requests is blocked", part)
			}
		}
		if _, blocked := tracker.Blocked([]uint64{crashingPart}, now.Add(time.Second)); !blocked {
			t.Fatal("the part that crashes runners is not blocked after five crashes")
		}
	})
}

// TestPartTrackerForgets guards against memory that grows with each part ever seen.
func TestPartTrackerForgets(t *testing.T) {
	tracker, now := NewPartTracker(), start
	for i := range 2 * maxTrackedParts {
		tracker.Add(brokenRun(i, i, true, uint64(i)), now)
		tracker.Completed([]uint64{uint64(1e6 + i)}, now)
	}
	if len(tracker.parts) > maxTrackedParts {
		t.Errorf("%d parts with crashes, want at most %d", len(tracker.parts), maxTrackedParts)
	}
	tracker.Expire(now.Add(partWindow + time.Second))
	if n := len(tracker.parts) + len(tracker.crashes) + len(tracker.completed); n != 0 {
		t.Errorf("%d entries are left after partWindow", n)
	}
}

// TestSharedParts guards against blocking the last part of a prompt, which belongs to one request.
func TestSharedParts(t *testing.T) {
	prompt := []contract.PromptPart{{ID: 1}, {ID: 2}, {ID: 3}}
	for n, want := range []int{0, 0, 1, 2} {
		if got := SharedParts(prompt[:n]); len(got) != want {
			t.Errorf("%d parts: %v are shared, want %d", n, got, want)
		}
	}
}
