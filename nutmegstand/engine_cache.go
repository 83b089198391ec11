package nutmegstand

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the size of the blocks in which prompts are cached.
const PrefixBlockBytes = 1024

const (
	blockTokens     = PrefixBlockBytes / 4
	maxPrefixBlocks = 16
	maxEvents       = 4096
)

// hashPrefixes returns the IDs of the prefix blocks of a prompt: the n-th ID is
// the hash of its first n blocks. At most maxPrefixBlocks are hashed.
func hashPrefixes(prompt []byte) []uint64 {
	var blocks []uint64
	digest := xxhash.New()
	for len(prompt) >= PrefixBlockBytes && len(blocks) < maxPrefixBlocks {
		_, _ = digest.Write(prompt[:PrefixBlockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[PrefixBlockBytes:]
	}
	return blocks
}

// CacheEvent reports that the engine has stored or evicted a prefix block.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"`
	Evicted  bool   `json:"evicted"`

	at time.Time
}

// prefixCache is an LRU cache of prefix blocks.
type prefixCache struct {
	size         int
	recent       *list.List // block IDs of type uint64, the most recently used first
	blocks       map[uint64]*list.Element
	events       []CacheEvent // the latest events, without unpublished ones, in order
	lastSequence uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// countCached returns how many of the leading blocks are cached and marks them
// as recently used.
func (c *prefixCache) countCached(blocks []uint64) int64 {
	for i, b := range blocks {
		element, ok := c.blocks[b]
		if !ok {
			return int64(i)
		}
		c.recent.MoveToFront(element)
	}
	return int64(len(blocks))
}

// storeBlocks caches the blocks of a prompt, evicts the least recently used
// blocks beyond the cache size and records an event for each change.
func (e *Engine) storeBlocks(blocks []uint64, now time.Time) {
	c := e.cache
	for _, b := range blocks {
		if element, ok := c.blocks[b]; ok {
			c.recent.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.recent.PushFront(b)
		e.recordCacheEvent(CacheEvent{Block: b, at: now})
		for c.recent.Len() > c.size {
			oldest, _ := c.recent.Remove(c.recent.Back()).(uint64)
			delete(c.blocks, oldest)
			e.recordCacheEvent(CacheEvent{Block: oldest, Evicted: true, at: now})
		}
	}
}

// recordCacheEvent numbers an event and records it. At the rate EventDropRate it
// drops the event at random, which leaves a gap in the sequence.
func (e *Engine) recordCacheEvent(event CacheEvent) {
	c := e.cache
	c.lastSequence++
	event.Sequence = c.lastSequence
	if e.random.Float64() < e.cfg.EventDropRate {
		return
	}
	c.events = append(c.events, event)
	c.events = c.events[max(0, len(c.events)-maxEvents):]
}

// published returns the events with a sequence greater than after that happened
// at until or earlier.
func (c *prefixCache) published(after uint64, until time.Time) []CacheEvent {
	var events []CacheEvent
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(until) {
			events = append(events, e)
		}
	}
	return events
}
