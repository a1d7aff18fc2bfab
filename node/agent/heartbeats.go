package agent

import (
	"context"
	"time"

	"github.com/mangopass/mangopass/duty"
	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/link"
	"github.com/mangopass/mangopass/node/rpclink"
	"github.com/mangopass/mangopass/node/wire"
	"github.com/mangopass/mangopass/platform"
)

const (
	heartbeatTimeout = 500 * time.Millisecond
	vmListPeriod     = 2 * time.Second
	heartbeatMethod  = "Entry.Heartbeat"
)

// heartbeats is the duty that passes the scheduler's reports to the entry VMs of the platform's list, over one link duty
// per entry VM, so that one that does not answer delays no other.
type heartbeats struct {
	reports *ring.Ring[link.Report]
	vms     platform.VMList
	duties  *duty.Group

	links  map[string]*ring.Ring[link.Report] // by control address
	listed time.Time
}

func (h *heartbeats) run(ctx context.Context) {
	h.links = make(map[string]*ring.Ring[link.Report])
	for {
		report, err := h.reports.Pop(ctx)
		if err != nil {
			return
		}
		if now := time.Now(); now.Sub(h.listed) >= vmListPeriod {
			h.refresh(ctx)
			h.listed = now
		}
		for _, l := range h.links {
			l.TryPush(report) // a full ring belongs to an entry VM that does not answer
		}
	}
}

// refresh starts and ends link duties so that they match the list. An outage of the list keeps the links.
func (h *heartbeats) refresh(ctx context.Context) {
	list, o := h.vms.VMs(ctx)
	if o != platform.Applied {
		return
	}
	listed := make(map[string]bool)
	for _, vm := range list {
		if vm.Role != platform.EntryVM {
			continue
		}
		listed[vm.Control] = true
		if h.links[vm.Control] == nil {
			h.start(vm.Control)
		}
	}
	for address, reports := range h.links {
		if !listed[address] {
			reports.Close()
			delete(h.links, address)
		}
	}
}

func (h *heartbeats) start(address string) {
	reports := ring.New[link.Report]("heartbeat", 1)
	h.links[address] = reports
	h.duties.Go("heartbeat "+address, func(ctx context.Context) { sendReports(ctx, address, reports) })
}

// sendReports passes reports to one entry VM until the ring is closed.
func sendReports(ctx context.Context, address string, reports *ring.Ring[link.Report]) {
	peer := rpclink.New(address)
	defer peer.Close()
	for {
		report, err := reports.Pop(ctx)
		if err != nil {
			return
		}
		var reply wire.HeartbeatReply
		_ = peer.Call(ctx, heartbeatTimeout, heartbeatMethod, wire.HeartbeatArgs{Report: report}, &reply)
	}
}
