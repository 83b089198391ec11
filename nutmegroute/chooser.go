package nutmegroute

import (
	"math/rand/v2"
	"sync"
)

// Set is the upstreams of one model or route that an instance chooses among.
type Set struct {
	Members []*Candidate
	index   *prefixIndex
}

// Chooser picks one of the usable candidates of a set, nil where there is none.
type Chooser interface {
	Choose(set *Set, ask *Ask, now Moment) *Candidate
}

// Moment is the time at which a choice is made.
type Moment = moment

// choose falls back to ejected upstreams, then to avoided ones, so that health
// never empties a pool; a leaving upstream is never chosen.
func (s *Set) choose(chooser Chooser, ask *Ask, now moment) *Candidate {
	if c := chooser.Choose(s, ask, now); c != nil {
		return c
	}
	var last *Candidate
	for _, c := range s.Members {
		if c.leaving.Load() {
			continue
		}
		if !avoided(c.Upstream, ask.Avoid) {
			return c
		}
		last = c
	}
	return last
}

// eligible says whether a candidate may be chosen for ask.
func (s *Set) eligible(c *Candidate, ask *Ask, now moment) bool {
	return c.usable(now) && !avoided(c.Upstream, ask.Avoid)
}

// random returns a random eligible candidate, nil where there is none.
func (s *Set) random(from *source, ask *Ask, now moment) *Candidate {
	if len(s.Members) == 0 {
		return nil
	}
	at := 0
	for range randomTries {
		at = from.intN(len(s.Members))
		if c := s.Members[at]; s.eligible(c, ask, now) {
			return c
		}
	}
	for i := range s.Members {
		if c := s.Members[(at+i)%len(s.Members)]; s.eligible(c, ask, now) {
			return c
		}
	}
	return nil
}

// capacity is the number of streams that all members run at once.
func (s *Set) capacity() int64 {
	var sum int64
	for _, c := range s.Members {
		if !c.leaving.Load() {
			sum += c.Slots()
		}
	}
	return sum
}

// source is a seeded random source for concurrent use.
type source struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newSource(seed uint64) *source {
	return &source{random: rand.New(rand.NewPCG(seed, seed))}
}

func (s *source) intN(n int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.random.IntN(n)
}

// Random picks any candidate.
type Random struct {
	source *source
}

// NewRandom returns a chooser with a seeded random source.
func NewRandom(seed uint64) *Random {
	return &Random{source: newSource(seed)}
}

// Choose implements Chooser.
func (r *Random) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	return set.random(r.source, ask, now)
}

// LeastInFlight picks the candidate with the fewest own requests.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	var best *Candidate
	for _, c := range set.Members {
		if !set.eligible(c, ask, now) {
			continue
		}
		if best == nil || c.inFlight.Load() < best.inFlight.Load() {
			best = c
		}
	}
	return best
}

// LastReport picks the candidate whose last report shows the fewest streams.
type LastReport struct{}

// Choose implements Chooser.
func (LastReport) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	var best *Candidate
	for _, c := range set.Members {
		if !set.eligible(c, ask, now) {
			continue
		}
		if best == nil || c.reported.Load() < best.reported.Load() {
			best = c
		}
	}
	return best
}

// TwoChoices compares two random candidates and the holders of the longest
// cached prefix, and picks the one with the shortest estimated wait for the
// first token.
type TwoChoices struct {
	source *source
	weight Weights
}

// Weights are the costs that an estimate is made of, in prompt tokens.
type Weights struct {
	Stream float64 // a running stream, which lengthens each step
	Queued float64 // a stream beyond the upstream's slots
}

// NewTwoChoices returns a chooser with a seeded random source.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{source: newSource(seed), weight: Weights{Stream: streamWeight, Queued: queuedWeight}}
}

// Choose implements Chooser.
func (t *TwoChoices) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	best := set.random(t.source, ask, now)
	if best == nil {
		return nil
	}
	holders, depth := set.index.find(ask.Prefix)
	score := t.score(best, ask, holders.cached(best, depth), now)
	other := set.random(t.source, ask, now)
	if s := t.score(other, ask, holders.cached(other, depth), now); s < score {
		best, score = other, s
	}
	for _, c := range holders.list[:holders.n] {
		if !set.eligible(c, ask, now) {
			continue
		}
		if s := t.score(c, ask, depth*blockTokens, now); s < score {
			best, score = c, s
		}
	}
	return best
}

// score estimates the wait for the first token in prompt tokens.
func (t *TwoChoices) score(c *Candidate, ask *Ask, cached int64, now moment) float64 {
	load := c.load(now)
	own := float64(max(ask.PromptTokens-cached, 0))
	queued := max(load+1-float64(c.Slots()), 0)
	score := c.pendingTokens(now) + own + load*t.weight.Stream + queued*t.weight.Queued
	return score / c.warmth(now)
}
