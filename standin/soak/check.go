package soak

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/mangopass/mangopass/standin/runner"
)

// Bounds of the checks.
const (
	// revokeBound is the time after its removal from which on a key works no more.
	revokeBound = 5 * time.Second
	// leavingBound is the time after the removal of its entry, or its draining, from which on a runner gets no requests.
	leavingBound = 2 * time.Second
	// limitStable is the time after which the entry VMs keep a limit that a runner states, and limitWindow the window in
	// which it may get limitOver times what its limit allows, and limitSlack requests.
	limitStable = 3 * time.Second
	limitWindow = 4 * time.Second
	limitOver   = 1.5
	limitSlack  = 5
	// crashLimit is the number of crashes by one prompt part, and crashedRuns the number of runs with it that may follow
	// later than settled.
	crashLimit  = 5
	crashedRuns = 3
	// memoryBound is the memory of the smallest VMs, in MB.
	memoryBound = 160.0
	// settled is the time after an unplanned fault in which bounds in time do not hold.
	settled = 3 * time.Second
	// heartbeat is the longest time until a change of a runner's entry is in the store.
	heartbeat = 400 * time.Millisecond
	// leaseTime is the time between the orders of two leaders, and thawTime that after the suspension of an entry VM in
	// which its orders may still be on their way.
	leaseTime = 3 * time.Second
	thawTime  = 300 * time.Millisecond
	// statedPause is the pause that a runner asks for. pauseStart is the time after a refusal in which further requests may
	// still be on their way, and pauseRuns the number that each entry VM may send from then on until the end of the pause;
	// each VM has to be refused once itself.
	statedPause = 2 * time.Second
	pauseStart  = 500 * time.Millisecond
	pauseRuns   = 3
	// minTakenUp is the number of streams that are taken up from which on half of them must go on.
	minTakenUp = 12
	// streamEvents is the number of events of a stream.
	streamEvents = 12
	// statedLimit is the limit, in requests a second, of a limited runner.
	statedLimit = 2.0
)

// History is all that a run has shown.
type History struct {
	Start     time.Time
	Faults    []Fault
	Requests  []Request
	Records   []runner.Record // by runner
	RevokedAt time.Duration   // when the manifest without oldKey was acknowledged; zero: never
	PeakMB    []float64       // largest memory of each entry VM's last process
	Ended     []string        // entry VMs whose process does not run at the end
	Added     []Added         // routes, in the order of their manifests
	Probes    []Probe         // in the order of their ends
	Withdrawn []Withdrawn     // keys, in the order of their manifests
	KeyProbes []Probe         // in the order of their ends

	Zones       []string // by runner
	Evacuations []Evacuated
}

// Check returns what breaks a promise, one line each.
func Check(h History) []string {
	c := checker{History: h, runs: make(map[string][]runOf), requests: make(map[string]Request)}
	for _, q := range h.Requests {
		c.requests[q.ID] = q
	}
	for i, record := range h.Records {
		for _, run := range record.Runs {
			c.runs[run.Request] = append(c.runs[run.Request], runOf{Run: run, runner: i})
		}
		c.checkRunner(i, record)
	}
	for _, q := range h.Requests {
		c.checkRequest(q)
	}
	for _, f := range h.Faults {
		c.checkFault(f)
	}
	c.checkCrashes()
	c.checkVersions()
	c.checkManifests()
	c.checkKeys()
	c.checkEvacuations()
	for _, name := range h.Ended {
		c.report("the process of %s does not run at the end", name)
	}
	for i, mb := range h.PeakMB {
		if mb > memoryBound {
			c.report("entry %d used %.0f MB, want at most %.0f", i, mb, memoryBound)
		}
	}
	return c.broken
}

// checkCrashes checks that hardly any request with crashPart reaches an engine once the part has crashed engines often
// enough.
func (c *checker) checkCrashes() {
	crashes := c.crashes()
	if len(crashes) < crashLimit {
		return
	}
	from, runs := crashes[crashLimit-1]+settled, 0
	for id, list := range c.runs {
		for _, run := range list {
			if at := c.at(run.Run); c.requests[id].Tainted && at > from && !c.disturbed(at-settled, at) && !c.apart(from-settled, at) {
				runs++
			}
		}
	}
	if runs > crashedRuns {
		c.report("%d requests with a part that crashes engines reached engines after %v", runs, from)
	}
}

// crashes returns when engines crashed, in the order of time.
func (c *checker) crashes() []time.Duration {
	var out []time.Duration
	for _, record := range c.Records {
		for _, at := range record.CrashedAt {
			out = append(out, at.Sub(c.Start))
		}
	}
	slices.Sort(out)
	return out
}

type checker struct {
	History
	runs     map[string][]runOf // by request
	requests map[string]Request // by ID
	broken   []string
}

// runOf is a run of a request at a runner.
type runOf struct {
	runner.Run
	runner int
}

func (c *checker) report(format string, args ...any) {
	c.broken = append(c.broken, fmt.Sprintf(format, args...))
}

// at returns the time of a run since the start of the load.
func (c *checker) at(r runner.Run) time.Duration { return r.At.Sub(c.Start) }

// checkRequest checks that a request ran no more often than allowed, and that its answer is true, its own and whole.
func (c *checker) checkRequest(q Request) {
	runs := c.runs[q.ID]
	once := q.Route == "confirm" || q.Route == "draft"
	if once && len(runs) > 1 {
		c.report("%s (%s) ran %d times", q.ID, q.Route, len(runs))
	}
	refused := q.Status == http.StatusServiceUnavailable || q.Status == http.StatusTooManyRequests
	if once && refused && len(runs) > 0 {
		c.report("%s (%s) was refused with %d as not run, and ran", q.ID, q.Route, q.Status)
	}
	for _, run := range runs {
		if run.Key != "" {
			c.report("%s: a runner got the caller's key", q.ID)
		}
		if want := map[bool]string{true: "", false: "coop"}[q.Route == "open"]; run.Tenant != want {
			c.report("%s ran for the organisation %q, want %q", q.ID, run.Tenant, want)
		}
		if run.Body != bodyOf(&q) {
			c.report("%s ran with the body %q", q.ID, run.Body)
		}
		if c.RevokedAt > 0 && q.Key == oldKey && q.Route != "open" && q.Sent > c.RevokedAt+revokeBound {
			c.report("%s ran %v after its key was withdrawn", q.ID, q.Sent-c.RevokedAt)
		}
	}
	if q.Status == http.StatusOK {
		c.checkAnswer(q)
	}
}

// checkAnswer checks a successful answer. One that ends early must not look complete.
func (c *checker) checkAnswer(q Request) {
	if q.RequestID != q.ID || !strings.HasSuffix(q.Seal, "."+q.ID) {
		c.report("%s got an answer to %q with the seal %q", q.ID, q.RequestID, q.Seal)
	}
	if !q.Whole {
		return
	}
	if q.Route != "chat" && q.Route != "draft" {
		if !strings.HasSuffix(q.Body, " answers "+q.ID+"\n") {
			c.report("%s got the body %q", q.ID, q.Body)
		}
		return
	}
	first := 1
	if q.LastEvent != "" {
		_, _ = fmt.Sscan(q.LastEvent, &first) // written by takeUp
		first++
	}
	events := eventsOf(q.Body)
	sound := len(events) == streamEvents+1-first && strings.Count(q.Body, "\n") == 3*len(events)
	for i, e := range events {
		sound = sound && e.number == first+i
	}
	if !sound {
		c.report("%s got a stream that is not events %d to %d: %q", q.ID, first, streamEvents, q.Body)
	}
}

// checkVersions checks that the events of a stream, in one answer or over its take-ups, come from one software version.
func (c *checker) checkVersions() {
	began, takenUp, wentOn := make(map[string]string), 0, 0
	for _, q := range c.Requests {
		if q.Route != "chat" || q.Status != http.StatusOK {
			continue
		}
		for _, e := range eventsOf(q.Body) {
			if began[q.began()] == "" {
				began[q.began()] = e.version
			}
			if began[q.began()] != e.version {
				c.report("%s got event %d of %s in the stream of %s, which %s began", q.ID, e.number, e.version, q.began(),
					began[q.began()])
				break
			}
		}
	}
	for _, q := range c.Requests {
		if q.Resumes != "" && !c.unplanned(q.Sent, q.Ended) && !c.released(q.Sent) {
			if takenUp++; q.Status == http.StatusOK {
				wentOn++
			}
		}
	}
	if takenUp >= minTakenUp && 2*wentOn < takenUp {
		c.report("%d of %d streams that were taken up in calm went on", wentOn, takenUp)
	}
}

// released reports whether the versions of engines have changed within settled before a moment.
func (c *checker) released(at time.Duration) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return f.Kind == RunnerReleased && f.Start < at && f.Start+settled > at
	})
}

// checkRunner checks the orders of a runner: each fence has one holder, none is followed by a lower one, and those of two
// holders are as far apart as the lease time. No order may load more than fits.
func (c *checker) checkRunner(index int, record runner.Record) {
	if record.Overload {
		c.report("runner %d was ordered to load more than fits", index)
	}
	holders := make(map[int64]string)
	last := int64(0)
	for i, o := range record.Orders {
		if at := o.At.Sub(c.Start); i > 0 && record.Orders[i-1].Holder != o.Holder && !c.thawed(at) {
			if gap := o.At.Sub(record.Orders[i-1].At); gap < leaseTime {
				c.report("runner %d got an order of %s %v after one of %s", index, o.Holder, gap, record.Orders[i-1].Holder)
			}
		}
		if holder, ok := holders[o.Fence]; ok && holder != o.Holder {
			c.report("runner %d got orders of %s and %s with fence %d", index, holder, o.Holder, o.Fence)
		}
		if o.Fence < last {
			c.report("runner %d got an order with fence %d after %d", index, o.Fence, last)
		}
		holders[o.Fence], last = o.Holder, max(last, o.Fence)
	}
}

// thawed reports whether a suspension of an entry VM has just ended at a moment.
func (c *checker) thawed(at time.Duration) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return (f.Kind == EntryPaused || f.Kind == EntryMisses) && f.End <= at && at < f.End+thawTime
	})
}

// disturbed reports whether an unplanned fault affects the time from a moment to another. Those between entry VMs don't: they
// excuse only what the VMs have to tell each other.
func (c *checker) disturbed(from, to time.Duration) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return !f.Kind.planned() && f.Target != "peer" && f.Start < to && f.End+settled > from
	})
}

// apart reports whether entry VMs may not have heard each other between two moments.
func (c *checker) apart(from, to time.Duration) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return f.Target == "peer" && f.Start < to && f.End+settled > from
	})
}

// unplanned reports whether an unplanned fault, or the crash of an engine, affects the time from a moment to another.
func (c *checker) unplanned(from, to time.Duration) bool {
	return c.disturbed(from, to) || slices.ContainsFunc(c.crashes(), func(at time.Duration) bool {
		return at < to && at+settled > from
	})
}

// stopped reports whether an entry VM was stopped and started again between two moments.
func (c *checker) stopped(from, to time.Duration) bool {
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		return f.Kind == EntryStopped && f.Start < to && f.End+settled > from
	})
}

// checkFault checks what planned work promises, where no unplanned fault disturbs it.
func (c *checker) checkFault(f Fault) {
	switch f.Kind {
	case EntryStopped:
		c.checkStop(f)
	case RunnerLeaves, RunnerDrains:
		c.checkLeaving(f)
	case RunnerLimited:
		c.checkLimit(f)
	case RunnerSays:
		c.checkSaying(f)
	case RunnerPauses:
		c.checkPause(f)
	case RunnerSilent:
		c.checkSilence(f)
	}
}

// checkStop checks that a planned stop of an entry VM cuts off no request that it had sent to a runner.
func (c *checker) checkStop(f Fault) {
	for _, q := range c.Requests {
		if q.Entry == f.Index && q.cutOff() && q.Ended > f.Start && q.Sent < f.End && len(c.runs[q.ID]) > 0 &&
			!c.unplanned(q.Sent, q.Ended) && q.Ended-q.Sent < requestTimeout {
			c.report("%s was cut off by the planned stop of entry %d: %s", q.ID, f.Index, q.Error)
		}
	}
}

// checkLeaving checks that a runner which leaves gets no requests after leavingBound.
func (c *checker) checkLeaving(f Fault) {
	for _, run := range c.Records[f.Index].Runs {
		at := c.at(run)
		if at > f.Start+heartbeat+leavingBound && at < f.End && !c.unplanned(f.Start, at) {
			c.report("%s reached runner %d %v after it had begun to leave", run.Request, f.Index, at-f.Start)
		}
	}
}

// checkSaying checks that a runner which says that it leaves gets no requests after leavingBound from its first answer on.
func (c *checker) checkSaying(f Fault) {
	heard := time.Duration(0)
	for _, run := range c.Records[f.Index].Runs {
		at := c.at(run)
		if q := c.requests[run.Request]; heard == 0 && at > f.Start && q.Status != 0 && q.Whole {
			heard = q.Ended
		}
		if heard != 0 && at > heard+leavingBound && at < f.End && !c.unplanned(f.Start, at) && !c.apart(f.Start, at) {
			c.report("%s reached runner %d %v after it had said that it leaves", run.Request, f.Index, at-heard)
		}
	}
}

// checkPause checks that a runner gets hardly any requests in the pause that it has asked for.
func (c *checker) checkPause(f Fault) {
	refused := c.Records[f.Index].Refused
	for i, first := range refused {
		start, inPause := first.At.Sub(c.Start), 0
		for _, next := range refused[i+1:] {
			if after := next.At.Sub(first.At); after > pauseStart && after < statedPause {
				inPause++
			}
		}
		if start >= f.Start && start < f.End && inPause > pauseRuns*max(1, len(c.PeakMB)) && !c.unplanned(f.Start, start+statedPause) {
			c.report("runner %d got %d requests in the pause that it had asked for", f.Index, inPause)
			return
		}
	}
}

// checkLimit checks that a limited runner gets no more than its limit allows.
func (c *checker) checkLimit(f Fault) {
	allowed := int(limitOver*statedLimit*limitWindow.Seconds()) + limitSlack
	var at []time.Duration
	for _, run := range c.Records[f.Index].Runs {
		if t := c.at(run); t > f.Start+limitStable && t < f.End {
			at = append(at, t)
		}
	}
	if len(at) > allowed && !c.unplanned(f.Start, f.End) && !c.stopped(f.Start, f.End) && !c.apart(f.Start, f.End) {
		c.report("runner %d got %d requests in %v, its limit allows %d", f.Index, len(at), f.End-f.Start-limitStable, allowed)
	}
}
