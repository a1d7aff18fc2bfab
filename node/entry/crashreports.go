package entry

import (
	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/link"
)

// maxUnconfirmedCrashes limits the reports without an answer whose broken runs are stated again. The oldest go first.
const maxUnconfirmedCrashes = 64

// crashReports holds the broken runs that a neighbour may not have counted yet. A broken run counts each time that it is
// reported, so one whose report had no answer is stated again with the sequence number of that report: the neighbour counts it
// unless it has applied the report.
type crashReports struct {
	unreported  []uint64 // request digests
	unconfirmed []link.CrashBatch
}

// addTo adds the broken runs to a report.
func (c *crashReports) addTo(report *link.Report) {
	report.StruckBefore = c.unconfirmed[:len(c.unconfirmed):len(c.unconfirmed)]
	report.Struck, c.unreported = c.unreported, nil
	if len(report.Struck) > 0 {
		c.unconfirmed = append(c.unconfirmed, link.CrashBatch{Sequence: report.Sequence, Digests: report.Struck})
		c.unconfirmed = c.unconfirmed[max(0, len(c.unconfirmed)-maxUnconfirmedCrashes):]
	}
}

// confirm takes note that the last report has been applied.
func (c *crashReports) confirm() { c.unconfirmed = nil }

// applyCrashes counts the broken runs that a neighbour reports and has not reported before.
func (r *routing) applyCrashes(in link.Report, p *peer, now clock.Instant) {
	for _, batch := range in.StruckBefore {
		if batch.Sequence > p.crashesAppliedTo {
			r.countCrashes(batch.Digests, in.Node, now)
		}
	}
	r.countCrashes(in.Struck, in.Node, now)
	p.crashesAppliedTo = in.Sequence
}

func (r *routing) countCrashes(digests []uint64, source string, now clock.Instant) {
	for _, digest := range digests {
		r.countCrash(digest, source, now)
	}
}

// countCrash counts a broken run of a request and passes it on; source is the VM that reported it, empty for this one.
func (r *routing) countCrash(digest uint64, source string, now clock.Instant) {
	r.crashes.Add(digest, now)
	r.passOn(source, func(p *peer) { p.crashes.unreported = append(p.crashes.unreported, digest) })
}
