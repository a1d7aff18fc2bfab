package link

import (
	"time"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Report is the message that an entry VM sends to each of its peers many times a second.
type Report struct {
	Node     string                 // name of the sender
	Address  string                 // IP:port at which the sender takes reports
	Boot     int64                  // start of the sender's process, in Unix nanoseconds
	Sequence uint64                 // grows with each report of the process; receivers ignore old and duplicate ones
	Stopping bool                   // the sender is shutting down
	Whole    bool                   // whether Loads and Spent are complete, or only what changed since the last report
	Loads    []Load                 // requests that the sender has at the runners; a load without requests has ended
	Spent    []QuotaUsage           // what the sender admitted for each organisation
	Asked    []machine.DemandReport // requests that reached the sender since its last report, and those waiting now
	Struck   []uint64               // digests of requests with a broken run since the last report, once for each run

	Version uint64                // version of the sender's runner states; it grows with each change of one
	Views   []machine.RunnerView  // states of runners that the sender leads, as far as the receiver lacks them
	Wishes  []machine.LoadRequest // requests to load models or adapters on runners that the receiver leads
	Ended   []EndedTerm           // terms of the sender that ended lately
}

// EndedTerm says that the sender gives no more orders to the runners of a shard under a term, its exclusive right to
// give them.
type EndedTerm struct {
	Shard machine.Shard
	Fence int64         // number of the term
	Since time.Duration // time since the last moment at which it could send an order under the term
}

// QuotaUsage is what the sender has admitted for one organisation, and its view of the organisation's limit over all
// entry VMs. The figures are in the unit of the limit, tokens or requests.
type QuotaUsage struct {
	Organisation contract.OrganisationName
	Total        float64 // admitted by the sender since its process started
	Level        float64 // what the sender could admit now: what it believes to be left for all entry VMs
	Heard        float64 // the receiver's Total in its last report to the sender, which Level takes into account
}
