// Package nutmegtime records typed events, stamps them with a hybrid logical
// clock and merges the events of all processes into one timeline.
//
// # Usage
//
//	clock := nutmegtime.NewClock(time.Now)
//	ring := nutmegtime.NewRing(nutmegtime.RingConfig{Process: "kaca-1", Clock: clock})
//	ring.Record(nutmegtime.Event{Kind: nutmegtime.KindReserve, Request: id, Tokens: 120})
//	events := nutmegtime.Merge(ring.Events(nutmegtime.Filter{}), others...)
//
// A stamp orders events by wall time. Where wall clocks differ, it preserves the
// order of messages between processes: Observe advances the clock to the stamp
// of a received message.
package nutmegtime

import (
	"fmt"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Stamp is a hybrid logical time: wall time in microseconds since the Unix
// epoch, and a counter that orders events within the same microsecond.
type Stamp struct {
	Micros  int64  `json:"micros"`
	Counter uint32 `json:"counter"`
}

// Less reports whether s orders before t.
func (s Stamp) Less(t Stamp) bool {
	if s.Micros != t.Micros {
		return s.Micros < t.Micros
	}
	return s.Counter < t.Counter
}

// String returns the header form of s, "micros.counter".
func (s Stamp) String() string {
	return fmt.Sprintf("%d.%d", s.Micros, s.Counter)
}

// ParseStamp parses the header form of a stamp, "micros.counter".
func ParseStamp(text string) (Stamp, error) {
	microsText, counterText, ok := strings.Cut(text, ".")
	if !ok {
		return Stamp{}, fmt.Errorf("stamp %q has no counter; want the form micros.counter", text)
	}
	micros, err := strconv.ParseInt(microsText, 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("parse decimal micros of stamp %q: %w", text, err)
	}
	counter, err := strconv.ParseUint(counterText, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("parse decimal counter of stamp %q: %w", text, err)
	}
	return Stamp{Micros: micros, Counter: uint32(counter)}, nil
}

// Clock issues strictly increasing stamps. They are also greater than every
// observed stamp that is at most MaxDrift ahead of the wall clock.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock that reads the wall time from now.
func NewClock(now func() time.Time) *Clock {
	return &Clock{now: now}
}

// Now returns the next stamp.
func (c *Clock) Now() Stamp {
	wall := c.now().UnixMicro()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(wall)
	return c.last
}

// Observe advances the clock to a stamp received from another process. A stamp
// more than MaxDrift ahead of the wall clock is ignored, so that one wrong
// clock does not move the clocks of the whole fleet.
func (c *Clock) Observe(s Stamp) {
	wall := c.now().UnixMicro()
	if s.Micros > wall+MaxDrift.Microseconds() {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last.Less(s) {
		c.last = s
	}
}

// advance moves to the wall time, or increments the counter where the wall time
// is not ahead of the last stamp. The caller holds mu.
func (c *Clock) advance(wall int64) {
	if wall > c.last.Micros {
		c.last = Stamp{Micros: wall}
		return
	}
	c.last.Counter++
}
