// Package ring provides the bounded first-in first-out queue between two duties.
//
// A ring never grows: TryPush reports a full ring to its caller, Push blocks until there is room. After Close, pushes
// fail and consumers can still pop the items that were accepted before.
package ring

import (
	"context"
	"errors"
	"sync"
	"time"
)

// ErrClosed is returned by Push on a closed ring and by the Pop methods on a ring that is closed and empty.
var ErrClosed = errors.New("ring: closed")

// Ring is a bounded FIFO queue. All methods are safe for concurrent use.
type Ring[T any] struct {
	name string

	mu       sync.Mutex
	items    []T // circular buffer
	head     int // index of the oldest item
	count    int
	isClosed bool

	// readable and writable have capacity one. A token wakes one goroutine, whose own push or pop then wakes the next
	// if there is still room or an item.
	readable chan struct{} // holds a token while a consumer may find an item
	writable chan struct{} // holds a token while a producer may find room
	closed   chan struct{} // closed by Close, which wakes all
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

// Name returns the name given to New, which metrics use as a label.
func (r *Ring[T]) Name() string { return r.name }

// Cap returns the number of items the ring can hold.
func (r *Ring[T]) Cap() int { return len(r.items) }

// Len returns the number of items waiting.
func (r *Ring[T]) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.count
}

// TryPush appends v, or returns false if the ring is full or closed. It never blocks.
func (r *Ring[T]) TryPush(v T) bool {
	accepted, _ := r.tryPush(v)
	return accepted
}

// Push appends v, blocking until there is room. It returns ErrClosed on a closed ring and the context's error if the
// context ends first; in both cases v was not appended.
func (r *Ring[T]) Push(ctx context.Context, v T) error {
	for {
		accepted, closed := r.tryPush(v)
		if accepted {
			return nil
		}
		if closed {
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

// TryPop removes the oldest item, or returns false if there is none. It never blocks.
func (r *Ring[T]) TryPop() (T, bool) {
	var one [1]T
	n, _ := r.popAvailable(one[:])
	return one[0], n > 0
}

// Pop removes the oldest item, blocking until there is one. It returns ErrClosed once the ring is closed and empty, and
// the context's error if the context ends first.
func (r *Ring[T]) Pop(ctx context.Context) (T, error) {
	var one [1]T
	_, err := r.PopBatch(ctx, one[:])
	return one[0], err
}

// PopBatch blocks until there is at least one item, then moves up to len(buf) items into buf and returns their number.
// It returns the same errors as Pop.
func (r *Ring[T]) PopBatch(ctx context.Context, buf []T) (int, error) {
	return r.PopBatchUntil(ctx, time.Time{}, buf)
}

// PopBatchUntil is PopBatch with a deadline: it returns 0 and no error if nothing arrived by then. The zero time means
// no deadline.
func (r *Ring[T]) PopBatchUntil(ctx context.Context, deadline time.Time, buf []T) (int, error) {
	if n, done := r.popAvailable(buf); n > 0 || done {
		return n, closedError(n)
	}
	var expired <-chan time.Time
	if !deadline.IsZero() {
		timer := time.NewTimer(time.Until(deadline))
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
		if n, done := r.popAvailable(buf); n > 0 || done {
			return n, closedError(n)
		}
	}
}

// Close makes all further pushes fail. Items already in the ring can still be popped. Closing twice is allowed.
func (r *Ring[T]) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.isClosed {
		r.isClosed = true
		close(r.closed)
	}
}

func (r *Ring[T]) tryPush(v T) (accepted, closed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isClosed || r.count == len(r.items) {
		return false, r.isClosed
	}
	r.items[(r.head+r.count)%len(r.items)] = v
	r.count++
	signal(r.readable)
	if r.count < len(r.items) {
		signal(r.writable)
	}
	return true, false
}

// popAvailable moves items into buf without blocking; done reports a closed and empty ring.
func (r *Ring[T]) popAvailable(buf []T) (n int, done bool) {
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
	return n, n == 0 && r.isClosed
}

// closedError returns the error of a pop that moved n items and, if n is zero, found the ring closed.
func closedError(n int) error {
	if n == 0 {
		return ErrClosed
	}
	return nil
}

// signal puts a token into c unless it holds one.
func signal(c chan<- struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
