// Package machine holds the VMs and targets and what runs on them: memory, replicas, the queue of waiting requests. It
// does no I/O; the time is always an argument.
package machine

import (
	"github.com/mangopass/mangopass/fleet/contract"
)

// Ledger accounts for the memory of one target. Memory is reserved before a load order is sent and released only
// after an unload is confirmed, so that the sum never exceeds the target's capacity.
type Ledger struct {
	capacity int64
	held     map[contract.Artifact]int64
	used     int64
}

// NewLedger returns the ledger of an empty target with the given capacity in bytes.
func NewLedger(capacity int64) *Ledger {
	return &Ledger{capacity: capacity, held: make(map[contract.Artifact]int64)}
}

// Reserve sets bytes aside for an artifact. It is false, and nothing changes, if they do not fit. Reserving an
// artifact twice keeps the first reservation.
func (l *Ledger) Reserve(a contract.Artifact, bytes int64) bool {
	if _, ok := l.held[a]; ok {
		return true
	}
	if bytes > l.Free() {
		return false
	}
	l.held[a] = bytes
	l.used += bytes
	return true
}

// Release frees an artifact's bytes.
func (l *Ledger) Release(a contract.Artifact) {
	l.used -= l.held[a]
	delete(l.held, a)
}

// Free returns the bytes that nothing holds.
func (l *Ledger) Free() int64 { return l.capacity - l.used }
