package nutmegstand

import (
	"net/http"
	"strconv"
	"time"
)

// EngineLoad is an engine's load report. It is as old as the engine's lag.
type EngineLoad struct {
	Running       int64        `json:"running"`
	Waiting       int64        `json:"waiting"`
	WaitingTokens int64        `json:"waiting_tokens"`
	Slots         int64        `json:"slots"`
	AgeMillis     int64        `json:"age_ms"`
	Leaving       bool         `json:"leaving"`
	CacheNext     uint64       `json:"cache_next"`
	Cache         []CacheEvent `json:"cache,omitempty"`
}

// loadState is the load at one time.
type loadState struct {
	at   time.Time
	load EngineLoad
}

const maxLoadStates = 256

// Load returns the report as of the engine's lag ago, with the cache events
// after a sequence.
func (e *Engine) Load(after uint64) EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, loadState{at: now, load: e.present()})
	e.loads = e.loads[max(0, len(e.loads)-maxLoadStates):]
	reported := e.reported(now)
	report := reported.load
	report.AgeMillis = now.Sub(reported.at).Milliseconds()
	report.Leaving = e.faults.Leaving
	report.Cache = e.cache.published(after, now.Add(-e.cfg.EventLag))
	report.CacheNext = after
	if n := len(report.Cache); n > 0 {
		report.CacheNext = report.Cache[n-1].Sequence
	}
	if e.cache.next < after {
		report.CacheNext = 0 // the cache is a new one
	}
	return report
}

// reported is the newest state that is at least as old as the lag, or the
// oldest one.
func (e *Engine) reported(now time.Time) loadState {
	found := e.loads[0]
	for _, s := range e.loads {
		if now.Sub(s.at) < e.cfg.ReportLag {
			break
		}
		found = s
	}
	return found
}

func (e *Engine) present() EngineLoad {
	load := EngineLoad{Running: int64(len(e.running)), Waiting: int64(len(e.waiting)), Slots: int64(e.cfg.MaxBatch)}
	for _, s := range e.running {
		load.WaitingTokens += s.prompt
	}
	for _, s := range e.waiting {
		load.WaitingTokens += s.prompt
	}
	return load
}

func (e *Engine) getLoad(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		after = 0
	}
	writeJSON(w, e.Load(after))
}
