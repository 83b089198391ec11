package nutmegroute

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// kvBlocks is the wire format of exported KV cache blocks.
type kvBlocks struct {
	Blocks []kvBlock `json:"blocks"`
}

type kvBlock struct {
	Block uint64 `json:"block,string"`
}

// MoveCache copies frequently used prefixes that only a leaving engine holds to other engines
// of its models. The engine's order claim ensures that only one instance of the fleet does so.
// Importing blocks takes a fraction of the time needed to compute the same prompt again.
func (o *Orderer) MoveCache(ctx context.Context, u nutmegid.Upstream, serial uint64) (int, error) {
	moves := o.cfg.Pool.cacheMoves(u)
	if len(moves) == 0 {
		return 0, nil
	}
	order := EngineOrder{ID: fmt.Sprintf("%s/%s/%d", OrderMoveCache, u, serial), Upstream: u, Kind: OrderMoveCache}
	record, claimed, err := o.claim(ctx, order, false)
	if err != nil || !claimed {
		return 0, err
	}
	moved := 0
	var orderErr error
	for _, m := range moves {
		if orderErr = o.move(ctx, m); orderErr != nil {
			break
		}
		moved += len(m.blocks)
	}
	_, err = o.finish(context.WithoutCancel(ctx), record, orderErr)
	return moved, err
}

// cacheMove lists the blocks of one model to copy from one engine to another.
type cacheMove struct {
	from, to *Candidate
	index    *prefixIndex
	blocks   []uint64
}

func (o *Orderer) move(ctx context.Context, m cacheMove) error {
	var requested, found kvBlocks
	for _, b := range m.blocks {
		requested.Blocks = append(requested.Blocks, kvBlock{Block: b})
	}
	if err := doJSON(ctx, o.cfg.HTTP, http.MethodPost, m.from.URL+"/kv/export", requested, &found); err != nil {
		return err
	}
	if len(found.Blocks) == 0 {
		return nil
	}
	if err := doJSON(ctx, o.cfg.HTTP, http.MethodPost, m.to.URL+"/kv/import", found, nil); err != nil {
		return err
	}
	for _, b := range found.Blocks {
		m.index.add([]uint64{b.Block}, m.to)
	}
	return nil
}

// cacheMoves plans what to copy from a leaving engine: the blocks of each model go to the
// least loaded other engine.
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
		g := p.groups[groupKey{model: m}]
		if g == nil {
			continue
		}
		blocks := g.set.index.exclusiveBlocks(from)
		to := g.set.leastLoaded(from, now)
		if len(blocks) > 0 && to != nil {
			moves = append(moves, cacheMove{from: from, to: to, index: g.set.index, blocks: blocks})
		}
	}
	return moves
}

func (s *CandidateSet) leastLoaded(except *Candidate, now monotime) *Candidate {
	var best *Candidate
	for _, c := range s.Members {
		if c == except || !c.usable(now) || s.isInteractive[c] && len(s.batch) > 1 {
			continue
		}
		if best == nil || c.load(now) < best.load(now) {
			best = c
		}
	}
	return best
}

// exclusiveBlocks returns the reused blocks that no engine other than c is known to hold, most
// used first and a prefix before its extensions.
func (x *prefixIndex) exclusiveBlocks(c *Candidate) []uint64 {
	type prefixUsage struct {
		block uint64
		uses  uint32
		depth uint32
	}
	x.mu.RLock()
	var found []prefixUsage
	for b, h := range x.entries {
		if h.uses >= minMovedUses && h.countOthers(c) == 0 && h.has(c) {
			found = append(found, prefixUsage{block: b, uses: h.uses, depth: h.depth})
		}
	}
	x.mu.RUnlock()
	slices.SortFunc(found, func(a, b prefixUsage) int {
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

// countOthers returns the number of holders other than c that are not leaving.
func (h *holders) countOthers(c *Candidate) int {
	n := 0
	for _, other := range h.list[:h.n] {
		if other != c && !other.leaving.Load() {
			n++
		}
	}
	return n
}
