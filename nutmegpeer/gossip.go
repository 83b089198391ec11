package nutmegpeer

import (
	"cmp"
	"fmt"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// ItemKind names a registered kind of gossip.
type ItemKind string

// Item is one piece of gossip: the latest value of a key that some instance
// has put. Its value is opaque to this package.
type Item struct {
	Kind    ItemKind
	Key     string
	Version uint64    // higher versions replace lower ones
	Expires time.Time // afterwards the item is forgotten everywhere
	Value   []byte
}

// ItemRule bounds the items of a kind and tells of new ones.
type ItemRule struct {
	MaxItems int        // kept at once; the next to expire is dropped
	MaxBytes int        // of a key and its value
	Urgent   bool       // told at once, not in the next round
	OnItem   func(Item) // called for each item of peers that is new here; may be nil
}

// Gossip spreads small items to all instances in digests of bounded size.
type Gossip struct {
	now      func() time.Time
	count    func(name string)
	announce func()

	mu    sync.Mutex
	rules map[ItemKind]ItemRule
	items map[ItemKind]map[string]*spread
}

// spread is an item and how often it was told.
type spread struct {
	item Item
	told int
}

func newGossip(now func() time.Time, count func(string), announce func()) *Gossip {
	return &Gossip{now: now, count: count, announce: announce, rules: make(map[ItemKind]ItemRule), items: make(map[ItemKind]map[string]*spread)}
}

// Register allows items of a kind. Items of other kinds are refused.
func (g *Gossip) Register(kind ItemKind, rule ItemRule) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rules[kind] = rule
	g.items[kind] = make(map[string]*spread)
}

// Put spreads an item to all instances.
func (g *Gossip) Put(i Item) error {
	_, err := g.take(i)
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

// take keeps an item if it is newer than the known one, and reports so.
func (g *Gossip) take(i Item) (bool, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	rule, ok := g.rules[i.Kind]
	if !ok {
		return false, fmt.Errorf("gossip kind %q is not registered at this instance", i.Kind)
	}
	if len(i.Key)+len(i.Value) > rule.MaxBytes {
		return false, fmt.Errorf("gossip %s/%s has %d bytes; keep it within %d", i.Kind, i.Key, len(i.Key)+len(i.Value), rule.MaxBytes)
	}
	left := i.Expires.Sub(g.now())
	if left <= 0 || left > maxItemLife {
		return false, fmt.Errorf("gossip %s/%s expires in %s; use a time within %s", i.Kind, i.Key, left, maxItemLife)
	}
	kept := g.items[i.Kind]
	known, ok := kept[i.Key]
	if ok && known.item.Version >= i.Version && known.item.Expires.After(g.now()) {
		return false, nil
	}
	kept[i.Key] = &spread{item: i}
	g.bound(kept, rule.MaxItems)
	if rule.Urgent {
		g.announce()
	}
	return true, nil
}

// bound forgets expired items, and the next to expire over the limit.
func (g *Gossip) bound(kept map[string]*spread, limit int) {
	now := g.now()
	for key, s := range kept {
		if !s.item.Expires.After(now) {
			delete(kept, key)
		}
	}
	for len(kept) > limit {
		first := ""
		for key, s := range kept {
			if first == "" || s.item.Expires.Before(kept[first].item.Expires) {
				first = key
			}
		}
		delete(kept, first)
	}
}

// pick returns the least told items that fit into a digest. Items that were
// told often enough are told again now and then, one per digest, for peers
// that came later.
func (g *Gossip) pick(n, size, members int) []*peerpb.Item {
	g.mu.Lock()
	defer g.mu.Unlock()
	enough := newsFactor * bits.Len(uint(members))
	now := g.now()
	var all []*spread
	for _, kept := range g.items {
		for _, s := range kept {
			if s.item.Expires.After(now) {
				all = append(all, s)
			}
		}
	}
	slices.SortFunc(all, func(a, b *spread) int {
		return cmp.Or(cmp.Compare(a.told, b.told), cmp.Compare(a.item.Kind, b.item.Kind), cmp.Compare(a.item.Key, b.item.Key))
	})
	var picked []*peerpb.Item
	for _, s := range all {
		size -= len(s.item.Key) + len(s.item.Value)
		if len(picked) == n || size < 0 || (s.told >= enough && len(picked) > 0) {
			break
		}
		s.told++
		picked = append(picked, s.item.proto())
	}
	return picked
}

func (i Item) proto() *peerpb.Item {
	return &peerpb.Item{Kind: string(i.Kind), Key: i.Key, Version: i.Version, ExpiresMicros: i.Expires.UnixMicro(), Value: i.Value}
}

// receive takes in a peer's items and tells the registered kinds of new ones.
func (g *Gossip) receive(items []*peerpb.Item) {
	for _, p := range items {
		i := Item{
			Kind:    ItemKind(p.GetKind()),
			Key:     p.GetKey(),
			Version: p.GetVersion(),
			Expires: time.UnixMicro(p.GetExpiresMicros()),
			Value:   p.GetValue(),
		}
		isNew, err := g.take(i)
		if err != nil {
			g.count("peer_refused_items")
			continue
		}
		g.mu.Lock()
		told := g.rules[i.Kind].OnItem
		g.mu.Unlock()
		if isNew && told != nil {
			told(i)
		}
	}
}
