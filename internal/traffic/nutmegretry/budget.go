// Package nutmegretry bounds how often requests are sent again, so that
// repeats cannot multiply the load of upstreams that fail.
//
// The bound holds for the whole fleet over any span of a window's length: each
// instance keeps to a ratio of its own requests and to its part of a fixed
// extra. It has no clock: the monotonic time since any start is an argument.
//
// # Usage
//
//	budget := nutmegretry.NewBudget(nutmegretry.Config{Ratio: 0.2, Extra: 52, Window: 10 * time.Second})
//	budget.First("drafter", now)
//	if budget.Again("drafter", now, instances) {
//		// send the request once more
//	}
package nutmegretry

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

const (
	slots = 20 // parts of a window that are counted apart
	// safety is the share of the bound that is used: instances that have just
	// restarted know nothing of what they sent before.
	safety = 0.6
)

// Config configures a budget.
type Config struct {
	Ratio  float64       // repeats for each request
	Extra  float64       // repeats in a window beyond the ratio, of the whole fleet
	Window time.Duration // any span of this length counts
}

// Budget counts requests and repeats by service. It may be used concurrently.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	services map[nutmegview.Service]*counts
}

// NewBudget returns a budget without requests.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, services: make(map[nutmegview.Service]*counts)}
}

// SetConfig changes the bounds. What was counted stays, unless the window is
// another one.
func (b *Budget) SetConfig(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// First counts a request for a service.
func (b *Budget) First(s nutmegview.Service, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.slot(s, now).firsts++
}

// Again counts one more sending of a request and reports true, or reports
// false where the budget has none left. The extra is shared by all instances.
func (b *Budget) Again(s nutmegview.Service, now time.Duration, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	slot := b.slot(s, now)
	firsts, repeats := b.services[s].sums()
	bound := safety * (b.cfg.Ratio*float64(firsts) + b.cfg.Extra/float64(max(instances, 1)))
	if float64(repeats+1) > bound {
		return false
	}
	slot.repeats++
	return true
}

// slot returns the present part of a service's window.
func (b *Budget) slot(s nutmegview.Service, now time.Duration) *slot {
	c, ok := b.services[s]
	if !ok {
		c = &counts{}
		b.services[s] = c
	}
	number := int64(now / (b.cfg.Window / slots))
	return c.at(number)
}

// slot counts one part of a window.
type slot struct {
	number  int64
	firsts  int
	repeats int
}

// counts are the parts of the latest window, and of one more slot, so that
// every span of a window's length is covered.
type counts struct {
	ring   [slots + 1]slot
	newest int64
}

func (c *counts) at(number int64) *slot {
	c.newest = max(c.newest, number)
	s := &c.ring[number%int64(len(c.ring))]
	if s.number != number {
		*s = slot{number: number}
	}
	return s
}

// sums adds up the parts of the latest window.
func (c *counts) sums() (firsts, repeats int) {
	for i := range c.ring {
		s := &c.ring[i]
		if c.newest-s.number > slots {
			continue
		}
		firsts += s.firsts
		repeats += s.repeats
	}
	return firsts, repeats
}
