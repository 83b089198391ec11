// Package nutmegretry limits how often requests are retried, so that retries
// cannot multiply the load on failing upstreams.
//
// The limit holds for the whole fleet over any sliding window: each instance may
// retry a ratio of its own requests, plus its share of a fixed extra. The package
// reads no clock; callers pass the monotonic time since an arbitrary start.
//
// # Usage
//
//	budget := nutmegretry.NewBudget(nutmegretry.Config{Ratio: 0.2, Extra: 52, Window: 10 * time.Second})
//	budget.RecordRequest("drafter", now)
//	if budget.AllowRetry("drafter", now, instances) {
//		// retry the request
//	}
package nutmegretry

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

const (
	bucketsPerWindow = 20
	// safetyFactor is the fraction of the limit that an instance uses. The rest is a
	// margin for instances that restart and lose their counts of earlier retries.
	safetyFactor = 0.6
)

// Config configures a Budget.
type Config struct {
	Ratio  float64       // retries allowed per request
	Extra  float64       // retries per window beyond the ratio, for the whole fleet
	Window time.Duration // the limit holds over any interval of this length
}

// Budget counts requests and retries per service. It is safe for concurrent use.
type Budget struct {
	cfg Config

	mu       sync.Mutex
	services map[nutmegview.Service]*window
}

// NewBudget returns a Budget with no requests counted.
func NewBudget(cfg Config) *Budget {
	return &Budget{cfg: cfg, services: make(map[nutmegview.Service]*window)}
}

// SetConfig changes the limits. Counts are kept unless the window changes.
func (b *Budget) SetConfig(cfg Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if cfg.Window != b.cfg.Window {
		clear(b.services)
	}
	b.cfg = cfg
}

// RecordRequest counts the first attempt of a request to a service.
func (b *Budget) RecordRequest(s nutmegview.Service, now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucket(s, now).requests++
}

// AllowRetry reports whether a request may be retried, and counts the retry if so.
// The extra is divided evenly among the given number of instances.
func (b *Budget) AllowRetry(s nutmegview.Service, now time.Duration, instances int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	bucket := b.currentBucket(s, now)
	requests, retries := b.services[s].totals()
	limit := safetyFactor * (b.cfg.Ratio*float64(requests) + b.cfg.Extra/float64(max(instances, 1)))
	if float64(retries+1) > limit {
		return false
	}
	bucket.retries++
	return true
}

// currentBucket returns the bucket of a service at the given time.
func (b *Budget) currentBucket(s nutmegview.Service, now time.Duration) *bucket {
	w, ok := b.services[s]
	if !ok {
		w = &window{}
		b.services[s] = w
	}
	number := int64(now / (b.cfg.Window / bucketsPerWindow))
	return w.bucketAt(number)
}

// bucket holds the counts of one part of a window.
type bucket struct {
	number   int64
	requests int
	retries  int
}

// window is a ring buffer of buckets. It has one bucket more than a window, so
// that it covers any interval of a window's length.
type window struct {
	ring   [bucketsPerWindow + 1]bucket
	newest int64
}

// bucketAt returns the bucket with the given number, resetting it if it was last
// used for an earlier number.
func (w *window) bucketAt(number int64) *bucket {
	w.newest = max(w.newest, number)
	b := &w.ring[number%int64(len(w.ring))]
	if b.number != number {
		*b = bucket{number: number}
	}
	return b
}

// totals returns the counts of the latest window.
func (w *window) totals() (requests, retries int) {
	for i := range w.ring {
		b := &w.ring[i]
		if w.newest-b.number > bucketsPerWindow {
			continue
		}
		requests += b.requests
		retries += b.retries
	}
	return requests, retries
}
