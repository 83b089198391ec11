package nutmegwarmup

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Config configures a Tracker.
type Config struct {
	OnChange func(Change) // called without locks; may be nil
}

// Tracker tracks which upstreams are cold. It is safe for concurrent use.
type Tracker struct {
	cfg Config
	// quietAt is when the last known cold time and the rise after it are over, in
	// nanoseconds of the caller's time. Most of the time no upstream is cold.
	quietAt atomic.Int64

	mu       sync.RWMutex
	services map[nutmegview.Service]nutmegview.ServiceConfig // nil before the first configuration
	records  map[nutmegid.Upstream]*record
}

// record is what is known of one upstream.
type record struct {
	upstream nutmegview.Upstream // by its latest entry
	goneAt   time.Duration       // when its entry was missing first
	listed   bool
	reported bool // the latest cold time was reported, and its end was not

	// The latest cold time; until is zero if there was none. From then on the share of
	// the upstream rises.
	source  Source
	heardAt time.Duration
	until   time.Duration
}

// NewTracker returns a Tracker that knows no upstream.
func NewTracker(cfg Config) *Tracker {
	if cfg.OnChange == nil {
		cfg.OnChange = func(Change) {}
	}
	return &Tracker{cfg: cfg, records: make(map[nutmegid.Upstream]*record)}
}

// SetConfig updates the limits of the services. Upstreams that are cold stay so for
// as long as before.
func (t *Tracker) SetConfig(c *nutmegview.Config) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.services = c.Services
	for _, r := range t.records {
		t.extendActivity(r)
	}
}

// extendActivity records that the upstream is cold, or spared, for a time. The caller
// must hold mu, here and below.
func (t *Tracker) extendActivity(r *record) {
	end := r.until + t.services[r.upstream.Service].WarmupTime
	t.quietAt.Store(max(t.quietAt.Load(), int64(end)))
}

// SetUpstreams compares the listed upstreams with those listed before. It also
// reports the cold times that are over, and is to be called every few seconds.
func (t *Tracker) SetUpstreams(set *nutmegview.Upstreams, now time.Duration) {
	t.report(t.update(set, now))
}

func (t *Tracker) update(set *nutmegview.Upstreams, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	changes := t.expire(now)
	for id, r := range t.records {
		if _, listed := set.ByID[id]; listed {
			continue
		}
		if r.listed {
			r.listed = false
			r.goneAt = now
		}
		if now-r.goneAt > retention {
			delete(t.records, id)
		}
	}
	for _, u := range set.ByID {
		if change, changed := t.see(u, now); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

// expire returns the ends of cold times that are over.
func (t *Tracker) expire(now time.Duration) []Change {
	var ended []Change
	for _, r := range t.records {
		if r.reported && now >= r.until {
			r.reported = false
			ended = append(ended, t.change(r, false, ""))
		}
	}
	return ended
}

// see compares an upstream's entry with the one before.
func (t *Tracker) see(u nutmegview.Upstream, now time.Duration) (Change, bool) {
	r, known := t.records[u.ID]
	if !known {
		r = &record{upstream: u, listed: true}
		t.records[u.ID] = r
		return t.start(r, SourceEntry, u.WarmupRemaining, now)
	}
	before, wasListed := r.upstream, r.listed
	r.upstream, r.listed = u, true
	stated := u.WarmupRemaining
	switch {
	case u.Process() != before.Process() && stated == 0:
		return t.start(r, SourceNewProcess, t.services[u.Service].WarmupTime, now)
	case u.Process() != before.Process() || stated > 0 && stated != before.WarmupRemaining:
		return t.start(r, SourceEntry, stated, now)
	case !wasListed:
		t.spare(r, now)
	case stated == 0 && before.WarmupRemaining > 0:
		return t.end(r, now)
	}
	return Change{}, false
}

// start begins a cold time, or sets its end anew, and returns the change. A time of
// zero, or one of a service without a limit, changes nothing.
func (t *Tracker) start(r *record, source Source, length, now time.Duration) (Change, bool) {
	rate := t.services[r.upstream.Service].WarmupRate
	if length <= 0 || rate == 0 && t.services != nil {
		return Change{}, false
	}
	r.source, r.heardAt, r.until = source, now, now+min(length, maxRemaining)
	t.extendActivity(r)
	if r.reported {
		return Change{}, false
	}
	r.reported = true
	return t.change(r, true, ""), true
}

// spare lets the share of an upstream rise anew. Its entry is a fresh one, which would say
// if the upstream were cold.
func (t *Tracker) spare(r *record, now time.Duration) {
	r.until = max(r.until, now)
	t.extendActivity(r)
}

// end ends a cold time because the upstream's entry says so.
func (t *Tracker) end(r *record, now time.Duration) (Change, bool) {
	r.until = min(r.until, now)
	if !r.reported {
		return Change{}, false
	}
	r.reported = false
	return t.change(r, false, SourceEntry), true
}

func (t *Tracker) change(r *record, cold bool, ended Source) Change {
	return Change{Upstream: r.upstream.ID, Process: r.upstream.Process(), Cold: cold, Limit: t.limit(r), Ended: ended}
}

// limit returns the limit of the latest cold time of an upstream.
func (t *Tracker) limit(r *record) Limit {
	return Limit{Rate: t.services[r.upstream.Service].WarmupRate, Source: r.source, HeardAt: r.heardAt, Until: r.until}
}

// EvacuationEnded treats the upstreams of a failure domain as cold: they may have
// become so while nothing was sent there.
func (t *Tracker) EvacuationEnded(domain nutmegid.FailureDomain, now time.Duration) {
	t.report(t.startDomain(domain, now))
}

func (t *Tracker) startDomain(domain nutmegid.FailureDomain, now time.Duration) []Change {
	t.mu.Lock()
	defer t.mu.Unlock()
	var changes []Change
	for _, r := range t.records {
		length := t.services[r.upstream.Service].WarmupTime
		if r.upstream.FailureDomain != domain || r.until >= now+length {
			continue
		}
		if change, changed := t.start(r, SourceEvacuation, length, now); changed {
			changes = append(changes, change)
		}
	}
	return changes
}

func (t *Tracker) report(changes []Change) {
	for _, c := range changes {
		t.cfg.OnChange(c)
	}
}

// Limit returns the limit on requests to an upstream, and false if it is not cold.
func (t *Tracker) Limit(u nutmegview.Upstream, now time.Duration) (Limit, bool) {
	if int64(now) >= t.quietAt.Load() {
		return Limit{}, false
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[u.ID]
	if r == nil || !t.isCold(r, now) {
		return Limit{}, false
	}
	return t.limit(r), true
}

func (t *Tracker) isCold(r *record, now time.Duration) bool {
	return now < r.until && t.services[r.upstream.Service].WarmupRate > 0
}

// State returns whether an upstream is cold, and which share of its usual requests it
// may get.
func (t *Tracker) State(u nutmegview.Upstream, now time.Duration) State {
	if int64(now) >= t.quietAt.Load() {
		return State{Share: 1}
	}
	t.mu.RLock()
	defer t.mu.RUnlock()
	r := t.records[u.ID]
	service := t.services[u.Service]
	switch {
	case r == nil || r.until == 0 || service.WarmupRate == 0 || now >= r.until+service.WarmupTime:
		return State{Share: 1}
	case now < r.until:
		return State{Cold: true, Share: 1}
	}
	return State{Share: firstShare + (1-firstShare)*float64(now-r.until)/float64(service.WarmupTime)}
}

// Cold returns the number of upstreams that are cold.
func (t *Tracker) Cold(now time.Duration) int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	n := 0
	for _, r := range t.records {
		if t.isCold(r, now) {
			n++
		}
	}
	return n
}
