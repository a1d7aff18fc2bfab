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

// addPeerEntry lets a peer register.
func (b *bench) addPeerEntry(name string, boot int64) *peer {
	value := marshal(nodeEntry{Address: "10.0.0.2:7600", Boot: boot})
	b.apply(storeChanged{sent: b.now, own: []ownKeyChange{{key: prefixNodes + name, value: value, revision: 3}}})
	return b.members.peers[name]
}

// reportUsage lets a peer report what it admitted for an organisation.
func (b *bench) reportUsage(name string, boot int64, sequence uint64, s link.QuotaUsage) {
	b.apply(peerReported{report: link.Report{Node: name, Boot: boot, Sequence: sequence, Whole: true, Spent: []link.QuotaUsage{s}}})
}

// TestOlderPeerUsageNotCharged guards a restarted VM's organisations: what a peer admitted before this process started does not
// count against them, or all their requests are refused until the rate has paid it off.
func TestOlderPeerUsageNotCharged(t *testing.T) {
	b := newBench()
	b.boot = int64(9 * time.Second)
	b.serve()
	quota := func() *contract.Quota { return b.quota(b.organisation("coop"), b.now) }
	quota().Take(100, b.now)
	b.addPeerEntry("n2", 1)
	b.reportUsage("n2", 1, 1, link.QuotaUsage{Organisation: "coop", Total: 9000, Level: 600})
	if got := quota().Level(b.now); got < 500 || got > 600 {
		t.Errorf("level %v; the peer has 600 left and does not know of 100", got)
	}
	b.reportUsage("n2", 1, 2, link.QuotaUsage{Organisation: "coop", Total: 9050, Level: 450, Heard: 100})
	if got := quota().Level(b.now); got < 450 || got > 550 {
		t.Errorf("level %v after another 50", got)
	}
}

// TestYoungerPeerUsageCountsFromStart guards the limit over two VMs that start together: the older one counts all that the
// younger one admitted before its first report.
func TestYoungerPeerUsageCountsFromStart(t *testing.T) {
	b := newBench()
	b.serve()
	quota := b.quota(b.organisation("coop"), b.now)
	level := quota.Level(b.now)
	b.addPeerEntry("n2", 5)
	b.reportUsage("n2", 5, 1, link.QuotaUsage{Organisation: "coop", Total: 300, Level: 50})
	if got := quota.Level(b.now); got > level-300 {
		t.Errorf("level %v after 300 of %v", got, level)
	}
}

// TestQuotaShareOfUnheardPeers guards the limit after a restart of all VMs: until each hears the others, none may use more
// than its own part, or they admit several times the limit together.
func TestQuotaShareOfUnheardPeers(t *testing.T) {
	b := newBench()
	b.serve()
	for i := range 9 {
		b.addPeerEntry(fmt.Sprint("peer-", i), 5)
	}
	b.sendReports(b.now)
	total, quota := 0.0, b.quota(b.organisation("coop"), b.now)
	for range 50 {
		b.now = b.now.Add(10 * time.Millisecond)
		for quota.Take(5, b.now) {
			total += 5
		}
		b.sendReports(b.now)
	}
	if bound := 0.1 * (1000 + 1000*0.5); total > bound {
		t.Errorf("%v admitted in half a second without a word of nine peers, the part is %v", total, bound)
	}
}

// TestRestartedPeerKnownFromReport guards the time after a restart of all VMs: they hear each other before the store's
// watch shows their entries. A report of an earlier start changes nothing.
func TestRestartedPeerKnownFromReport(t *testing.T) {
	b := newBench()
	b.serve()
	b.addPeerEntry("n2", 5)
	b.apply(peerReported{report: link.Report{Node: "n2", Address: "10.0.0.9:7600", Boot: 9, Sequence: 1}})
	b.apply(peerReported{report: link.Report{Node: "n2", Address: "10.0.0.2:7600", Boot: 5, Sequence: 7}})
	if p := b.members.peers["n2"]; p.Boot != 9 || p.Address != "10.0.0.9:7600" || p.sequence != 1 {
		t.Errorf("peer %+v", p.nodeEntry)
	}
	b.apply(peerReported{report: link.Report{Node: "n1", Address: "10.0.0.1:7600", Boot: 9, Sequence: 1}})
	if len(b.members.peers) != 1 {
		t.Error("the VM takes itself for a peer")
	}
}

// TestPeerLoadsConverge guards reports of changes: whichever reports are lost, taken without an answer or taken late, a
// peer knows all loads once a report has been delivered.
func TestPeerLoadsConverge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		a, b := newBench(), newBench()
		b.node = "n2"
		models := []contract.ModelName{"m", "n"}
		for _, side := range []*bench{a, b} {
			side.serve()
			side.announceEngine("e1", machine.ReportedModel{Model: "m"}, machine.ReportedModel{Model: "n"})
		}
		a.addPeerEntry("n2", 5)
		b.addPeerEntry("n1", 1)
		deliver := func(outcome int) {
			a.now = a.now.Add(reportPeriod)
			a.sendReports(a.now)
			report, err := a.members.peers["n2"].outbox.Pop(context.Background())
			if err != nil {
				t.Fatal(err)
			}
			if outcome != 1 {
				b.apply(peerReported{report: report})
			}
			a.apply(reportDelivered{node: "n2", boot: 5, version: report.Version, ok: outcome == 0})
		}
		running := map[contract.ModelName]int{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			m := rapid.SampledFrom(models).Draw(t, "model")
			l := a.table.Link(a.fleet.Get("e1"))
			switch event := rapid.IntRange(0, 5).Draw(t, "event"); {
			case event < 2:
				l.Sent(machine.Artifact{Service: "e", Model: m}, time.Millisecond)
				running[m]++
			case event < 4 && running[m] > 0:
				l.Finished(machine.Artifact{Service: "e", Model: m})
				running[m]--
			default:
				deliver(rapid.IntRange(0, 2).Draw(t, "fate")) // delivered, lost, or taken without an answer
			}
		}
		deliver(0)
		for _, m := range models {
			place := machine.Place{Runner: "e1", Artifact: machine.Artifact{Service: "e", Model: m}}
			if got := b.table.Running(place); got != running[m] {
				t.Fatalf("the peer knows of %d requests for %s, %d run", got, m, running[m])
			}
		}
	})
}

// TestCrashReportedOnce guards innocent requests: one broken run counts once at each peer, however many reports follow.
func TestCrashReportedOnce(t *testing.T) {
	b := newBench()
	b.serve()
	b.announceEngine("e1", machine.ReportedModel{Model: "m"})
	b.announceEngine("e2", machine.ReportedModel{Model: "m"})
	b.addPeerEntry("n2", 5)
	c, d := b.chat()
	b.end(c, d.attempt, resultBroken)
	reported := 0
	for range 5 {
		b.now = b.now.Add(reportPeriod)
		b.sendReports(b.now)
		report, err := b.members.peers["n2"].outbox.Pop(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		reported += len(report.Struck)
		b.apply(reportDelivered{node: "n2", boot: 5, version: report.Version, ok: true})
	}
	if reported != 1 {
		t.Errorf("one broken run was told %d times", reported)
	}
}

// TestReportRateBounded guards large deployments: with every VM reporting to every other, what one sends in a second must
// not grow with their number.
func TestReportRateBounded(t *testing.T) {
	sent := func(peers int) int {
		b := newBench()
		b.serve()
		for i := range peers {
			b.addPeerEntry(fmt.Sprint("peer-", i), 5)
		}
		n := 0
		for range 500 {
			b.now = b.now.Add(20 * time.Millisecond)
			for _, p := range b.members.peers {
				p.heardAt = b.now
			}
			b.sendReports(b.now)
			for name, p := range b.members.peers {
				if p.outbox.Len() > 0 {
					report, err := p.outbox.Pop(t.Context())
					if err != nil {
						t.Fatal(err)
					}
					n++
					b.apply(reportDelivered{node: name, boot: 5, version: report.Version, ok: true})
				}
			}
		}
		return n
	}
	if few, many := sent(7), sent(99); many > 3*few {
		t.Errorf("%d reports to 99 peers in ten seconds, %d to 7", many, few)
	}
}

// TestNewPeerGetsWaitingDemand guards calls that began to wait before a peer was known: if it plans or gives the orders,
// nobody else will load their model.
func TestNewPeerGetsWaitingDemand(t *testing.T) {
	b := newBench()
	b.serve()
	if _, d := b.chat(); d != nil {
		t.Fatalf("decision %+v without a replica", d)
	}
	b.addPeerEntry("n2", 5)
	b.sendReports(b.now)
	report, err := b.members.peers["n2"].outbox.Pop(t.Context())
	if err != nil || len(report.Asked) != 1 || report.Asked[0].Waiting != 1 {
		t.Errorf("demand %+v, error %v", report.Asked, err)
	}
}
