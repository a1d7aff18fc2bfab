package entry

import (
	"time"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/platform"
)

// Relays watch the platform's store and pass its changes on to the VMs below, which read the store themselves only while
// they get no such feed.
const (
	// maxFeedAge is the age of a feed's proof of freshness from which on a VM asks the store itself. A quiet watch
	// answers after watchWait and watchPause. A relay that is cut off from the store goes on to pass on what it knew, so
	// the age bounds the time until a manifest is in force below it.
	maxFeedAge = watchWait + watchPause + 200*time.Millisecond
	// maxAnswerAge is how long this VM remembers when it sent a report, to date the feed that answers it.
	maxAnswerAge = 5 * time.Second
	// minSharedOutage is the time for which a VM below a relay must have lacked any proof of the store's state for an outage that
	// the relay reports to have been its own too. While the store is there, proofs come at least every maxFeedAge. Entries lapse
	// after a longer silence than this.
	minSharedOutage = 2 * time.Second
)

// storeFed tells the watch that a relay has passed on all changes up to a revision, and how long the watch may rest.
type storeFed struct {
	position link.Position
	rest     time.Duration
}

// noteSent remembers when a report to the relay was made.
func (m *members) noteSent(sequence uint64, now clock.Instant) {
	m.sentAt[sequence] = now
	for s, at := range m.sentAt {
		if now.Sub(at) > maxAnswerAge {
			delete(m.sentAt, s)
		}
	}
}

// feedFor returns the changes of the store that a VM below has not got yet, with the proof that they are all; nil if
// the VM has not read the store yet, or if this one does not know what changed since.
func (r *routing) feedFor(p *peer) *link.StoreFeed {
	from := p.storePosition
	confirmedAt, confirmed := r.freshness.ConfirmedAt()
	if from.Revision == 0 || !confirmed {
		return nil
	}
	if p.fed.Era == from.Era && from.Before(p.fed) {
		from = p.fed
	}
	entries, complete := r.changes.Since(from)
	if !complete {
		return nil
	}
	p.feedSent = r.changes.Position()
	sinceOutage := time.Duration(0)
	if r.outage.EndedAt != 0 {
		sinceOutage = p.heardAt.Sub(r.outage.EndedAt)
	}
	return &link.StoreFeed{
		Era: from.Era, From: from.Revision, To: p.feedSent.Revision, Entries: entries, SinceOutage: sinceOutage,
		Boot: p.Boot, Answers: p.sequence, Age: p.heardAt.Sub(confirmedAt),
	}
}

// applyFeed applies the store's changes that a relay passes on, if none is missing between them and what this VM knows.
func (r *routing) applyFeed(f *link.StoreFeed, now clock.Instant) {
	known := r.changes.Position()
	if f == nil || f.Boot != r.boot || f.Era != known.Era || known.Revision < f.From || f.To < known.Revision {
		return
	}
	sentAt, ok := r.members.sentAt[f.Answers]
	if !ok {
		return
	}
	proof := min(sentAt.Add(-f.Age), now)
	var entries []platform.Entry
	for _, e := range f.Entries {
		if e.Revision > known.Revision {
			entries = append(entries, platform.Entry(e))
		}
	}
	change := decodeChange(entries)
	change.position, change.sent = link.Position{Era: f.Era, Revision: f.To}, proof
	if provedAt, _ := r.freshness.ConfirmedAt(); f.SinceOutage != 0 && proof.Sub(provedAt) >= minSharedOutage {
		change.outage = link.Outage{EndedAt: min(sentAt.Add(-f.SinceOutage), now), Before: known}
	}
	r.fedAt = now
	change.apply(r, now)
	if left := maxFeedAge - now.Sub(proof); left > 0 && r.feeds != nil {
		r.feeds.TryPush(storeFed{position: change.position, rest: min(left, r.members.silenceLimit())})
	}
}
