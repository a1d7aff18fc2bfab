package main

import (
	"net"
	"sync"
	"time"
)

// proxy forwards connections to a target. While it is cut, it holds all bytes back, and what is held back is lost.
type proxy struct {
	target   string
	listener net.Listener

	mu    sync.Mutex
	cut   bool
	calls int // connections that came during cuts
}

func startProxy(address, target string) (*proxy, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	p := &proxy{target: target, listener: l}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.serve(c)
		}
	}()
	return p, nil
}

func (p *proxy) isCut() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut
}

// setCut begins or ends a cut. Connections that were open during a cut stay silent for good.
func (p *proxy) setCut(cut bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

func (p *proxy) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	if p.isCut() {
		p.mu.Lock()
		p.calls++
		p.mu.Unlock()
		time.Sleep(10 * time.Second)
		return
	}
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		return
	}
	defer func() { _ = t.Close() }()
	done := make(chan struct{}, 2)
	forward := func(from, to net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			if p.isCut() {
				time.Sleep(10 * time.Second)
				break
			}
			if n > 0 {
				if _, err := to.Write(buf[:n]); err != nil {
					break
				}
			}
			if err != nil {
				break
			}
		}
		done <- struct{}{}
	}
	go forward(c, t)
	go forward(t, c)
	<-done
}

// awaitCall waits, for a time at most, until another call has come during the cut, and 50 ms longer.
func (p *proxy) awaitCall(limit time.Duration) {
	count := func() int {
		p.mu.Lock()
		defer p.mu.Unlock()
		return p.calls
	}
	before := count()
	for end := time.Now().Add(limit); count() == before && time.Now().Before(end); {
		time.Sleep(5 * time.Millisecond)
	}
	time.Sleep(50 * time.Millisecond)
}
