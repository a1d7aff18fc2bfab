package entry

import (
	"context"
	"encoding/json"
	"log/slog"
	"strings"
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/platform"
)

// Timing of the watch on the store.
const (
	// watchWait is the longest wait of one watch call. Each return confirms that the manifest was the newest when the
	// call was sent.
	watchWait = 400 * time.Millisecond
	// watchPause is the time between the return of a watch call and the next call, so that frequent changes come in
	// batches.
	watchPause = 800 * time.Millisecond
	// retryPause is the time between calls while the store does not answer.
	retryPause = 250 * time.Millisecond
	// probeTimeout limits the calls that find out whether the store is back. It is short, since what the VM does after an outage
	// counts from the last call that failed.
	probeTimeout = 500 * time.Millisecond
	// returnPause replaces watchPause while the entries of runners come back after an outage.
	returnPause = 100 * time.Millisecond
	// maxGap is the longest time without an answer after which the watch goes on from the revision before.
	maxGap = time.Second
)

// watch is the duty that reads the platform's store: the manifest, the runners and mangopass's own keys.
type watch struct {
	store   *platform.Store
	routing *ring.Ring[message]
	feeds   *ring.Ring[storeFed]
	log     *slog.Logger

	node        string
	leftRecords *ring.Ring[streamRecord] // takes the records of streams that an earlier process of this VM has left

	position   link.Position // the next watch continues from here; no revision: list everything first
	known      link.Position // the last position read
	answeredAt clock.Instant // last answer of the store; zero: none
	outage     link.OutageTracker
	available  bool
}

func (w *watch) run(ctx context.Context) {
	for ctx.Err() == nil {
		if !w.rest(ctx, w.poll(ctx)) {
			return
		}
	}
}

// rest waits for the given time, and longer while a relay passes on the store's changes. It reports false if the context
// ends.
func (w *watch) rest(ctx context.Context, pause time.Duration) bool {
	deadline := time.Now().Add(pause)
	buf := make([]storeFed, 1)
	for {
		n, err := w.feeds.PopBatchUntil(ctx, deadline, buf)
		if err != nil {
			return false
		}
		if n == 0 {
			return true
		}
		if fed := buf[0]; w.position.Revision != 0 && fed.position.Era == w.position.Era && !fed.position.Before(w.position) {
			w.position, w.known, w.answeredAt = fed.position, fed.position, clock.Now()
			w.outage.Reset()
			deadline = time.Now().Add(fed.rest)
		}
	}
}

// poll makes one call to the store and passes the result to the routing duty. It returns the pause until the next call.
func (w *watch) poll(ctx context.Context) time.Duration {
	if !w.available && w.answeredAt != 0 {
		if outcome, sent, err := w.probe(ctx); !outcome.Answered() {
			return w.handleFailure(outcome, err, sent, probeTimeout)
		}
	}
	sent := clock.Now()
	complete := w.position.Revision == 0
	var entries []platform.Entry
	var position link.Position
	var outcome platform.Outcome
	var err error
	if complete {
		entries, position, outcome, err = w.store.List(ctx, "")
	} else {
		entries, position, outcome, err = w.store.Watch(ctx, "", w.position, watchWait)
	}
	if outcome != platform.Applied {
		return w.handleFailure(outcome, err, sent, watchWait+platform.StoreCallTimeout)
	}
	w.answered()
	w.answeredAt = clock.Now()
	if !w.available {
		w.available = true
		w.log.Info("store available", "revision", position.Revision, "era", position.Era)
	}
	w.position, w.known = position, position
	if complete {
		w.takeLeftRecords(entries)
	}
	change := decodeChange(entries)
	change.complete, change.sent, change.position = complete, sent, position
	change.outage = w.outage.Last()
	_ = w.routing.Push(ctx, change) // fails only when the process stops
	if ended := change.outage.EndedAt; ended != 0 && clock.Now().Sub(ended) < machine.MissingGrace {
		return returnPause
	}
	return watchPause
}

// probe reads one key to find out whether the store is back. It also returns when the call was sent.
func (w *watch) probe(ctx context.Context) (platform.Outcome, clock.Instant, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	sent := clock.Now()
	_, _, outcome, err := w.store.Get(ctx, platform.KeyManifest)
	if outcome.Answered() {
		w.answered()
	}
	return outcome, sent, err
}

// answered takes note of an answer of the store.
func (w *watch) answered() {
	if w.outage.Answered() {
		last := w.outage.Last()
		w.log.Info("store outage over", "ended_ms_ago", clock.Now().Sub(last.EndedAt).Milliseconds(),
			"known_up_to", last.Before.Revision)
	}
}

// handleFailure takes note of a call that was sent at the given instant and failed. It returns the pause until the next call.
func (w *watch) handleFailure(outcome platform.Outcome, err error, sent clock.Instant, timeout time.Duration) time.Duration {
	switch outcome {
	case platform.Compacted:
		w.log.Info("store history lost", "revision", w.position.Revision, "era", w.position.Era)
		w.position = link.Position{}
		return watchPause
	case platform.Restored:
		w.log.Warn("store era", "era", w.store.Era(), "before", w.position.Era, "revision", w.position.Revision)
		w.position = link.Position{}
		return 0
	}
	w.outage.Failed(link.FailedCall{Sent: sent, Ended: clock.Now(), Timeout: timeout, Pause: retryPause, Known: w.known})
	if w.available {
		w.available = false
		w.log.Warn("store unavailable", "outcome", outcome.String(), "error", errorText(err))
	}
	if w.answeredAt != 0 && clock.Now().Sub(w.answeredAt) > maxGap {
		w.position = link.Position{} // changes may have been missed: list everything again
	}
	return retryPause
}

// takeLeftRecords has the records of streams removed in time that an earlier process of this VM has written.
func (w *watch) takeLeftRecords(entries []platform.Entry) {
	for _, e := range entries {
		var record streamEntry
		if strings.HasPrefix(e.Key, prefixStreams) && json.Unmarshal(e.Value, &record) == nil && record.Node == w.node {
			w.leftRecords.TryPush(streamRecord{key: e.Key}) // those that find the ring full stay until the next start
		}
	}
}

// decodeChange groups entries into the manifest, the runners, the evacuated zones and mangopass's own keys; it ignores others.
func decodeChange(entries []platform.Entry) storeChanged {
	var out storeChanged
	for _, e := range entries {
		id, isRunner := platform.RunnerID(e.Key)
		switch {
		case e.Key == platform.KeyManifest:
			out.manifest = &e
		case isRunner && e.Deleted:
			out.runners = append(out.runners, runnerChange{id: id, entry: e, gone: true})
		case isRunner:
			a, err := platform.DecodeRunner(e)
			out.runners = append(out.runners, runnerChange{id: id, entry: e, announcement: a, invalid: err})
		case strings.HasPrefix(e.Key, platform.PrefixEvacuations):
			out.zones = append(out.zones, evacuationOf(e))
		case strings.HasPrefix(e.Key, prefixStreams): // read when the caller takes the stream up
		case strings.HasPrefix(e.Key, prefixOwn):
			out.ownKeys = append(out.ownKeys, ownKeyChange{
				key: e.Key, value: e.Value, revision: e.Revision, gone: e.Deleted,
			})
		}
	}
	return out
}
