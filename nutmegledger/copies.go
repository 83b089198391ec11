package nutmegledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Batch is a run of a writer's numbered lines. Lines up to Confirmed are in
// the store; their copies may be forgotten.
type Batch struct {
	Writer    nutmegid.Incarnation `cbor:"1,keyasint"`
	First     uint64               `cbor:"2,keyasint"`
	Lines     []Line               `cbor:"3,keyasint,omitempty"`
	Confirmed uint64               `cbor:"4,keyasint"`
}

// Keeper hands a batch to a peer and returns the number of the last line that
// the peer holds without a gap.
type Keeper interface {
	Keep(ctx context.Context, b Batch) (uint64, error)
}

// wakeCopier asks for a copy without waiting.
func (w *Writer) wakeCopier() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// waitCopied waits until a peer holds the line, or two attempts that began
// after the call have failed, or ctx ends.
func (w *Writer) waitCopied(ctx context.Context, number uint64) bool {
	w.mu.Lock()
	limit := w.round + 2
	for w.copied < number && w.round < limit {
		w.wakeCopier()
		tried := w.tried
		w.mu.Unlock()
		select {
		case <-tried:
		case <-ctx.Done():
			return false
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	return w.copied >= number
}

// copyLoop hands new lines to a peer. Lines that arrive while a batch is under
// way go with the next one.
func (w *Writer) copyLoop() {
	defer close(w.idle)
	for {
		select {
		case <-w.quit:
			return
		case <-w.wake:
		}
		if w.cfg.Keeper != nil && w.copyOnce() {
			w.mu.Lock()
			w.wakeCopier()
			w.mu.Unlock()
		}
	}
}

// copyOnce hands over one batch and reports whether lines are left that the
// peer could take.
func (w *Writer) copyOnce() bool {
	batch := w.nextBatch()
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.CopyTimeout)
	defer cancel()
	held, err := w.cfg.Keeper.Keep(ctx, batch)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.round++
	close(w.tried)
	w.tried = make(chan struct{})
	last := w.first + uint64(len(w.lines)) - 1
	if err != nil {
		w.copied = w.first - 1
		return false
	}
	// A peer that holds less than before is a new one: it gets all lines again.
	w.copied = min(max(held, w.first-1), last)
	return w.copied < last
}

func (w *Writer) nextBatch() Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	skip := int(w.copied - (w.first - 1))
	lines := w.lines[skip:]
	lines = lines[:min(len(lines), maxBatchLines)]
	return Batch{Writer: w.cfg.Incarnation, First: w.copied + 1, Lines: slices.Clone(lines), Confirmed: w.first - 1}
}

// Kept holds copies of other writers' lines until the store has them.
type Kept struct {
	now func() time.Time

	mu      sync.Mutex
	total   int
	writers map[nutmegid.Incarnation]*keptWriter
}

type keptWriter struct {
	first   uint64 // number of lines[0]
	lines   []Line
	heardAt time.Time
}

// NewKept returns an empty set of copies.
func NewKept(now func() time.Time) *Kept {
	return &Kept{now: now, writers: make(map[nutmegid.Incarnation]*keptWriter)}
}

// Keep takes a batch in and returns the number of the last line that is held
// without a gap. A full set takes no more lines.
func (k *Kept) Keep(b Batch) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	w, ok := k.writers[b.Writer]
	if !ok {
		w = &keptWriter{first: b.Confirmed + 1}
		k.writers[b.Writer] = w
	}
	w.heardAt = k.now()
	k.total -= w.forget(b.Confirmed)
	if k.total+len(b.Lines) <= maxKeptLines {
		k.total += w.add(b)
	}
	last := w.last()
	if len(w.lines) == 0 {
		delete(k.writers, b.Writer)
	}
	return last
}

func (w *keptWriter) last() uint64 {
	return w.first + uint64(len(w.lines)) - 1
}

// forget drops the lines up to a number.
func (w *keptWriter) forget(confirmed uint64) int {
	if confirmed < w.first {
		return 0
	}
	n := int(min(confirmed-w.first+1, uint64(len(w.lines))))
	w.lines = slices.Clone(w.lines[n:])
	w.first = confirmed + 1
	return n
}

// add appends the lines of a batch that follow the held ones.
func (w *keptWriter) add(b Batch) int {
	next := w.last() + 1
	if b.First > next || b.First+uint64(len(b.Lines)) <= next {
		return 0
	}
	fresh := b.Lines[next-b.First:]
	w.lines = append(w.lines, fresh...)
	return len(fresh)
}

// Lines returns how many lines are held.
func (k *Kept) Lines() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.total
}

// Adopt removes and returns the lines of writers that are gone. A writer that
// lives on after all writes its lines too; the fold counts them once.
func (k *Kept) Adopt(gone func(writer nutmegid.Incarnation, silence time.Duration) bool) []Line {
	k.mu.Lock()
	defer k.mu.Unlock()
	var adopted []Line
	for writer, w := range k.writers {
		if !gone(writer, k.now().Sub(w.heardAt)) {
			continue
		}
		adopted = append(adopted, w.lines...)
		k.total -= len(w.lines)
		delete(k.writers, writer)
	}
	return adopted
}
