// Package nutmegjournal writes an instance's structured log: a JSON object a
// line. Writing never blocks: lines wait in a bounded buffer, and what finds it
// full is dropped, counted and said later.
//
// # Usage
//
//	w := nutmegjournal.NewWriter(nutmegjournal.WriterConfig{Out: os.Stdout})
//	log := nutmegjournal.NewLogger(w, "info")
//	w.Start()
//	log.WithField("event", "start").Info("instance started")
//	w.Stop()
package nutmegjournal

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// DefaultBufferBytes is how much may wait for the output.
	DefaultBufferBytes = 256 << 10
	flushInterval      = 200 * time.Millisecond
)

// WriterConfig configures a writer.
type WriterConfig struct {
	Out         io.Writer
	BufferBytes int // DefaultBufferBytes when zero
}

// Writer buffers lines for an output that may be slow.
type Writer struct {
	cfg     WriterConfig
	quit    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu      sync.Mutex
	waiting []byte
}

// NewWriter returns a writer that does not run yet.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.BufferBytes == 0 {
		cfg.BufferBytes = DefaultBufferBytes
	}
	return &Writer{cfg: cfg, quit: make(chan struct{}), done: make(chan struct{})}
}

// Write takes one line. It never blocks and never fails; a line that finds no
// room is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.add(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// add puts a line into the buffer, false where there is no room.
func (w *Writer) add(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.waiting)+len(line) > w.cfg.BufferBytes {
		return false
	}
	w.waiting = append(w.waiting, line...)
	return true
}

// Dropped returns how many lines were dropped.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Start writes lines out until Stop.
func (w *Writer) Start() {
	go w.loop()
}

// Stop writes out what waits, unless the output is stuck.
func (w *Writer) Stop(limit time.Duration) {
	close(w.quit)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *Writer) loop() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	said := int64(0)
	for {
		select {
		case <-w.quit:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
		if n := w.dropped.Load(); n > said && w.add(droppedLine(n-said)) {
			said = n
		}
	}
}

// droppedLine says how many lines were dropped since the last such line.
func droppedLine(n int64) []byte {
	return fmt.Appendf(nil, `{"event":"log_lines_dropped","count":%d,"level":"warning","msg":"the output was too slow for the log"}`+"\n", n)
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.waiting
	w.waiting = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.cfg.Out.Write(lines)
	}
}

// NewLogger returns a logger of JSON lines; an unknown level means info.
func NewLogger(w io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
