package link

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/machine"
)

// crashedRun returns a run of a request that the n-th start of a runner broke off, a millisecond after it was sent.
func crashedRun(digest uint64, n int) BrokenRun {
	return BrokenRun{Digest: digest, Runner: machine.RunnerID(fmt.Sprint("r", n)), Boot: int64(n), Took: time.Millisecond}
}

// crashEvery counts n crashes of a request, the first one at the given instant.
func crashEvery(t *CrashTracker, digest uint64, n int, at clock.Instant, period time.Duration) clock.Instant {
	for i := range n {
		at = at.Add(period)
		t.Add(crashedRun(digest, int(at)+i), at)
	}
	return at
}

// TestCrashTracker guards against a request that crashes one runner after another because it is sent again each time, however
// long its caller waits between two tries, and against refusing one for crashes that say little.
func TestCrashTracker(t *testing.T) {
	cases := map[string]struct {
		crash   func(tracker *CrashTracker) (end clock.Instant)
		blocked bool
	}{
		"two crashes":   {func(t *CrashTracker) clock.Instant { return crashEvery(t, 7, 2, start, time.Second) }, false},
		"three crashes": {func(t *CrashTracker) clock.Instant { return crashEvery(t, 7, 3, start, time.Second) }, true},
		"three in a row within milliseconds": {
			func(t *CrashTracker) clock.Instant { return crashEvery(t, 7, 3, start, 5*time.Millisecond) }, true,
		},
		"minutes apart": {func(t *CrashTracker) clock.Instant {
			now := start
			for range 3 {
				t.Expire(now)
				now = crashEvery(t, 7, 1, now, 2*time.Minute)
			}
			return now
		}, true},
		"many runs at one start of a runner": {func(t *CrashTracker) clock.Instant {
			for range 9 {
				t.Add(crashedRun(7, 1), start)
			}
			return start
		}, false},
		"runners that go down together": {func(t *CrashTracker) clock.Instant {
			for n := range 9 {
				run := crashedRun(7, n)
				run.Took = 100 * time.Millisecond
				t.Add(run, start.Add(time.Duration(n)*10*time.Millisecond))
			}
			return start.Add(time.Second)
		}, false},
		"a complete run between them": {func(t *CrashTracker) clock.Instant {
			end := crashEvery(t, 7, 2, start, time.Second)
			t.Completed(7)
			return crashEvery(t, 7, 2, end, time.Second)
		}, false},
		"another cause is known": {func(t *CrashTracker) clock.Instant {
			end := crashEvery(t, 7, 3, start, time.Second)
			t.Forget(7)
			return end
		}, false},
		"complete before, all runners go down in turn": {func(t *CrashTracker) clock.Instant {
			t.Completed(7)
			return crashEvery(t, 7, 5, start, 300*time.Millisecond)
		}, false},
		"complete before, and crashes runners since": {func(t *CrashTracker) clock.Instant {
			t.Completed(7)
			return crashEvery(t, 7, 5, start, time.Second)
		}, true},
	}
	for name, c := range cases {
		tracker := NewCrashTracker()
		end := c.crash(tracker)
		if got := tracker.Blocked(7, end); got != c.blocked {
			t.Errorf("%s: blocked is %v, want %v", name, got, c.blocked)
		}
	}
}

// TestBlockedRequestIsTriedAgain guards against refusing a request for good whose runs broke off for another reason, and
// against three more crashes each time that a request is tried which still crashes runners.
func TestBlockedRequestIsTriedAgain(t *testing.T) {
	tracker := NewCrashTracker()
	now := crashEvery(tracker, 7, 3, start, time.Second)
	length := minBlockTime
	for range 6 {
		tracker.Expire(now.Add(length - time.Second))
		if !tracker.Blocked(7, now.Add(length-time.Second)) || tracker.Blocked(7, now.Add(length)) {
			t.Fatalf("blocked until another time than %v after the last crash", length)
		}
		now = crashEvery(tracker, 7, 1, now.Add(length), time.Second)
		length = min(2*length, maxBlockTime)
		if !tracker.Blocked(7, now) {
			t.Fatal("the next crash does not block the request again")
		}
	}
	if !tracker.Completed(7) || tracker.Blocked(7, now) {
		t.Error("the request is blocked after a complete run")
	}
}

// TestPeersBlockOfRequestIsAdopted guards VMs that saw none of the crashes, such as one that has just started.
func TestPeersBlockOfRequestIsAdopted(t *testing.T) {
	peer, fresh := NewCrashTracker(), NewCrashTracker()
	now := crashEvery(peer, 7, 3, start, time.Second)
	blocked := peer.BlockedRequests(now)
	if len(blocked) != 1 || !fresh.Adopt(blocked[0], now) || fresh.Adopt(blocked[0], now) {
		t.Fatalf("the blocks %+v are not adopted once", blocked)
	}
	if !fresh.Blocked(7, now.Add(minBlockTime-time.Second)) {
		t.Error("the adopted block ends too early")
	}
	for _, b := range []BlockedSuspect{{Part: 8}, {Part: 8, Blocks: 1, Left: -1}, {Part: 8, Blocks: maxBlocks + 1, Left: 1}} {
		if fresh.Adopt(b, now) {
			t.Errorf("the malformed block %+v is adopted", b)
		}
	}
}

// TestCrashTrackerForgets guards against memory that grows with each request whose run breaks off, if every request differs, and
// against forgetting the one that crashes runners because the crashes break so many others off.
func TestCrashTrackerForgets(t *testing.T) {
	tracker, now := NewCrashTracker(), start
	crashEvery(tracker, 1, 3, now, time.Second)
	now = crashEvery(tracker, 2, 2, now, time.Second)
	for i := range 2*maxCrashRecords + 100 {
		tracker.Add(crashedRun(uint64(100+i), i), now)
		tracker.Completed(uint64(1e6 + i))
		if i == maxCrashRecords/2 {
			now = crashEvery(tracker, 2, 1, now, time.Second)
		}
	}
	if tracker.Len() > maxCrashRecords || len(tracker.completed[0])+len(tracker.completed[1]) > 2*maxCompleted {
		t.Errorf("%d requests with crashes, %v complete ones", tracker.Len(), len(tracker.completed[0])+len(tracker.completed[1]))
	}
	if !tracker.Blocked(1, now) || !tracker.Blocked(2, now) {
		t.Error("a request that crashes runners is forgotten")
	}
	if tracker.Expire(now.Add(crashMemory + 2*maxBlockTime)); tracker.Len() != 0 {
		t.Errorf("%d requests with crashes are left", tracker.Len())
	}
}

// TestCrashingRequestIsFound is a stateful test against a simple model of a fleet: one request crashes each runner that runs it
// and takes sound requests along, which come again until they are complete. It must be blocked by its third crash, and a sound
// request only after three crashes of its own without a complete run.
func TestCrashingRequestIsFound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tracker, now := NewCrashTracker(), start
		broken := map[uint64]int{}
		for crash := 1; crash <= 3; crash++ {
			now = now.Add(time.Duration(rapid.IntRange(2, 300_000).Draw(t, "ms")) * time.Millisecond)
			tracker.Expire(now)
			hit := append([]uint64{7}, rapid.SliceOfNDistinct(rapid.Uint64Range(100, 120), 0, 8, rapid.ID[uint64]).Draw(t, "others")...)
			for _, digest := range rapid.Permutation(hit).Draw(t, "order") {
				run := crashedRun(digest, crash)
				run.Age = time.Duration(rapid.IntRange(0, 50).Draw(t, "late")) * time.Millisecond
				tracker.Add(run, now.Add(run.Age))
				broken[digest]++
			}
			for _, digest := range rapid.SliceOfN(rapid.Uint64Range(100, 120), 0, 8).Draw(t, "complete") {
				tracker.Completed(digest)
				broken[digest] = 0
			}
			for digest, n := range broken {
				if tracker.Blocked(digest, now) != (n >= crashLimit) && (digest == 7 || n < crashLimit) {
					t.Fatalf("request %d is blocked: %v after %d crashes", digest, n < crashLimit, n)
				}
			}
		}
	})
}
