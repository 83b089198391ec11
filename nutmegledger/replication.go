package nutmegledger

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Batch is a sequence of consecutively numbered lines of one writer. Lines up to
// Confirmed are in the store, so their replicas may be dropped.
type Batch struct {
	Writer    nutmegid.Incarnation `cbor:"1,keyasint"`
	First     uint64               `cbor:"2,keyasint"`
	Lines     []Line               `cbor:"3,keyasint,omitempty"`
	Confirmed uint64               `cbor:"4,keyasint"`
}

// Replicator sends batches of lines to a peer.
type Replicator interface {
	// Replicate sends a batch and returns the number up to which the peer holds all
	// lines without a gap.
	Replicate(ctx context.Context, b Batch) (uint64, error)
}

// wakeReplication triggers a replication attempt without blocking.
func (w *Writer) wakeReplication() {
	select {
	case w.wake <- struct{}{}:
	default:
	}
}

// waitReplicated waits until a peer holds the line, two more attempts have ended
// without that, or ctx ends. An attempt in flight at the time of the call may not
// include the line, hence two. It reports whether a peer holds the line.
func (w *Writer) waitReplicated(ctx context.Context, number uint64) bool {
	w.mu.Lock()
	limit := w.attempts + 2
	for w.replicated < number && w.attempts < limit {
		w.wakeReplication()
		attemptDone := w.attemptDone
		w.mu.Unlock()
		select {
		case <-attemptDone:
		case <-ctx.Done():
			return false
		}
		w.mu.Lock()
	}
	defer w.mu.Unlock()
	return w.replicated >= number
}

// replicateLoop sends new lines to a peer. Lines that are added while a batch is
// in flight are sent with the next one.
func (w *Writer) replicateLoop() {
	defer close(w.replicationDone)
	for {
		select {
		case <-w.quit:
			return
		case <-w.wake:
		}
		if w.cfg.Replicator != nil && w.replicateOnce() {
			w.mu.Lock()
			w.wakeReplication()
			w.mu.Unlock()
		}
	}
}

// replicateOnce sends one batch. It reports whether the peer accepted it and
// more lines remain to be sent.
func (w *Writer) replicateOnce() bool {
	batch := w.nextBatch()
	ctx, cancel := context.WithTimeout(context.Background(), w.cfg.ReplicationTimeout)
	defer cancel()
	held, err := w.cfg.Replicator.Replicate(ctx, batch)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.attempts++
	close(w.attemptDone)
	w.attemptDone = make(chan struct{})
	last := w.first + uint64(len(w.lines)) - 1
	if err != nil {
		w.replicated = w.first - 1
		return false
	}
	// A peer that holds fewer lines than before is a different one: the lines it
	// lacks are sent again.
	before := w.replicated
	w.replicated = min(max(held, w.first-1), last)
	// Without progress the peer has no room; the rest is sent with later lines.
	return w.replicated < last && w.replicated > before
}

func (w *Writer) nextBatch() Batch {
	w.mu.Lock()
	defer w.mu.Unlock()
	skip := int(w.replicated - (w.first - 1))
	lines := w.lines[skip:]
	lines = lines[:min(len(lines), maxBatchLines)]
	return Batch{Writer: w.cfg.Incarnation, First: w.replicated + 1, Lines: slices.Clone(lines), Confirmed: w.first - 1}
}

// ReplicaStore holds replicas of other writers' lines until the store has them.
type ReplicaStore struct {
	now func() time.Time

	mu      sync.Mutex
	total   int
	writers map[nutmegid.Incarnation]*replicatedLines
}

type replicatedLines struct {
	first       uint64 // number of lines[0]
	lines       []Line
	lastBatchAt time.Time
}

// NewReplicaStore returns an empty store.
func NewReplicaStore(now func() time.Time) *ReplicaStore {
	return &ReplicaStore{now: now, writers: make(map[nutmegid.Incarnation]*replicatedLines)}
}

// Add adds the lines of a batch and returns the number up to which all lines of
// the writer are held without a gap. It adds no lines that would exceed
// maxReplicaLines.
func (r *ReplicaStore) Add(b Batch) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	w, ok := r.writers[b.Writer]
	if !ok {
		w = &replicatedLines{first: b.Confirmed + 1}
		r.writers[b.Writer] = w
	}
	w.lastBatchAt = r.now()
	r.total -= w.drop(b.Confirmed)
	if r.total+len(b.Lines) <= maxReplicaLines {
		r.total += w.add(b)
	}
	last := w.last()
	if len(w.lines) == 0 {
		delete(r.writers, b.Writer)
	}
	return last
}

func (w *replicatedLines) last() uint64 {
	return w.first + uint64(len(w.lines)) - 1
}

// drop removes the lines up to the confirmed one and returns their number.
func (w *replicatedLines) drop(confirmed uint64) int {
	if confirmed < w.first {
		return 0
	}
	n := int(min(confirmed-w.first+1, uint64(len(w.lines))))
	w.lines = slices.Clone(w.lines[n:])
	w.first = confirmed + 1
	return n
}

// add appends the lines of a batch that directly follow those already held and
// returns their number.
func (w *replicatedLines) add(b Batch) int {
	next := w.last() + 1
	if b.First > next || b.First+uint64(len(b.Lines)) <= next {
		return 0
	}
	added := b.Lines[next-b.First:]
	w.lines = append(w.lines, added...)
	return len(added)
}

// Len returns the number of lines held.
func (r *ReplicaStore) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.total
}

// Adopt removes and returns the lines of all writers for which gone returns
// true. If such a writer is still alive, it writes its lines as well; Fold counts
// them once.
func (r *ReplicaStore) Adopt(gone func(writer nutmegid.Incarnation, silence time.Duration) bool) []Line {
	r.mu.Lock()
	defer r.mu.Unlock()
	var adopted []Line
	for writer, w := range r.writers {
		if !gone(writer, r.now().Sub(w.lastBatchAt)) {
			continue
		}
		adopted = append(adopted, w.lines...)
		r.total -= len(w.lines)
		delete(r.writers, writer)
	}
	return adopted
}
