package nutmegstand

import (
	"container/list"
	"time"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlockBytes is the length of the blocks in which prompts are cached.
const PrefixBlockBytes = 1024

const (
	blockTokens     = PrefixBlockBytes / 4
	maxPrefixBlocks = 16
	maxEvents       = 4096
)

// prefixBlocks names the prefixes of a prompt: the n-th is the hash of its
// first n blocks.
func prefixBlocks(prompt []byte) []uint64 {
	var blocks []uint64
	digest := xxhash.New()
	for len(prompt) >= PrefixBlockBytes && len(blocks) < maxPrefixBlocks {
		_, _ = digest.Write(prompt[:PrefixBlockBytes])
		blocks = append(blocks, digest.Sum64())
		prompt = prompt[PrefixBlockBytes:]
	}
	return blocks
}

// CacheEvent says that the engine has stored or evicted a prefix.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"`
	Evicted  bool   `json:"evicted"`

	at time.Time
}

// prefixCache holds the most recently used prefix blocks.
type prefixCache struct {
	size   int
	recent *list.List // of uint64, the most recent first
	blocks map[uint64]*list.Element
	events []CacheEvent // those not dropped, in order
	next   uint64
}

func newPrefixCache(size int) *prefixCache {
	return &prefixCache{size: size, recent: list.New(), blocks: make(map[uint64]*list.Element)}
}

// hit returns how many of the blocks are cached, from the first on.
func (c *prefixCache) hit(blocks []uint64) int64 {
	for i, b := range blocks {
		at, ok := c.blocks[b]
		if !ok {
			return int64(i)
		}
		c.recent.MoveToFront(at)
	}
	return int64(len(blocks))
}

// store caches the blocks of a prompt and notes the events. Some are lost.
func (e *Engine) store(blocks []uint64, now time.Time) {
	c := e.cache
	for _, b := range blocks {
		if at, ok := c.blocks[b]; ok {
			c.recent.MoveToFront(at)
			continue
		}
		c.blocks[b] = c.recent.PushFront(b)
		e.note(CacheEvent{Block: b, at: now})
		for c.recent.Len() > c.size {
			oldest, _ := c.recent.Remove(c.recent.Back()).(uint64)
			delete(c.blocks, oldest)
			e.note(CacheEvent{Block: oldest, Evicted: true, at: now})
		}
	}
}

func (e *Engine) note(event CacheEvent) {
	c := e.cache
	c.next++
	event.Sequence = c.next
	if e.random.Float64() < e.cfg.EventGaps {
		return
	}
	c.events = append(c.events, event)
	c.events = c.events[max(0, len(c.events)-maxEvents):]
}

// published returns the events after a sequence that are old enough.
func (c *prefixCache) published(after uint64, until time.Time) []CacheEvent {
	var events []CacheEvent
	for _, e := range c.events {
		if e.Sequence > after && !e.at.After(until) {
			events = append(events, e)
		}
	}
	return events
}
