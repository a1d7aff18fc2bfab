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
	Spent    []Spent // of organisations whose total has changed
	Asked    []machine.Asked
	Struck   []uint64 // digests of requests whose run broke off since the last report

	Version uint64         // of the accounts of the runners whose orders the node gives
	Views   []machine.View // those accounts that changed
	Wishes  []machine.Wish // for runners whose orders the receiver gives
	Ended   []Ended        // terms that the node held before
}

// Ended says that a node gives no more orders to a shard under a term.
type Ended struct {
	Shard machine.Shard
	Fence int64
	Since time.Duration // time since its last order could be sent
}

// Spent is what a node has admitted for an organisation since its start.
type Spent struct {
	Organisation contract.OrganisationName
	Total        float64
	Level        float64 // what the node believes to be left for all nodes
	Heard        float64 // what it has heard of the receiver's total
}
