package rpclink

import (
	"bufio"
	"bytes"
	"encoding/binary"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/fleet/vm"
)

// Limits of a connection on which calls are served. Anybody can connect.
const (
	// maxTypes limits the types that a connection defines. They are kept as long as it is open; a link defines a few dozen.
	maxTypes = 1000
	// maxMethodBytes limits the name of a method.
	maxMethodBytes = 100
	// messageTimeout limits the time to read the rest of a message that has begun, and to write a reply.
	messageTimeout = 30 * time.Second
	// longestPrefix is the number of bytes of the longest number in gob's encoding.
	longestPrefix = 9
)

// Room admits the messages of one connection to memory.
type Room interface {
	// Admit reports whether a message of so many bytes may be read. The message before is no longer held.
	Admit(bytes int64) bool
	// AdmitDecoded reports whether the message may be decoded, which has so many zero bytes.
	AdmitDecoded(bytes, zeros int64) bool
	// Done says that no message is held, nor what has been decoded from it.
	Done()
}

// ServeConn serves the calls on a connection, one after the other, until it ends. net/rpc's own ServeConn reads messages of any
// length, and further calls while the replies to earlier ones are not taken.
func ServeConn(server *rpc.Server, conn net.Conn, room Room) {
	buffered := bufio.NewWriter(conn)
	c := &serverCodec{
		conn: conn, room: room, decoder: gob.NewDecoder(&messageReader{conn: conn, in: bufio.NewReader(conn), room: room}),
		buffered: buffered, encoder: gob.NewEncoder(buffered),
	}
	for server.ServeRequest(c) == nil {
	}
	_ = c.Close() // duty.Accept closes it too
}

// serverCodec implements rpc.ServerCodec in the encoding of net/rpc's clients.
type serverCodec struct {
	conn     net.Conn
	room     Room
	decoder  *gob.Decoder
	buffered *bufio.Writer
	encoder  *gob.Encoder
}

// ReadRequestHeader implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestHeader(r *rpc.Request) error {
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	if len(r.ServiceMethod) > maxMethodBytes { // net/rpc would repeat it in its reply
		return errors.Newf("rpclink: the name of a method has %d bytes", len(r.ServiceMethod))
	}
	return nil
}

// ReadRequestBody implements rpc.ServerCodec.
func (c *serverCodec) ReadRequestBody(body any) error { return c.decoder.Decode(body) }

// WriteResponse implements rpc.ServerCodec.
func (c *serverCodec) WriteResponse(r *rpc.Response, body any) error {
	c.room.Done()
	if err := c.conn.SetWriteDeadline(time.Now().Add(messageTimeout)); err != nil {
		return errors.Wrap(err, "reply")
	}
	err := c.encoder.Encode(r)
	if err == nil {
		err = c.encoder.Encode(body)
	}
	if err == nil {
		err = c.buffered.Flush()
	}
	if err != nil {
		_ = c.Close() // the client can't tell what is missing; the next read ends the loop
	}
	return err
}

// Close implements rpc.ServerCodec.
func (c *serverCodec) Close() error { return c.conn.Close() }

// messageReader passes gob's messages on to a decoder, each only after it has been admitted: by its length before it is read, and
// by the elements that it can have before it is decoded, each of which ends with a zero byte.
type messageReader struct {
	conn      net.Conn
	in        *bufio.Reader
	room      Room
	types     int    // defined so far
	typeBytes int64  // of their definitions
	message   []byte // with its length
	left      []byte // part of the message that has not been passed on
	err       error  // why nothing more is read; a decoder tries again
}

// Read implements io.Reader.
func (m *messageReader) Read(p []byte) (int, error) {
	if len(m.left) == 0 {
		if cap(m.message) > vm.KeptMessageBytes/2 {
			m.message = nil
		}
		if m.err == nil {
			m.err = m.begin()
		}
		if m.err != nil {
			return 0, m.err
		}
	}
	n := copy(p, m.left)
	m.left = m.left[n:]
	return n, nil
}

// begin reads the next message.
func (m *messageReader) begin() error {
	_ = m.conn.SetReadDeadline(time.Time{}) // fails only on a closed connection
	prefix, err := m.peekNumber(0)
	if err != nil {
		return err
	}
	var length uint64
	if len(prefix) == 1 {
		length = uint64(prefix[0])
	} else {
		var big [8]byte
		copy(big[len(big)-len(prefix)+1:], prefix[1:])
		length = binary.BigEndian.Uint64(big[:])
	}
	if length > vm.MaxMessageBytes {
		return errors.Newf("rpclink: a message of %d bytes is over %d bytes", length, int64(vm.MaxMessageBytes))
	}
	_ = m.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // fails only on a closed connection
	if length > 0 {
		kind, err := m.peekNumber(len(prefix))
		if err != nil {
			return err
		}
		if kind[len(kind)-1]&1 == 1 { // a negative number: the message defines a type
			m.types++
			m.typeBytes += int64(length)
			if m.types > maxTypes || m.typeBytes > vm.MaxTypeBytes {
				return errors.Newf("rpclink: the connection defines %d types in %d bytes", m.types, m.typeBytes)
			}
		}
	}
	if !m.room.Admit(int64(length)) {
		return errors.Newf("rpclink: no room for a message of %d bytes", length)
	}
	m.message = slices.Grow(m.message[:0], len(prefix)+int(length))[:len(prefix)+int(length)]
	if _, err := io.ReadFull(m.in, m.message); err != nil {
		return err
	}
	if zeros := int64(bytes.Count(m.message, []byte{0})); !m.room.AdmitDecoded(int64(length), min(zeros, int64(length))) {
		return errors.Newf("rpclink: no room for a message of %d bytes with %d zeros", length, zeros)
	}
	m.left = m.message
	return nil
}

// peekNumber returns the encoding of the unsigned number that begins after skip bytes: one byte up to 127, or else the negated
// number of the bytes that follow.
func (m *messageReader) peekNumber(skip int) ([]byte, error) {
	first, err := m.in.Peek(skip + 1)
	if err != nil {
		return nil, err
	}
	if first[skip] <= 0x7f {
		return first[skip:], nil
	}
	follow := -int(int8(first[skip]))
	if follow >= longestPrefix {
		return nil, errors.Newf("rpclink: a number of %d bytes", follow)
	}
	all, err := m.in.Peek(skip + 1 + follow)
	if err != nil {
		return nil, err
	}
	return all[skip:], nil
}
