// Package ring provides the bounded first-in first-out queue that joins two duties.
//
// A ring never grows: TryPush reports a full ring as an outcome, Push parks the caller until there is room.
// Close stops further pushes and lets consumers drain what was accepted before.
package ring

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrClosed is returned by Push on a closed ring and by the Pop methods on a closed and drained ring.
var ErrClosed = errors.New("ring: closed")

// Ring is a bounded FIFO queue. All methods are safe for concurrent use.
type Ring[T any] struct {
	name string

	mu    sync.Mutex
	items []T // circular buffer
	head  int // index of the oldest item
	count int
	shut  bool

	readable chan struct{} // holds a token while a consumer may find an item
	writable chan struct{} // holds a token while a producer may find room
	closed   chan struct{}
}

// New returns an empty ring that holds at most capacity items. It panics if capacity is less than one.
func New[T any](name string, capacity int) *Ring[T] {
	if capacity < 1 {
		panic("ring: capacity of " + name + " is less than one")
	}
	return &Ring[T]{
		name:     name,
		items:    make([]T, capacity),
		readable: make(chan struct{}, 1),
		writable: make(chan struct{}, 1),
		closed:   make(chan struct{}),
	}
}

// Name returns the name given to New; metrics use it as a label.
func (r *Ring[T]) Name() string { return r.name }

// Cap returns the number of items the ring can hold.
func (r *Ring[T]) Cap() int { return len(r.items) }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// TryPush appends v and reports whether it was accepted. It is false on a full or closed ring and never blocks.
func (r *Ring[T]) TryPush(v T) bool {
	accepted, _ := r.offer(v)
	return accepted
}

// Push appends v, parking until there is room. It returns ErrClosed on a closed ring and the context's error if
// the context ends first; in both cases v was not accepted.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		accepted, shut := r.offer(v)
		if accepted {
			return nil
		}
		if shut {
			return ErrClosed
		}
		select {
		case <-r.writable:
		case <-r.closed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// Pop removes the oldest item, parking until there is one. It returns ErrClosed once the ring is closed and
// drained, and the context's error if the context ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var one [1]T
	_, err := r.PopBatch(ctx, one[:])
	return one[0], err
}

// PopBatch parks until there is at least one item, then moves up to len(buf) items into buf and returns their
// number. Errors are those of Pop.
func (r *Ring[T]) PopBatch(ctx context.Context, buf []T) (int, error) {
	return r.PopBatchUntil(ctx, time.Time{}, buf)
}

// PopBatchUntil is PopBatch with an end: it returns 0 and no error if nothing arrived by the given time. The zero
// time means no end.
func (r *Ring[T]) PopBatchUntil(ctx context.Context, until time.Time, buf []T) (int, error) {
	if n, done := r.take(buf); n > 0 || done {
		return n, closedError(n)
	}
	var expired <-chan time.Time
	if !until.IsZero() {
		timer := time.NewTimer(time.Until(until))
		defer timer.Stop()
		expired = timer.C
	}
	for {
		select {
		case <-r.readable:
		case <-r.closed:
		case <-expired:
			return 0, nil
		case <-ctx.Done():
			return 0, ctx.Err()
		}
		if n, done := r.take(buf); n > 0 || done {
			return n, closedError(n)
		}
	}
}

// Close refuses all further pushes. Items already accepted can still be popped. Closing twice is allowed.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.shut {
		r.shut = true
		close(r.closed)
	}
}

func (r *Ring[T]) offer(v T) (accepted, shut bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.shut || r.count == len(r.items) {
		return false, r.shut
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	signal(r.readable)
	if r.count < len(r.items) {
		signal(r.writable)
	}
	return true, false
}

// take moves items into buf; done reports a closed and empty ring.
func (r *Ring[T]) take(buf []T) (n int, done bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	var zero T
	for n < len(buf) && r.count > 0 {
		buf[n] = r.items[r.head]
		r.items[r.head] = zero
		r.head = (r.head + 1) % len(r.items)
		r.count--
		n++
	}
	if n > 0 {
		signal(r.writable)
	}
	if r.count > 0 {
		signal(r.readable)
	}
	return n, n == 0 && r.shut
}

func closedError(n int) error {
	if n == 0 {
		return ErrClosed
	}
	return nil
}

// signal leaves a token in c unless one is there already.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
