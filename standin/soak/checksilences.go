package soak

import (
	"slices"
	"time"
)

// checkSilence checks that no answer is broken off because its runner was silent for a while and would have gone on.
func (c *checker) checkSilence(f Fault) {
	for _, q := range c.Requests {
		if !q.cutOff() || q.Ended-q.Sent >= requestTimeout {
			continue
		}
		runs := c.runs[q.ID]
		slices.SortFunc(runs, func(a, b runOf) int { return a.At.Compare(b.At) })
		for i, run := range runs {
			if run.runner == f.Index && run.Cancelled && c.at(run.Run) < f.End && q.Ended > f.Start && !c.excused(q, runs[:i+1]) {
				c.report("%s was broken off after runner %d had been silent for %v at most: %s", q.ID, f.Index, f.End-f.Start, q.Error)
			}
		}
	}
}

// excused reports whether the end of an entry VM, or a fault of a runner of these runs or of the link to it, may have broken off
// an answer.
func (c *checker) excused(q Request, runs []runOf) bool {
	near := func(from, to time.Duration) bool { return from < q.Ended && to+settled > q.Sent }
	uses := func(runner int) bool {
		return slices.ContainsFunc(runs, func(r runOf) bool { return r.runner == runner })
	}
	for index, record := range c.Records {
		for _, at := range record.CrashedAt {
			if crash := at.Sub(c.Start); uses(index) && near(crash, crash) {
				return true
			}
		}
	}
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		switch f.Target {
		case "entry":
			return f.Index == q.Entry && near(f.Start, f.End)
		case "entries":
			return near(f.Start, f.End)
		case "link", "runner":
			return !f.Kind.planned() && uses(f.Index) && near(f.Start, f.End)
		}
		return false
	})
}
