// Package rpclink adds timeouts to net/rpc calls. net/rpc has neither deadlines nor cancellation, so a call that times
// out has an unknown outcome, and its connection is closed so that a late reply cannot reach the caller.
package rpclink

import (
	"context"
	"net"
	"net/rpc"
	"time"

	"github.com/cockroachdb/errors"
)

// ErrOutcomeUnknown marks the error of a call that may have taken effect at the peer.
var ErrOutcomeUnknown = errors.New("rpclink: outcome unknown")

// ErrNotSent marks the error of a call that certainly did not reach the peer.
var ErrNotSent = errors.New("rpclink: not sent")

const dialTimeout = time.Second

// Link is a connection to one peer that is dialled on first use and again after a failure. It is not safe for
// concurrent use: one duty uses it at a time.
type Link struct {
	address string
	conn    net.Conn
	client  *rpc.Client
}

// New returns a link to the peer's net/rpc listener at address (IP:port).
func New(address string) *Link { return &Link{address: address} }

// Call invokes a method and waits at most timeout. Errors that the peer returned are passed on without a mark.
func (l *Link) Call(ctx context.Context, timeout time.Duration, method string, args, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	if l.client == nil {
		dialer := net.Dialer{Timeout: dialTimeout}
		conn, err := dialer.DialContext(ctx, "tcp", l.address)
		if err != nil {
			return errors.Mark(errors.Wrapf(err, "dial %s", l.address), ErrNotSent)
		}
		l.conn, l.client = conn, rpc.NewClientWithCodec(newClientCodec(conn))
	}
	// net/rpc writes the call before Go returns, and a peer that does not read would block it without a deadline.
	if err := l.conn.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		l.Close()
		return errors.Mark(errors.Wrapf(err, "call %s at %s", method, l.address), ErrNotSent)
	}
	call := l.client.Go(method, args, reply, nil)
	select {
	case <-call.Done:
		if call.Error == nil || isServerError(call.Error) {
			return call.Error
		}
		l.Close()
		return errors.Mark(errors.Wrapf(call.Error, "call %s at %s", method, l.address), ErrOutcomeUnknown)
	case <-ctx.Done():
		l.Close()
		return errors.Mark(errors.Wrapf(ctx.Err(), "call %s at %s", method, l.address), ErrOutcomeUnknown)
	}
}

// Close closes the connection. The next Call dials again.
func (l *Link) Close() {
	if l.client != nil {
		_ = l.client.Close()
		l.client = nil
	}
}

// isServerError reports whether the peer returned the error, rather than the connection failing.
func isServerError(err error) bool {
	var serverErr rpc.ServerError
	return errors.As(err, &serverErr)
}
