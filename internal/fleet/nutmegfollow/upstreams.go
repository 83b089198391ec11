package nutmegfollow

import (
	"context"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	// afterGapGrace is how long entries that vanished while the store was away
	// are still used: living upstreams write theirs again by then.
	afterGapGrace = 1700 * time.Millisecond
	// lapseGap is the shortest outage in which entries of living upstreams
	// lapse: they are renewed more often than that.
	lapseGap = 2500 * time.Millisecond
	// minGather and maxGather bound how long changes are gathered before they
	// are asked for; gatherEach is the time for each upstream, as each one
	// changes something every second or so.
	minGather  = 400 * time.Millisecond
	maxGather  = time.Second
	gatherEach = 10 * time.Millisecond
	// expiryPause is the time between two looks at entries that nobody waits for.
	expiryPause = time.Minute
)

// UpstreamsConfig configures a follower of upstreams.
type UpstreamsConfig struct {
	Store    Store
	Kind     string
	Decode   func(nutmegstore.Object) (nutmegview.Upstream, error)
	View     *nutmegview.View
	OnChange func(UpstreamChange) // told of each change of belief
}

// UpstreamChange is one change of what is believed of an upstream.
type UpstreamChange struct {
	Upstream nutmegid.Upstream
	Version  nutmegid.Version
	What     string
	Err      error
}

// What is told of an upstream.
const (
	UpstreamReady   = "ready"
	UpstreamLeaving = "leaving"
	UpstreamGone    = "gone"
	UpstreamMissing = "missing_after_gap"
	UpstreamBad     = "unreadable"
)

// Upstreams keeps the view's upstreams as the store lists them.
type Upstreams struct {
	cfg     UpstreamsConfig
	entries *entries
	batches chan nutmegstore.Batch
	done    chan struct{}
}

// NewUpstreams returns a follower that does not run yet.
func NewUpstreams(cfg UpstreamsConfig) *Upstreams {
	if cfg.OnChange == nil {
		cfg.OnChange = func(UpstreamChange) {}
	}
	return &Upstreams{
		cfg: cfg, entries: newEntries(cfg.Decode, cfg.OnChange),
		batches: make(chan nutmegstore.Batch), done: make(chan struct{}),
	}
}

// Start follows until ctx ends.
func (u *Upstreams) Start(ctx context.Context) {
	go u.run(ctx)
}

// Wait returns when the follower has ended.
func (u *Upstreams) Wait() {
	<-u.done
}

func (u *Upstreams) run(ctx context.Context) {
	defer close(u.done)
	watch := &watch{store: u.cfg.Store, view: u.cfg.View, kind: u.cfg.Kind, batches: u.batches, done: make(chan struct{})}
	go watch.run(ctx)
	defer func() { <-watch.done }()
	expiry := time.NewTimer(expiryPause)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-u.batches:
			u.entries.take(b, time.Now())
		case <-expiry.C:
		}
		expiry.Reset(u.entries.expire(time.Now()))
		u.cfg.View.SetUpstreams(u.entries.at, u.entries.known)
	}
}

// watch hands the store's batches to its owner.
type watch struct {
	store   Store
	view    *nutmegview.View
	kind    string
	batches chan<- nutmegstore.Batch
	done    chan struct{}
}

// run gathers the changes of a moment in one batch: with many upstreams,
// something changes all the time.
func (w *watch) run(ctx context.Context) {
	defer close(w.done)
	w.store.FollowBatches(ctx, w.kind, "", func(b nutmegstore.Batch) {
		select {
		case w.batches <- b:
		case <-ctx.Done():
		}
		select {
		case <-time.After(gatherTime(len(w.view.Upstreams().ByID))):
		case <-ctx.Done():
		}
	})
}

// gatherTime is how long the changes of a number of upstreams are gathered.
func gatherTime(upstreams int) time.Duration {
	return min(max(time.Duration(upstreams)*gatherEach, minGather), maxGather)
}

// entries are the upstreams that the store lists, with those that vanished
// while it could not be watched.
type entries struct {
	decode  func(nutmegstore.Object) (nutmegview.Upstream, error)
	tell    func(UpstreamChange)
	at      nutmegid.Version
	known   map[nutmegid.Upstream]nutmegview.Upstream
	missing map[nutmegid.Upstream]time.Time // until when an entry may come back
	gapEnd  time.Time
}

func newEntries(decode func(nutmegstore.Object) (nutmegview.Upstream, error), tell func(UpstreamChange)) *entries {
	return &entries{
		decode: decode, tell: tell,
		known:   make(map[nutmegid.Upstream]nutmegview.Upstream),
		missing: make(map[nutmegid.Upstream]time.Time),
	}
}

// take brings changes into the entries.
func (e *entries) take(b nutmegstore.Batch, now time.Time) {
	if b.Gap >= lapseGap {
		e.gapEnd = now
	}
	e.at = max(e.at, b.StoreVersion)
	for _, o := range b.Objects {
		e.takeOne(o, now)
	}
}

func (e *entries) takeOne(o nutmegstore.Object, now time.Time) {
	id := nutmegid.Upstream(o.Key.Name)
	if o.Deleted {
		e.remove(id, o.Version, now)
		return
	}
	delete(e.missing, id)
	u, err := e.decode(o)
	if err != nil {
		delete(e.known, id)
		e.tell(UpstreamChange{Upstream: id, Version: o.Version, What: UpstreamBad, Err: err})
		return
	}
	before, had := e.known[id]
	e.known[id] = u
	what := UpstreamReady
	if u.Leaving {
		what = UpstreamLeaving
	}
	if !had || before.Leaving != u.Leaving || before.Address != u.Address {
		e.tell(UpstreamChange{Upstream: id, Version: o.Version, What: what})
	}
}

// remove forgets an upstream, at once unless its entry may only have lapsed.
func (e *entries) remove(id nutmegid.Upstream, version nutmegid.Version, now time.Time) {
	u, had := e.known[id]
	if !had {
		return
	}
	if !u.Leaving && !e.gapEnd.IsZero() && now.Before(e.gapEnd.Add(afterGapGrace)) {
		e.missing[id] = e.gapEnd.Add(afterGapGrace)
		e.tell(UpstreamChange{Upstream: id, Version: version, What: UpstreamMissing})
		return
	}
	delete(e.known, id)
	e.tell(UpstreamChange{Upstream: id, Version: version, What: UpstreamGone})
}

// expire forgets entries that did not come back in time and returns when to
// look again.
func (e *entries) expire(now time.Time) time.Duration {
	next := expiryPause
	for id, until := range e.missing {
		if now.Before(until) {
			next = min(next, until.Sub(now))
			continue
		}
		delete(e.missing, id)
		delete(e.known, id)
		e.tell(UpstreamChange{Upstream: id, Version: e.at, What: UpstreamGone})
	}
	return next
}
