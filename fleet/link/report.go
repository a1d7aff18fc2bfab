package link

import (
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// Report is what an entry VM tells each of its peers many times a second.
type Report struct {
	Node     string
	Boot     int64 // Unix nanoseconds of the process's start
	Sequence uint64
	Stopping bool
	Loads    []Load
	Asked    []machine.Asked // to the order giver only
	Spent    []Spent
	Struck   []uint64 // digests of requests whose run broke off since the last report

	// From the order giver only.
	Fence   int64 // of its term; zero from others
	Version uint64
	Views   []machine.View
}

// Spent is what a node has admitted for an organisation since its start.
type Spent struct {
	Organisation contract.OrganisationName
	Total        float64
}
