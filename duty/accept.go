package duty

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"
)

// acceptRetryDelay is the pause after a failure to accept a connection, for example for want of file descriptors.
const acceptRetryDelay = 50 * time.Millisecond

// Accept serves each connection of the listener on its own goroutine until the context ends or the listener is closed.
// The end of the context closes the listener. Accept then closes all connections and waits for their handlers. Other
// failures to accept a connection leave the open ones alone.
func Accept(ctx context.Context, l net.Listener, serve func(net.Conn)) {
	var open connections
	stop := context.AfterFunc(ctx, func() {
		_ = l.Close()
		open.closeAll()
	})
	defer stop()
	for {
		conn, err := l.Accept()
		if err != nil {
			if !errors.Is(err, net.ErrClosed) && Pause(ctx, acceptRetryDelay) {
				continue
			}
			open.closeAll()
			open.wait.Wait()
			return
		}
		if open.add(conn) {
			go func() {
				defer open.remove(conn)
				serve(conn)
			}()
		}
	}
}

// connections is the set of open connections. After closeAll, add closes and rejects new ones.
type connections struct {
	mu     sync.Mutex
	wait   sync.WaitGroup
	open   map[net.Conn]struct{}
	closed bool
}

func (c *connections) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		_ = conn.Close()
		return false
	}
	if c.open == nil {
		c.open = make(map[net.Conn]struct{})
	}
	c.open[conn] = struct{}{}
	c.wait.Add(1)
	return true
}

func (c *connections) remove(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	_ = conn.Close()
	delete(c.open, conn)
	c.wait.Done()
}

func (c *connections) closeAll() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn := range c.open {
		_ = conn.Close()
	}
}
