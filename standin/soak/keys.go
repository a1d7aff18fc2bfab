package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/mangopass/mangopass/duty"
)

const (
	// spareKeys is the number of keys that are withdrawn one after the other while the load runs.
	spareKeys = 60
	// maxWithdrawalGap bounds the time between two withdrawals.
	maxWithdrawalGap = 1200 * time.Millisecond
	// keyStream is the stream of random numbers for withdrawals; that of their probes follows.
	keyStream = operatorStream + 10
)

// Withdrawn is a key that a manifest has withdrawn, with the time of the store's acknowledgement since the start of the load.
type Withdrawn struct {
	Key string
	At  time.Duration
}

func spareKey(i int) string { return fmt.Sprint("spare-key-", i) }

// without returns keys without one of them.
func without(keys []string, key string) []string {
	return slices.DeleteFunc(slices.Clone(keys), func(k string) bool { return k == key })
}

// withdraw withdraws a key of the organisation.
func (o *operator) withdraw(ctx context.Context, key string) {
	o.change(ctx, func() { o.keys = without(o.keys, key) })
}

// withdrawNext withdraws the next spare key. No manifest follows until then returns.
func (o *operator) withdrawNext(ctx context.Context, then func()) {
	o.changing.Lock()
	defer o.changing.Unlock()
	key := spareKey(len(o.withdrawn)) // changes only under o.changing
	o.changeNow(ctx, func() { o.keys = without(o.keys, key) })
	if ctx.Err() == nil {
		o.mu.Lock()
		o.withdrawn = append(o.withdrawn, Withdrawn{Key: key, At: time.Since(o.start)})
		o.mu.Unlock()
	}
	then()
}

// withdrawKeys withdraws spare keys until the context ends.
func (o *operator) withdrawKeys(ctx context.Context, r *rand.Rand) {
	for i := 0; i < spareKeys && duty.Pause(ctx, time.Duration(r.Int64N(int64(maxWithdrawalGap)))); i++ {
		o.withdrawNext(ctx, func() {})
	}
}

// probeKeys probes the withdrawn keys, half of the time the one that was withdrawn last, until the context ends.
func (o *operator) probeKeys(ctx context.Context, r *rand.Rand) {
	o.probe(ctx, r, "key-probe", 2, &o.keyProbes, func() (targets []probeTarget) {
		for _, w := range o.withdrawn {
			targets = append(targets, probeTarget{path: "stock", key: w.Key})
		}
		return targets
	})
}

// checkKeys checks that a key works no more once its withdrawal has been acknowledged for revokeBound, whatever has happened
// to the entry VM and the store, and that no process accepts a key that it has refused.
func (c *checker) checkKeys() {
	type use struct{ entry, key int }
	refused := make(map[use]time.Duration)
	for _, p := range c.KeyProbes {
		withdrawn, u := c.Withdrawn[p.Target], use{p.Entry, p.Target}
		since, known := refused[u]
		switch {
		case p.Status == http.StatusUnauthorized:
			refused[u] = p.Ended
		case p.Status != http.StatusOK:
		case p.Sent > withdrawn.At+revokeBound:
			c.report("entry %d accepts %s %v after its withdrawal", p.Entry, withdrawn.Key, p.Sent-withdrawn.At)
		case known && !c.restarted(p.Entry, since, p.Ended):
			c.report("entry %d accepts %s, which it had refused before", p.Entry, withdrawn.Key)
		}
	}
}

// restarted reports whether an entry VM may have ended and started again between two moments.
func (c *checker) restarted(entry int, from, to time.Duration) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return (f.Kind == AllKilled || (f.Kind == EntryKilled || f.Kind == EntryStopped) && f.Index == entry) && f.Start < to &&
			f.End+stopTimeout > from
	})
}
