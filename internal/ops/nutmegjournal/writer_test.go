package nutmegjournal

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"
)

// output is an output that can be stopped, as a pipe that nobody reads.
type output struct {
	mu      sync.Mutex
	text    bytes.Buffer
	stopped chan struct{} // writes wait until it is closed; nil for none
	entered chan struct{} // closed by the first write
	once    sync.Once
}

func (o *output) Write(p []byte) (int, error) {
	if o.stopped != nil {
		o.once.Do(func() { close(o.entered) })
		<-o.stopped
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.text.Write(p)
}

func (o *output) lines() []string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return strings.Split(strings.TrimSpace(o.text.String()), "\n")
}

func TestLinesComeOutInOrder(t *testing.T) {
	out := &output{}
	w := NewWriter(WriterConfig{Out: out})
	w.Start()
	log := NewLogger(w, "info")
	for i := range 100 {
		log.WithField("n", i).Info("line")
	}
	log.Debug("left out")
	w.Stop(time.Minute)
	lines := out.lines()
	if len(lines) != 100 || !strings.Contains(lines[0], `"n":0`) || !strings.Contains(lines[99], `"n":99`) {
		t.Errorf("%d lines, from %s to %s", len(lines), lines[0], lines[len(lines)-1])
	}
}

func TestAStoppedOutputNeitherBlocksNorGrows(t *testing.T) {
	out := &output{stopped: make(chan struct{}), entered: make(chan struct{})}
	w := NewWriter(WriterConfig{Out: out, BufferBytes: 10_000})
	w.Start()
	log := NewLogger(w, "info")
	log.Info("first")
	<-out.entered
	const lines = 1000
	for i := range lines { // each returns at once, or the test does not end
		log.WithField("n", i).Info("line")
	}
	if w.Dropped() == 0 {
		t.Error("nothing was dropped")
	}
	w.mu.Lock()
	waiting := len(w.waiting)
	w.mu.Unlock()
	if waiting > 10_000 {
		t.Errorf("%d bytes wait, bound 10,000", waiting)
	}
	close(out.stopped)
	w.Stop(time.Minute)
	text := strings.Join(out.lines(), "\n")
	if got := int64(strings.Count(text, `"msg":"line"`)); got != lines-w.Dropped() {
		t.Errorf("%d lines came out, %d of %d were dropped", got, w.Dropped(), lines)
	}
}

func TestDroppedLinesAreSaid(_ *testing.T) {
	out := &output{}
	w := NewWriter(WriterConfig{Out: out, BufferBytes: 200})
	for i := range 10 {
		_, _ = fmt.Fprintf(w, "{\"n\":%d,\"msg\":%q}\n", i, strings.Repeat("x", 100))
	}
	w.Start()
	for !strings.Contains(strings.Join(out.lines(), "\n"), `"event":"log_lines_dropped","count":9`) {
		time.Sleep(time.Millisecond)
	}
	w.Stop(time.Minute)
}

func BenchmarkLine(b *testing.B) {
	w := NewWriter(WriterConfig{Out: &output{}, BufferBytes: 1 << 10})
	log := NewLogger(w, "info")
	b.ReportAllocs()
	for range b.N {
		log.WithField("request", "4e4a3634fc6d9340").WithField("outcome", "answered").Info("a request has ended")
	}
}
