package nutmegroute

import (
	"sync"

	"github.com/cespare/xxhash/v2"
)

// PrefixBlocks returns the hashes of a prompt's prefixes: element n covers the first n+1
// blocks of PrefixBlockBytes. Engines identify cached prefixes by the same hashes.
func PrefixBlocks(prompt []byte) []uint64 {
	n := min(len(prompt)/PrefixBlockBytes, maxPrefixBlocks)
	blocks := make([]uint64, 0, n)
	digest := xxhash.New()
	for i := range n {
		_, _ = digest.Write(prompt[i*PrefixBlockBytes : (i+1)*PrefixBlockBytes])
		blocks = append(blocks, digest.Sum64())
	}
	return blocks
}

// holders lists the candidates that cache a prefix, up to maxHolders.
type holders struct {
	list  [maxHolders]*Candidate
	n     int
	uses  uint32 // requests of this instance
	depth uint32 // number of blocks in the prefix; 0 if known only from cache events
}

func (h *holders) add(c *Candidate) {
	if h.has(c) {
		return
	}
	if h.n < maxHolders {
		h.list[h.n] = c
		h.n++
		return
	}
	copy(h.list[:], h.list[1:])
	h.list[maxHolders-1] = c
}

func (h *holders) remove(c *Candidate) {
	for i, known := range h.list[:h.n] {
		if known == c {
			h.n--
			h.list[i] = h.list[h.n]
			h.list[h.n] = nil
			return
		}
	}
}

// cachedTokens returns how many tokens of a prefix of depth blocks c has cached.
func (h *holders) cachedTokens(c *Candidate, depth int64) int64 {
	if h.has(c) {
		return depth * blockTokens
	}
	return 0
}

// prefixIndex records which candidates probably cache a prefix. Entries are added immediately
// for requests of this instance, and later for cache events of the engines.
type prefixIndex struct {
	mu      sync.RWMutex
	entries map[uint64]holders
}

func newPrefixIndex() *prefixIndex {
	return &prefixIndex{entries: make(map[uint64]holders)}
}

// find returns the holders of the longest known prefix and its number of blocks.
func (x *prefixIndex) find(blocks []uint64) (holders, int64) {
	if len(blocks) == 0 {
		return holders{}, 0
	}
	x.mu.RLock()
	defer x.mu.RUnlock()
	for i := len(blocks) - 1; i >= 0; i-- {
		if found, ok := x.entries[blocks[i]]; ok && found.n > 0 {
			return found, int64(i + 1)
		}
	}
	return holders{}, 0
}

func (x *prefixIndex) add(blocks []uint64, c *Candidate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for _, b := range blocks {
		found := x.entry(b)
		found.add(c)
		x.entries[b] = found
	}
}

// recordUse records that a request with a prefix is sent to c.
func (x *prefixIndex) recordUse(blocks []uint64, c *Candidate) {
	if len(blocks) == 0 {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	for i, b := range blocks {
		found := x.entry(b)
		found.add(c)
		found.uses++
		found.depth = uint32(i + 1)
		x.entries[b] = found
	}
}

// entry returns the entry of a block, evicting another one if a new entry would exceed the
// limit.
func (x *prefixIndex) entry(block uint64) holders {
	found, ok := x.entries[block]
	if !ok && len(x.entries) >= maxPrefixEntries {
		x.evictAny()
	}
	return found
}

func (x *prefixIndex) remove(block uint64, c *Candidate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	found, ok := x.entries[block]
	if !ok {
		return
	}
	found.remove(c)
	if found.n == 0 {
		delete(x.entries, block)
		return
	}
	x.entries[block] = found
}

// forget removes a candidate from all entries.
func (x *prefixIndex) forget(c *Candidate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	for b, found := range x.entries {
		found.remove(c)
		if found.n == 0 {
			delete(x.entries, b)
			continue
		}
		x.entries[b] = found
	}
}

// evictAny evicts an arbitrary entry, the first in map iteration order.
func (x *prefixIndex) evictAny() {
	for b := range x.entries {
		delete(x.entries, b)
		return
	}
}
