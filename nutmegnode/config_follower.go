package nutmegnode

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// configFollower applies the highest configuration revision announced by the store
// or a peer, and retries until it is applied.
type configFollower struct {
	node *Node
	wake chan struct{}
	done chan struct{}

	mu           sync.Mutex
	storeHead    nutmegconf.Head   // highest head seen in the store, with its pending effects
	peer         string            // address of the peer that announced the highest revision
	peerRevision nutmegid.Revision // revision that it announced
	firstHeard   time.Time         // when a peer first announced a revision
}

func newConfigFollower(n *Node) *configFollower {
	return &configFollower{node: n, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// observeHead processes a head read from the store.
func (f *configFollower) observeHead(head nutmegconf.Head) {
	f.mu.Lock()
	if head.Revision >= f.storeHead.Revision {
		f.storeHead = head
	}
	f.mu.Unlock()
	f.notify()
}

// observePeer processes a revision announced by a peer.
func (f *configFollower) observePeer(peer string, revision nutmegid.Revision) {
	f.mu.Lock()
	if revision >= f.peerRevision {
		f.peer, f.peerRevision = peer, revision
	}
	if f.firstHeard.IsZero() {
		f.firstHeard = time.Now()
	}
	f.mu.Unlock()
	f.notify()
}

// pending returns the pending effects of the store's head.
func (f *configFollower) pending() []nutmegconf.Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []nutmegconf.Effect
	for _, p := range f.storeHead.Pending {
		all = append(all, p.Effects...)
	}
	return all
}

func (f *configFollower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run applies revisions until ctx is done.
func (f *configFollower) run(ctx context.Context) {
	defer close(f.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for !f.catchUp(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-f.wake: // a newer revision may be known
			case <-time.After(followRetryDelay/2 + rand.N(followRetryDelay)):
			}
		}
	}
}

// catchUp makes one attempt to apply the highest known revision and reports
// whether no higher one is known. An instance without a configuration collects
// announcements for peerDiscoveryTime before it fetches a revision from a peer.
func (f *configFollower) catchUp(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	f.mu.Lock()
	head, peer, peerRevision, firstHeard := f.storeHead, f.peer, f.peerRevision, f.firstHeard
	f.mu.Unlock()
	current := f.node.revision()
	if head.Revision > current {
		f.countFailure(f.node.rollout.Offer(ctx, head, f.sources(head.Revision)...))
	}
	current = f.node.revision()
	if peerRevision <= current {
		return head.Revision <= current
	}
	if current == 0 && time.Since(firstHeard) < peerDiscoveryTime {
		return false
	}
	f.fetchFromPeer(ctx, peer)
	return f.node.revision() >= max(peerRevision, head.Revision)
}

// fetchFromPeer applies a peer's revision. It is known to be durable, because the
// peer's configuration came from the store.
func (f *configFollower) fetchFromPeer(ctx context.Context, peer string) {
	_, raw, err := f.node.peers.FetchRevision(ctx, peer)
	if err != nil {
		f.countFailure(false, err)
		f.mu.Lock()
		if f.peer == peer {
			f.peerRevision = 0 // retried when a peer announces the revision again
		}
		f.mu.Unlock()
		return
	}
	head, err := nutmegconf.DecodeHead(raw)
	if err != nil {
		f.countFailure(false, err)
		return
	}
	sources := append([]nutmegconf.SegmentSource{peerSource{f.node.peers, peer}}, f.sources(head.Revision)...)
	f.countFailure(f.node.rollout.Offer(ctx, head, sources...))
}

func (f *configFollower) countFailure(_ bool, err error) {
	if err != nil {
		f.node.metrics.GetOrRegister("config_fetch_failures", newCounter).(counter).Inc(1)
	}
}

// sources returns the store, if it is up, and some peers that have the revision.
func (f *configFollower) sources(revision nutmegid.Revision) []nutmegconf.SegmentSource {
	var sources []nutmegconf.SegmentSource
	if f.node.client.Up() {
		sources = append(sources, nutmegconf.StoreSource{Store: f.node.writer})
	}
	members := f.node.peers.Members()
	rand.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
	for _, m := range members {
		if m.Revision >= revision && m.State == nutmegpeer.StateAlive && len(sources) < maxConfigSources {
			sources = append(sources, peerSource{f.node.peers, m.Address})
		}
	}
	return sources
}

// peerSource reads segments from a peer.
type peerSource struct {
	peers   *nutmegpeer.Peers
	address string
}

// Segment implements nutmegconf.SegmentSource.
func (s peerSource) Segment(ctx context.Context, hash nutmegconf.SegmentHash) ([]byte, error) {
	return s.peers.FetchSegment(ctx, s.address, string(hash))
}
