package store

import (
	"context"
	"sync"
	"time"

	"github.com/mangopass/mangopass/platform"
)

// Local is a platform.Service and platform.VMList on a Store in the same process, with faults, for tests of duties.
type Local struct {
	store *Store

	mu          sync.Mutex
	outage      bool
	lostReplies int
}

var (
	_ platform.Service = (*Local)(nil)
	_ platform.VMList  = (*Local)(nil)
)

// NewLocal returns a client of the store without a network between.
func NewLocal(s *Store) *Local { return &Local{store: s} }

// SetOutage starts or ends an outage, in which no call has an effect.
func (l *Local) SetOutage(outage bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outage = outage
}

// LoseReplies lets the next n writes take effect with the outcome Unknown.
func (l *Local) LoseReplies(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lostReplies = n
}

func (l *Local) available() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.outage
}

// written turns the outcome of a write into Unknown if its reply is to be lost.
func (l *Local) written(o platform.Outcome) platform.Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lostReplies == 0 {
		return o
	}
	l.lostReplies--
	return platform.Unknown
}

// Get implements platform.Service.
func (l *Local) Get(_ context.Context, key string) (platform.Entry, platform.Outcome) {
	if !l.available() {
		return platform.Entry{}, platform.Unavailable
	}
	return l.store.Get(key), platform.Applied
}

// List implements platform.Service.
func (l *Local) List(_ context.Context, prefix string) ([]platform.Entry, platform.Outcome) {
	if !l.available() {
		return nil, platform.Unavailable
	}
	return l.store.List(prefix), platform.Applied
}

// Swap implements platform.Service.
func (l *Local) Swap(_ context.Context, key string, old uint64, value []byte, lease platform.LeaseID) (uint64, platform.Outcome) {
	if !l.available() {
		return 0, platform.Unavailable
	}
	version, o := l.store.Swap(key, old, value, lease)
	return version, l.written(o)
}

// Watch implements platform.Service.
func (l *Local) Watch(ctx context.Context, prefix string, after uint64) ([]platform.Entry, uint64, platform.Outcome) {
	if !l.available() {
		return nil, after, platform.Unavailable
	}
	changed, remove := l.store.Notify()
	defer remove()
	for {
		list, revision := l.store.Changed(prefix, after)
		if len(list) > 0 {
			return list, revision, platform.Applied
		}
		if _, err := changed.Pop(ctx); err != nil {
			return nil, after, platform.Unavailable
		}
	}
}

// Grant implements platform.Service.
func (l *Local) Grant(_ context.Context, ttl time.Duration) (platform.LeaseID, platform.Outcome) {
	if !l.available() {
		return platform.NoLease, platform.Unavailable
	}
	return l.store.Grant(ttl), l.written(platform.Applied)
}

// KeepAlive implements platform.Service.
func (l *Local) KeepAlive(_ context.Context, id platform.LeaseID) platform.Outcome {
	if !l.available() {
		return platform.Unavailable
	}
	if !l.store.KeepAlive(id) {
		return platform.Conflict
	}
	return l.written(platform.Applied)
}

// Revoke implements platform.Service.
func (l *Local) Revoke(_ context.Context, id platform.LeaseID) platform.Outcome {
	if !l.available() {
		return platform.Unavailable
	}
	l.store.Revoke(id)
	return l.written(platform.Applied)
}

// VMs implements platform.VMList.
func (l *Local) VMs(context.Context) ([]platform.VM, platform.Outcome) {
	if !l.available() {
		return nil, platform.Unavailable
	}
	return l.store.VMs(), platform.Applied
}
