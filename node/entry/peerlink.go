package entry

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/node/rpclink"
)

// reportTimeout limits a report to a peer. A connection can stop responding for good, so it is dropped after this time.
const reportTimeout = 400 * time.Millisecond

// Between is the net/rpc service of an entry VM for its peers.
type Between struct{ routing *ring.Ring[message] }

// Received is the empty reply to a report.
type Received struct{}

// Report accepts a peer's report. It fails if the routing duty's ring is full; the peer's next report then takes its
// place.
func (b *Between) Report(in link.Report, _ *Received) error {
	if !b.routing.TryPush(peerReported{report: in}) {
		return errBusy
	}
	return nil
}

// peerLink is the duty that sends reports to one peer.
type peerLink struct {
	name    string
	boot    int64
	link    *rpclink.Link
	outbox  *ring.Ring[link.Report]
	routing *ring.Ring[message]
}

func (p *peerLink) run(ctx context.Context) {
	defer p.link.Close()
	for {
		report, err := p.outbox.Pop(ctx)
		if err != nil {
			return
		}
		err = p.link.Call(ctx, reportTimeout, "Between.Report", report, &Received{})
		done := reportDelivered{
			node: p.name, boot: p.boot, role: report.Receiver, series: report.Series, version: report.Version,
			ok: err == nil,
		}
		if p.routing.Push(ctx, done) != nil {
			return
		}
	}
}
