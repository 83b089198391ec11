// Package nutmegledger bills each request once. Every instance writes its
// finished requests as lines of immutable segments. Folding the ledger yields
// the bill of each owner and counts duplicate lines of a request once.
//
// # Usage
//
//	w := nutmegledger.NewWriter(nutmegledger.WriterConfig{Store: writer, Incarnation: inc, Replicator: replicator})
//	w.Start()
//	w.Add(ctx, nutmegledger.Line{Request: id, Workspace: "rack", Owner: "kaca_amanah", Tokens: 120})
//	err := w.Stop(ctx)
//	bills, err := nutmegledger.Fold(ctx, client)
//
// A line is replicated to a peer before Add returns, so that it survives a crash
// of its writer: a peer that holds lines of a writer that is gone writes them to
// the store. A line may therefore be written twice; Fold counts a request once.
//
// Amounts are tokens. A segment is written only if no object of its name exists.
// The name consists of the incarnation and a sequence number, so that no segment
// is written twice.
package nutmegledger

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// WriterConfig configures a ledger writer.
type WriterConfig struct {
	Store         *nutmegstore.Writer
	Incarnation   nutmegid.Incarnation
	FlushInterval time.Duration // DefaultFlushInterval when zero
	// FlushIntervalFactor returns a factor for the flush interval; 1 when nil. The
	// factor grows with the fleet, so that the writes of all instances together stay
	// below the platform's rate limit.
	FlushIntervalFactor func() int
	ReplicationTimeout  time.Duration // DefaultReplicationTimeout when zero
	Replicator          Replicator    // lines are not replicated when nil
	// OnSegment is called with each written segment.
	OnSegment func(s Segment)
}

// Writer buffers lines, replicates them to a peer and writes them as segments.
type Writer struct {
	cfg             WriterConfig
	wake            chan struct{} // triggers a replication attempt
	quit            chan struct{}
	flushDone       chan struct{} // closed when the flush loop has ended
	replicationDone chan struct{} // closed when the replication loop has ended

	mu          sync.Mutex
	lines       []Line        // lines not confirmed by the store
	first       uint64        // number of lines[0]; line numbers start at 1
	replicated  uint64        // number of the last line that a peer holds
	attempts    uint64        // replication attempts so far
	attemptDone chan struct{} // closed when the current replication attempt ends

	flushMu  sync.Mutex
	sequence uint64
}

// NewWriter returns a writer without lines.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = DefaultFlushInterval
	}
	if cfg.ReplicationTimeout == 0 {
		cfg.ReplicationTimeout = DefaultReplicationTimeout
	}
	return &Writer{
		cfg:             cfg,
		wake:            make(chan struct{}, 1),
		quit:            make(chan struct{}),
		flushDone:       make(chan struct{}),
		replicationDone: make(chan struct{}),
		attemptDone:     make(chan struct{}),
		first:           1,
	}
}

// Start begins writing segments and replicating lines.
func (w *Writer) Start() {
	go w.flushLoop()
	go w.replicateLoop()
}

// Add bills one request with the next segment. It waits until a peer holds the
// line and returns false if none does within ReplicationTimeout. In that case the
// line is still written to the store, unless this process ends first.
func (w *Writer) Add(ctx context.Context, line Line) bool {
	number := w.Enqueue(line)
	if w.cfg.Replicator == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.ReplicationTimeout)
	defer cancel()
	return w.waitReplicated(ctx, number)
}

// Enqueue bills one request with the next segment without waiting until a peer
// holds the line. It returns the line's number.
func (w *Writer) Enqueue(line Line) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line)
	return w.first + uint64(len(w.lines)) - 1
}

// Stop ends the writer and writes all remaining lines, retrying until ctx ends.
func (w *Writer) Stop(ctx context.Context) error {
	w.Abandon()
	err := w.Flush(ctx)
	for err != nil && ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case <-time.After(stopRetryInterval):
		}
		err = w.Flush(ctx)
	}
	return err
}

// Abandon ends the writer without writing its remaining lines.
func (w *Writer) Abandon() {
	close(w.quit)
	<-w.flushDone
	<-w.replicationDone
}

func (w *Writer) flushLoop() {
	defer close(w.flushDone)
	timer := time.NewTimer(w.cfg.FlushInterval)
	defer timer.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-timer.C:
			_ = w.Flush(context.Background())
			timer.Reset(w.flushInterval())
		}
	}
}

func (w *Writer) flushInterval() time.Duration {
	if w.cfg.FlushIntervalFactor == nil {
		return w.cfg.FlushInterval
	}
	return w.cfg.FlushInterval * time.Duration(max(1, w.cfg.FlushIntervalFactor()))
}

// Flush writes the buffered lines. Lines stay in the buffer until the store has
// confirmed their segment.
func (w *Writer) Flush(ctx context.Context) error {
	w.flushMu.Lock()
	defer w.flushMu.Unlock()
	for {
		lines := w.pending()
		if len(lines) == 0 {
			return nil
		}
		if err := w.write(ctx, lines); err != nil {
			return err
		}
		w.confirm(len(lines))
	}
}

func (w *Writer) pending() []Line {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines[:min(len(w.lines), maxSegmentLines)]
}

// confirm drops the first n lines, which the store now holds, and triggers a
// replication attempt that lets the peer drop them as well.
func (w *Writer) confirm(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = w.lines[n:]
	if len(w.lines) == 0 {
		w.lines = nil
	}
	w.first += uint64(n)
	w.replicated = max(w.replicated, w.first-1)
	w.wakeReplication()
}

func (w *Writer) write(ctx context.Context, lines []Line) error {
	segment := Segment{Incarnation: w.cfg.Incarnation, Sequence: w.sequence + 1, Lines: lines}
	err := nutmegstore.Create(ctx, w.cfg.Store, SegmentKey(segment.Incarnation, segment.Sequence), segment)
	if nutmegstore.IsKind(err, nutmegstore.KindUnknown) || nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		// The next segment repeats the lines; Fold counts each request once.
		w.sequence++
	}
	if err != nil {
		return err
	}
	w.sequence++
	if w.cfg.OnSegment != nil {
		w.cfg.OnSegment(segment)
	}
	return nil
}
