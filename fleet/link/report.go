package link

import (
	"math"
	"time"

	"github.com/mangopass/mangopass/fleet/admission"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
	"github.com/mangopass/mangopass/fleet/pace"
	"github.com/mangopass/mangopass/fleet/share"
	"github.com/mangopass/mangopass/fleet/zone"
)

// Role is how the sender of a report sees the receiver in the tree of reports.
type Role int

// The roles of the receiver of a report.
const (
	Unrelated Role = iota // no neighbour of the sender; the report only carries load requests
	Parent                // the relay of the sender's zone, which passes its reports on to the other VMs
	Child                 // the sender relays for the receiver
	MeshPeer              // the relay of another zone, as the sender is of its own
)

// String returns the role's name for logs.
func (r Role) String() string { return [...]string{"unrelated", "parent", "child", "mesh_peer"}[r] }

// Report is the message that an entry VM sends to its neighbours in the tree of reports many times a second. It states
// what the receiver cannot know from its other neighbours.
type Report struct {
	Node       string                 // name of the sender
	Address    string                 // IP:port at which the sender takes reports
	Zone       zone.ID                // zone of the sender
	Boot       int64                  // start of the sender's process, in Unix nanoseconds
	Sequence   uint64                 // grows with each report of the process; receivers ignore old and duplicate ones
	Receiver   Role                   // how the sender sees the receiver
	Relay      string                 // name of the VM that relays for the sender; its own name: it is a relay
	Planner    string                 // name of the VM that decides on placement, as far as the sender knows
	Members    []string               // VMs that the sender hears and whose reports it passes on; nil: as before
	Stopping   bool                   // the sender is shutting down
	Whole      bool                   // whether Loads and Spent are complete, or only what changed since the last report
	Incomplete bool                   // the sender lacks a complete report of the receiver
	Loads      []Load                 // requests at the runners; a load without requests has ended
	Series     int64                  // identifies the running totals in Spent and Limits, which start anew with it
	Spent      []QuotaUsage           // what was admitted for each organisation
	Limits     []LimitUsage           // limits that runners have stated, and what was sent to them
	Leaving    []machine.Process      // processes of runners that have stated that they leave: all if Whole, else those not reported yet
	Asked      []machine.DemandReport // requests since the last report, and those waiting now; only towards the planner
	Bookings   []admission.Notice     // that the VMs of the sender's zone have made or ended since the last report
	Broken     []BrokenRun            // runs that broke off since the last report
	Sound      []uint64               // prompt parts with crashes that a complete run has proved sound since
	Blocked    []BlockedSuspect       // all prompt parts that the sender blocks, when they have changed

	SoundRequests   []uint64         // as Sound, digests of requests
	BlockedRequests []BlockedSuspect // as Blocked, requests

	Manifest int64 // newest version of the manifest that the sender knows of

	StoreEra      int64      // era of the platform's store that the sender knows
	StoreRevision int64      // revision in that era up to which the sender knows the changes
	Feed          *StoreFeed // what changed in the store since; only to a VM below the sender

	Version uint64                // version of the sender's runner states; it grows with each change of one
	Views   []machine.RunnerView  // states of runners, as far as the receiver lacks them
	Wishes  []machine.LoadRequest // requests to load models or adapters on runners that the receiver leads
	Ended   []EndedTerm           // terms that ended lately

	Pace pace.Report // measured paces of runners and models, as far as they have changed

	Shares share.Report // what organisations asked and got of services close to saturation, as far as it has changed
}

// Valid reports whether the figures are numbers that a limit can be counted with.
func (u QuotaUsage) Valid() bool { return finite(u.Total, u.Level, u.Heard) }

// finite reports whether none of the figures is infinite or not a number.
func finite(figures ...float64) bool {
	for _, f := range figures {
		if math.IsNaN(f) || math.Abs(f) > maxFigure {
			return false
		}
	}
	return true
}

// maxFigure is the largest figure that a report may state.
const maxFigure = 1e15

// EndedTerm says that the leader of a shard gives no more orders to its runners under a term, its exclusive right to
// give them.
type EndedTerm struct {
	Shard machine.Shard
	Fence int64         // number of the term
	Since time.Duration // time since the last moment at which an order could be sent under the term
}

// QuotaUsage is a running total of what was admitted for one organisation, and the sender's view of the organisation's
// limit over all entry VMs. The figures are in the unit of the limit, tokens or requests.
type QuotaUsage struct {
	Organisation contract.OrganisationName
	Total        float64 // running total of the report's series
	Level        float64 // what the sender could admit now: what it believes to be left for all entry VMs
	Heard        float64 // the receiver's Total in its last report to the sender, which Level takes into account
}
