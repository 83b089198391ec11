package nutmegroute

import (
	"cmp"
	"maps"
	"slices"
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// LeavingNote says that an upstream is leaving, or is back. Each change raises
// Serial; the higher one holds, and between equal ones the note that says
// leaving.
type LeavingNote struct {
	Upstream nutmegid.Upstream `json:"upstream"`
	Serial   uint64            `json:"serial"`
	Leaving  bool              `json:"leaving"`
}

// newer says whether a replaces b.
func (a LeavingNote) newer(b LeavingNote) bool {
	if a.Serial != b.Serial {
		return a.Serial > b.Serial
	}
	return a.Leaving && !b.Leaving
}

// Leaving is what an instance knows of leaving upstreams.
type Leaving struct {
	mu     sync.Mutex
	notes  map[nutmegid.Upstream]LeavingNote
	listed map[nutmegid.Upstream]listed
}

// listed is what this instance has read of an upstream in the platform's list.
type listed struct {
	leaving bool
	since   moment
}

// NewLeaving returns a record without notes.
func NewLeaving() *Leaving {
	return &Leaving{
		notes:  make(map[nutmegid.Upstream]LeavingNote),
		listed: make(map[nutmegid.Upstream]listed),
	}
}

// list takes in one line of the platform's list and returns the note that it
// gives cause for. The list lags by an unknown time, so a line that contradicts
// a note counts when this instance has seen it change, or after a while.
func (l *Leaving) list(u nutmegid.Upstream, leaving bool, now moment) (LeavingNote, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, ok := l.listed[u]
	changed := leaving && !ok || ok && before.leaving != leaving
	if changed || !ok {
		l.listed[u] = listed{leaving: leaving, since: now}
	}
	note := l.notes[u]
	trusted := changed || now-l.listed[u].since >= moment(liveListTrust)
	if note.Leaving == leaving || !trusted {
		return LeavingNote{}, false
	}
	return LeavingNote{Upstream: u, Serial: note.Serial + 1, Leaving: leaving}, true
}

// merge takes in notes and says whether one of them was news.
func (l *Leaving) merge(notes []LeavingNote) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	news := false
	for _, n := range notes {
		known, ok := l.notes[n.Upstream]
		if ok && !n.newer(known) {
			continue
		}
		l.notes[n.Upstream] = n
		news = true
	}
	return news
}

func (l *Leaving) has(u nutmegid.Upstream) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.notes[u].Leaving
}

// export returns the notes that say leaving and the latest that say back, in order of names.
func (l *Leaving) export() []LeavingNote {
	l.mu.Lock()
	defer l.mu.Unlock()
	notes := slices.Collect(maps.Values(l.notes))
	slices.SortFunc(notes, func(a, b LeavingNote) int { return cmp.Compare(a.Upstream, b.Upstream) })
	return notes
}

// told is the note of an upstream that says itself that it is leaving.
func (l *Leaving) told(u nutmegid.Upstream) LeavingNote {
	l.mu.Lock()
	defer l.mu.Unlock()
	return LeavingNote{Upstream: u, Serial: l.notes[u].Serial, Leaving: true}
}

// ExportLeaving returns the notes to tell peers.
func (p *Pool) ExportLeaving() []LeavingNote {
	return p.leaving.export()
}

// TakeLive takes in the platform's live list: for each upstream on it, whether
// it is leaving.
func (p *Pool) TakeLive(list map[nutmegid.Upstream]bool) {
	var notes []LeavingNote
	for u, leaving := range list {
		if note, ok := p.leaving.list(u, leaving, p.now()); ok {
			notes = append(notes, note)
		}
	}
	p.MergeLeaving(notes)
}

// MergeLeaving takes in notes, such as those of peers. From its return on, no new request goes to an upstream that is leaving.
func (p *Pool) MergeLeaving(notes []LeavingNote) {
	if !p.leaving.merge(notes) {
		return
	}
	p.mu.Lock()
	begun := p.applyLeaving()
	p.mu.Unlock()
	if p.cfg.OnLeave == nil {
		return
	}
	for _, u := range begun {
		p.cfg.OnLeave(p.leaving.told(u))
	}
}

// applyLeaving marks candidates, adjusts the queues and returns the upstreams
// that begin to leave. Callers hold p.mu.
func (p *Pool) applyLeaving() []nutmegid.Upstream {
	var begun []nutmegid.Upstream
	for u, c := range p.all {
		leaving := p.leaving.has(u)
		before := c.leaving.Swap(leaving)
		if before && !leaving {
			c.warmFrom.Store(int64(p.now()))
		}
		if leaving && !before {
			begun = append(begun, u)
		}
	}
	for _, l := range p.lanes {
		l.queue.SetCapacity(l.set.capacity(p.now()))
	}
	return begun
}
