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

const testTimeout = time.Minute // until a test gives up waiting

// testFleet is a fleet of peers on the loopback interface whose links can be cut.
type testFleet struct {
	mu    sync.Mutex
	cut   map[[2]int]bool // cut links by the indexes of caller and callee
	peers []*testPeer
}

// testPeer is one instance of a testFleet.
type testPeer struct {
	*Peers
	revision      atomic.Uint64
	revisionSetAt atomic.Int64 // when the revision was set, in nanoseconds since the Unix epoch
	address       string
	metrics       metrics.Registry
}

// newTestFleet starts n peers that use the first one as their seed, and stops them
// when the test ends. adjust, unless nil, changes the settings of each peer.
func newTestFleet(tb testing.TB, n int, adjust func(i int, cfg *Config)) *testFleet {
	tb.Helper()
	f := &testFleet{cut: make(map[[2]int]bool)}
	var listeners []net.Listener
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			tb.Fatal(err)
		}
		listeners = append(listeners, l)
	}
	for i, l := range listeners {
		f.peers = append(f.peers, f.newPeer(i, l, listeners[0].Addr().String(), adjust))
	}
	for i, l := range listeners {
		if err := f.peers[i].Start(l); err != nil {
			tb.Fatal(err)
		}
	}
	tb.Cleanup(func() {
		for _, p := range f.peers {
			p.Stop()
		}
	})
	return f
}

// newPeer returns peer i of the fleet, not started.
func (f *testFleet) newPeer(i int, l net.Listener, seed string, adjust func(int, *Config)) *testPeer {
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
			p.setRevision(uint64(revision))
		},
		Dial: f.dialer(i),
	}
	if adjust != nil {
		adjust(i, &cfg)
	}
	p.Peers = New(cfg)
	return p
}

// setRevision puts a higher revision in force and announces it, as an instance does
// after fetching it. A lower revision is ignored.
func (p *testPeer) setRevision(revision uint64) {
	for {
		current := p.revision.Load()
		if current >= revision {
			return
		}
		if p.revision.CompareAndSwap(current, revision) {
			p.revisionSetAt.Store(time.Now().UnixNano())
			p.Announce()
			return
		}
	}
}

// dialer returns a DialFunc for a peer whose links obey split.
func (f *testFleet) dialer(from int) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := (&net.Dialer{}).DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &cuttableConn{Conn: c, fleet: f, from: from, to: f.index(address)}, nil
	}
}

// index returns the index of the peer at an address, or -1.
func (f *testFleet) index(address string) int {
	for i, p := range f.peers {
		if p.address == address {
			return i
		}
	}
	return -1
}

// split restores all links and then cuts those between two groups. Without groups
// it only restores them.
func (f *testFleet) split(a, b []int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = make(map[[2]int]bool)
	for _, i := range a {
		for _, j := range b {
			f.cut[[2]int{i, j}] = true
			f.cut[[2]int{j, i}] = true
		}
	}
}

// cuttableConn discards the data written to a cut link.
type cuttableConn struct {
	net.Conn
	fleet    *testFleet
	from, to int
}

// Write implements net.Conn. On a cut link it reports success without sending, as
// a connection to an unreachable host does.
func (c *cuttableConn) Write(b []byte) (int, error) {
	c.fleet.mu.Lock()
	cut := c.fleet.cut[[2]int{c.from, c.to}]
	c.fleet.mu.Unlock()
	if cut {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// states returns the number of members that the peer knows in each state.
func (p *testPeer) states() map[State]int {
	states := make(map[State]int)
	for _, m := range p.Members() {
		states[m.State]++
	}
	return states
}

// awaitStates waits until each of the given peers knows the wanted number of
// members in each state.
func (f *testFleet) awaitStates(tb testing.TB, indexes []int, want map[State]int) {
	tb.Helper()
	deadline := time.Now().Add(testTimeout)
	for _, i := range indexes {
		for !cmp.Equal(want, f.peers[i].states()) {
			if time.Now().After(deadline) {
				tb.Fatalf("states known to peer %d (-want +got):\n%s", i, cmp.Diff(want, f.peers[i].states()))
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// firstPeers returns the indexes of the first n peers.
func firstPeers(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// counter returns the value of a counter of the peer.
func (p *testPeer) counter(name string) int64 {
	return metrics.GetOrRegisterCounter(name, p.metrics).Count()
}
