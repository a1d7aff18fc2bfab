package agent

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/node/linkset"
	"github.com/mangopass/mangopass/node/rpclink"
	"github.com/mangopass/mangopass/node/wire"
	"github.com/mangopass/mangopass/platform"
)

const (
	heartbeatTimeout = 500 * time.Millisecond
	heartbeatMethod  = "Entry.Heartbeat"
)

// heartbeats is the duty that passes the scheduler's reports to the entry VMs.
type heartbeats struct {
	reports *ring.Ring[link.Report]
	entries *linkset.Set[link.Report]
}

func newHeartbeats(duties *duty.Group, vms platform.VMList, reports *ring.Ring[link.Report]) *heartbeats {
	return &heartbeats{reports: reports, entries: linkset.New(duties, vms, platform.EntryVM, "", sendReport)}
}

func (h *heartbeats) run(ctx context.Context) {
	for {
		report, err := h.reports.Pop(ctx)
		if err != nil {
			return
		}
		h.entries.Refresh(ctx, time.Now())
		h.entries.Broadcast(report)
	}
}

// sendReport passes a report to one entry VM. A report that does not arrive is made good by the next one.
func sendReport(ctx context.Context, _ platform.VM, l *rpclink.Link, report link.Report) {
	var reply wire.HeartbeatReply
	_ = l.Call(ctx, heartbeatTimeout, heartbeatMethod, wire.HeartbeatArgs{Report: report}, &reply)
}
