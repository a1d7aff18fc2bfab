package contract

import (
	"math"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/mangopass/mangopass/duty/clock"
)

func testManifest() *Manifest {
	return (&Draft{Version: 1, NeedsKeys: true, Routes: []*Route{
		{
			Name: "all", Host: "Coop.example", Prefix: "/", Timeout: 5 * time.Second,
			Backends: []Backend{{Service: "a", Weight: 1}},
		},
		{
			Name: "long", Host: "coop.example", Prefix: "/x/y/", Public: true,
			Backends: []Backend{{Service: "b", Weight: 1}},
		},
		{
			Name: "mid", Host: "coop.example", Prefix: "/x/",
			Backends: []Backend{{Service: "c", Weight: 90}, {Service: "d", Weight: 10}},
		},
	}, Organisations: []*Organisation{{Name: "coop", Keys: []KeyHash{HashKey("k")}}}}).Manifest()
}

// TestAdmit guards against a wrong route where prefixes are nested, against a wrong check of the key, and against
// refusals that reveal a key.
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
		Convey("an unknown key and an unknown host are refused with their codes", func() {
			_, refusal := m.Admit(request("coop.example", "/q", "other"))
			So(refusal.Code, ShouldEqual, InvalidKey)
			_, refusal = m.Admit(request("mill.example", "/q", "k"))
			So(refusal.Code, ShouldEqual, RouteNotFound)
			So(refusal.MayHaveRun, ShouldBeFalse)
		})
		Convey("a refusal contains no key", func() {
			_, refusal := m.Admit(request("coop.example", "/q", "secret"))
			So(strings.Contains(refusal.Detail, "secret"), ShouldBeFalse)
		})
	})
}

// TestBackendWeights guards against requests that are not divided by the weights of the services, and against point 1,
// the end of the range, for which no service is found.
func TestBackendWeights(t *testing.T) {
	r := testManifest().RouteNamed("mid")
	counts := map[ServiceName]int{}
	for i := range 1000 {
		counts[r.Backend(float64(i)/1000)]++
	}
	if counts["c"] != 900 || counts["d"] != 100 {
		t.Errorf("counts %v, want 900 for c and 100 for d", counts)
	}
	if r.Backend(1) == "" {
		t.Error("no service for point 1")
	}
}

// TestServiceWithoutWeightGetsNothing guards against a request at a service of weight zero, to which the rounding of a sum of fractions
// could leave it.
func TestServiceWithoutWeightGetsNothing(t *testing.T) {
	r := &Route{Backends: []Backend{{Service: "a", Weight: 0.1}, {Service: "b", Weight: 0.2}, {Service: "c", Weight: 0.3}, {Service: "old"}}}
	for _, point := range []float64{0, 0.5, math.Nextafter(1, 0), 1} {
		if s := r.Backend(point); s == "old" {
			t.Errorf("point %v: service %q", point, s)
		}
	}
}

// TestDeadlineKeepsBothTimeouts guards against a deadline after the caller's or the route's timeout.
func TestDeadlineKeepsBothTimeouts(t *testing.T) {
	route := &Route{Timeout: 5 * time.Second}
	for _, c := range []struct{ timeout, want time.Duration }{
		{0, 5 * time.Second}, {time.Second, time.Second}, {time.Minute, 5 * time.Second},
	} {
		r := &Request{Arrived: clock.Instant(time.Hour), Timeout: c.timeout}
		if got := r.Deadline(route).Sub(r.Arrived); got != c.want {
			t.Errorf("caller's timeout %v: deadline after %v, want %v", c.timeout, got, c.want)
		}
	}
}
