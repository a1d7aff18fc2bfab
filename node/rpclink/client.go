package rpclink

import (
	"bufio"
	"encoding/gob"
	"net"
	"net/rpc"

	"github.com/cockroachdb/errors"
)

// maxReplyBytes limits a message with which a peer replies. Replies hold nothing but the text of an error.
const maxReplyBytes = 64 << 10

// replyRoom implements Room for the replies of a peer, of which one is read at a time.
type replyRoom struct{}

func (replyRoom) Admit(bytes int64) bool               { return bytes <= maxReplyBytes }
func (replyRoom) AdmitDecoded(bytes, zeros int64) bool { return true }
func (replyRoom) Done()                                {}

// clientCodec implements rpc.ClientCodec in the encoding of net/rpc's clients, whose own codec reads messages of up to 1 GiB.
type clientCodec struct {
	conn     net.Conn
	decoder  *gob.Decoder
	buffered *bufio.Writer
	encoder  *gob.Encoder
}

func newClientCodec(conn net.Conn) *clientCodec {
	buffered := bufio.NewWriter(conn)
	return &clientCodec{
		conn: conn, decoder: gob.NewDecoder(&messageReader{conn: conn, in: bufio.NewReader(conn), room: replyRoom{}}),
		buffered: buffered, encoder: gob.NewEncoder(buffered),
	}
}

// WriteRequest implements rpc.ClientCodec.
func (c *clientCodec) WriteRequest(r *rpc.Request, body any) error {
	if err := c.encoder.Encode(r); err != nil {
		return errors.Wrap(err, "call")
	}
	if err := c.encoder.Encode(body); err != nil {
		return errors.Wrap(err, "call")
	}
	return c.buffered.Flush()
}

// ReadResponseHeader implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseHeader(r *rpc.Response) error { return c.decoder.Decode(r) }

// ReadResponseBody implements rpc.ClientCodec.
func (c *clientCodec) ReadResponseBody(body any) error { return c.decoder.Decode(body) }

// Close implements rpc.ClientCodec.
func (c *clientCodec) Close() error { return c.conn.Close() }
