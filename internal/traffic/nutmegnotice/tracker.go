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
	if change != nil {
		change.Request = id
		t.cfg.OnChange(*change)
	}
}

// setLimit stores a stated limit. It returns the change, if it is to be reported.
func (t *Tracker) setLimit(u nutmegview.Upstream, rate Rate, now time.Duration) *Change {
	p := u.Process()
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[p]
	if !known {
		t.makeRoom()
		t.records[p] = &record{upstream: u.ID, limit: Limit{Rate: rate, HeardAt: now}, reported: rate}
		return &Change{Kind: ChangeStated, Process: p, After: rate}
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
