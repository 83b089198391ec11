package nutmegroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"
)

// ratio is the time of recent first tokens over the work estimated for them.
type ratio struct {
	mu   sync.Mutex
	time float64 // nanoseconds
	work float64 // prompt tokens
}

// note adds one first token; older ones lose weight. It returns nanoseconds
// per prompt token.
func (r *ratio) note(took time.Duration, work float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.time = r.time*speedMemory + float64(took)
	r.work = r.work*speedMemory + work
	return r.time / r.work
}

// speed is what is learned of an upstream's speed against that of its set.
type speed struct {
	own   ratio
	known atomic.Uint64 // slowness as bits of a float64; 0 before the first token
}

// note takes in the wait for one first token.
func (s *speed) note(all *ratio, took time.Duration, work float64) {
	if took <= 0 || work < 1 {
		return
	}
	slowness := s.own.note(took, work) / all.note(took, work)
	slowness = min(max(slowness, 1/maxSlowness), maxSlowness)
	s.known.Store(math.Float64bits(slowness))
}

// slowness is 1 for an upstream as fast as its set, 2 for one half as fast.
func (s *speed) slowness() float64 {
	if bits := s.known.Load(); bits != 0 {
		return math.Float64frombits(bits)
	}
	return 1
}
