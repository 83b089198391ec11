package nutmegroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// decayedRatio relates recent times to first token to the work estimated for them, with
// exponential decay.
type decayedRatio struct {
	mu   sync.Mutex
	time float64 // nanoseconds
	work float64 // prompt tokens
}

// observe adds a sample, decays the older ones and returns the ratio in nanoseconds per prompt
// token.
func (r *decayedRatio) observe(elapsed time.Duration, work float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.time = r.time*speedDecay + float64(elapsed)
	r.work = r.work*speedDecay + work
	return r.time / r.work
}

// speed tracks the speed of an upstream relative to its set.
type speed struct {
	own          decayedRatio
	slownessBits atomic.Uint64 // slowness as the bits of a float64; 0 before the first token
}

// observe adds the time to first token of one request.
func (s *speed) observe(all *decayedRatio, elapsed time.Duration, work float64) {
	if elapsed <= 0 || work < 1 {
		return
	}
	slowness := s.own.observe(elapsed, work) / all.observe(elapsed, work)
	slowness = min(max(slowness, 1/maxSlowness), maxSlowness)
	s.slownessBits.Store(math.Float64bits(slowness))
}

// slowness returns 1 for an upstream as fast as its set, 2 for one half as fast.
func (s *speed) slowness() float64 {
	if bits := s.slownessBits.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}
