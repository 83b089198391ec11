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
	heardAt  time.Duration // when the process has stated something last
	leaving  bool          // it takes no new requests until it ends
	waitEnd  time.Duration // until when it wants no requests from this instance
	limited  bool          // it has a rate limit
	limit    Limit         // without a limit, HeardAt is when it ended
	reported Rate          // the rate of the latest change that was reported
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
	for _, change := range t.apply(u, n, now) {
		change.Request = id
		t.cfg.OnChange(change)
		if change.Kind != ChangeMoved && change.Kind != ChangeWait {
			t.cfg.OnStatement(Statement{
				Upstream: u.ID, Process: change.Process, Rate: change.After,
				Ended: change.Kind == ChangeEnded, Leaving: change.Kind == ChangeLeaving,
			})
		}
	}
}

// apply applies an answer and returns the changes.
func (t *Tracker) apply(u nutmegview.Upstream, n Notice, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	if n.Leaving && t.setLeaving(u.ID, u.Process(), now) {
		changes = append(changes, Change{Kind: ChangeLeaving, Process: u.Process()})
	}
	if n.RetryAfter > 0 && t.setWait(u, min(n.RetryAfter, maxRetryAfter), now) {
		changes = append(changes, Change{Kind: ChangeWait, Process: u.Process(), Wait: min(n.RetryAfter, maxRetryAfter)})
	}
	var change *Change
	switch {
	case n.RateLimit != nil:
		change = t.setLimit(u, *n.RateLimit, now)
	case n.Success && !n.Unclear && len(t.records) > 0:
		change = t.endLimit(u.Process(), now)
	}
	if change != nil {
		changes = append(changes, *change)
	}
	return changes
}

// Merge stores what another instance has heard, unless an answer to this instance is
// newer.
func (t *Tracker) Merge(s Statement, age, now time.Duration) {
	if change := t.merge(s, now-max(age, 0)); change != nil {
		t.cfg.OnChange(*change)
	}
}

func (t *Tracker) merge(s Statement, heardAt time.Duration) *Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, known := t.records[s.Process]
	limited := known && r.limited
	newer := !known || r.limit.HeardAt < heardAt
	switch {
	case s.Leaving:
		if t.setLeaving(s.Upstream, s.Process, heardAt) {
			return &Change{Kind: ChangeLeaving, Process: s.Process}
		}
	case s.Ended:
		if limited && newer {
			return t.endLimit(s.Process, heardAt)
		}
	case !limited && newer:
		return t.startLimit(s.Upstream, s.Process, Limit{Rate: max(s.Rate, 0), HeardAt: heardAt})
	}
	return nil
}

// record returns the record of a process, which may be new. The caller must hold mu,
// here and below.
func (t *Tracker) record(id nutmegid.Upstream, p nutmegview.Process, now time.Duration) *record {
	r, known := t.records[p]
	if !known {
		t.makeRoom()
		r = &record{upstream: id}
		t.records[p] = r
	}
	r.heardAt = max(r.heardAt, now)
	return r
}

// setLeaving stores that a process leaves, and reports whether that is new.
func (t *Tracker) setLeaving(id nutmegid.Upstream, p nutmegview.Process, now time.Duration) bool {
	r := t.record(id, p, now)
	before := r.leaving
	r.leaving = true
	return !before
}

// setWait stores for how long a process wants no requests from this instance, and
// reports whether it wanted some until now. A later end replaces an earlier one.
func (t *Tracker) setWait(u nutmegview.Upstream, wait, now time.Duration) bool {
	r := t.record(u.ID, u.Process(), now)
	before := r.waitEnd
	r.waitEnd = max(before, now+wait)
	return before <= now
}

// setLimit stores a stated limit. It returns the change, if it is to be reported.
func (t *Tracker) setLimit(u nutmegview.Upstream, rate Rate, now time.Duration) *Change {
	p := u.Process()
	r := t.record(u.ID, p, now)
	if !r.limited {
		return t.startLimit(u.ID, p, Limit{Rate: rate, HeardAt: now})
	}
	r.limit = Limit{Rate: rate, HeardAt: now}
	before := r.reported
	if math.Abs(float64(rate-before)) <= reportedChange*float64(before) {
		return nil
	}
	r.reported = rate
	return &Change{Kind: ChangeMoved, Process: p, Before: before, After: rate}
}

// startLimit stores the first limit of a process.
func (t *Tracker) startLimit(id nutmegid.Upstream, p nutmegview.Process, l Limit) *Change {
	r := t.record(id, p, l.HeardAt)
	r.limited = true
	r.limit = l
	r.reported = l.Rate
	return &Change{Kind: ChangeStated, Process: p, After: l.Rate}
}

// endLimit removes the limit of a process. It returns the change, if there was one.
func (t *Tracker) endLimit(p nutmegview.Process, now time.Duration) *Change {
	r, known := t.records[p]
	if !known || !r.limited {
		return nil
	}
	before := r.limit.Rate
	r.limited = false
	r.limit = Limit{HeardAt: now}
	return &Change{Kind: ChangeEnded, Process: p, Before: before}
}

// makeRoom forgets the process that was heard first, if there are too many.
func (t *Tracker) makeRoom() {
	if len(t.records) < maxRecords {
		return
	}
	var oldest nutmegview.Process
	for p, r := range t.records {
		if oldest == "" || r.heardAt < t.records[oldest].heardAt {
			oldest = p
		}
	}
	delete(t.records, oldest)
}

// RateLimit returns the rate limit of an upstream's process, and false if it has
// none.
func (t *Tracker) RateLimit(u nutmegview.Upstream) (Limit, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(u)
	if r == nil || !r.limited {
		return Limit{}, false
	}
	return r.limit, true
}

// WaitEnd returns the time until which an upstream's process wants no requests from
// this instance; it may be over.
func (t *Tracker) WaitEnd(u nutmegview.Upstream) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if r := t.find(u); r != nil {
		return r.waitEnd
	}
	return 0
}

// IsLeaving reports whether an upstream's process has said that it leaves.
func (t *Tracker) IsLeaving(u nutmegview.Upstream) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := t.find(u)
	return r != nil && r.leaving
}

// find returns the record of an upstream's process, or nil.
func (t *Tracker) find(u nutmegview.Upstream) *record {
	if len(t.records) == 0 {
		return nil
	}
	return t.records[u.Process()]
}

// Limited returns the number of processes with a rate limit.
func (t *Tracker) Limited() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, r := range t.records {
		if r.limited {
			n++
		}
	}
	return n
}

// Forget removes the statements of processes that are no longer listed and have
// not answered lately.
func (t *Tracker) Forget(listed *nutmegview.Upstreams, now time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for p, r := range t.records {
		u, ok := listed.ByID[r.upstream]
		if (!ok || u.Process() != p) && now-r.heardAt > retention {
			delete(t.records, p)
		}
	}
}
