package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/mangopass/mangopass/duty"
)

const (
	// linkDelay is the delay of each piece of data on a delayed link.
	linkDelay = 150 * time.Millisecond
	// holdPeriod is the time between two looks at whether a silent link carries data again.
	holdPeriod = 20 * time.Millisecond
)

// Proxy forwards the TCP connections of one link and injects its faults. It is safe for concurrent use.
type Proxy struct {
	listener net.Listener
	target   string // IP:port

	mu    sync.Mutex
	fault Kind // empty: none
	lost  int  // pieces of data that LinkLost has dropped
}

// NewProxy starts a proxy in front of an address, as a duty of the group.
func NewProxy(group *duty.Group, target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen for proxy")
	}
	p := &Proxy{listener: l, target: target}
	group.Go("proxy "+target, func(ctx context.Context) { duty.Accept(ctx, l, p.serve) })
	return p, nil
}

// Address returns the address at which the proxy takes connections.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// SetFault sets the fault of the link, also for open connections; an empty kind ends it.
func (p *Proxy) SetFault(k Kind) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = k
}

func (p *Proxy) currentFault() Kind {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.fault
}

// Lost returns the number of pieces of data that LinkLost has dropped.
func (p *Proxy) Lost() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.lost
}

// drops reports whether the link has lost a piece of data.
func (p *Proxy) drops() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault == LinkLost {
		p.lost++
	}
	return p.fault == LinkLost
}

// serve forwards one connection until either side closes it.
func (p *Proxy) serve(client net.Conn) {
	server, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	directions := duty.NewGroup(context.Background())
	lost := &atomic.Bool{}
	directions.Go("requests", func(context.Context) { p.forward(server, client, lost, false) })
	p.forward(client, server, lost, true)
	_ = server.Close()
	_ = client.Close()
	directions.Stop()
}

// forward copies data in one direction until the connection is lost. answers says that it comes from the server.
func (p *Proxy) forward(to, from net.Conn, lost *atomic.Bool, answers bool) {
	buf := make([]byte, 16<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 && (lost.Load() || p.drops()) {
			lost.Store(true)
			n = 0
		}
		if n > 0 && !p.pass(to, buf[:n], answers) {
			return
		}
		if err != nil {
			if c, ok := to.(*net.TCPConn); ok && errors.Is(err, io.EOF) {
				_ = c.CloseWrite()
			} else {
				_ = to.Close()
			}
			return
		}
	}
}

// pass writes data as the link's fault allows, and reports false if the connection has ended.
func (p *Proxy) pass(to net.Conn, data []byte, answers bool) bool {
	for f := p.currentFault(); f == LinkSilent || f == LinkCut && answers; f = p.currentFault() {
		duty.Pause(context.Background(), holdPeriod)
	}
	switch p.currentFault() {
	case LinkDelayed:
		duty.Pause(context.Background(), linkDelay)
	case LinkReset:
		if c, ok := to.(*net.TCPConn); ok {
			_ = c.SetLinger(0) // closing then resets the connection
		}
		_ = to.Close()
		return false
	}
	_, err := to.Write(data)
	return err == nil
}
