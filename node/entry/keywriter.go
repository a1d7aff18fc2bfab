package entry

import (
	"context"
	"log/slog"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/platform"
)

// keyWriteCapacity is the number of writes that can wait for the duty.
const keyWriteCapacity = 2 * maxStoredBlocks

// keyWrite is a change of one of mangopass's keys in the store that aren't leased, if the key still has the given revision.
type keyWrite struct {
	key      string
	era      int64 // of the revision
	revision int64
	value    any // written as JSON; nil: the key is removed
}

// keyWriter is the duty that writes mangopass's keys that aren't leased. The watch shows what was written.
type keyWriter struct {
	store   *platform.Store
	writes  *ring.Ring[keyWrite]
	routing *ring.Ring[message]
	log     *slog.Logger
}

func (k *keyWriter) run(ctx context.Context) {
	for {
		w, err := k.writes.Pop(ctx)
		if err != nil {
			return
		}
		txn := platform.Txn{Era: w.era, Conditions: []platform.Condition{{Key: w.key, Revision: w.revision}}}
		var value []byte
		if w.value != nil {
			value = marshal(w.value)
			txn.Writes = []platform.Write{{Key: w.key, Value: value}}
		} else {
			txn.Removes = []string{w.key}
		}
		switch revision, outcome, err := k.store.Commit(ctx, txn); outcome {
		case platform.Applied:
			written := keyWritten{write: w, value: value, at: link.Position{Era: w.era, Revision: revision}}
			_ = k.routing.Push(ctx, written) // fails only when the process stops
		case platform.Conflict:
		default:
			k.log.Warn("key not written", "key", w.key, "outcome", outcome.String(), "error", errorText(err))
		}
	}
}
