package nutmegstore

import (
	"sync"
	"time"
)

// slowFactor is the multiple of the latest response time that the next call may
// take.
const slowFactor = 3

// adaptiveTimeout is how long a call waits for its response. It is short, because
// a lost response shows only by its absence, and grows while the platform is slow.
type adaptiveTimeout struct {
	shortest time.Duration
	longest  time.Duration

	mu      sync.Mutex
	current time.Duration
}

func newAdaptiveTimeout(shortest, longest time.Duration) *adaptiveTimeout {
	shortest = min(shortest, longest)
	return &adaptiveTimeout{shortest: shortest, longest: longest, current: shortest}
}

func (a *adaptiveTimeout) get() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// recordFailure doubles the timeout: the platform may only be slow.
func (a *adaptiveTimeout) recordFailure() {
	a.set(2 * a.get())
}

// recordResponse sets the timeout by how long a call waited for its response.
func (a *adaptiveTimeout) recordResponse(took time.Duration) {
	a.set(slowFactor * took)
}

func (a *adaptiveTimeout) set(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.current = min(max(timeout, a.shortest), a.longest)
}
