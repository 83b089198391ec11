package nutmegpeer

import (
	"cmp"
	"fmt"
	"hash/fnv"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// ItemKind is a registered kind of gossip item.
type ItemKind string

// Item is one gossip item: the latest value that any instance has put for a key.
// The value is opaque to this package.
type Item struct {
	Kind    ItemKind
	Key     string
	Version uint64    // a higher version replaces a lower one
	Expires time.Time // when every instance drops the item
	Value   []byte
}

// ItemRule sets the limits and the handling of the items of one kind.
type ItemRule struct {
	MaxItems int        // kept at a time; beyond that, the next to expire is dropped
	MaxBytes int        // size of a key and its value
	Urgent   bool       // announced immediately, not in the next round
	OnItem   func(Item) // called for each item from a peer that is new here; may be nil
}

// Gossip holds small items and spreads them to all instances in digests of
// bounded size.
type Gossip struct {
	now      func() time.Time
	count    func(name string)
	announce func()

	mu    sync.Mutex
	rules map[ItemKind]ItemRule
	items map[ItemKind]map[string]*itemState
}

// itemState is an item and the number of digests that carried it.
type itemState struct {
	item Item
	hash uint64
	sent int
}

func newGossip(now func() time.Time, count func(string), announce func()) *Gossip {
	return &Gossip{now: now, count: count, announce: announce, rules: make(map[ItemKind]ItemRule), items: make(map[ItemKind]map[string]*itemState)}
}

// Register allows items of a kind. Items of unregistered kinds are rejected.
func (g *Gossip) Register(kind ItemKind, rule ItemRule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rules[kind] = rule
	g.items[kind] = make(map[string]*itemState)
}

// Put stores an item and spreads it to all instances. It returns an error if the
// item exceeds the limits of its kind; an item that is not newer than the known
// one is ignored.
func (g *Gossip) Put(i Item) error {
	_, err := g.merge(i)
	return err
}

// Items returns the items of a kind that have not expired, ordered by key.
func (g *Gossip) Items(kind ItemKind) []Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	var items []Item
	for _, s := range g.items[kind] {
		if s.item.Expires.After(g.now()) {
			items = append(items, s.item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return items
}

// merge stores an item if it is newer than the known one, and reports whether it
// did. An item that is the next to expire of too many is not stored.
func (g *Gossip) merge(i Item) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rule, ok := g.rules[i.Kind]
	if !ok {
		return false, fmt.Errorf("gossip kind %q is not registered on this instance", i.Kind)
	}
	if len(i.Key)+len(i.Value) > rule.MaxBytes {
		return false, fmt.Errorf("gossip item %s/%s has %d bytes; the limit is %d, so shorten its key or value", i.Kind, i.Key, len(i.Key)+len(i.Value), rule.MaxBytes)
	}
	lifetime := i.Expires.Sub(g.now())
	if lifetime <= 0 || lifetime > maxItemLifetime {
		return false, fmt.Errorf("gossip item %s/%s expires in %s; the time must be positive and at most %s", i.Kind, i.Key, lifetime, maxItemLifetime)
	}
	byKey := g.items[i.Kind]
	known, ok := byKey[i.Key]
	if ok && known.item.Version >= i.Version && known.item.Expires.After(g.now()) {
		return false, nil
	}
	byKey[i.Key] = &itemState{item: i, hash: i.hash()}
	g.evict(byKey, rule.MaxItems)
	if _, kept := byKey[i.Key]; !kept {
		return false, nil
	}
	if rule.Urgent {
		g.announce()
	}
	return true, nil
}

// evict removes expired items, and while more than limit items remain, the next
// to expire.
func (g *Gossip) evict(byKey map[string]*itemState, limit int) {
	now := g.now()
	for key, s := range byKey {
		if !s.item.Expires.After(now) {
			delete(byKey, key)
		}
	}
	for len(byKey) > limit {
		earliest := ""
		for key, s := range byKey {
			if earliest == "" || s.item.Expires.Before(byKey[earliest].item.Expires) {
				earliest = key
			}
		}
		delete(byKey, earliest)
	}
}

// selectItems returns the items that the fewest digests have carried, at most n
// and at most size bytes. An item that has been sent often enough is sent again
// only when it comes first, one per digest, for peers that joined later.
func (g *Gossip) selectItems(n, size, members int) []*peerpb.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	maxSends := retransmitFactor * bits.Len(uint(members))
	now := g.now()
	var all []*itemState
	for _, byKey := range g.items {
		for _, s := range byKey {
			if s.item.Expires.After(now) {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b *itemState) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.item.Kind, b.item.Kind), cmp.Compare(a.item.Key, b.item.Key))
	})
	var selected []*peerpb.Item
	for _, s := range all {
		size -= len(s.item.Key) + len(s.item.Value)
		if len(selected) == n || size < 0 || (s.sent >= maxSends && len(selected) > 0) {
			break
		}
		s.sent++
		selected = append(selected, s.item.toProto())
	}
	return selected
}

// sample returns random items of at most size bytes: all of them, if they are not
// too large.
func (g *Gossip) sample(size int) []*peerpb.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var selected []*peerpb.Item
	for _, byKey := range g.items {
		for _, s := range byKey { // in random order
			if !s.item.Expires.After(now) {
				continue
			}
			if size -= len(s.item.Key) + len(s.item.Value); size < 0 {
				return selected
			}
			selected = append(selected, s.item.toProto())
		}
	}
	return selected
}

// hash returns a hash over all items that have not expired, which does not depend
// on their order; zero if there are none.
func (g *Gossip) hash() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	var sum uint64
	for _, byKey := range g.items {
		for _, s := range byKey {
			if s.item.Expires.After(now) {
				sum += s.hash
			}
		}
	}
	return sum
}

// mustAnnounce reports whether an urgent item has been sent to fewer than
// announceFanout peers.
func (g *Gossip) mustAnnounce() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := g.now()
	for kind, byKey := range g.items {
		for _, s := range byKey {
			if g.rules[kind].Urgent && s.sent < announceFanout && s.item.Expires.After(now) {
				return true
			}
		}
	}
	return false
}

// hash returns a hash of the item's identity and version.
func (i Item) hash() uint64 {
	h := fnv.New64a()
	_, _ = fmt.Fprintf(h, "%q %q %d", i.Kind, i.Key, i.Version)
	return h.Sum64()
}

func (i Item) toProto() *peerpb.Item {
	return &peerpb.Item{Kind: string(i.Kind), Key: i.Key, Version: i.Version, ExpiresMicros: i.Expires.UnixMicro(), Value: i.Value}
}

// receive merges a peer's items and calls OnItem of their kind for new ones.
func (g *Gossip) receive(items []*peerpb.Item) {
	for _, p := range items {
		i := Item{
			Kind:    ItemKind(p.GetKind()),
			Key:     p.GetKey(),
			Version: p.GetVersion(),
			Expires: time.UnixMicro(p.GetExpiresMicros()),
			Value:   p.GetValue(),
		}
		merged, err := g.merge(i)
		if err != nil {
			g.count("peer_refused_items")
			continue
		}
		g.mu.Lock()
		onItem := g.rules[i.Kind].OnItem
		g.mu.Unlock()
		if merged && onItem != nil {
			onItem(i)
		}
	}
}
