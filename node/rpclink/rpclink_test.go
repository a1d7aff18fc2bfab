package rpclink

import (
	"encoding/gob"
	"net"
	"net/rpc"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
)

func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return l.Addr().String()
}

// TestPeerThatDoesNotReadIsGivenUp guards against a VM that never reports to a peer again, because the peer's connection
// went silent while a report larger than the connection's buffers was being written.
func TestPeerThatDoesNotReadIsGivenUp(t *testing.T) {
	var silent atomic.Bool
	silent.Store(true)
	address := listen(t, func(conn net.Conn) {
		if silent.Load() {
			t.Cleanup(func() { _ = conn.Close() }) // until then it stays open
			return
		}
		server := rpc.NewServer()
		_ = server.RegisterName("Echo", echo{})
		server.ServeConn(conn)
	})
	link := New(address)
	defer link.Close()
	large := make([]byte, 32<<20)
	done := make(chan error, 1)
	go func() {
		var size int
		done <- link.Call(t.Context(), 300*time.Millisecond, "Echo.Size", large, &size)
	}()
	select {
	case err := <-done:
		if !errors.Is(err, ErrOutcomeUnknown) {
			t.Errorf("error %v, want one that is marked ErrOutcomeUnknown", err)
		}
	case <-time.After(5 * time.Second):
		t.Fatal("the call has not ended 5 s after its time-out of 300 ms")
	}
	silent.Store(false)
	var size int
	if err := link.Call(t.Context(), 5*time.Second, "Echo.Size", large, &size); err != nil || size != len(large) {
		t.Errorf("size %d, error %v after the peer reads again, want %d", size, err, len(large))
	}
}

// echo is a net/rpc service.
type echo struct{}

// Size returns the length of data.
func (echo) Size(data []byte, size *int) error {
	*size = len(data)
	return nil
}

// TestLateReplyIsNotTaken guards against a reply that reaches another call than its own: one that comes after its call has
// timed out, or twice.
func TestLateReplyIsNotTaken(t *testing.T) {
	const timeout = 300 * time.Millisecond // of the first call
	address := listen(t, func(conn net.Conn) {
		in, out := gob.NewDecoder(conn), gob.NewEncoder(conn)
		for {
			var head rpc.Request
			var n int
			if in.Decode(&head) != nil || in.Decode(&n) != nil {
				return
			}
			if n == 1 {
				time.Sleep(2 * timeout)
			}
			for range 2 {
				_ = out.Encode(rpc.Response{ServiceMethod: head.ServiceMethod, Seq: head.Seq})
				_ = out.Encode(n)
			}
		}
	})
	link := New(address)
	defer link.Close()
	var got int
	if err := link.Call(t.Context(), timeout, "Echo.Number", 1, &got); !errors.Is(err, ErrOutcomeUnknown) {
		t.Fatalf("error %v of the call without a reply in time", err)
	}
	for n := 2; n <= 9; n++ {
		if n == 5 {
			time.Sleep(2 * timeout) // the late reply has come by now
		}
		if err := link.Call(t.Context(), 5*time.Second, "Echo.Number", n, &got); err != nil || got != n {
			t.Errorf("call %d got %d, error %v", n, got, err)
		}
	}
}
