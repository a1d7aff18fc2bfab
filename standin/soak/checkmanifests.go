package soak

import (
	"net/http"
	"slices"
	"time"
)

// forceBound is the time after its acknowledgement within which a manifest is in force everywhere.
const forceBound = 4 * time.Second

// checkManifests checks that a route is served once its manifest has been acknowledged for forceBound, unless the entry VM
// was disturbed or could not read the store, and that no VM goes back to a manifest without a route that it has served.
func (c *checker) checkManifests() {
	newest := make(map[int]int) // by entry VM: the newest route that it has served
	for _, p := range c.Probes {
		added := c.Added[p.Target]
		served, known := newest[p.Entry]
		switch {
		case p.Status == http.StatusOK:
			newest[p.Entry] = max(served, p.Target)
		case p.Status != http.StatusNotFound:
		case known && p.Target <= served:
			c.report("entry %d refuses the route %s, which it had served before, with 404", p.Entry, added.Name)
		case p.Sent > added.At+forceBound && !c.unsynced(p.Entry, added.At, p.Ended):
			c.report("entry %d refuses the route %s with 404 %v after its acknowledgement", p.Entry, added.Name, p.Sent-added.At)
		}
	}
}

// unsynced reports whether an entry VM was disturbed between two moments, or its link to the store, or the store.
func (c *checker) unsynced(entry int, from, to time.Duration) bool {
	link := len(c.Records) + entry
	return slices.ContainsFunc(c.Faults, func(f Fault) bool {
		concerned := f.Target == "store" || f.Target == "entry" && f.Index == entry || f.Target == "link" && f.Index == link
		return concerned && f.Start < to && f.End+settled > from
	})
}
