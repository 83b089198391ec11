package nutmegfeed

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// maxLogBytes limits the values that a log holds. Peers that need older changes
// ask the store.
const maxLogBytes = 512 << 10

// changeLog holds the latest changes of one kind for peers.
type changeLog struct {
	mu          sync.Mutex
	entries     []entry
	bytes       int              // of all entries
	start       nutmegid.Version // the log holds all changes after this version
	at          nutmegid.Version // of the store, as of confirmedAt
	confirmedAt time.Time        // zero before the first change or confirmation
	broken      bool             // the store did not answer since confirmedAt
	changed     chan struct{}    // closed at the next change of the log
}

// entry holds the changes up to a version of the store.
type entry struct {
	to      nutmegid.Version
	objects []nutmegstore.Object
	bytes   int
}

func newChangeLog() *changeLog {
	return &changeLog{changed: make(chan struct{})}
}

// add records that the store had just these changes between since and their
// version. Changes that do not continue the log start a new one.
func (l *changeLog) add(since nutmegid.Version, changes nutmegstore.Changes, confirmedAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if since != l.at {
		l.entries, l.bytes, l.start = nil, 0, since
	}
	l.at = changes.StoreVersion
	l.confirmedAt = confirmedAt
	l.broken = false
	if len(changes.Objects) == 0 {
		return
	}
	e := entry{to: l.at, objects: changes.Objects}
	for _, o := range changes.Objects {
		e.bytes += len(o.Key.Name) + len(o.Value)
	}
	l.entries = append(l.entries, e)
	l.bytes += e.bytes
	for l.bytes > maxLogBytes {
		l.bytes -= l.entries[0].bytes
		l.start = l.entries[0].to
		l.entries = l.entries[1:]
	}
	l.notify()
}

// fail records that the store did not answer.
func (l *changeLog) fail() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.broken {
		l.broken = true
		l.notify()
	}
}

// notify wakes those that wait for a change. The caller must hold mu.
func (l *changeLog) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// state is what a log holds for a peer.
type state struct {
	objects     []nutmegstore.Object
	at          nutmegid.Version
	confirmedAt time.Time
	usable      bool // the log is confirmed by the store
	compacted   bool // changes after the requested version are missing
	changed     <-chan struct{}
}

// after returns the changes after a version.
func (l *changeLog) after(since nutmegid.Version) state {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := state{at: l.at, confirmedAt: l.confirmedAt, usable: !l.broken && !l.confirmedAt.IsZero(), changed: l.changed}
	// This instance has not seen yet that the store was restored.
	s.usable = s.usable && l.at.Era() >= since.Era()
	s.compacted = since < l.start
	for _, e := range l.entries {
		if e.to > since {
			s.objects = append(s.objects, e.objects...)
		}
	}
	return s
}
