package nutmegpeer

import (
	"context"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const testPatience = time.Minute

// swarm is a fleet of peers on loopback whose links can be cut.
type swarm struct {
	mu    sync.Mutex
	cut   map[[2]int]bool // from, to
	peers []*testPeer
}

// testPeer is one instance of a swarm.
type testPeer struct {
	*Peers
	revision atomic.Uint64
	raisedAt atomic.Int64 // in nanoseconds
	address  string
	metrics  metrics.Registry
}

func newSwarm(tb testing.TB, n int, adjust func(i int, cfg *Config)) *swarm {
	tb.Helper()
	s := &swarm{cut: make(map[[2]int]bool)}
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	for i, l := range listeners {
		s.peers = append(s.peers, s.peer(i, l, listeners[0].Addr().String(), adjust))
	}
	for i, l := range listeners {
		if err := s.peers[i].Start(l); err != nil {
			tb.Fatal(err)
		}
	}
	tb.Cleanup(func() {
		for _, p := range s.peers {
			p.Stop()
		}
	})
	return s
}

func (s *swarm) peer(i int, l net.Listener, seed string, adjust func(int, *Config)) *testPeer {
	p := &testPeer{address: l.Addr().String(), metrics: metrics.NewRegistry()}
	cfg := Config{
		Fleet: "test", Key: []byte("key"), Seeds: []string{seed}, Metrics: p.metrics,
		Self: Member{
			Instance: nutmegid.Instance(fmt.Sprintf("instance-%03d", i)), Incarnation: nutmegid.NewIncarnation(),
			FailureDomain: "a", Address: p.address,
		},
		Interval:  50 * time.Millisecond,
		DeadAfter: 400 * time.Millisecond,
		Revision:  func() nutmegid.Revision { return nutmegid.Revision(p.revision.Load()) },
		OnRevision: func(_ string, revision nutmegid.Revision) {
			p.raise(uint64(revision))
		},
		Dial: s.dialer(i),
	}
	if adjust != nil {
		adjust(i, &cfg)
	}
	p.Peers = New(cfg)
	return p
}

// raise takes a higher revision, as an instance does that fetched it.
func (p *testPeer) raise(revision uint64) {
	for {
		present := p.revision.Load()
		if present >= revision {
			return
		}
		if p.revision.CompareAndSwap(present, revision) {
			p.raisedAt.Store(time.Now().UnixNano())
			p.Announce()
			return
		}
	}
}

func (s *swarm) dialer(from int) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &swarmConn{Conn: c, swarm: s, from: from, to: s.index(address)}, nil
	}
}

func (s *swarm) index(address string) int {
	for i, p := range s.peers {
		if p.address == address {
			return i
		}
	}
	return -1
}

// split cuts all links between two groups, or heals all links without groups.
func (s *swarm) split(a, b []int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cut = make(map[[2]int]bool)
	for _, i := range a {
		for _, j := range b {
			s.cut[[2]int{i, j}] = true
			s.cut[[2]int{j, i}] = true
		}
	}
}

// swarmConn swallows what goes over a cut link.
type swarmConn struct {
	net.Conn
	swarm    *swarm
	from, to int
}

// Write implements net.Conn. A cut link says nothing, as a silent connection does.
func (c *swarmConn) Write(b []byte) (int, error) {
	c.swarm.mu.Lock()
	cut := c.swarm.cut[[2]int{c.from, c.to}]
	c.swarm.mu.Unlock()
	if cut {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// states counts the states that peer i sees.
func (p *testPeer) states() map[State]int {
	states := make(map[State]int)
	for _, m := range p.Members() {
		states[m.State]++
	}
	return states
}

// await waits until all chosen peers see the states.
func (s *swarm) await(tb testing.TB, who []int, want map[State]int) {
	tb.Helper()
	deadline := time.Now().Add(testPatience)
	for _, i := range who {
		for !cmp.Equal(want, s.peers[i].states()) {
			if time.Now().After(deadline) {
				tb.Fatalf("peer %d sees (-want +got):\n%s", i, cmp.Diff(want, s.peers[i].states()))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func upTo(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

func (p *testPeer) counted(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}
