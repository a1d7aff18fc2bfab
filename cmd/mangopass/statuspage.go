package main

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/mangopass/mangopass/node/entry"
)

const (
	// shownRunners is the number of runners of each kind that the page lists; --json lists all.
	shownRunners = 10
	// shownOrganisations is the number of organisations that the page lists of each saturated service.
	shownOrganisations = 10
	// minShownAnswers is the decayed number of answers from which on the pace of a runner is shown.
	minShownAnswers = 1
)

// writeStatus prints the state of an entry VM: totals, and the worst few runners.
func writeStatus(w io.Writer, s entry.Status) {
	_, _ = fmt.Fprintf(w,
		"%s: ready %v, stopping %v, manifest %d (proved %d ms ago), planner %s, %d requests waiting, shards %v\n",
		s.Node, s.Ready, s.Stopping, s.Manifest, s.ManifestAgeMs, s.Planner, s.Waiting, s.Shards)
	if s.NotReady != "" {
		_, _ = fmt.Fprintf(w, "not ready: %s\n", s.NotReady)
	}
	writeBookings(w, s)
	_, _ = fmt.Fprintf(w, "callers: %d of %d bytes held, %d of %d connections\n",
		s.Callers.HeldBytes, s.Callers.MaxBytes, s.Callers.Connections, s.Callers.MaxConnections)
	for _, z := range s.Evacuated {
		_, _ = fmt.Fprintf(w, "zone %s: evacuated\n", z)
	}
	for _, p := range s.Peers {
		_, _ = fmt.Fprintf(w, "peer %s: heard %d ms ago, stopping %v\n", p.Node, p.HeardMs, p.Stopping)
	}
	for _, o := range s.Overflow {
		_, _ = fmt.Fprintf(w, "overflow of %s: share %.2f, to %v, waits in ms %v, silent zones %v\n",
			o.Service, o.Share, o.To, o.WaitMs, o.Silent)
	}
	writeShares(w, s.Shares)
	writeRunners(w, s.Runners)
	writePace(w, s)
	writeMemory(w, s.Runners)
	for _, m := range s.Replicas {
		_, _ = fmt.Fprintf(w, "model %s (%s): %d replicas needed, %d present (%d loading), load %.1f, %.1f/s late, %d waiting\n",
			m.Model, m.Service, m.Needed, m.Present, m.Loading, m.Load, m.LatePerSecond, m.Waiting)
	}
}

// writeBookings prints the bookings of the VM since its start, and those of each organisation at present.
func writeBookings(w io.Writer, s entry.Status) {
	b := s.Bookings
	_, _ = fmt.Fprintf(w, "bookings: %d made, %d kept, %d not taken up, %d lost\n", b.Made, b.Kept, b.Lapsed, b.Lost)
	for _, q := range s.Quotas {
		_, _ = fmt.Fprintf(w, "quota of %s: %d requests waiting, %d bookings of %.0f in all, %.0f kept for them\n",
			q.Organisation, q.Waiting, q.Bookings, q.Booked, q.Kept)
	}
}

// writeShares prints the saturated services with the organisations that ask for most of them.
func writeShares(w io.Writer, shares []entry.ShareStatus) {
	for _, of := range shares {
		_, _ = fmt.Fprintf(w, "service %s: saturated for %d ms, %d organisations ask for it\n", of.Service, of.SinceMs, len(of.Organisations))
		for _, o := range of.Organisations[:min(len(of.Organisations), shownOrganisations)] {
			_, _ = fmt.Fprintf(w, "share of %q in %s: asks for %.2f s of target time a second, gets %.2f, share %.2f\n",
				o.Organisation, of.Service, o.Asked, o.Given, o.Share)
		}
	}
}

// writeRunners prints the number of runners by service and zone, and those with the longest queues or in trouble.
func writeRunners(w io.Writer, runners []entry.RunnerStatus) {
	type group struct{ service, zone string }
	type sums struct {
		all, usable, avoided, leaving, paused, cold int
		queuedMs                                    int64
	}
	totals := make(map[group]*sums)
	var order []group
	var worst []entry.RunnerStatus
	for _, r := range runners {
		g := group{r.Service, r.Zone}
		t := totals[g]
		if t == nil {
			t = &sums{}
			totals[g], order = t, append(order, g)
		}
		t.all++
		t.usable += one(r.Usable)
		t.avoided += one(r.Ejected)
		t.leaving += one(r.Leaving)
		t.paused += one(r.PausedMs > 0)
		t.cold += one(r.ColdMs > 0)
		t.queuedMs += r.QueuedMs
		if !r.Usable || r.Ejected || r.PausedMs > 0 || r.ColdMs > 0 || r.QueuedMs > 0 {
			worst = append(worst, r)
		}
	}
	slices.SortFunc(order, func(a, b group) int {
		return cmp.Or(strings.Compare(a.service, b.service), strings.Compare(a.zone, b.zone))
	})
	for _, g := range order {
		t := totals[g]
		_, _ = fmt.Fprintf(w, "runners of %s in %s: %d, %d usable, %d avoided, %d leaving, %d paused, %d cold, %d ms queued\n",
			g.service, g.zone, t.all, t.usable, t.avoided, t.leaving, t.paused, t.cold, t.queuedMs)
	}
	slices.SortStableFunc(worst, func(a, b entry.RunnerStatus) int {
		return cmp.Or(cmp.Compare(one(b.Ejected), one(a.Ejected)), cmp.Compare(b.QueuedMs, a.QueuedMs), cmp.Compare(one(a.Usable), one(b.Usable)))
	})
	for _, r := range worst[:min(len(worst), shownRunners)] {
		_, _ = fmt.Fprintf(w, "runner %s (%s, %s): usable %v, avoided %v, paused for %d ms, cold for %d ms, %d ms queued, models %v\n",
			r.ID, r.Service, r.Zone, r.Usable, r.Ejected, r.PausedMs, r.ColdMs, r.QueuedMs, r.Models)
	}
	writeRest(w, len(worst))
}

// writePace prints the slowest runners that have answered, and the streams that have left slow ones.
func writePace(w io.Writer, s entry.Status) {
	var measured []entry.RunnerStatus
	for _, r := range s.Runners {
		if r.Answers >= minShownAnswers {
			measured = append(measured, r)
		}
	}
	slices.SortStableFunc(measured, func(a, b entry.RunnerStatus) int { return cmp.Compare(b.Slowness, a.Slowness) })
	_, _ = fmt.Fprintf(w, "pace: %d runners measured, %d streams have left slow ones\n", len(measured), s.StreamsMoved)
	for _, r := range measured[:min(len(measured), shownRunners)] {
		_, _ = fmt.Fprintf(w, "pace of runner %s: %.2f times the usual time, by %.0f answers\n", r.ID, r.Slowness, r.Answers)
	}
	writeRest(w, len(measured))
}

// writeMemory prints the model engines whose memory is fullest.
func writeMemory(w io.Writer, runners []entry.RunnerStatus) {
	var known []entry.RunnerStatus
	for _, r := range runners {
		if r.Capacity > 0 {
			known = append(known, r)
		}
	}
	fill := func(r entry.RunnerStatus) float64 { return float64(r.Held+r.Claimed) / float64(r.Capacity) }
	slices.SortStableFunc(known, func(a, b entry.RunnerStatus) int { return cmp.Compare(fill(b), fill(a)) })
	_, _ = fmt.Fprintf(w, "memory: stated by %d runners\n", len(known))
	for _, r := range known[:min(len(known), shownRunners)] {
		_, _ = fmt.Fprintf(w, "memory of runner %s: %d of %d tokens held, %d more claimed\n", r.ID, r.Held, r.Capacity, r.Claimed)
	}
	writeRest(w, len(known))
}

// writeRest prints how many runners were left out.
func writeRest(w io.Writer, listed int) {
	if listed > shownRunners {
		_, _ = fmt.Fprintf(w, "%d more; --json lists them\n", listed-shownRunners)
	}
}

func one(b bool) int {
	if b {
		return 1
	}
	return 0
}
