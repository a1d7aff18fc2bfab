package entry

import (
	"testing"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/contract"
)

// queryRoutes returns the routing duty's reply to a query.
func (h *harness) queryRoutes(q routesQuery) routesReply {
	q.reply = ring.New[routesReply]("routes", 1)
	h.apply(q)
	reply, _ := q.reply.TryPop()
	return reply
}

// TestRouteQueriesNeedFreshManifest guards callers of the API against answers from a manifest that may be outdated: a list
// of routes for a key that has been withdrawn, and 401 or 404 for a key or a route that has been added.
func TestRouteQueriesNeedFreshManifest(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	known := routesQuery{name: "open"}
	queries := map[string]routesQuery{
		"a key in force":   {key: contract.HashKey("key"), hasKey: true},
		"an unknown key":   {key: contract.HashKey("unknown"), hasKey: true},
		"an unknown route": {name: "unknown"},
	}
	h.now = h.now.Add(4 * time.Second)
	for name, q := range queries {
		if reply := h.queryRoutes(q); reply.refusal == nil || reply.refusal.Code != contract.ManifestStale {
			t.Errorf("%s, stale manifest: reply %+v, want a refusal with %s", name, reply, contract.ManifestStale)
		}
	}
	if reply := h.queryRoutes(known); len(reply.routes) != 1 {
		t.Errorf("a known route, stale manifest: reply %+v, want the route, which admission checks again", reply)
	}
	h.apply(storeChanged{sent: h.now})
	for name, want := range map[string]contract.Code{
		"a key in force": "", "an unknown key": contract.InvalidKey, "an unknown route": contract.RouteNotFound,
	} {
		reply := h.queryRoutes(queries[name])
		if got := codeOf(reply.refusal); got != want {
			t.Errorf("%s, fresh manifest: refusal %q, want %q", name, got, want)
		}
	}
}

// TestRouteQueriesUnderPartlyReadableManifest guards callers of the API against 401 or 404 for a key or a route that the manifest may state
// in a part which can't be read.
func TestRouteQueriesUnderPartlyReadableManifest(t *testing.T) {
	h := newHarness()
	h.setUp("r1")
	h.write(withField(2, "tenants", `[{"name":"coop","keys":["key",7]},{"name":7,"keys":["other"]}]`), 11)
	for key, want := range map[string]contract.Code{
		"key": "", "other": contract.ManifestInvalid, "unknown": contract.ManifestInvalid, "": contract.InvalidKey,
	} {
		reply := h.queryRoutes(routesQuery{key: contract.HashKey(key), hasKey: key != ""})
		if got := codeOf(reply.refusal); got != want {
			t.Errorf("key %q: refusal %q, want %q", key, got, want)
		}
	}
	h.write(withField(3, "routes", `7`), 12)
	if got := codeOf(h.queryRoutes(routesQuery{name: "stock"}).refusal); got != contract.ManifestInvalid {
		t.Errorf("no route can be read: refusal %q, want %q", got, contract.ManifestInvalid)
	}
}

func codeOf(r *contract.Refusal) contract.Code {
	if r == nil {
		return ""
	}
	return r.Code
}
