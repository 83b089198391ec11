package main

import (
	"io"
	"net"
	"sync"
)

// proxy passes channels on to an address. Channels that are open can be made silent:
// they stay open, but no more bytes pass, while new channels work.
type proxy struct {
	listener net.Listener
	target   string

	mu     sync.Mutex
	silent chan struct{} // closed when the channels that use it go silent
	open   int
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, silent: make(chan struct{})}
	go p.accept()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) accept() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.pass(c)
	}
}

func (p *proxy) pass(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.mu.Lock()
	silent := p.silent
	p.open++
	p.mu.Unlock()
	done := make(chan struct{}, 2)
	copyBytes := func(to, from net.Conn) {
		buf := make([]byte, 32<<10)
		for {
			n, err := from.Read(buf)
			select {
			case <-silent:
				// The bytes are lost; the reader goes on, so that the sender's system
				// acknowledges them.
				_, _ = io.Copy(io.Discard, from)
				done <- struct{}{}
				return
			default:
			}
			if n > 0 {
				if _, werr := to.Write(buf[:n]); werr != nil {
					err = werr
				}
			}
			if err != nil {
				done <- struct{}{}
				return
			}
		}
	}
	go copyBytes(t, c)
	go copyBytes(c, t)
	<-done
	select {
	case <-silent:
		<-done
	default:
	}
	_, _ = c.Close(), t.Close()
	p.mu.Lock()
	p.open--
	p.mu.Unlock()
}

// silence makes the channels that are open now silent, and returns their number.
func (p *proxy) silence() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	close(p.silent)
	p.silent = make(chan struct{})
	return p.open
}
