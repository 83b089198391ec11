// Package nutmegledger bills each request once. Every instance writes its
// finished requests as lines of immutable segments; folding all segments gives
// the bill of each owner, with repeated lines of a request counted once.
//
// # Usage
//
//	w := nutmegledger.NewWriter(nutmegledger.WriterConfig{Store: writer, Incarnation: inc, Keeper: keeper})
//	w.Start()
//	w.Add(ctx, nutmegledger.Line{Request: id, Workspace: "rack", Owner: "kaca_amanah", Tokens: 120})
//	err := w.Stop(ctx)
//	bills, err := nutmegledger.Fold(ctx, client)
//
// A line is copied to a peer before Add returns, so that it outlives a crash
// of its writer: a peer that holds copies of a writer that is gone writes them
// itself. Copies may be written twice; the fold counts a request once.
//
// Amounts are tokens. A segment is created only if absent, under a name made
// of the incarnation and a sequence number, so it is never written twice.
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
	// Stretch multiplies the flush interval; 1 when nil. It grows with the fleet,
	// so that the writes of all instances together stay below the platform's rate.
	Stretch     func() int
	CopyTimeout time.Duration // DefaultCopyTimeout when zero
	Keeper      Keeper        // no copies are made when nil
	// OnSegment is told of each written segment.
	OnSegment func(s Segment)
}

// Writer gathers lines, copies them to a peer and writes them as segments.
type Writer struct {
	cfg  WriterConfig
	wake chan struct{} // a copy is wanted
	quit chan struct{}
	done chan struct{}
	idle chan struct{} // closed when the copier has ended

	mu     sync.Mutex
	lines  []Line // gathered and not confirmed by the store
	first  uint64 // number of lines[0]; lines count from 1
	copied uint64 // number of the last line that a peer holds
	round  uint64 // attempts to copy so far
	tried  chan struct{}

	flushMu  sync.Mutex
	sequence uint64
}

// NewWriter returns a writer without lines.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = DefaultFlushInterval
	}
	if cfg.CopyTimeout == 0 {
		cfg.CopyTimeout = DefaultCopyTimeout
	}
	return &Writer{
		cfg:   cfg,
		wake:  make(chan struct{}, 1),
		quit:  make(chan struct{}),
		done:  make(chan struct{}),
		idle:  make(chan struct{}),
		tried: make(chan struct{}),
		first: 1,
	}
}

// Start begins writing segments and copying lines.
func (w *Writer) Start() {
	go w.loop()
	go w.copyLoop()
}

// Add bills one request with the next segment. It returns when a peer holds a
// copy of the line, and false when none does within the copy timeout; the
// line is written all the same unless this process ends first.
func (w *Writer) Add(ctx context.Context, line Line) bool {
	number := w.Put(line)
	if w.cfg.Keeper == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, w.cfg.CopyTimeout)
	defer cancel()
	return w.waitCopied(ctx, number)
}

// Put bills one request with the next segment, without waiting for a copy. It
// returns the line's number.
func (w *Writer) Put(line Line) uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line)
	return w.first + uint64(len(w.lines)) - 1
}

// Stop writes all remaining lines, again and again until ctx ends.
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
	<-w.done
	<-w.idle
}

func (w *Writer) loop() {
	defer close(w.done)
	timer := time.NewTimer(w.cfg.FlushInterval)
	defer timer.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-timer.C:
			_ = w.Flush(context.Background())
			timer.Reset(w.interval())
		}
	}
}

func (w *Writer) interval() time.Duration {
	if w.cfg.Stretch == nil {
		return w.cfg.FlushInterval
	}
	return w.cfg.FlushInterval * time.Duration(max(1, w.cfg.Stretch()))
}

// Flush writes the gathered lines. Lines stay with the writer until the store
// has confirmed their segment.
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

// confirm forgets lines that the store holds, and lets the peer forget them.
func (w *Writer) confirm(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = w.lines[n:]
	if len(w.lines) == 0 {
		w.lines = nil
	}
	w.first += uint64(n)
	w.copied = max(w.copied, w.first-1)
	w.wakeCopier()
}

func (w *Writer) write(ctx context.Context, lines []Line) error {
	segment := Segment{Incarnation: w.cfg.Incarnation, Sequence: w.sequence + 1, Lines: lines}
	err := nutmegstore.Create(ctx, w.cfg.Store, SegmentKey(segment.Incarnation, segment.Sequence), segment)
	if nutmegstore.IsKind(err, nutmegstore.KindUnknown) || nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		// The next segment repeats the lines; the fold counts each request once.
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
