package rpclink

import (
	"bytes"
	"encoding/gob"
	"io"
	"net"
	"net/rpc"
	"runtime"
	"strings"
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

// TestEndlessRepliesAreCut guards the memory of a VM against a peer, or whatever listens at its address, that replies with bytes
// without end: net/rpc's own client keeps messages of up to 1 GiB.
func TestEndlessRepliesAreCut(t *testing.T) {
	for name, begin := range map[string]string{
		"message of 512 MiB": "\xfc\x20\x00\x00\x00", "message of 2 MiB": "\xfd\x20\x00\x00", "noise": "\x05\xff\x81\x03\x01",
	} {
		t.Run(name, func(t *testing.T) {
			ended := make(chan int, 1)
			address := listen(t, func(conn net.Conn) {
				_, _ = io.WriteString(conn, begin)
				written, block := 0, []byte(strings.Repeat("a", 64<<10))
				for written < 128<<20 {
					n, err := conn.Write(block)
					if written += n; err != nil {
						break
					}
				}
				ended <- written
			})
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			link := New(address)
			defer link.Close()
			var size int
			if err := link.Call(t.Context(), 10*time.Second, "Echo.Size", []byte("x"), &size); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("error %v, want one that is marked ErrOutcomeUnknown", err)
			}
			runtime.ReadMemStats(&after)
			const buffers = 16 << 20 // of the kernel
			if written := <-ended; written > buffers {
				t.Errorf("%d MB were taken", written>>20)
			}
			if got := after.TotalAlloc - before.TotalAlloc; got > 1<<20 {
				t.Errorf("%d KB were taken from memory", got>>10)
			}
		})
	}
}

// TestBrokenReplyIsNotTaken guards against a report that counts as delivered though the peer's reply broke off, by the end of the
// connection or by a reset, or was no reply.
func TestBrokenReplyIsNotTaken(t *testing.T) {
	var reply bytes.Buffer
	encoder := gob.NewEncoder(&reply)
	if err := errors.CombineErrors(encoder.Encode(rpc.Response{ServiceMethod: "Echo.Size"}), encoder.Encode(1)); err != nil {
		t.Fatal(err)
	}
	address := listen(t, func(conn net.Conn) {
		t.Cleanup(func() { _ = conn.Close() })
		_, _ = conn.Write(reply.Bytes())
	})
	link := New(address)
	defer link.Close()
	var size int
	if err := link.Call(t.Context(), 5*time.Second, "Echo.Size", []byte{}, &size); err != nil || size != 1 {
		t.Fatalf("size %d, error %v of a whole reply", size, err)
	}
	replies := []string{"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", strings.Repeat("\x00", 100), strings.Repeat("\x7f", 200)}
	for n := range reply.Len() {
		replies = append(replies, reply.String()[:n])
	}
	for _, text := range replies {
		for _, resets := range []bool{false, true} {
			address := listen(t, func(conn net.Conn) {
				_, _ = conn.Read(make([]byte, 1))
				_, _ = io.WriteString(conn, text)
				if resets {
					_ = conn.(*net.TCPConn).SetLinger(0)
				}
				_ = conn.Close()
			})
			link := New(address)
			var size int
			if err := link.Call(t.Context(), 5*time.Second, "Echo.Size", make([]byte, 1<<20), &size); !errors.Is(err, ErrOutcomeUnknown) {
				t.Errorf("reply %q, reset %v: error %v, want one of unknown outcome", text, resets, err)
			}
			link.Close()
		}
	}
}
