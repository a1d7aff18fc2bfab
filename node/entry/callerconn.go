package entry

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty/ring"
	"github.com/mangopass/mangopass/fleet/vm"
)

// errNoRoom ends the reading of a head for which the VM has no room.
var errNoRoom = errors.New("entry: no room for the head")

const (
	// writePieceBytes is the size of the pieces of an answer that are written, and counted as progress, one by one.
	writePieceBytes = 16 << 10
	// kernelWriteBytes is the size of the kernel's buffer for what a caller has not read. The kernel lets a writer go on once
	// a third of it is free: with its own sizes, of up to 4 MiB, a caller that reads 1 MB a second would seem to stop.
	kernelWriteBytes = 64 << 10
	// kernelReadBytes is the size of the kernel's buffer for what has not been read. Its own ones grow to 6 MiB a connection, which
	// a caller can fill while its request is answered. A body of at least largeBodyBytes that has found room gets a buffer of
	// kernelBodyBytes: with a round trip of 50 ms the window lets 4 MiB in within 1.6 s instead
	// of 6.4 s.
	kernelReadBytes, kernelBodyBytes, largeBodyBytes = 32 << 10, 128 << 10, 256 << 10
)

// callerListener wraps the connections that it accepts in callerConns, which are counted in an account.
type callerListener struct {
	net.Listener
	account *ring.Ring[accountMessage]
	ids     *atomic.Uint64 // of all listeners
	http    bool           // heads are read on the connections
	largest int64          // bytes for which there is never more room
}

// Accept implements net.Listener.
func (l *callerListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err // net/http and duty.Accept look into it
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(kernelWriteBytes) // without it there is less progress to see
		_ = tcp.SetReadBuffer(kernelReadBytes)
	}
	c := &callerConn{Conn: conn, id: vm.ConnectionID(l.ids.Add(1)), account: l.account, largest: l.largest}
	c.inHead.Store(l.http)
	if address, err := netip.ParseAddrPort(conn.RemoteAddr().String()); err == nil {
		c.caller = address.Addr()
	}
	c.send(connectionOpened{c})
	return c, nil
}

// callerConn is a connection that was accepted, of a caller or of another VM. It asks the account for room before it reads more
// of a head than may be held unasked. Its reads happen one after the other, as do the begin and end of its requests; Close and the
// account come at any time.
type callerConn struct {
	net.Conn
	id      vm.ConnectionID
	caller  netip.Addr
	account *ring.Ring[accountMessage]
	largest int64 // bytes for which there is never more room

	moved  atomic.Uint64
	phase  atomic.Int32 // a vm.Phase, or evicted for good
	closed atomic.Bool

	// The counts of the head are atomic, since net/http may still read in the background when a request ends.
	inHead               atomic.Bool
	headBytes, headLines atomic.Int64
	held                 int64 // as granted
	largeBody            bool  // the kernel's buffer is that of a large body
	verdicts             *ring.Ring[bool]
}

// Activity implements vm.Activity.
func (c *callerConn) Activity() (uint64, vm.Phase) { return c.moved.Load(), vm.Phase(c.phase.Load()) }

// evicted is the phase of a connection that the account has closed to make room.
const evicted vm.Phase = -1

// setPhase enters a phase, and reports false if the connection has been evicted. Of a request that begins and an eviction, the
// first one holds: a request that has been passed on is not lost.
func (c *callerConn) setPhase(p vm.Phase) bool {
	for {
		before := c.phase.Load()
		if before == int32(evicted) {
			return false
		}
		if c.phase.CompareAndSwap(before, int32(p)) {
			return true
		}
	}
}

// send gives the account a message. It fails only once the duty has ended with its process.
func (c *callerConn) send(m accountMessage) { _ = c.account.Push(context.Background(), m) }

// Read implements net.Conn.
func (c *callerConn) Read(p []byte) (int, error) {
	if c.inHead.Load() && !c.reserve(c.head()) {
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errNoRoom} // net/http closes the connection without an answer
	}
	if c.inHead.Load() && c.headBytes.Load() == 0 { // the answer before has been written
		c.setPhase(vm.Idle)
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.moved.Add(uint64(n))
		if c.inHead.Load() {
			c.setPhase(vm.Reading)
			c.headBytes.Add(int64(n))
			c.headLines.Add(int64(bytes.Count(p[:n], []byte{'\n'})))
		}
	}
	return n, err
}

// Write implements net.Conn. It writes in pieces, so that the account sees the progress of a caller that reads slowly.
func (c *callerConn) Write(p []byte) (int, error) {
	before := c.phase.Load()
	c.setPhase(vm.Writing)
	defer c.phase.CompareAndSwap(int32(vm.Writing), before)
	written := 0
	for {
		n, err := c.Conn.Write(p[written:min(len(p), written+writePieceBytes)])
		c.moved.Add(uint64(n))
		if written += n; err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if !c.closed.Swap(true) {
		defer c.send(connectionClosed{c.id})
	}
	return c.Conn.Close()
}

// CloseWrite lets net/http close a connection without losing the answer that was written last.
func (c *callerConn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// head returns what the head of the request takes in memory, as far as it has been read.
func (c *callerConn) head() int64 { return vm.HeadBytes(c.headBytes.Load(), c.headLines.Load()) }

// reserve makes sure that the request may hold so many bytes, and reports false if there is no room for them.
func (c *callerConn) reserve(total int64) bool {
	missing := total - vm.FreeBytes - c.held
	if missing <= 0 {
		return true
	}
	missing = max(missing, vm.FreeBytes) // a long head asks seldom
	if c.verdicts == nil {
		c.verdicts = ring.New[bool]("verdict", 1)
	}
	if c.account.Push(context.Background(), roomWanted{c, missing}) != nil {
		return false
	}
	granted, err := c.verdicts.Pop(context.Background())
	if err != nil || !granted {
		return false
	}
	c.held += missing
	return true
}

// release gives back all that is held, also by the kernel for a large body.
func (c *callerConn) release() {
	if c.held > 0 {
		c.send(roomGivenBack{c.id, c.held})
		c.held = 0
	}
	c.expectBody(0)
}

// expectBody sets the size of the kernel's buffer for a body of so many bytes, for which there is room.
func (c *callerConn) expectBody(bytes int64) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if large := bytes >= largeBodyBytes; ok && large != c.largeBody {
		c.largeBody = large
		size := kernelReadBytes
		if large {
			size = kernelBodyBytes
		}
		_ = tcp.SetReadBuffer(size) // without it the body is slower, or the kernel holds more for a while
	}
}

// beginRequest begins the answer to a request whose head has been read. It reports false if the connection has been evicted.
func (c *callerConn) beginRequest() bool {
	c.inHead.Store(false)
	return c.setPhase(vm.Serving)
}

// endRequest gives back what the request has held.
func (c *callerConn) endRequest() {
	c.release()
	c.headBytes.Store(0)
	c.headLines.Store(0)
	c.inHead.Store(true)
	c.moved.Add(vm.FreeBytes) // a request that has been served is progress
	c.setPhase(vm.Writing)    // net/http writes the rest of the answer, and then reads on
}

// Admit implements rpclink.Room.
func (c *callerConn) Admit(bytes int64) bool {
	c.moved.Add(vm.FreeBytes) // a message that has been served is progress
	c.setPhase(vm.Reading)
	return c.reserve(vm.MessageBytes(bytes))
}

// AdmitDecoded implements rpclink.Room.
func (c *callerConn) AdmitDecoded(bytes, zeros int64) bool {
	return c.reserve(vm.DecodedBytes(bytes, zeros))
}

// Done implements rpclink.Room: it gives back what a large message has held.
func (c *callerConn) Done() {
	if c.held > vm.KeptMessageBytes {
		c.release()
	}
}

// evictWriteTime is the time in which a caller can take the refusal of a request whose body is read no further.
const evictWriteTime = time.Second

// evict ends the connection from the account's duty, which must not wait, unless it has left the phase in which the account chose
// it: it reports whether it has. A body's reader refuses the request, anything else ends with its connection.
func (c *callerConn) evict(chosenIn vm.Phase) bool {
	if chosenIn == vm.Serving || !c.phase.CompareAndSwap(int32(chosenIn), int32(evicted)) {
		return false
	}
	if chosenIn == vm.ReadingBody {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(evictWriteTime))
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		return true
	}
	_ = c.Conn.Close()
	return true
}

// connKey is the context key of the callerConn of a request.
type connKey struct{}

func withConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// counted counts what the requests of a handler hold on their connections.
func counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*callerConn)
		if !ok {
			h.ServeHTTP(w, r)
			return
		}
		defer c.endRequest()
		if !c.beginRequest() {
			panic(http.ErrAbortHandler) // it has run nowhere; net/http would write an empty answer with status 200
		}
		if r.Body == http.NoBody {
			h.ServeHTTP(w, r)
			return
		}
		b := &callerBody{ReadCloser: r.Body, conn: c, w: w, weight: 1, declared: r.ContentLength}
		// The handler gets a copy: net/http looks at its own request to tell whether it must read the rest of the body before the
		// answer, and how to close the connection without losing it, and knows only its own types of bodies.
		r = r.WithContext(r.Context())
		r.Body = b
		h.ServeHTTP(w, r)
		b.discardRest() // not after a panic, which aborts the answer
	})
}
