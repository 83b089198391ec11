package nutmegnotice

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Config configures a Tracker.
type Config struct {
	OnChange func(Change) // called without locks; may be nil
	// OnStatement is called without locks when an answer to this instance begins or
	// ends a limit; may be nil.
	OnStatement func(Statement)
}

// Tracker keeps what upstreams have stated. It is safe for concurrent use.
type Tracker struct {
	cfg Config

	mu      sync.Mutex
	records map[nutmegview.Process]*record
}

// record is what one process has stated.
type record struct {
	upstream nutmegid.Upstream
	limit    Limit
	reported Rate // the rate of the latest change that was reported
}

// NewTracker returns a Tracker that has heard nothing yet.
func NewTracker(cfg Config) *Tracker {
	if cfg.OnChange == nil {
		cfg.OnChange = func(Change) {}
	}
	if cfg.OnStatement == nil {
		cfg.OnStatement = func(Statement) {}
	}
	return &Tracker{cfg: cfg, records: make(map[nutmegview.Process]*record)}
}

// Record stores what an answer to a request states. A successful answer without a
// rate limit ends the one stated before.
func (t *Tracker) Record(u nutmegview.Upstream, id nutmegid.RequestID, n Notice, now time.Duration) {
	var change *Change
	switch {
	case n.RateLimit != nil:
		change = t.setLimit(u, *n.RateLimit, now)
	case n.Success && !n.Unclear:
		change = t.endLimit(u)
	}
	if change == nil {
		return
	}
	change.Request = id
	t.cfg.OnChange(*change)
	if change.Kind != ChangeMoved {
		t.cfg.OnStatement(Statement{Upstream: u.ID, Process: change.Process, Rate: change.After, Ended: change.Kind == ChangeEnded})
	}
}

// Merge stores what another instance has heard, unless an answer to this instance is
// newer.
func (t *Tracker) Merge(s Statement, age, now time.Duration) {
	heardAt := now - max(age, 0)
	t.mu.Lock()
	r, known := t.records[s.Process]
	var change *Change
	switch {
	case s.Ended && known && r.limit.HeardAt < heardAt:
		delete(t.records, s.Process)
		change = &Change{Kind: ChangeEnded, Process: s.Process, Before: r.limit.Rate}
	case !s.Ended && !known:
		change = t.add(s.Upstream, s.Process, Limit{Rate: max(s.Rate, 0), HeardAt: heardAt})
	}
	t.mu.Unlock()
	if change != nil {
		t.cfg.OnChange(*change)
	}
}

// add stores the first limit of a process. The caller must hold mu.
func (t *Tracker) add(id nutmegid.Upstream, p nutmegview.Process, l Limit) *Change {
	t.makeRoom()
	t.records[p] = &record{upstream: id, limit: l, reported: l.Rate}
	return &Change{Kind: ChangeStated, Process: p, After: l.Rate}
}

// setLimit stores a stated limit. It returns the change, if it is to be reported.
func (t *Tracker) setLimit(u nutmegview.Upstream, rate Rate, now time.Duration) *Change {
	p := u.Process()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[p]
	if !known {
		return t.add(u.ID, p, Limit{Rate: rate, HeardAt: now})
	}
	r.limit = Limit{Rate: rate, HeardAt: now}
	before := r.reported
	if math.Abs(float64(rate-before)) <= reportedChange*float64(before) {
		return nil
	}
	r.reported = rate
	return &Change{Kind: ChangeMoved, Process: p, Before: before, After: rate}
}

// makeRoom forgets the statement that was heard first, if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest nutmegview.Process
	for p, r := range t.records {
		if oldest == "" || r.limit.HeardAt < t.records[oldest].limit.HeardAt {
			oldest = p
		}
	}
	delete(t.records, oldest)
}

// endLimit removes the limit of a process. It returns the change, if there was one.
func (t *Tracker) endLimit(u nutmegview.Upstream) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return nil
	}
	p := u.Process()
	r, known := t.records[p]
	if !known {
		return nil
	}
	delete(t.records, p)
	return &Change{Kind: ChangeEnded, Process: p, Before: r.limit.Rate}
}

// RateLimit returns the rate limit of an upstream's process, and false if it has
// none.
func (t *Tracker) RateLimit(u nutmegview.Upstream) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.records) == 0 {
		return Limit{}, false
	}
	r, known := t.records[u.Process()]
	if !known {
		return Limit{}, false
	}
	return r.limit, true
}

// Count returns the number of processes with a rate limit.
func (t *Tracker) Count() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}

// Forget removes the statements of processes that are no longer listed and have
// not answered lately.
func (t *Tracker) Forget(listed *nutmegview.Upstreams, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, r := range t.records {
		u, ok := listed.ByID[r.upstream]
		if (!ok || u.Process() != p) && now-r.limit.HeardAt > retention {
			delete(t.records, p)
		}
	}
}
