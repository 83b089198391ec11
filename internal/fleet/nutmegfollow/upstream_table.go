package nutmegfollow

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// upstreamTable holds the upstreams listed in the store and those whose entries
// vanished during a store outage. What it has learned of a process, that it leaves or
// has gone, holds also when the store is restored from a copy that is older.
type upstreamTable struct {
	decode    func(nutmegstore.Object) (nutmegview.Upstream, error)
	onChange  func(UpstreamChange)
	version   nutmegid.Version
	byID      map[nutmegid.Upstream]nutmegview.Upstream
	missing   map[nutmegid.Upstream]time.Time // when entries that vanished in an outage expire
	outageEnd time.Time

	copiedUpTo nutmegid.Version // later versions were written after the latest restore; zero before one
	departed   map[nutmegview.Process]time.Time
	doubted    map[nutmegid.Upstream]doubtedEntry
}

// doubtedEntry is an entry that is not used until a time.
type doubtedEntry struct {
	object nutmegstore.Object
	until  time.Time
}

func newUpstreamTable(decode func(nutmegstore.Object) (nutmegview.Upstream, error), onChange func(UpstreamChange)) *upstreamTable {
	return &upstreamTable{
		decode: decode, onChange: onChange,
		byID:     make(map[nutmegid.Upstream]nutmegview.Upstream),
		missing:  make(map[nutmegid.Upstream]time.Time),
		departed: make(map[nutmegview.Process]time.Time),
		doubted:  make(map[nutmegid.Upstream]doubtedEntry),
	}
}

// apply applies a batch of changes to the table.
func (t *upstreamTable) apply(b nutmegstore.Batch, now time.Time) {
	restored := t.version != 0 && b.StoreVersion.Era() > t.version.Era()
	if restored {
		t.copiedUpTo = b.StoreVersion
	}
	if restored || b.Gap >= minLapseGap {
		t.outageEnd = now
	}
	t.version = max(t.version, b.StoreVersion)
	for _, o := range b.Objects {
		t.applyObject(o, now)
	}
}

func (t *upstreamTable) applyObject(o nutmegstore.Object, now time.Time) {
	id := nutmegid.Upstream(o.Key.Name)
	delete(t.doubted, id)
	if o.Deleted {
		t.remove(id, o.Version, now)
		return
	}
	delete(t.missing, id)
	u, err := t.decode(o)
	if err != nil {
		delete(t.byID, id)
		t.onChange(UpstreamChange{Upstream: id, Version: o.Version, Kind: UpstreamUnreadable, Err: err})
		return
	}
	if t.isFromCopy(o) && t.contradicts(u) {
		t.doubted[id] = doubtedEntry{object: o, until: now.Add(doubtTime)}
		t.onChange(UpstreamChange{Upstream: id, Version: o.Version, Kind: UpstreamDoubted})
		return
	}
	t.use(o, u)
}

// isFromCopy reports whether an entry may be as old as the copy from which the store was
// restored.
func (t *upstreamTable) isFromCopy(o nutmegstore.Object) bool {
	return t.copiedUpTo != 0 && o.Version <= t.copiedUpTo
}

// contradicts reports whether the process of an entry is known to have gone, or to have
// been followed by another one.
func (t *upstreamTable) contradicts(u nutmegview.Upstream) bool {
	_, gone := t.departed[u.Process()]
	current, had := t.byID[u.ID]
	return gone || had && current.StartedAt.After(u.StartedAt)
}

// use puts an entry into the table. A process that leaves does not come back.
func (t *upstreamTable) use(o nutmegstore.Object, u nutmegview.Upstream) {
	before, had := t.byID[u.ID]
	if t.isFromCopy(o) && had && before.Process() == u.Process() {
		u.Leaving = u.Leaving || before.Leaving
	}
	delete(t.departed, u.Process())
	t.byID[u.ID] = u
	kind := UpstreamReady
	if u.Leaving {
		kind = UpstreamLeaving
	}
	if !had || before.Leaving != u.Leaving || before.Address != u.Address {
		t.onChange(UpstreamChange{Upstream: u.ID, Version: o.Version, Software: u.Version, Kind: kind})
	}
}

// remove removes an upstream. If its entry may only have expired in a store
// outage, the upstream stays in use for reappearGrace.
func (t *upstreamTable) remove(id nutmegid.Upstream, version nutmegid.Version, now time.Time) {
	u, had := t.byID[id]
	if !had {
		return
	}
	if !u.Leaving && !t.outageEnd.IsZero() && now.Before(t.outageEnd.Add(reappearGrace)) {
		t.missing[id] = t.outageEnd.Add(reappearGrace)
		t.onChange(UpstreamChange{Upstream: id, Version: version, Kind: UpstreamMissing})
		return
	}
	t.depart(u, version, now)
}

// depart ends the use of an upstream whose entry is gone.
func (t *upstreamTable) depart(u nutmegview.Upstream, version nutmegid.Version, now time.Time) {
	delete(t.byID, u.ID)
	t.departed[u.Process()] = now
	t.onChange(UpstreamChange{Upstream: u.ID, Version: version, Kind: UpstreamGone})
}

// expire removes missing upstreams whose grace period is over, uses doubted entries that
// have lasted, and returns the time until the next check.
func (t *upstreamTable) expire(now time.Time) time.Duration {
	next := maxExpiryPause
	for id, until := range t.missing {
		if now.Before(until) {
			next = min(next, until.Sub(now))
			continue
		}
		delete(t.missing, id)
		t.depart(t.byID[id], t.version, now)
	}
	for id, d := range t.doubted {
		if now.Before(d.until) {
			next = min(next, d.until.Sub(now))
			continue
		}
		delete(t.doubted, id)
		if u, err := t.decode(d.object); err == nil {
			t.use(d.object, u)
		}
	}
	for process, at := range t.departed {
		if now.Sub(at) > departureLifetime {
			delete(t.departed, process)
		}
	}
	return next
}
