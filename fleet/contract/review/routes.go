package review

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/mangopass/mangopass/fleet/contract"
)

// reviewRoutes checks the routes, alone and beside each other.
func reviewRoutes(d *contract.Draft, list *[]Finding) {
	names := make(map[string]int)
	places := make(map[[2]string]int)
	services := make(map[contract.ServiceName]bool, len(d.Services))
	for _, s := range d.Services {
		services[s.Name] = true
	}
	for i, r := range d.Routes {
		f := findings{object: Route, index: i, list: list}
		if first, taken := names[r.Name]; taken {
			f.warning(Name, fmt.Sprintf("%q is the name of route %d too; logs and callers can't tell them apart", r.Name, first))
		} else {
			names[r.Name] = i
		}
		place := [2]string{strings.ToLower(r.Host), r.Prefix}
		if first, taken := places[place]; taken {
			f.error(Prefix, fmt.Sprintf("never matches: route %d (%q) has the same host and prefix", first, d.Routes[first].Name))
		} else {
			places[place] = i
		}
		reviewRoute(f, r, d.NeedsKeys)
		reviewBackends(f, r, services)
	}
}

func reviewRoute(f findings, r *contract.Route, keys bool) {
	if strings.ContainsAny(r.Host, ":/ ") && !strings.HasPrefix(r.Host, "[") {
		f.error(Host, fmt.Sprintf("%q never matches: hosts are compared without scheme, port and path", r.Host))
	}
	switch {
	case !strings.HasPrefix(r.Prefix, "/"):
		f.error(Prefix, fmt.Sprintf("%q never matches: paths begin with a slash", r.Prefix))
	case strings.ContainsAny(r.Prefix, "?# "):
		f.error(Prefix, fmt.Sprintf("%q never matches: paths end before a query, a fragment or a space", r.Prefix))
	case !strings.HasSuffix(r.Prefix, "/"):
		f.error(Prefix, fmt.Sprintf("%q does not end with a slash; it also matches paths that only begin alike", r.Prefix))
	}
	switch {
	case r.Objective <= 0:
		f.warning(Objective, "is missing; all answers are late")
	case r.Objective > r.Timeout:
		f.warning(Objective, fmt.Sprintf("%v is over the timeout of %v; no answer can be late", r.Objective, r.Timeout))
	}
	if r.Kind != contract.Stream && r.Resumable {
		f.warning(Resumable, "has no effect: the route's answers are no streams")
	}
	if r.Kind != contract.Stream && r.MaxGap > 0 {
		f.warning(MaxGap, "has no effect: the route's answers are no streams")
	}
	if r.MaxGap > r.Timeout {
		f.warning(MaxGap, fmt.Sprintf("%v is over the timeout of %v", r.MaxGap, r.Timeout))
	}
	if r.MaxAttempts > 1 && !r.Repeatable() {
		f.warning(MaxAttempts, fmt.Sprintf("%d attempts of a route whose requests may run once: only what certainly has not run is sent again",
			r.MaxAttempts))
	}
	if r.Priority < 0 {
		f.warning(Priority, "is negative; 0 is the most urgent")
	}
	if r.Public && !keys {
		f.warning(Public, "has no effect: without organisations no request needs a key")
	}
}

func reviewBackends(f findings, r *contract.Route, services map[contract.ServiceName]bool) {
	total := 0.0
	seen := make(map[contract.ServiceName]bool)
	for i, b := range r.Backends {
		item := strconv.Itoa(i)
		switch {
		case !services[b.Service]:
			f.add(Error, BackendService, item, fmt.Sprintf("there is no service %q", b.Service))
		case seen[b.Service]:
			f.add(Warning, BackendService, item, fmt.Sprintf("%q is listed before; its weights add up", b.Service))
		}
		seen[b.Service] = true
		if b.Weight < 0 {
			f.add(Error, BackendWeight, item, "is negative")
		}
		total += max(0, b.Weight)
	}
	if total == 0 {
		f.error(Backends, "all weights are zero; which service gets the requests is undefined")
	}
}
