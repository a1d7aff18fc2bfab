package contract

import (
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangopass/mangopass/duty/clock"
)

func testManifest() *Manifest {
	return NewManifest(1, 0, nil, []*Route{
		{Name: "all", Host: "Coop.example", Prefix: "/", Timeout: 5 * time.Second, Backends: []Backend{{Service: "a", Weight: 1}}},
		{Name: "long", Host: "coop.example", Prefix: "/x/y/", Public: true, Backends: []Backend{{Service: "b", Weight: 1}}},
		{Name: "mid", Host: "coop.example", Prefix: "/x/", Backends: []Backend{{Service: "c", Weight: 90}, {Service: "d", Weight: 10}}},
	}, []*Organisation{{Name: "coop", Keys: []KeyHash{HashKey("k")}}})
}

func TestAdmit(t *testing.T) {
	Convey("Given a manifest with nested prefixes", t, func() {
		m := testManifest()
		request := func(host, path, key string) *Request {
			return &Request{Host: host, Path: path, Key: HashKey(key), HasKey: key != ""}
		}
		Convey("the longest prefix of the host is chosen, whatever the order", func() {
			a, refusal := m.Admit(request("coop.example", "/x/z", "k"))
			So(refusal, ShouldBeNil)
			So(a.Route.Name, ShouldEqual, "mid")
			So(a.Organisation.Name, ShouldEqual, OrganisationName("coop"))
		})
		Convey("a public route needs no key", func() {
			a, refusal := m.Admit(request("COOP.EXAMPLE", "/x/y/1", ""))
			So(refusal, ShouldBeNil)
			So(a.Organisation, ShouldBeNil)
		})
		Convey("an unknown key and an unknown host are refused with their reasons", func() {
			_, refusal := m.Admit(request("coop.example", "/q", "other"))
			So(refusal.Code, ShouldEqual, InvalidKey)
			_, refusal = m.Admit(request("mill.example", "/q", "k"))
			So(refusal.Code, ShouldEqual, RouteNotFound)
			So(refusal.MayHaveRun, ShouldBeFalse)
		})
		Convey("a refusal names no key", func() {
			_, refusal := m.Admit(request("coop.example", "/q", "secret"))
			So(strings.Contains(refusal.Detail, "secret"), ShouldBeFalse)
		})
	})
}

func TestBackendWeights(t *testing.T) {
	r := testManifest().RouteNamed("mid")
	counts := map[ServiceName]int{}
	for i := range 1000 {
		counts[r.Backend(float64(i)/1000)]++
	}
	if counts["c"] != 900 || counts["d"] != 100 {
		t.Errorf("counts %v", counts)
	}
	if r.Backend(1) == "" {
		t.Error("no service at the end of the range")
	}
}

// TestDeadline guards that neither the caller's nor the route's bound is exceeded.
func TestDeadline(t *testing.T) {
	route := &Route{Timeout: 5 * time.Second}
	for _, c := range []struct{ budget, want time.Duration }{
		{0, 5 * time.Second}, {time.Second, time.Second}, {time.Minute, 5 * time.Second},
	} {
		r := &Request{Arrived: clock.Instant(time.Hour), Timeout: c.budget}
		if got := r.Deadline(route).Sub(r.Arrived); got != c.want {
			t.Errorf("budget %v: %v, want %v", c.budget, got, c.want)
		}
	}
}
