package ring_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
)

// Guards against a TryPush that grows the ring or blocks when the ring is full.
func TestTryPushOnFullRingFails(t *testing.T) {
	r := ring.New[int]("test", 2)
	if !r.TryPush(1) || !r.TryPush(2) {
		t.Fatal("push into a ring with room failed")
	}
	if r.TryPush(3) {
		t.Fatal("push into a full ring succeeded")
	}
}

// Guards against items that are lost, or reordered within a producer, when more producers wait for room than the ring
// has slots.
func TestBlockedProducersLoseNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const producers, each = 8, 100
		r := ring.New[int]("test", 3)
		for p := range producers {
			go func() {
				for i := range each {
					if err := r.Push(t.Context(), p*each+i); err != nil {
						t.Errorf("push: %v", err)
					}
				}
			}()
		}
		last := make(map[int]int)
		for range producers * each {
			v, err := r.Pop(t.Context())
			if err != nil {
				t.Fatalf("pop: %v", err)
			}
			if p, i := v/each, v%each; last[p] > i {
				t.Fatalf("producer %d: item %d after %d", p, i, last[p])
			} else {
				last[p] = i
			}
		}
	})
}

// Guards against a Close that drops items in the ring, and against a Pop that blocks forever on a closed and empty
// ring.
func TestPopAfterClose(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int]("test", 4)
		r.TryPush(7)
		r.Close()
		if r.TryPush(8) {
			t.Fatal("push into a closed ring succeeded")
		}
		if v, err := r.Pop(t.Context()); v != 7 || err != nil {
			t.Fatalf("pop = %d, %v; want 7", v, err)
		}
		if _, err := r.Pop(t.Context()); !errors.Is(err, ring.ErrClosed) {
			t.Fatalf("pop on a closed and empty ring: %v; want ErrClosed", err)
		}
	})
}

// Guards against a PopBatchUntil that does not return at its deadline, and against a blocked Push that ignores the end
// of its context.
func TestBlockedCallsReturnInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := ring.New[int]("test", 1)
		start := time.Now()
		n, err := r.PopBatchUntil(t.Context(), start.Add(time.Second), make([]int, 1))
		if n != 0 || err != nil || time.Since(start) != time.Second {
			t.Fatalf("PopBatchUntil = %d, %v after %v; want 0, nil after 1s", n, err, time.Since(start))
		}
		r.TryPush(1)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		if err := r.Push(ctx, 2); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("push = %v; want the context's error", err)
		}
	})
}

func BenchmarkPushPop(b *testing.B) {
	r := ring.New[*int]("bench", 256)
	v := new(int)
	for b.Loop() {
		r.TryPush(v)
		if _, err := r.Pop(b.Context()); err != nil {
			b.Fatal(err)
		}
	}
}
