package entry

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/fleet/machine"
)

// addPeerEntry adds the entry in the store of a peer in zone y, which relays for its zone.
func (h *harness) addPeerEntry(name string, boot int64) *peer { return h.addPeerIn("y", name, boot) }

// addPeerIn adds the entry in the store of a peer in the given zone.
func (h *harness) addPeerIn(z zoneID, name string, boot int64) *peer {
	value := marshal(nodeEntry{Address: "10.0.0.2:7600", Zone: z, Boot: boot})
	h.apply(storeChanged{sent: h.now, ownKeys: []ownKeyChange{{key: prefixNodes + name, value: value, revision: 3}}})
	h.now = h.now.Add(treePeriod)
	h.reviewTree(h.now)
	return h.members.peers[name]
}

// reportUsage applies a peer's report of what it admitted for an organisation.
func (h *harness) reportUsage(name string, boot int64, sequence uint64, usage link.QuotaUsage) {
	h.apply(peerReported{report: link.Report{
		Node: name, Relay: name, Zone: "y", Receiver: link.MeshPeer, Boot: boot, Series: boot, Sequence: sequence,
		Whole: true, Spent: []link.QuotaUsage{usage},
	}})
}

// takeReport returns the report that waits to be sent to a peer, and records that the peer has received it if delivered
// is set.
func (h *harness) takeReport(t require, name string, delivered bool) link.Report {
	p := h.members.peers[name]
	if p.outbox.Len() == 0 {
		t.Fatalf("no report to %s", name)
	}
	report, err := p.outbox.Pop(context.Background())
	if err != nil {
		t.Fatalf("report to %s: %v", name, err)
	}
	h.apply(reportDelivered{
		node: name, boot: p.Boot, role: report.Receiver, series: report.Series, version: report.Version, ok: delivered,
	})
	return report
}

// require is the part of testing.T and rapid.T that helpers use.
type require interface {
	Fatalf(format string, args ...any)
}

// TestOlderPeerUsageNotCharged guards against refusing an organisation's requests after a restart of this VM. A peer's
// first report states all that it has admitted since its own start; if that were charged to the quota, all requests
// would be refused until the rate had made up for it.
func TestOlderPeerUsageNotCharged(t *testing.T) {
	h := newHarness()
	h.boot = int64(9 * time.Second)
	h.setUp()
	quota := func() *contract.Quota { return h.quota(h.organisation("coop"), h.now) }
	quota().Take(100, h.now)
	h.addPeerEntry("n2", 1)
	h.reportUsage("n2", 1, 1, link.QuotaUsage{Organisation: "coop", Total: 9000, Level: 600})
	if got := quota().Level(h.now); got < 500 || got > 600 {
		t.Errorf("level %v, want 500 to 600: the peer has 600 left and does not know of the 100 admitted here", got)
	}
	h.reportUsage("n2", 1, 2, link.QuotaUsage{Organisation: "coop", Total: 9050, Level: 450, Heard: 100})
	if got := quota().Level(h.now); got < 450 || got > 550 {
		t.Errorf("level %v after the peer admitted another 50, want 450 to 550", got)
	}
}

// TestYoungerPeerUsageCountsFromStart guards against admitting more than the limit when two VMs start together: the
// older one must count all that the younger one admitted before its first report.
func TestYoungerPeerUsageCountsFromStart(t *testing.T) {
	h := newHarness()
	h.setUp()
	quota := h.quota(h.organisation("coop"), h.now)
	level := quota.Level(h.now)
	h.addPeerEntry("n2", 5)
	h.reportUsage("n2", 5, 1, link.QuotaUsage{Organisation: "coop", Total: 300, Level: 50})
	if got := quota.Level(h.now); got > level-300 {
		t.Errorf("level %v after the peer admitted 300 of %v", got, level)
	}
}

// TestQuotaShareOfUnheardPeers guards against admitting several times a limit after a restart of all VMs: until they
// hear each other, each may use only its own part.
func TestQuotaShareOfUnheardPeers(t *testing.T) {
	h := newHarness()
	h.setUp()
	for i := range 9 {
		h.addPeerEntry(fmt.Sprint("peer-", i), 5)
	}
	h.sendReports(h.now)
	total, quota := 0.0, h.quota(h.organisation("coop"), h.now)
	for range 50 {
		h.now = h.now.Add(10 * time.Millisecond)
		for quota.Take(5, h.now) {
			total += 5
		}
		h.sendReports(h.now)
	}
	if bound := 0.1 * (1000 + 1000*0.5); total > bound {
		t.Errorf("admitted %v in half a second without a report from nine peers, want at most %v", total, bound)
	}
}

// TestRestartedPeerKnownFromReport guards against ignoring peers after a restart of all VMs: their reports arrive
// before the store's watch shows their entries. A late report of an earlier process must change nothing, and the VM
// must not add itself as a peer.
func TestRestartedPeerKnownFromReport(t *testing.T) {
	h := newHarness()
	h.setUp()
	h.addPeerEntry("n2", 5)
	h.apply(peerReported{report: link.Report{Node: "n2", Address: "10.0.0.9:7600", Boot: 9, Sequence: 1}})
	h.apply(peerReported{report: link.Report{Node: "n2", Address: "10.0.0.2:7600", Boot: 5, Sequence: 7}})
	if p := h.members.peers["n2"]; p.Boot != 9 || p.Address != "10.0.0.9:7600" || p.sequence != 1 {
		t.Errorf("peer %+v, want the process with boot 9", p.nodeEntry)
	}
	h.apply(storeChanged{sent: h.now, ownKeys: []ownKeyChange{{
		key: prefixNodes + "n2", value: marshal(nodeEntry{Address: "10.0.0.2:7600", Zone: "y", Boot: 5}), revision: 4,
	}}})
	if p := h.members.peers["n2"]; p.Boot != 9 || p.registered {
		t.Errorf("peer %+v after the late entry of the former process, want the process with boot 9", p.nodeEntry)
	}
	h.apply(peerReported{report: link.Report{Node: "n1", Address: "10.0.0.1:7600", Boot: 9, Sequence: 1}})
	if len(h.members.peers) != 1 {
		t.Error("the VM added itself as a peer")
	}
}

// TestPeerLoadsConverge guards against a peer that keeps wrong loads because reports hold only changes and some of them
// are lost, applied without an answer or applied late. Once a report has been delivered, the peer must know all loads.
func TestPeerLoadsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newHarness(), newHarnessOf("n2", "y", 5)
		models := []contract.ModelName{"m", "n"}
		for _, side := range []*harness{a, b} {
			side.setUp()
			side.announceEngine("e1", machine.ReportedModel{Model: "m"}, machine.ReportedModel{Model: "n"})
		}
		a.addPeerEntry("n2", 5)
		b.addPeerIn("z", "n1", 1)
		deliver := func(outcome int) {
			a.now = a.now.Add(reportPeriod)
			b.now = a.now
			b.sendReports(b.now)
			a.apply(peerReported{report: b.takeReport(t, "n1", true)})
			a.sendReports(a.now)
			report := a.takeReport(t, "n2", outcome == 0)
			if outcome != 1 {
				b.apply(peerReported{report: report})
			}
		}
		running := map[contract.ModelName]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := rapid.SampledFrom(models).Draw(t, "model")
			l := a.table.Link(a.fleet.Get("e1"))
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event < 2:
				l.Sent(machine.Artifact{Service: "e", Model: m}, time.Millisecond, true)
				running[m]++
			case event < 4 && running[m] > 0:
				l.Finished(machine.Artifact{Service: "e", Model: m})
				running[m]--
			default:
				deliver(rapid.IntRange(0, 2).Draw(t, "outcome")) // delivered, lost, or applied without an answer
			}
		}
		deliver(0)
		for _, m := range models {
			place := machine.Place{Runner: "e1", Artifact: machine.Artifact{Service: "e", Model: m}}
			if got := b.table.Running(place); got != running[m] {
				t.Fatalf("the peer knows of %d requests for %s, want %d", got, m, running[m])
			}
		}
	})
}

// TestReportRateBounded guards against overload by reports in large deployments: what one VM sends in a second must not
// grow with their number, whether it relays for 99 others in its zone or is one of the others.
func TestReportRateBounded(t *testing.T) {
	sent := func(peers int, seesUsAs link.Role) int {
		h := newHarness()
		h.setUp()
		for i := range peers {
			p := h.addPeerIn("z", fmt.Sprint("peer-", i), 5)
			p.seesUsAs, p.sequence = seesUsAs, 1
		}
		n := 0
		for range 500 {
			h.now = h.now.Add(20 * time.Millisecond)
			for _, p := range h.members.peers {
				p.heardAt = h.now
			}
			h.sendReports(h.now)
			for name, p := range h.members.peers {
				if p.outbox.Len() > 0 {
					h.takeReport(t, name, true)
					n++
				}
			}
		}
		return n
	}
	few := sent(7, link.Parent)
	if many := sent(99, link.Parent); many > 3*few || many == 0 {
		t.Errorf("a relay sent %d reports to 99 VMs in ten seconds, %d to 7", many, few)
	}
	if many := sent(99, link.Unrelated); many > 0 {
		t.Errorf("%d reports to VMs that report to another relay", many)
	}
}

// TestNewPlannerGetsWaitingDemand guards against calls that wait in vain because they began to wait before the planner
// was known: nobody else will load their model. The planner is the VM that has run longest.
func TestNewPlannerGetsWaitingDemand(t *testing.T) {
	h := newHarnessOf("n1", "z", 9)
	h.setUp()
	if _, d := h.admitChat(); d != nil {
		t.Fatalf("decision %+v without a replica", d)
	}
	h.addPeerEntry("n2", 5)
	h.reportUsage("n2", 5, 1, link.QuotaUsage{Organisation: "coop", Level: 600})
	h.now = h.now.Add(treePeriod)
	h.sendReports(h.now)
	if h.members.planner != "n2" {
		t.Fatalf("the planner is %s, want n2", h.members.planner)
	}
	h.now = h.now.Add(reportPeriod)
	h.sendReports(h.now)
	if asked := h.takeReport(t, "n2", true).Asked; len(asked) != 1 || asked[0].Waiting != 1 {
		t.Errorf("reported demand %+v; want one waiting call", asked)
	}
}
