package entry

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// drawReport returns a report with arbitrary contents that the receiver applies: as if of the relay n2 of another zone, and
// partly about the runner e0 and the organisation coop.
func drawReport(t *rapid.T, sequence uint64) link.Report {
	report := rapid.Make[link.Report]().Draw(t, "report")
	report.Node, report.Relay, report.Zone, report.Receiver = "n2", "n2", "y", link.MeshPeer
	report.Boot, report.Sequence = 5, sequence
	odd := rapid.SampledFrom([]float64{math.NaN(), math.Inf(1), math.Inf(-1), -1, 0, 1e300, 3})
	for i := range report.Limits {
		report.Limits[i].Runner, report.Limits[i].Boot = "e0", 0
		report.Limits[i].PerSecond, report.Limits[i].Total = odd.Draw(t, "limit"), odd.Draw(t, "total")
	}
	for i := range report.Spent {
		report.Spent[i].Organisation = "coop"
		report.Spent[i].Total, report.Spent[i].Level = odd.Draw(t, "total"), odd.Draw(t, "level")
	}
	for i := range report.Broken {
		report.Broken[i].Runner, report.Broken[i].Parts = "e0", []uint64{sharedPart, crashingPart}
	}
	for i := range report.Blocked {
		report.Blocked[i].Part = crashingPart
	}
	for i := range report.Views {
		report.Views[i].Runner, report.Views[i].Boot = "e0", 0
	}
	for i := range report.Loads {
		report.Loads[i].Runner, report.Loads[i].Artifact = "e0", machine.Artifact{Service: "e", Model: "m"}
	}
	return report
}

// TestMalformedReportsDoNoHarm guards against a peer's report that stops the process, or keeps it from serving requests
// that have nothing to do with the report.
func TestMalformedReportsDoNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness()
		h.setUp()
		h.announceEngines(2)
		h.addPeerIn("y", "n2", 5)
		for sequence := range uint64(rapid.IntRange(1, 8).Draw(t, "reports")) {
			h.apply(peerReported{report: drawReport(t, sequence+1)})
			h.now = h.now.Add(time.Duration(rapid.IntRange(0, 3000).Draw(t, "ms")) * time.Millisecond)
			h.apply(storeChanged{sent: h.now})
			h.onTick(h.now)
			for _, p := range h.members.peers {
				for p.outbox.Len() > 0 {
					h.takeReport(t, "n2", rapid.Bool().Draw(t, "delivered"))
				}
			}
		}
		for q := range h.sharedQuotas() {
			if level := q.Level(h.now); math.IsNaN(level) || math.IsInf(level, 0) {
				t.Fatalf("the level of a limit is %v, so that it admits everything or nothing for good", level)
			}
		}
		c, d := newCall(t.Context(), &contract.Request{
			ID: "q", Host: "h", Path: "/open/", Arrived: h.now, Digest: math.MaxUint64 / 3,
		}), (*decision)(nil)
		h.apply(storeChanged{sent: h.now, runners: []runnerChange{{id: "s1", announcement: machine.Announcement{
			ID: "s1", Service: "s", Address: "1.1.1.1:1", Zone: "z", Slots: 6,
		}}}})
		h.apply(callArrived{call: c})
		if d = h.decision(c); d == nil || d.refusal != nil {
			t.Fatalf("request to a plain service: decision %+v, refusal %+v, want an attempt", d, d.refusal)
		}
	})
}

// TestUnreadableHolderEndsTerm guards against orders of two leaders: a holder key that this VM can't read was written by
// another one, of another build, and ends the term that this VM held.
func TestUnreadableHolderEndsTerm(t *testing.T) {
	h := newLeader(t)
	h.apply(storeChanged{
		position: link.Position{Era: link.FirstEra, Revision: 41}, sent: h.now,
		ownKeys: []ownKeyChange{{key: keyHolder(3), value: []byte("{"), revision: 41}},
	})
	s := &h.leader.shards[3]
	if s.leadership.MayOrder(h.now) || s.live.Load() || s.leaderNode != "" {
		t.Errorf("orders allowed: %v, live: %v, leader %q; want the term to have ended", s.leadership.MayOrder(h.now), s.live.Load(),
			s.leaderNode)
	}
}
