package nutmegstand

import (
	"net/http"
	"strconv"
	"time"
)

// EngineLoad is an engine's load report. It describes the state of the engine
// ReportLag ago.
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

// loadState is the load at a point in time.
type loadState struct {
	at   time.Time
	load EngineLoad
}

const maxLoadStates = 256

// Load returns the load as of ReportLag ago, with the published cache events
// whose sequence is greater than after.
func (e *Engine) Load(after uint64) EngineLoad {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.loads = append(e.loads, loadState{at: now, load: e.currentLoad()})
	e.loads = e.loads[max(0, len(e.loads)-maxLoadStates):]
	reported := e.reportedState(now)
	report := reported.load
	report.AgeMillis = now.Sub(reported.at).Milliseconds()
	report.Leaving = e.faults.Leaving
	report.Cache = e.cache.published(after, now.Add(-e.cfg.EventLag))
	report.CacheNext = after
	if n := len(report.Cache); n > 0 {
		report.CacheNext = report.Cache[n-1].Sequence
	}
	if e.cache.lastSequence < after {
		report.CacheNext = 0 // the cache was cleared by a restart; readers start over
	}
	return report
}

// reportedState returns the newest load state that is at least ReportLag old, or
// the oldest state if none is.
func (e *Engine) reportedState(now time.Time) loadState {
	newest := e.loads[0]
	for _, s := range e.loads {
		if now.Sub(s.at) < e.cfg.ReportLag {
			break
		}
		newest = s
	}
	return newest
}

func (e *Engine) currentLoad() EngineLoad {
	load := EngineLoad{Running: int64(len(e.running)), Waiting: int64(len(e.waiting)), Slots: int64(e.cfg.MaxBatch)}
	for _, s := range e.running {
		load.WaitingTokens += s.uncomputed
	}
	for _, s := range e.waiting {
		load.WaitingTokens += s.uncomputed
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
