// Package vm keeps the account of what callers make an entry VM hold in memory and descriptors, and decides what to admit, what
// to refuse, and whose connection to close first. It decides on values alone: it reads no connection and no clock.
package vm

// Limits are those of the VM's machine.
type Limits struct {
	MemoryMB    int
	Descriptors int
}

// Parts of the machine that are set aside.
const (
	// filesDescriptors are kept for files and for probes.
	filesDescriptors = 200
	// Shares of the other descriptors, in tenths: of callers, of whose requests each needs a connection to a runner as well, and of
	// other VMs. The rest is for the connections to other VMs and the store.
	callersDescriptors, peersDescriptors, allDescriptors = 4, 1, 10
	// Shares of the memory, as divisors: of heads and bodies, of connections with what they hold unasked, of messages of other
	// VMs, and of runners' answers. The rest is for the VM's own state, the program and garbage.
	heldShare, connectionsShare, peersShare, answersShare = 6, 6, 8, 8
	// minHeld leaves room for a chat of the largest body that manifests allow, which is decoded and encoded anew.
	minHeld = 18 << 20
	// probesConnections and probesHeld are for the ports of the platform's own probes, of which a few come at a time. The room is
	// that of a head of the largest size.
	probesConnections, probesHeld = 32, 3 << 20
	// minPeersHeld leaves room for a whole report on 180 runners with 10 models of 20 adapters each: 638,431 bytes with 38,552
	// zeros. One on 1,600 runners with 3 models of 8 adapters each has 838,933 bytes with 48,234 zeros.
	minPeersHeld = 18 << 20
	// collectorNumerator and collectorDenominator are the part of the memory up to which the garbage collector may let the
	// process grow. The rest is for the program's text and for bytes that the kernel holds.
	collectorNumerator, collectorDenominator = 7, 12
)

const (
	// ConnectionBytes is what a connection takes with its buffers and goroutines, and with FreeBytes.
	ConnectionBytes = 32 << 10
	// FreeBytes is what a request may hold without asking: the heads and bodies of ordinary requests are smaller.
	FreeBytes = 16 << 10
	// MaxMessageBytes limits a message of another VM. Reports of hundreds of machines are far smaller.
	MaxMessageBytes = 4 << 20
	// MaxTypeBytes limits the definitions of types on a connection, which are kept as long as it is open. A link takes a few KiB.
	MaxTypeBytes = 64 << 10
	// KeptMessageBytes is what a connection of another VM may keep for its next message. Most reports are that small.
	KeptMessageBytes = 64 << 10
	// elementBytes is what an element of a list takes when it is decoded, with a share of the list's growth. In the encoding each
	// ends with a zero byte, and has no other byte if it is empty. Those of reports have up to 136 bytes.
	elementBytes = 200
	// numberBytes is the size of a decoded number, which may be a byte in the encoding.
	numberBytes = 8
	// lineBytes is what a line of a head takes beside its bytes, once it is parsed and copied for the runner.
	lineBytes = 200
)

// Budget is what the connections of one kind may hold.
type Budget struct {
	Held        int64 // bytes beyond FreeBytes of each connection
	Connections int   // open connections
}

// Budgets are the budgets of a VM.
type Budgets struct {
	Callers   Budget
	Probes    Budget // of the ports for the readiness, the status and the metrics
	Peers     Budget // of the port between VMs, at which anybody can call
	Answers   int64  // bytes of answers of runners that are held for callers
	Collector int64  // memory limit of the runtime, in bytes
}

// NewBudgets returns the budgets of a VM with these limits.
func NewBudgets(l Limits) Budgets {
	memory, descriptors := int64(l.MemoryMB)<<20, max(allDescriptors, l.Descriptors-filesDescriptors)
	return Budgets{
		Callers: Budget{
			Held:        max(minHeld, memory/heldShare),
			Connections: min(descriptors*callersDescriptors/allDescriptors, int(memory/connectionsShare/ConnectionBytes)),
		},
		Probes:  Budget{Held: probesHeld, Connections: probesConnections},
		Peers:   Budget{Held: max(minPeersHeld, memory/peersShare), Connections: descriptors * peersDescriptors / allDescriptors},
		Answers: memory / answersShare, Collector: memory * collectorNumerator / collectorDenominator,
	}
}

// MessageBytes returns what a message of another VM of so many bytes takes in memory before it is decoded: as received, and in the
// decoder.
func MessageBytes(bytes int64) int64 { return 2 * bytes }

// DecodedBytes returns what a message of so many bytes, of which some are zero, takes with what is decoded from it.
func DecodedBytes(bytes, zeros int64) int64 {
	return MessageBytes(bytes) + numberBytes*(bytes-zeros) + elementBytes*zeros
}

// HeadBytes returns what a request's head of so many bytes and lines takes in memory.
func HeadBytes(bytes, lines int64) int64 { return 2*bytes + lineBytes*lines }
