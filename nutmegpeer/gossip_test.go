package nutmegpeer

import (
	"fmt"
	"net"
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
	for _, p := range f.peers {
		p.SetSeeds([]string{f.peers[0].address, f.peers[2].address})
		p.Announce()
	}
	f.split([]int{0, 1}, []int{2, 3, 4})
	f.put(t, 0, 30)
	f.put(t, 2, 30)
	f.awaitItems(t, []int{0, 1, 2, 3, 4}, 30)
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
