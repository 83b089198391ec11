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

// follower brings the highest revision into force that the store or a peer
// tells of, and tries again until that is done.
type configFollower struct {
	node *Node
	wake chan struct{}
	done chan struct{}

	mu           sync.Mutex
	storeHead    nutmegconf.Head   // the highest that the store told of, with what is pending
	peer         string            // the peer that told of the highest revision
	peerRevision nutmegid.Revision // by that peer
	firstHeard   time.Time         // when a peer told of a revision first
}

func newConfigFollower(n *Node) *configFollower {
	return &configFollower{node: n, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// stored takes in a head of the store.
func (f *configFollower) observeHead(head nutmegconf.Head) {
	f.mu.Lock()
	if head.Revision >= f.storeHead.Revision {
		f.storeHead = head
	}
	f.mu.Unlock()
	f.notify()
}

// heard takes in that a peer has a revision.
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

// pending returns the effects that the store's head has pending.
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

// run works until ctx ends.
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
			case <-f.wake: // something newer is known
			case <-time.After(followRetryDelay/2 + rand.N(followRetryDelay)):
			}
		}
	}
}

// follow tries once and reports whether nothing higher is known.
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

// fetch takes a peer's revision. What a peer has is durable: it came from the store.
func (f *configFollower) fetchFromPeer(ctx context.Context, peer string) {
	_, raw, err := f.node.peers.FetchRevision(ctx, peer)
	if err != nil {
		f.countFailure(false, err)
		f.mu.Lock()
		if f.peer == peer {
			f.peerRevision = 0 // asked again when a peer tells of it again
		}
		f.mu.Unlock()
		return
	}
	head, err := nutmegconf.DecodeHead(raw)
	if err != nil {
		f.countFailure(false, err)
		return
	}
	sources := append([]nutmegconf.Source{peerSource{f.node.peers, peer}}, f.sources(head.Revision)...)
	f.countFailure(f.node.rollout.Offer(ctx, head, sources...))
}

func (f *configFollower) countFailure(_ bool, err error) {
	if err != nil {
		f.node.metrics.GetOrRegister("config_fetch_failures", newCounter).(counter).Inc(1)
	}
}

// sources returns the store, unless it is out, and some peers that have the revision.
func (f *configFollower) sources(revision nutmegid.Revision) []nutmegconf.Source {
	var sources []nutmegconf.Source
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

// Segment implements nutmegconf.Source.
func (s peerSource) Segment(ctx context.Context, hash nutmegconf.SegmentHash) ([]byte, error) {
	return s.peers.FetchSegment(ctx, s.address, string(hash))
}
