package entry

import (
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/contract"
	"github.com/mangopass/mangopass/fleet/vm"
	"github.com/mangopass/mangopass/platform"
)

const (
	// bodyTimeout limits the time in which no byte of a body arrives. It lies above the time that manifests let callers be idle.
	bodyTimeout = 30 * time.Second
	// largestStep limits the room that a body of undeclared length asks for at a time: as much as it holds, up to this.
	largestStep = 512 << 10
	// restTime and restBytes limit what is discarded of a body that is not held.
	restTime  = time.Second
	restBytes = 8 << 20
	// restPieceBytes is small since all connections of a crowd may discard at once; io.Discard takes 8 KiB for each.
	restPieceBytes = 512
	// noRoomRetryAfter is the time after which a request that found no room may be sent again.
	noRoomRetryAfter = time.Second
)

// callerBody is the body of a request that asks for room before it is read: for all of a declared length, or else for the next
// piece. It refuses a request that gets none, and one that stops.
type callerBody struct {
	io.ReadCloser
	conn     *callerConn
	w        http.ResponseWriter
	weight   int64 // bytes held for each byte of the body
	declared int64 // negative: the head declares no length
	read     int64
	reserved int64 // bytes of the body for which there is room
	ended    bool
}

// Read implements io.Reader. The connection counts as reading until the body ends, also between two reads: a body that goes on by
// single bytes makes no progress.
func (b *callerBody) Read(p []byte) (int, error) {
	c := b.conn
	c.setPhase(vm.ReadingBody) // of one evicted since the last read, the check below refuses the request
	next := b.nextRoom()
	if c.head()+next*b.weight > c.largest {
		return 0, b.refuse(contract.RequestTooLarge, 0, "the VM never has room for a body of this size")
	}
	if !b.makeRoom(next) {
		return 0, b.refuse(contract.Overloaded, noRoomRetryAfter, "the VM has no room for the body")
	}
	_ = c.Conn.SetReadDeadline(time.Now().Add(bodyTimeout)) // fails only on a closed connection
	if _, phase := c.Activity(); phase == evicted {         // after the deadline has been set, which may lift that of evict
		return 0, b.refuseEvicted()
	}
	n, err := b.ReadCloser.Read(p)
	b.read += int64(n)
	if (err != nil || b.read == b.declared) && !c.setPhase(vm.Serving) {
		return 0, b.refuseEvicted()
	}
	switch {
	case err == nil:
	case errors.Is(err, io.EOF):
		b.ended = true
		_ = c.Conn.SetReadDeadline(time.Time{})
	case errors.Is(err, os.ErrDeadlineExceeded):
		err = b.refuse(contract.RequestTimeout, 0, "the body has stopped")
	}
	return n, err
}

// refuseEvicted refuses a request that was evicted while its body was read, even if that ends at the same time.
func (b *callerBody) refuseEvicted() error {
	return b.refuse(contract.Overloaded, noRoomRetryAfter, "the VM has no room for a body that does not go on")
}

// discardRest sends the answer and discards what still arrives of a body that its handler has not read to the end: a connection
// that closes with unread bytes is reset, and its caller may lose the answer.
func (b *callerBody) discardRest() {
	if b.ended || !b.conn.setPhase(vm.Serving) {
		return
	}
	b.conn.release()
	_ = b.conn.Conn.SetReadDeadline(time.Now().Add(restTime)) // fails only on a closed connection
	if http.NewResponseController(b.w).Flush() != nil {
		return
	}
	var err error
	piece := make([]byte, restPieceBytes)
	for n, left := 0, restBytes; left > 0 && err == nil; left -= n {
		n, err = b.ReadCloser.Read(piece)
	}
	if errors.Is(err, io.EOF) {
		_ = b.conn.Conn.SetReadDeadline(time.Time{})
	}
}

// nextRoom returns the number of bytes of the body for which there must be room: the declared length, or up to the next piece.
func (b *callerBody) nextRoom() int64 {
	switch {
	case b.read < b.reserved:
		return b.reserved
	case b.declared >= 0:
		return b.declared
	default:
		most := (b.conn.largest - b.conn.head()) / b.weight
		return min(b.read+min(max(b.read, vm.FreeBytes/2), largestStep), max(b.read+1, most))
	}
}

// makeRoom reserves room for so many bytes of the body.
func (b *callerBody) makeRoom(next int64) bool {
	if next > b.reserved {
		c := b.conn
		if !c.reserve(c.head() + next*b.weight) {
			return false
		}
		b.reserved = next
		c.expectBody(next)
	}
	return true
}

// refuse returns the error that refuses the request. The rest of its body is not held: the connection closes.
func (b *callerBody) refuse(code contract.Code, retryAfter time.Duration, detail string) error {
	b.conn.setPhase(vm.Serving)
	b.w.Header().Set("Connection", "close")
	return platform.RefusedError{Refusal: contract.Refuse(code, retryAfter, "%s", detail)}
}

// chatWeight is the number of times that a chat of the API is held: as received, in one piece, without spaces, and with
// another model.
const chatWeight = 4

// countAsChat makes the body of a chat of the API ask for all that it takes.
func countAsChat(r *http.Request) {
	if b, ok := r.Body.(*callerBody); ok && strings.HasSuffix(r.URL.Path, chatPath) {
		b.weight = chatWeight
	}
}
