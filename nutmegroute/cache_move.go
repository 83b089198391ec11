package nutmegroute

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// kvBlocks is exported KV cache as engines name it.
type kvBlocks struct {
	Blocks []kvBlock `json:"blocks"`
}

type kvBlock struct {
	Block uint64 `json:"block,string"`
}

// MoveCache copies the often used prefixes that only a leaving engine holds to
// other engines of its models. It does so under the engine's order claim, so
// that one instance of the fleet does it once. An import takes a small part of
// the time of computing the same prompt again.
func (o *Orderer) MoveCache(ctx context.Context, u nutmegid.Upstream, serial uint64) (int, error) {
	moves := o.cfg.Pool.cacheMoves(u)
	if len(moves) == 0 {
		return 0, nil
	}
	order := EngineOrder{ID: fmt.Sprintf("%s/%s/%d", OrderMoveCache, u, serial), Upstream: u, Kind: OrderMoveCache}
	record, mine, err := o.claim(ctx, order, false)
	if err != nil || !mine {
		return 0, err
	}
	moved := 0
	var failed error
	for _, m := range moves {
		if failed = o.move(ctx, m); failed != nil {
			break
		}
		moved += len(m.blocks)
	}
	_, err = o.finish(context.WithoutCancel(ctx), record, failed)
	return moved, err
}

// cacheMove is the blocks of one model that go from one engine to another.
type cacheMove struct {
	from, to *Candidate
	index    *prefixIndex
	blocks   []uint64
}

func (o *Orderer) move(ctx context.Context, m cacheMove) error {
	var asked, found kvBlocks
	for _, b := range m.blocks {
		asked.Blocks = append(asked.Blocks, kvBlock{Block: b})
	}
	if err := exchange(ctx, o.cfg.HTTP, http.MethodPost, m.from.URL+"/kv/export", asked, &found); err != nil {
		return err
	}
	if len(found.Blocks) == 0 {
		return nil
	}
	if err := exchange(ctx, o.cfg.HTTP, http.MethodPost, m.to.URL+"/kv/import", found, nil); err != nil {
		return err
	}
	for _, b := range found.Blocks {
		m.index.add([]uint64{b.Block}, m.to)
	}
	return nil
}

// cacheMoves plans what to move from a leaving engine, each model's blocks to
// the least loaded other engine.
func (p *Pool) cacheMoves(u nutmegid.Upstream) []cacheMove {
	p.mu.RLock()
	defer p.mu.RUnlock()
	from, ok := p.all[u]
	if !ok {
		return nil
	}
	now := p.now()
	var moves []cacheMove
	for _, m := range from.Models {
		l := p.lanes[laneKey{model: m}]
		if l == nil {
			continue
		}
		blocks := l.set.index.only(from)
		to := l.set.idlest(from, now)
		if len(blocks) > 0 && to != nil {
			moves = append(moves, cacheMove{from: from, to: to, index: l.set.index, blocks: blocks})
		}
	}
	return moves
}

func (s *Set) idlest(except *Candidate, now moment) *Candidate {
	var best *Candidate
	for _, c := range s.Members {
		if c == except || !c.usable(now) || s.isQuiet[c] && len(s.busy) > 1 {
			continue
		}
		if best == nil || c.load(now) < best.load(now) {
			best = c
		}
	}
	return best
}

// only returns the blocks that no engine but c is known to hold and that were
// used again, the most used first and a prefix before its extensions.
func (x *prefixIndex) only(c *Candidate) []uint64 {
	type use struct {
		block uint64
		uses  uint32
		depth uint32
	}
	x.mu.RLock()
	var found []use
	for b, h := range x.entries {
		if h.uses >= minMovedUses && h.others(c) == 0 && h.has(c) {
			found = append(found, use{block: b, uses: h.uses, depth: h.depth})
		}
	}
	x.mu.RUnlock()
	slices.SortFunc(found, func(a, b use) int {
		return cmp.Or(cmp.Compare(b.uses, a.uses), cmp.Compare(a.depth, b.depth), cmp.Compare(a.block, b.block))
	})
	var blocks []uint64
	for _, f := range found[:min(len(found), maxMovedBlocks)] {
		blocks = append(blocks, f.block)
	}
	return blocks
}

func (h *holders) has(c *Candidate) bool {
	return slices.Contains(h.list[:h.n], c)
}

// others counts the holders besides c that take work.
func (h *holders) others(c *Candidate) int {
	n := 0
	for _, other := range h.list[:h.n] {
		if other != c && !other.leaving.Load() {
			n++
		}
	}
	return n
}
