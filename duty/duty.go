// Package duty runs the named long-lived goroutines of a process.
//
// A duty is a goroutine that owns its state and exchanges values with other duties only through bounded queues (package
// ring). Panics are not recovered: a panic in a duty means a broken invariant and stops the process.
package duty

import (
	"context"
	"slices"
	"sync"
	"time"
)

// Group holds the duties of one role and stops them in the reverse order of their start.
type Group struct {
	parent context.Context

	mu      sync.Mutex
	running []*runningDuty
}

type runningDuty struct {
	name   string
	cancel context.CancelFunc
	done   chan struct{}
}

// NewGroup returns an empty group. The end of ctx ends all duties at the same time; Stop ends them in order.
func NewGroup(ctx context.Context) *Group {
	return &Group{parent: ctx}
}

// Go starts a duty. The function must return soon after its context ends.
func (g *Group) Go(name string, run func(ctx context.Context)) {
	ctx, cancel := context.WithCancel(g.parent)
	d := &runningDuty{name: name, cancel: cancel, done: make(chan struct{})}
	g.mu.Lock()
	g.running = append(g.running, d)
	g.mu.Unlock()
	go func() {
		defer g.remove(d)
		defer cancel()
		run(ctx)
	}()
}

// remove marks a duty as ended and removes it from the group.
func (g *Group) remove(d *runningDuty) {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(d.done)
	if i := slices.Index(g.running, d); i >= 0 {
		g.running = slices.Delete(g.running, i, i+1)
	}
}

// Names returns the names of the running duties in the order of their start.
func (g *Group) Names() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	names := make([]string, len(g.running))
	for i, d := range g.running {
		names[i] = d.name
	}
	return names
}

// Stop cancels the duties one after another, the last started first, and waits for each. Duties that are started
// meanwhile are ended too.
func (g *Group) Stop() {
	for d := g.last(); d != nil; d = g.last() {
		d.cancel()
		<-d.done
	}
}

func (g *Group) last() *runningDuty {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.running) == 0 {
		return nil
	}
	return g.running[len(g.running)-1]
}

// Every calls f at once and then once per period until the context ends. A call that outlasts the period delays
// the next one; calls never overlap.
func Every(ctx context.Context, period time.Duration, f func(ctx context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
	}
}

// Pause blocks for d or until the context ends, and reports whether all of d passed.
func Pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
