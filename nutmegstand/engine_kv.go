package nutmegstand

import (
	"net/http"
	"time"
)

// KVBlocks is exported KV cache: the named prefix blocks.
type KVBlocks struct {
	Blocks []BlockID `json:"blocks"`
}

// BlockID names a prefix block. It is a string in JSON, where numbers have 53 bits.
type BlockID struct {
	Block uint64 `json:"block,string"`
}

// exportKV answers with those of the asked blocks that are cached.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var asked KVBlocks
	if !readJSON(w, r, &asked) {
		return
	}
	e.mu.Lock()
	found := KVBlocks{Blocks: []BlockID{}}
	for _, b := range asked.Blocks {
		if _, ok := e.cache.blocks[b.Block]; ok {
			found.Blocks = append(found.Blocks, b)
		}
	}
	e.mu.Unlock()
	writeJSON(w, found)
}

// importKV caches exported blocks; the answer comes when they are in.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var imported KVBlocks
	if !readJSON(w, r, &imported) {
		return
	}
	if !wait(r, time.Duration(len(imported.Blocks))*blockTokens*e.cfg.ImportTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, b := range imported.Blocks {
		e.store([]uint64{b.Block}, now)
	}
}
