package nutmegsuspect

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// Conviction is a suspect that is held back, with the crashes that led to it.
type Conviction struct {
	Suspect
	Crashes map[nutmegview.Process]time.Time `json:"crashes"` // when each process ended
}

// latest returns the time of the latest crash.
func (c Conviction) latest() time.Time {
	var latest time.Time
	for _, at := range c.Crashes {
		if at.After(latest) {
			latest = at
		}
	}
	return latest
}

// Snapshot returns all suspects that are held back, or on trial after that.
func (t *Tracker) Snapshot() []Conviction {
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	list := make([]Conviction, 0, len(t.holds))
	for key, hold := range t.holds {
		r, ok := t.records[key]
		if !ok {
			continue
		}
		c := Conviction{Suspect: hold.Suspect, Crashes: maps.Clone(r.crashes)}
		maps.DeleteFunc(c.Crashes, func(p nutmegview.Process, _ time.Time) bool { return !r.counts(p, now) })
		list = append(list, c)
	}
	return list
}

// Restore adds the suspects of a snapshot.
func (t *Tracker) Restore(list []Conviction) {
	now := t.cfg.Now()
	t.mu.Lock()
	for _, c := range list {
		r := t.record(c.Suspect)
		for p, at := range c.Crashes {
			r.addCrash(p, at, now)
		}
	}
	t.forget(now)
	news := t.judge(now)
	t.mu.Unlock()
	t.announce(changes{verdicts: news})
}

// MergeSnapshot returns a snapshot with this tracker's suspects and those of an
// earlier snapshot, without crashes that no longer count or were acquitted. Of too
// many suspects the oldest are left out.
func (t *Tracker) MergeSnapshot(earlier []Conviction) []Conviction {
	own := t.Snapshot()
	now := t.cfg.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	byKey := make(map[Key]Conviction)
	for _, c := range slices.Concat(earlier, own) {
		merged, ok := byKey[c.Key]
		if !ok {
			merged = Conviction{Suspect: c.Suspect, Crashes: make(map[nutmegview.Process]time.Time)}
			byKey[c.Key] = merged
		}
		for p, at := range c.Crashes {
			if r := t.records[c.Key]; now.Sub(at) <= ReportLifetime && (r == nil || !r.acquitted[p]) {
				merged.Crashes[p] = at
			}
		}
	}
	maps.DeleteFunc(byKey, func(_ Key, c Conviction) bool { return len(c.Crashes) == 0 })
	list := slices.SortedFunc(maps.Values(byKey), func(a, b Conviction) int {
		return cmp.Or(b.latest().Compare(a.latest()), cmp.Compare(a.Key.String(), b.Key.String()))
	})
	return list[:min(len(list), maxConvictions)]
}
