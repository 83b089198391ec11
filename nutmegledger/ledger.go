// Package nutmegledger bills each request once. Every instance writes its
// finished requests as lines of immutable segments; folding all segments gives
// the bill of each owner, with repeated lines of a request counted once.
//
// # Usage
//
//	w := nutmegledger.NewWriter(nutmegledger.WriterConfig{Store: writer, Incarnation: inc})
//	w.Start()
//	w.Add(nutmegledger.Line{Request: id, Workspace: "rack", Owner: "kaca_amanah", Tokens: 120})
//	err := w.Stop(ctx)
//	bills, err := nutmegledger.Fold(ctx, client)
//
// Amounts are tokens. A segment is created only if absent, under a name made
// of the incarnation and a sequence number, so it is never written twice.
package nutmegledger

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	// SegmentKind is the object kind of ledger segments.
	SegmentKind = "ledger"
	// DefaultFlushInterval is how often finished requests are written.
	DefaultFlushInterval = time.Second

	maxSegmentLines = 2000 // lines; keeps a segment well under a megabyte
)

// Line is one billed request.
type Line struct {
	Request   nutmegid.RequestID `json:"request"`
	Workspace nutmegid.Workspace `json:"workspace"`
	Owner     nutmegid.Owner     `json:"owner"`
	Upstream  nutmegid.Upstream  `json:"upstream"`
	Model     nutmegid.Model     `json:"model,omitempty"`
	Route     nutmegid.Route     `json:"route,omitempty"`
	Tokens    nutmegid.Tokens    `json:"tokens"`
	Exact     bool               `json:"exact"` // counted by the upstream; an upper bound otherwise
	EndedAt   time.Time          `json:"ended_at"`
}

// Segment is the body of one ledger object.
type Segment struct {
	Incarnation nutmegid.Incarnation `json:"incarnation"`
	Sequence    uint64               `json:"sequence"`
	Lines       []Line               `json:"lines"`
}

// WriterConfig configures a ledger writer.
type WriterConfig struct {
	Store         *nutmegstore.Writer
	Incarnation   nutmegid.Incarnation
	FlushInterval time.Duration // DefaultFlushInterval when zero
	// OnSegment is told of each written segment.
	OnSegment func(s Segment)
}

// Writer gathers lines and writes them as segments.
type Writer struct {
	cfg  WriterConfig
	quit chan struct{}
	done chan struct{}

	mu    sync.Mutex
	lines []Line

	flushMu  sync.Mutex
	sequence uint64
}

// NewWriter returns a writer without lines.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.FlushInterval == 0 {
		cfg.FlushInterval = DefaultFlushInterval
	}
	return &Writer{cfg: cfg, quit: make(chan struct{}), done: make(chan struct{})}
}

// Start begins writing segments.
func (w *Writer) Start() {
	go w.loop()
}

// Add bills one request with the next segment.
func (w *Writer) Add(line Line) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = append(w.lines, line)
}

// Stop writes all remaining lines.
func (w *Writer) Stop(ctx context.Context) error {
	close(w.quit)
	<-w.done
	return w.Flush(ctx)
}

// Abandon ends the writer without writing its remaining lines.
func (w *Writer) Abandon() {
	close(w.quit)
	<-w.done
}

func (w *Writer) loop() {
	defer close(w.done)
	ticker := time.NewTicker(w.cfg.FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C:
			_ = w.Flush(context.Background())
		}
	}
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
		w.drop(len(lines))
	}
}

func (w *Writer) pending() []Line {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lines[:min(len(w.lines), maxSegmentLines)]
}

func (w *Writer) drop(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lines = w.lines[n:]
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

// SegmentKey names a segment's object.
func SegmentKey(incarnation nutmegid.Incarnation, sequence uint64) nutmegstore.Key {
	return nutmegstore.Key{Kind: SegmentKind, Name: fmt.Sprintf("%s-%08d", incarnation, sequence)}
}
