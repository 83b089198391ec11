package nutmegpeer

import (
	"fmt"
	"net"
	"slices"
	"strings"
	"testing"
	"time"
)

const urgentKind ItemKind = "crashes"

// registerUrgent registers urgent items at every peer.
func (f *testFleet) registerUrgent() {
	for _, p := range f.peers {
		p.Gossip().Register(urgentKind, ItemRule{MaxItems: 512, MaxBytes: 256, Urgent: true})
	}
}

// put puts n items, named after the peer, at a peer.
func (f *testFleet) put(t *testing.T, peer, n int) {
	t.Helper()
	for i := range n {
		item := Item{Kind: urgentKind, Key: fmt.Sprint(peer, "-", i), Version: 1, Expires: time.Now().Add(time.Minute), Value: make([]byte, 100)}
		if err := f.peers[peer].Gossip().Put(item); err != nil {
			t.Fatal(err)
		}
	}
}

// awaitItems waits until every given peer holds n items.
func (f *testFleet) awaitItems(t *testing.T, indexes []int, n int) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	for _, i := range indexes {
		for len(f.peers[i].Gossip().Items(urgentKind)) != n {
			if time.Now().After(deadline) {
				t.Fatalf("peer %d holds %d items; want %d", i, len(f.peers[i].Gossip().Items(urgentKind)), n)
			}
			time.Sleep(time.Millisecond)
		}
	}
}

// awaitItemsOf waits until every given peer holds all n items of one peer. It may hold
// others: an exchange that began before a split may end after it.
func (f *testFleet) awaitItemsOf(t *testing.T, indexes []int, owner, n int) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	prefix := fmt.Sprint(owner, "-")
	for _, i := range indexes {
		for held := 0; held != n; time.Sleep(time.Millisecond) {
			held = 0
			for _, item := range f.peers[i].Gossip().Items(urgentKind) {
				if strings.HasPrefix(item.Key, prefix) {
					held++
				}
			}
			if time.Now().After(deadline) {
				t.Fatalf("peer %d holds %d items of peer %d; want %d", i, held, owner, n)
			}
		}
	}
}

// awaitKnown waits until a peer has another one in its list of members.
func (f *testFleet) awaitKnown(t *testing.T, i, other int) {
	t.Helper()
	deadline := time.Now().Add(testTimeout)
	isOther := func(m Member) bool { return m.Address == f.peers[other].address }
	for !slices.ContainsFunc(f.peers[i].Members(), isOther) {
		if time.Now().After(deadline) {
			t.Fatalf("peer %d does not know peer %d", i, other)
		}
		time.Sleep(time.Millisecond)
	}
}

// TestManyUrgentItemsReachEveryPeer guards against items beyond those of one digest
// that wait for the next round.
func TestManyUrgentItemsReachEveryPeer(t *testing.T) {
	f := newTestFleet(t, 7, func(_ int, cfg *Config) { cfg.Interval = time.Hour })
	f.registerUrgent()
	f.put(t, 0, 60)
	f.put(t, 1, 60)
	f.awaitItems(t, firstPeers(7), 120)
}

// TestRoundsGoOnWhileThereAreItems guards against peers that miss items because
// their regular rounds are far apart.
func TestRoundsGoOnWhileThereAreItems(t *testing.T) {
	f := newTestFleet(t, 5, func(_ int, cfg *Config) {
		cfg.Interval = time.Hour
		cfg.CallTimeout = 100 * time.Millisecond
		cfg.DeadAfter = time.Minute
	})
	f.registerUrgent()
	// Both halves are connected in themselves and know one peer of the other.
	for i, seed := range []int{2, 0, 0, 2, 2} {
		f.peers[i].SetSeeds([]string{f.peers[seed].address})
		f.peers[i].Announce()
		f.awaitKnown(t, i, seed)
		f.awaitKnown(t, seed, i)
	}
	f.split([]int{0, 1}, []int{2, 3, 4})
	f.put(t, 0, 30)
	f.put(t, 2, 30)
	f.awaitItemsOf(t, []int{0, 1}, 0, 30)
	f.awaitItemsOf(t, []int{2, 3, 4}, 2, 30)
	f.split(nil, nil)
	f.awaitItems(t, firstPeers(5), 60)
}

// TestPeerThatJoinsLearnsAllItems guards against a new instance that gets only the
// newest items.
func TestPeerThatJoinsLearnsAllItems(t *testing.T) {
	adjust := func(_ int, cfg *Config) {
		cfg.Interval = time.Hour
		cfg.Dial = nil
	}
	f := newTestFleet(t, 4, adjust)
	f.registerUrgent()
	f.put(t, 0, 100)
	f.awaitItems(t, firstPeers(4), 100)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	joined := &testFleet{peers: []*testPeer{f.newPeer(4, l, f.peers[1].address, adjust)}}
	joined.registerUrgent()
	if err := joined.peers[0].Start(l); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(joined.peers[0].Stop)
	joined.awaitItems(t, firstPeers(1), 100)
}
