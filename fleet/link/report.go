package link

import (
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Report is what an entry VM tells each of its peers many times a second.
type Report struct {
	Node     string
	Address  string // IP:port for reports to the node
	Boot     int64  // Unix nanoseconds of the process's start
	Sequence uint64
	Stopping bool
	Whole    bool // Loads are all that the node has; otherwise those that changed since its last report
	Loads    []Load
	Spent    []QuotaUsage // of organisations whose total has changed
	Asked    []machine.DemandReport
	Struck   []uint64 // digests of requests whose run broke off since the last report

	Version uint64                // of the states of the runners that the node leads
	Views   []machine.RunnerView  // those states that changed
	Wishes  []machine.LoadRequest // for runners that the receiver leads
	Ended   []EndedTerm           // terms that the node held before
}

// EndedTerm says that a node gives no more orders to a shard under a term.
type EndedTerm struct {
	Shard machine.Shard
	Fence int64
	Since time.Duration // time since its last order could be sent
}

// QuotaUsage is what a node has admitted for an organisation since its start.
type QuotaUsage struct {
	Organisation contract.OrganisationName
	Total        float64
	Level        float64 // what the node believes to be left for all nodes
	Heard        float64 // what it has heard of the receiver's total
}
