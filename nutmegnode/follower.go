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
type follower struct {
	node *Node
	wake chan struct{}
	done chan struct{}

	mu        sync.Mutex
	head      nutmegconf.Head   // the highest that the store told of, with what is pending
	peer      string            // the peer that told of the highest revision
	told      nutmegid.Revision // by that peer
	firstTold time.Time         // when a peer told of a revision first
}

func newFollower(n *Node) *follower {
	return &follower{node: n, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// stored takes in a head of the store.
func (f *follower) stored(head nutmegconf.Head) {
	f.mu.Lock()
	if head.Revision >= f.head.Revision {
		f.head = head
	}
	f.mu.Unlock()
	f.notify()
}

// heard takes in that a peer has a revision.
func (f *follower) heard(peer string, revision nutmegid.Revision) {
	f.mu.Lock()
	if revision >= f.told {
		f.peer, f.told = peer, revision
	}
	if f.firstTold.IsZero() {
		f.firstTold = time.Now()
	}
	f.mu.Unlock()
	f.notify()
}

// pending returns the effects that the store's head has pending.
func (f *follower) pending() []nutmegconf.Effect {
	f.mu.Lock()
	defer f.mu.Unlock()
	var all []nutmegconf.Effect
	for _, p := range f.head.Pending {
		all = append(all, p.Effects...)
	}
	return all
}

func (f *follower) notify() {
	select {
	case f.wake <- struct{}{}:
	default:
	}
}

// run works until ctx ends.
func (f *follower) run(ctx context.Context) {
	defer close(f.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wake:
		}
		for !f.follow(ctx) {
			select {
			case <-ctx.Done():
				return
			case <-f.wake: // something newer is known
			case <-time.After(followRetry/2 + rand.N(followRetry)):
			}
		}
	}
}

// follow tries once and reports whether nothing higher is known.
func (f *follower) follow(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	f.mu.Lock()
	head, peer, told, firstTold := f.head, f.peer, f.told, f.firstTold
	f.mu.Unlock()
	present := f.node.revision()
	if head.Revision > present {
		f.note(f.node.rollout.Offer(ctx, head, f.sources(head.Revision)...))
	}
	present = f.node.revision()
	if told <= present {
		return head.Revision <= present
	}
	if present == 0 && time.Since(firstTold) < settleTime {
		return false
	}
	f.fetch(ctx, peer)
	return f.node.revision() >= max(told, head.Revision)
}

// fetch takes a peer's revision. What a peer has is durable: it came from the store.
func (f *follower) fetch(ctx context.Context, peer string) {
	_, raw, err := f.node.peers.FetchRevision(ctx, peer)
	if err != nil {
		f.note(false, err)
		f.mu.Lock()
		if f.peer == peer {
			f.told = 0 // asked again when a peer tells of it again
		}
		f.mu.Unlock()
		return
	}
	head, err := nutmegconf.DecodeHead(raw)
	if err != nil {
		f.note(false, err)
		return
	}
	sources := append([]nutmegconf.SegmentSource{peerSource{f.node.peers, peer}}, f.sources(head.Revision)...)
	f.note(f.node.rollout.Offer(ctx, head, sources...))
}

func (f *follower) note(_ bool, err error) {
	if err != nil {
		f.node.metrics.GetOrRegister("config_fetch_failures", newCounter).(counter).Inc(1)
	}
}

// sources returns the store, unless it is out, and some peers that have the revision.
func (f *follower) sources(revision nutmegid.Revision) []nutmegconf.SegmentSource {
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

// Segment implements nutmegconf.Source.
func (s peerSource) Segment(ctx context.Context, hash nutmegconf.SegmentHash) ([]byte, error) {
	return s.peers.FetchSegment(ctx, s.address, string(hash))
}
