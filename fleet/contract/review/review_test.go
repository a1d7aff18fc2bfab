package review

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
)

// sound returns a manifest without findings.
func sound() *contract.Draft {
	return &contract.Draft{
		Version: 7, BodyBytes: 4 << 20,
		Services: []*contract.Service{{Name: "plain"}, {Name: "language", Engine: &contract.Engine{
			WeightsMB: 100, AdapterSlots: 4, LoadsPerSecond: 2, HostMB: 50,
			Models: map[contract.ModelName]contract.Model{"m": {
				Name: "m", WeightsMB: 40, AdapterMB: 1, Adapters: 3, LoadCold: 6 * time.Second, LoadDisk: time.Second, LoadWarm: time.Second / 2,
			}},
		}}},
		Routes: []*contract.Route{
			{Name: "chat", Host: "h", Prefix: "/chat/", Kind: contract.Stream, Resumable: true, Timeout: 20 * time.Second,
				Objective: time.Second, MaxGap: time.Second, MaxAttempts: 3, Backends: []contract.Backend{{Service: "language", Weight: 1}}},
			{Name: "orders", Host: "h", Prefix: "/", Kind: contract.Unsafe, Timeout: time.Second, Objective: time.Second, MaxAttempts: 1,
				Backends: []contract.Backend{{Service: "plain", Weight: 9}, {Service: "language"}}},
		},
		NeedsKeys: true,
		Organisations: []*contract.Organisation{
			{Name: "north", Keys: []contract.KeyHash{contract.HashKey("n1"), contract.HashKey("n2")},
				Limit: contract.Limit{PerSecond: 10, Burst: 400, InTokens: true, PlainTokens: 200}},
			{Name: "south", Keys: []contract.KeyHash{contract.HashKey("s1")}, Limit: contract.Limit{PerSecond: 1, Burst: 1}},
		},
	}
}

// change applies a change to a model of the sound manifest.
func model(change func(*contract.Model)) func(*contract.Draft) {
	return func(d *contract.Draft) {
		m := d.Services[1].Engine.Models["m"]
		change(&m)
		d.Services[1].Engine.Models["m"] = m
	}
}

// TestReview guards against a mistake in a manifest that is not found, found at another place, or takes a sound manifest for a wrong one:
// each case makes one mistake in a sound manifest.
func TestReview(t *testing.T) {
	route := func(i int, change func(*contract.Route)) func(*contract.Draft) {
		return func(d *contract.Draft) { change(d.Routes[i]) }
	}
	limit := func(i int, change func(*contract.Limit)) func(*contract.Draft) {
		return func(d *contract.Draft) { change(&d.Organisations[i].Limit) }
	}
	for _, c := range []struct {
		name  string
		apply func(*contract.Draft)
		want  Severity
		place Place
		text  string // part of it
	}{
		{"body limit zero", func(d *contract.Draft) { d.BodyBytes = 0 }, Warning, Place{Manifest, 0, BodyLimit, ""}, "zero"},
		{"body limit negative", func(d *contract.Draft) { d.BodyBytes = -1 }, Error, Place{Manifest, 0, BodyLimit, ""}, "negative"},
		{"no organisations", func(d *contract.Draft) { d.NeedsKeys, d.Organisations = false, nil }, Warning, Place{Manifest, 0, Organisations, ""}, "anybody"},
		{"no organisation in the list", func(d *contract.Draft) { d.Organisations = nil }, Warning, Place{Manifest, 0, Organisations, ""}, "all callers"},
		{"same host and prefix", route(1, func(r *contract.Route) { r.Host, r.Prefix = "H", "/chat/" }), Error, Place{Route, 1, Prefix, ""}, "never matches"},
		{"no slash at the begin", route(0, func(r *contract.Route) { r.Prefix = "chat/" }), Error, Place{Route, 0, Prefix, ""}, "never matches"},
		{"no slash at the end", route(0, func(r *contract.Route) { r.Prefix = "/chat" }), Error, Place{Route, 0, Prefix, ""}, "end with a slash"},
		{"query in a prefix", route(0, func(r *contract.Route) { r.Prefix = "/chat?x=/" }), Error, Place{Route, 0, Prefix, ""}, "never matches"},
		{"port in a host", route(0, func(r *contract.Route) { r.Host = "h:80" }), Error, Place{Route, 0, Host, ""}, "never matches"},
		{"same name", route(1, func(r *contract.Route) { r.Name = "chat" }), Warning, Place{Route, 1, Name, ""}, "route 0"},
		{"no objective", route(0, func(r *contract.Route) { r.Objective = 0 }), Warning, Place{Route, 0, Objective, ""}, "late"},
		{"objective over timeout", route(1, func(r *contract.Route) { r.Objective = 2 * time.Second }), Warning, Place{Route, 1, Objective, ""}, "over the timeout"},
		{"resumable without stream", route(1, func(r *contract.Route) { r.Resumable = true }), Warning, Place{Route, 1, Resumable, ""}, "no effect"},
		{"pause without stream", route(1, func(r *contract.Route) { r.MaxGap = time.Second }), Warning, Place{Route, 1, MaxGap, ""}, "no effect"},
		{"pause over timeout", route(0, func(r *contract.Route) { r.MaxGap = time.Minute }), Warning, Place{Route, 0, MaxGap, ""}, "over the timeout"},
		{"attempts of an unsafe route", route(1, func(r *contract.Route) { r.MaxAttempts = 2 }), Warning, Place{Route, 1, MaxAttempts, ""}, "may run once"},
		{"priority", route(1, func(r *contract.Route) { r.Priority = -1 }), Warning, Place{Route, 1, Priority, ""}, "negative"},
		{"no such service", route(0, func(r *contract.Route) { r.Backends[0].Service = "x" }), Error, Place{Route, 0, BackendService, "0"}, `"x"`},
		{"service twice", route(1, func(r *contract.Route) { r.Backends[1].Service = "plain" }), Warning, Place{Route, 1, BackendService, "1"}, "before"},
		{"weights zero", route(1, func(r *contract.Route) { r.Backends[0].Weight = 0 }), Error, Place{Route, 1, Backends, ""}, "zero"},
		{"weight negative", route(1, func(r *contract.Route) { r.Backends[1].Weight = -1 }), Error, Place{Route, 1, BackendWeight, "1"}, "negative"},
		{"service without a route", func(d *contract.Draft) { d.Services = append(d.Services, &contract.Service{Name: "x"}) }, Warning, Place{Service, 2, Name, ""}, "no route"},
		{"service twice in the list", func(d *contract.Draft) { d.Services = append(d.Services, &contract.Service{Name: "plain"}) }, Error, Place{Service, 2, Name, ""}, "service 0"},
		{"cold time without a rate", func(d *contract.Draft) { d.Services[0].Cold.Time = time.Second }, Warning, Place{Service, 0, ColdTime, ""}, "no effect"},
		{"no memory", func(d *contract.Draft) { d.Services[1].Engine.WeightsMB = 0 }, Error, Place{Service, 1, EngineMemory, ""}, "no model fits"},
		{"no models", func(d *contract.Draft) { d.Services[1].Engine.Models = nil }, Error, Place{Service, 1, Models, ""}, "no model"},
		{"no load rate", func(d *contract.Draft) { d.Services[1].Engine.LoadsPerSecond = 0 }, Warning, Place{Service, 1, LoadRate, ""}, "not limited"},
		{"model over a runner", model(func(m *contract.Model) { m.WeightsMB = 101 }), Error, Place{Service, 1, ModelMemory, "m"}, "over the 100 MB"},
		{"model without weights", model(func(m *contract.Model) { m.WeightsMB = 0 }), Error, Place{Service, 1, ModelMemory, "m"}, "not positive"},
		{"adapter over a runner", model(func(m *contract.Model) { m.AdapterMB = 61 }), Error, Place{Service, 1, AdapterMemory, "m"}, "101 MB"},
		{"adapters over the slots", model(func(m *contract.Model) { m.Adapters = 5 }), Warning, Place{Service, 1, ModelAdapters, "m"}, "4 places"},
		{"no slots", func(d *contract.Draft) { d.Services[1].Engine.AdapterSlots = 0 }, Error, Place{Service, 1, ModelAdapters, "m"}, "no place"},
		{"load times", model(func(m *contract.Model) { m.LoadWarm = 2 * time.Second }), Warning, Place{Service, 1, ModelLoad, "m"}, "nearer copy"},
		{"key of two organisations", func(d *contract.Draft) { d.Organisations[1].Keys[0] = contract.HashKey("n2") }, Error, Place{Organisation, 1, Key, "0"}, `"north"`},
		{"key twice", func(d *contract.Draft) { d.Organisations[0].Keys[1] = contract.HashKey("n1") }, Warning, Place{Organisation, 0, Key, "1"}, "key 0"},
		{"empty key", func(d *contract.Draft) { d.Organisations[0].Keys[1] = contract.HashKey("") }, Error, Place{Organisation, 0, Key, "1"}, "empty"},
		{"no key", func(d *contract.Draft) { d.Organisations[1].Keys = nil }, Warning, Place{Organisation, 1, Keys, ""}, "no key"},
		{"organisation twice", func(d *contract.Draft) { d.Organisations[1].Name = "north" }, Error, Place{Organisation, 1, Name, ""}, "organisation 0"},
		{"rate negative", limit(1, func(l *contract.Limit) { l.PerSecond = -1 }), Error, Place{Organisation, 1, Rate, ""}, "negative"},
		{"burst under a request", limit(1, func(l *contract.Limit) { l.Burst = 0.5 }), Error, Place{Organisation, 1, Burst, ""}, "under one request"},
		{"burst under a plain request", limit(0, func(l *contract.Limit) { l.Burst = 199 }), Error, Place{Organisation, 0, PlainTokens, ""}, "never admitted"},
		{"plain requests for nothing", limit(0, func(l *contract.Limit) { l.PlainTokens = 0 }), Warning, Place{Organisation, 0, PlainTokens, ""}, "cost nothing"},
		{"plain tokens of a limit in requests", limit(1, func(l *contract.Limit) { l.PlainTokens = 1 }), Warning, Place{Organisation, 1, PlainTokens, ""}, "no effect"},
		{"burst without a rate", limit(1, func(l *contract.Limit) { l.PerSecond = 0 }), Warning, Place{Organisation, 1, Burst, ""}, "no limit"},
	} {
		d := sound()
		c.apply(d)
		got := Review(d)
		if len(got) != 1 || got[0].Severity != c.want || got[0].Place != c.place || !strings.Contains(got[0].Text, c.text) {
			t.Errorf("%s: %+v, want one %v at %+v with %q", c.name, got, c.want, c.place, c.text)
		}
	}
	if got := Review(sound()); len(got) > 0 {
		t.Errorf("findings in a sound manifest: %+v", got)
	}
	if got := Review(&contract.Draft{}); !slices.ContainsFunc(got, func(f Finding) bool { return f.Place.Field == Routes }) {
		t.Errorf("a manifest without routes: %+v", got)
	}
}

// TestCompare guards against a difference that is not named, and against keys that are shown.
func TestCompare(t *testing.T) {
	next := sound()
	next.Version, next.BodyBytes = 8, 1<<20
	next.Routes[0].Objective = 2 * time.Second
	next.Routes[1].Name = "sales"
	next.Services = next.Services[1:]
	next.Services[0].Cold = contract.Cold{Time: time.Second, PerSecond: 5}
	model(func(m *contract.Model) { m.WeightsMB = 50 })(&contract.Draft{Services: []*contract.Service{nil, next.Services[0]}})
	next.Organisations[0].Keys[1] = contract.HashKey("n3")
	next.Organisations[1].Limit.PerSecond = 2
	var got []string
	for _, c := range Compare(sound(), next) {
		got = append(got, c.String())
	}
	want := []string{
		"manifest: version: 7 -> 8", "manifest: body limit: 4194304 bytes -> 1048576 bytes", "route orders: removed",
		"route chat: objective: 1s -> 2s", "route sales: added", "service plain: removed",
		"service language: cold time: 0s -> 1s", "service language: requests of a cold runner: 0 per second -> 5 per second",
		"service language: model m: 40 MB, 3 adapters of 1 MB, loads in 6s, 1s from disk, 500ms from memory -> " +
			"50 MB, 3 adapters of 1 MB, loads in 6s, 1s from disk, 500ms from memory",
	}
	if len(got) != len(want)+2 || !slices.Equal(got[:len(want)], want) {
		t.Errorf("changes:\n%s\nwant:\n%s", strings.Join(got, "\n"), strings.Join(want, "\n"))
	}
	rest := strings.Join(got[min(len(got), len(want)):], "\n")
	if !strings.Contains(rest, "organisation north: keys: 2 ") || !strings.Contains(rest, "south: rate: 1 per second -> 2 per second") ||
		strings.Contains(rest, "n1") || strings.Contains(rest, "n3") {
		t.Errorf("changes of the organisations:\n%s", rest)
	}
	if got := Compare(sound(), sound()); len(got) > 0 {
		t.Errorf("changes between equal manifests: %v", got)
	}
}

// TestVersions guards against a manifest that would be ignored, because one in force is newer.
func TestVersions(t *testing.T) {
	for version, want := range map[int64]int{6: 1, 7: 1, 8: 0} {
		next := sound()
		next.Version = version
		if got := Versions(sound(), next); len(got) != want {
			t.Errorf("version %d: %v, want %d findings", version, got, want)
		}
	}
}
