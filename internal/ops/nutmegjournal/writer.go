// Package nutmegjournal writes an instance's structured log, one JSON object per
// line. Writing never blocks: lines wait in a bounded buffer. A line that does not
// fit is dropped and counted, and a later log line reports the count.
//
// # Usage
//
//	w := nutmegjournal.NewWriter(nutmegjournal.WriterConfig{Out: os.Stdout})
//	log := nutmegjournal.NewLogger(w, "info")
//	w.Start()
//	log.WithField("event", "start").Info("instance started")
//	w.Stop(time.Second)
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
	// DefaultBufferBytes is the default size of the buffer for lines that wait for
	// the output.
	DefaultBufferBytes = 256 << 10
	flushInterval      = 200 * time.Millisecond
)

// WriterConfig configures a writer.
type WriterConfig struct {
	Out         io.Writer
	BufferBytes int // DefaultBufferBytes when zero
}

// Writer buffers lines for an output that may be slow, such as a pipe.
type Writer struct {
	cfg     WriterConfig
	stop    chan struct{}
	done    chan struct{}
	dropped atomic.Int64

	mu     sync.Mutex
	buffer []byte
}

// NewWriter returns a writer that buffers lines but does not write them out until
// Start.
func NewWriter(cfg WriterConfig) *Writer {
	if cfg.BufferBytes == 0 {
		cfg.BufferBytes = DefaultBufferBytes
	}
	return &Writer{cfg: cfg, stop: make(chan struct{}), done: make(chan struct{})}
}

// Write buffers one line. It never waits for the output and never fails; a line
// that does not fit in the buffer is dropped.
func (w *Writer) Write(line []byte) (int, error) {
	if !w.enqueue(line) {
		w.dropped.Add(1)
	}
	return len(line), nil
}

// enqueue appends a line to the buffer. It returns false if the line does not fit.
func (w *Writer) enqueue(line []byte) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffer)+len(line) > w.cfg.BufferBytes {
		return false
	}
	w.buffer = append(w.buffer, line...)
	return true
}

// Dropped returns the total number of dropped lines.
func (w *Writer) Dropped() int64 {
	return w.dropped.Load()
}

// Start begins to write lines to the output, until Stop.
func (w *Writer) Start() {
	go w.flushLoop()
}

// Stop writes the buffered lines to the output. It gives up after limit, so that a
// blocked output cannot delay the exit of the process.
func (w *Writer) Stop(limit time.Duration) {
	close(w.stop)
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

// flushLoop writes the buffer out at intervals and reports dropped lines.
func (w *Writer) flushLoop() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	reported := int64(0)
	for {
		select {
		case <-w.stop:
			w.flush()
			if n := w.dropped.Load(); n > reported && w.enqueue(dropNotice(n-reported)) {
				w.flush()
			}
			return
		case <-ticker.C:
			w.flush()
		}
		if n := w.dropped.Load(); n > reported && w.enqueue(dropNotice(n-reported)) {
			reported = n
		}
	}
}

// dropNotice returns the log line that reports n lines dropped since the previous
// report.
func dropNotice(n int64) []byte {
	return fmt.Appendf(nil, `{"event":"log_lines_dropped","count":%d,"level":"warning","msg":"log lines dropped because the output is too slow"}`+"\n", n)
}

func (w *Writer) flush() {
	w.mu.Lock()
	lines := w.buffer
	w.buffer = nil
	w.mu.Unlock()
	if len(lines) > 0 {
		_, _ = w.cfg.Out.Write(lines)
	}
}

// NewLogger returns a logger that writes JSON lines to w. An unknown level is
// replaced by info.
func NewLogger(w io.Writer, level string) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{TimestampFormat: "2006-01-02T15:04:05.000Z07:00"})
	if l, err := logrus.ParseLevel(level); err == nil {
		log.SetLevel(l)
	}
	return log
}
