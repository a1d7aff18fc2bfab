package link

import (
	"github.com/cespare/xxhash/v2"

	"github.com/mangopass/mangopass/duty/clock"
	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/machine"
)

// StreamID identifies a stream by its caller's organisation and the ID of the request that brought its first event. One
// organisation can't name a stream of another.
type StreamID uint64

// NewStreamID returns the ID of the stream that a request begins.
func NewStreamID(owner contract.OrganisationName, request string) StreamID {
	return StreamID(xxhash.Sum64String(string(owner) + "\x00" + request))
}

// Origin is what began a stream.
type Origin struct {
	Service contract.ServiceName
	Version machine.SoftwareVersion
}

// OriginBook holds the origins of the streams that this VM has begun lately.
type OriginBook struct {
	origins map[StreamID]Origin
	added   []addedOrigin // the oldest first
}

type addedOrigin struct {
	id StreamID
	at clock.Instant
}

// NewOriginBook returns an empty book.
func NewOriginBook() *OriginBook { return &OriginBook{origins: make(map[StreamID]Origin)} }

// Add records what began a stream. A caller may use an ID twice: if the origins differ, which of them the caller means is
// unknown, and the book says so for as long as it remembers either.
func (b *OriginBook) Add(id StreamID, o Origin, now clock.Instant) {
	if known, again := b.origins[id]; again && known != o {
		o = Origin{}
	}
	b.origins[id] = o
	b.added = append(b.added, addedOrigin{id, now})
}

// Get returns what began a stream, and false if this VM doesn't know. The zero origin says that it can't be known.
func (b *OriginBook) Get(id StreamID) (Origin, bool) {
	o, ok := b.origins[id]
	return o, ok
}

// Expire drops the streams that were begun longer ago than machine.StreamMemory.
func (b *OriginBook) Expire(now clock.Instant) {
	n := 0
	for n < len(b.added) && now.Sub(b.added[n].at) > machine.StreamMemory {
		delete(b.origins, b.added[n].id)
		n++
	}
	b.added = append(b.added[:0], b.added[n:]...)
}
