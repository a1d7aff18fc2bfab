package duty

import (
	"context"
	"net"
	"syscall"
	"testing"
	"time"
)

// scarceListener fails to accept every second connection, as a process without free file descriptors does.
type scarceListener struct {
	net.Listener
	calls int
}

func (l *scarceListener) Accept() (net.Conn, error) {
	if l.calls++; l.calls%2 == 1 {
		return nil, &net.OpError{Op: "accept", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// TestAcceptSurvivesErrors guards against a process that hears its peers no more, and drops their open connections,
// because one connection could not be accepted.
func TestAcceptSurvivesErrors(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		Accept(ctx, &scarceListener{Listener: l}, func(c net.Conn) {
			buf := make([]byte, 1)
			for {
				if _, err := c.Read(buf); err != nil {
					return
				}
				_, _ = c.Write(buf)
			}
		})
	}()
	var conns []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", l.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		conns = append(conns, c)
		for _, c := range conns {
			_ = c.SetDeadline(time.Now().Add(5 * time.Second))
			if _, err := c.Write([]byte("x")); err != nil {
				t.Fatal(err)
			}
			if _, err := c.Read(make([]byte, 1)); err != nil {
				t.Fatalf("no answer on one of %d connections: %v", len(conns), err)
			}
		}
	}
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		t.Fatal("Accept does not end with its context")
	}
}
