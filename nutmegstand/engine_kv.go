package nutmegstand

import (
	"net/http"
	"time"
)

// KVBlocks lists the prefix blocks of an export or import of KV cache.
type KVBlocks struct {
	Blocks []BlockID `json:"blocks"`
}

// BlockID identifies a prefix block. It is encoded as a string in JSON, whose
// numbers are exact up to 53 bits only.
type BlockID struct {
	Block uint64 `json:"block,string"`
}

// exportKV answers with the requested blocks that are cached.
func (e *Engine) exportKV(w http.ResponseWriter, r *http.Request) {
	var requested KVBlocks
	if !readJSON(w, r, &requested) {
		return
	}
	e.mu.Lock()
	exported := KVBlocks{Blocks: []BlockID{}}
	for _, b := range requested.Blocks {
		if _, ok := e.cache.blocks[b.Block]; ok {
			exported.Blocks = append(exported.Blocks, b)
		}
	}
	e.mu.Unlock()
	writeJSON(w, exported)
}

// importKV caches exported blocks and answers once the import is complete.
func (e *Engine) importKV(w http.ResponseWriter, r *http.Request) {
	var imported KVBlocks
	if !readJSON(w, r, &imported) {
		return
	}
	if !waitFor(r, time.Duration(len(imported.Blocks))*blockTokens*e.cfg.ImportTime) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	for _, b := range imported.Blocks {
		e.storeBlocks([]uint64{b.Block}, now)
	}
}
