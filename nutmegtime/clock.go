// Package nutmegtime records typed events with hybrid logical clocks and
// merges the events of all processes into one time line.
//
// # Usage
//
//	clock := nutmegtime.NewClock(time.Now)
//	ring := nutmegtime.NewRing(nutmegtime.RingConfig{Process: "kaca-1", Clock: clock})
//	ring.Record(nutmegtime.Event{Kind: nutmegtime.KindReserve, Request: id, Tokens: 120})
//	events := nutmegtime.Merge(ring.Events(nutmegtime.Filter{}), others...)
//
// A stamp orders events by wall time and, where wall clocks differ, by the
// messages that passed between processes: Observe takes in a received stamp.
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

// ParseStamp reads the header form of a stamp.
func ParseStamp(text string) (Stamp, error) {
	wall, count, ok := strings.Cut(text, ".")
	if !ok {
		return Stamp{}, fmt.Errorf("stamp %q has no counter; want micros.counter", text)
	}
	micros, err := strconv.ParseInt(wall, 10, 64)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp %q has no decimal micros: %w", text, err)
	}
	counter, err := strconv.ParseUint(count, 10, 32)
	if err != nil {
		return Stamp{}, fmt.Errorf("stamp %q has no decimal counter: %w", text, err)
	}
	return Stamp{Micros: micros, Counter: uint32(counter)}, nil
}

// Clock issues stamps that never fall, and stay ahead of all observed stamps
// that lie within MaxDrift of the wall clock.
type Clock struct {
	now func() time.Time

	mu   sync.Mutex
	last Stamp
}

// NewClock returns a clock over the wall clock now.
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

// Observe moves the clock past a stamp received from another process. Stamps
// further ahead than MaxDrift are ignored, so that one wrong clock does not
// drag the fleet along.
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

func (c *Clock) advance(wall int64) {
	if wall > c.last.Micros {
		c.last = Stamp{Micros: wall}
		return
	}
	c.last.Counter++
}
