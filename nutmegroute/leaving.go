package nutmegroute

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// LeavingRecord states whether an upstream is leaving. Each change increments Serial; the record
// with the higher serial wins, and for equal serials the one that says leaving.
type LeavingRecord struct {
	Upstream nutmegid.Upstream `json:"upstream"`
	Serial   uint64            `json:"serial"`
	Leaving  bool              `json:"leaving"`
}

// newer reports whether r supersedes other.
func (r LeavingRecord) newer(other LeavingRecord) bool {
	if r.Serial != other.Serial {
		return r.Serial > other.Serial
	}
	return r.Leaving && !other.Leaving
}

// LeavingRecords holds this instance's records of leaving upstreams.
type LeavingRecords struct {
	mu      sync.Mutex
	records map[nutmegid.Upstream]LeavingRecord
	listed  map[nutmegid.Upstream]listedState
}

// listedState is the last state of an upstream in the platform's list.
type listedState struct {
	leaving bool
	since   monotime
}

// NewLeavingRecords returns an empty LeavingRecords.
func NewLeavingRecords() *LeavingRecords {
	return &LeavingRecords{
		records: make(map[nutmegid.Upstream]LeavingRecord),
		listed:  make(map[nutmegid.Upstream]listedState),
	}
}

// observeList processes one entry of the platform's list and returns the record to merge, if
// any. The list lags by an unknown time, so an entry that contradicts the current record
// counts only if this instance has seen the entry change, or after liveListTrustAge.
func (l *LeavingRecords) observeList(u nutmegid.Upstream, leaving bool, now monotime) (LeavingRecord, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, ok := l.listed[u]
	changed := leaving && !ok || ok && before.leaving != leaving
	if changed || !ok {
		l.listed[u] = listedState{leaving: leaving, since: now}
	}
	record := l.records[u]
	trusted := changed || now-l.listed[u].since >= monotime(liveListTrustAge)
	if record.Leaving == leaving || !trusted {
		return LeavingRecord{}, false
	}
	return LeavingRecord{Upstream: u, Serial: record.Serial + 1, Leaving: leaving}, true
}

// merge adds records and reports whether any of them superseded the current one.
func (l *LeavingRecords) merge(records []LeavingRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	updated := false
	for _, n := range records {
		known, ok := l.records[n.Upstream]
		if ok && !n.newer(known) {
			continue
		}
		l.records[n.Upstream] = n
		updated = true
	}
	return updated
}

func (l *LeavingRecords) isLeaving(u nutmegid.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.records[u].Leaving
}

// export returns the latest record of each upstream, sorted by name.
func (l *LeavingRecords) export() []LeavingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	records := slices.Collect(maps.Values(l.records))
	slices.SortFunc(records, func(a, b LeavingRecord) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return records
}

// selfReported returns the record for an upstream that itself reports that it is leaving.
func (l *LeavingRecords) selfReported(u nutmegid.Upstream) LeavingRecord {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeavingRecord{Upstream: u, Serial: l.records[u].Serial, Leaving: true}
}

// ExportLeaving returns the records to gossip to peers.
func (p *Pool) ExportLeaving() []LeavingRecord {
	return p.leaving.export()
}

// ApplyLiveList applies the platform's live list, which maps each upstream to whether it is
// leaving.
func (p *Pool) ApplyLiveList(list map[nutmegid.Upstream]bool) {
	var records []LeavingRecord
	for u, leaving := range list {
		if record, ok := p.leaving.observeList(u, leaving, p.now()); ok {
			records = append(records, record)
		}
	}
	p.MergeLeaving(records)
}

// MergeLeaving merges records, for example those of peers. Once it returns, no new request
// goes to a leaving upstream.
func (p *Pool) MergeLeaving(records []LeavingRecord) {
	if !p.leaving.merge(records) {
		return
	}
	p.mu.Lock()
	started := p.applyLeaving()
	p.mu.Unlock()
	if p.cfg.OnLeave == nil {
		return
	}
	for _, u := range started {
		p.cfg.OnLeave(p.leaving.selfReported(u))
	}
}

// applyLeaving marks candidates, adjusts the queue capacities and returns the upstreams that
// start leaving. The caller must hold p.mu.
func (p *Pool) applyLeaving() []nutmegid.Upstream {
	var started []nutmegid.Upstream
	for u, c := range p.all {
		leaving := p.leaving.isLeaving(u)
		before := c.leaving.Swap(leaving)
		if before && !leaving {
			c.slowStartAt.Store(int64(p.now()))
		}
		if leaving && !before {
			started = append(started, u)
		}
	}
	for _, g := range p.groups {
		g.queue.SetCapacity(g.set.capacity(p.now()))
	}
	return started
}
