package entry

import (
	"context"
	"log/slog"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

const (
	// streamRecordCapacity limits the records of streams that wait to be written, originReadCapacity those to be read.
	streamRecordCapacity = 256
	originReadCapacity   = 256
	// originReaders is the number of duties that read records. A store that is silent holds one of them up.
	originReaders = 4
	// recordTimeout is how long the first event of a stream waits for its record.
	recordTimeout = 400 * time.Millisecond
	// maxTxnKeys is the largest number of keys that one call to the store writes or removes.
	maxTxnKeys = 32
	// recordRetryPause is the time between two tries to write the same records.
	recordRetryPause = 20 * time.Millisecond
	// removalRetryPause is the time between two tries to remove records.
	removalRetryPause = 5 * time.Second
)

// streamRecord is a record of a stream to be written, or one that an earlier process has left, to be removed in time.
type streamRecord struct {
	key      string
	value    streamEntry
	deadline time.Time
	written  *ring.Ring[bool] // gets whether the store holds the record; nil: an earlier process has written it
}

// streamRecorder is the duty that writes the records of streams, and removes them after machine.StreamMemory.
type streamRecorder struct {
	store    *platform.Store
	records  *ring.Ring[streamRecord]
	log      *slog.Logger
	outcomes *prometheus.CounterVec
	kept     []keptRecord // the oldest first

	nextRemoval time.Time // not before, after one that has failed
}

// keptRecord is a record in the store.
type keptRecord struct {
	key string
	end time.Time
}

func (s *streamRecorder) run(ctx context.Context) {
	batch := make([]streamRecord, maxTxnKeys)
	for {
		n, err := s.records.PopBatchUntil(ctx, time.Now().Add(machine.StreamMemory/2), batch)
		if err != nil {
			return
		}
		s.write(ctx, batch[:n])
		s.removeEnded(ctx)
	}
}

// write writes records until the store has them or the first of them is late. A write without an answer may still be applied:
// the call whose stream it records has then ended.
func (s *streamRecorder) write(ctx context.Context, batch []streamRecord) {
	txn, deadline := platform.Txn{}, time.Time{}
	for _, b := range batch {
		s.kept = append(s.kept, keptRecord{b.key, time.Now().Add(machine.StreamMemory)})
		if b.written == nil {
			continue
		}
		txn.Writes = append(txn.Writes, platform.Write{Key: b.key, Value: marshal(b.value)})
		if deadline.IsZero() || b.deadline.Before(deadline) {
			deadline = b.deadline
		}
	}
	if len(txn.Writes) == 0 {
		return
	}
	outcome, err := s.commit(ctx, txn, deadline)
	if outcome != platform.Applied {
		s.log.Warn("streams not recorded", "streams", len(txn.Writes), "outcome", outcome.String(), "error", errorText(err))
	}
	s.outcomes.WithLabelValues(outcome.String()).Add(float64(len(txn.Writes)))
	for _, b := range batch {
		if b.written != nil {
			b.written.TryPush(outcome == platform.Applied)
		}
	}
}

func (s *streamRecorder) commit(
	ctx context.Context, txn platform.Txn, deadline time.Time,
) (outcome platform.Outcome, err error) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	for {
		txn.Era = s.store.Era()
		if _, outcome, err = s.store.Commit(ctx, txn); outcome == platform.Applied || !duty.Pause(ctx, recordRetryPause) {
			return outcome, err
		}
	}
}

// removeEnded removes the records that nobody asks for any more, many with one call.
func (s *streamRecorder) removeEnded(ctx context.Context) {
	for n := min(len(s.kept), maxTxnKeys); n > 0; n = min(len(s.kept), maxTxnKeys) {
		now := time.Now()
		few := now.Before(s.kept[n-1].end) && now.Before(s.kept[0].end.Add(machine.StreamMemory))
		if few || now.Before(s.nextRemoval) {
			return
		}
		txn, ended := platform.Txn{Era: s.store.Era()}, 0
		for _, k := range s.kept[:n] {
			if now.Before(k.end) {
				break
			}
			if ended++; !slices.Contains(txn.Removes, k.key) { // a caller may use an ID twice
				txn.Removes = append(txn.Removes, k.key)
			}
		}
		if _, outcome, err := s.store.Commit(ctx, txn); outcome != platform.Applied {
			s.nextRemoval = now.Add(removalRetryPause)
			s.log.Warn("stream records not removed", "records", len(txn.Removes), "outcome", outcome.String(),
				"error", errorText(err))
			return
		}
		s.kept = append(s.kept[:0], s.kept[ended:]...)
	}
}

// recordStream has the store hold what begins the caller's stream, before its first event is passed on: a VM that knows
// nothing of the stream would otherwise take it for one of the default version.
func (x *exchange) recordStream(ctx context.Context, a attempt) error {
	written := ring.New[bool]("stream record", 1)
	deadline := time.Now().Add(recordTimeout)
	pushed := x.streamRecords.TryPush(streamRecord{
		key: keyOfStream(a.stream), deadline: deadline, written: written,
		value: streamEntry{Service: a.artifact.Service, Version: a.version, Node: x.node},
	})
	if !pushed {
		return errors.Wrap(errUnrecorded, "too many records wait")
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	if ok, err := written.Pop(ctx); err != nil || !ok {
		return errors.Wrap(errUnrecorded, "the store has not taken it")
	}
	return nil
}

// originRead asks for the record of the stream that a call takes up.
type originRead struct {
	call *call
	id   link.StreamID
}

// originReads is the ring to the duties that read records.
type originReads struct{ ring *ring.Ring[originRead] }

func (o originReads) tryPush(read originRead) bool { return o.ring != nil && o.ring.TryPush(read) }

// originReader is one of the duties that read the records of streams.
type originReader struct {
	store   *platform.Store
	reads   *ring.Ring[originRead]
	routing *ring.Ring[message]
}

func (o *originReader) run(ctx context.Context) {
	for {
		read, err := o.reads.Pop(ctx)
		if err != nil {
			return
		}
		if read.call.ctx.Err() != nil {
			continue // its caller has gone, while others wait
		}
		found := originFound{call: read.call}
		found.entry, found.era, found.outcome, found.cause = o.store.Get(ctx, keyOfStream(read.id))
		if o.routing.Push(ctx, found) != nil {
			return
		}
	}
}
