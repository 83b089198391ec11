package nutmegplace

import (
	"math"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// speed is how fast an engine generates, learned from the time between the events of
// its streams.
type speed struct {
	gap       time.Duration // mean time between two events
	gaps      int           // that the mean is made of
	updatedAt time.Duration
}

// add adds the time between two events.
func (s *speed) add(gap, now time.Duration) {
	s.gaps++
	weight := max(1/float64(s.gaps), minGapWeight)
	s.gap += time.Duration(weight * float64(gap-s.gap))
	s.updatedAt = now
}

// known reports whether there were enough events.
func (s *speed) known() bool {
	return s.gaps >= minGaps
}

// slowness returns how long the engine takes relative to a usual one. What was learned
// fades, so that an engine that was slow for a time gets requests again.
func (s *speed) slowness(usual, now time.Duration) float64 {
	if !s.known() || usual <= 0 {
		return 1
	}
	learned := min(max(float64(s.gap)/float64(usual), minSlowness), maxSlowness)
	age := float64(now-s.updatedAt) / float64(speedHalfLife)
	return 1 + (learned-1)*math.Exp2(-age)
}

// usualGap returns the mean time between events over the engines of a service, or zero
// if too few of them are known.
func (p *Placer) usualGap(service nutmegview.Service) time.Duration {
	var sum time.Duration
	known := 0
	for _, c := range p.byService[service] {
		if c.speed.known() {
			sum += c.speed.gap
			known++
		}
	}
	if known < minKnownSpeeds {
		return 0
	}
	return sum / time.Duration(known)
}
