package nutmegroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// Set is the upstreams of one model or route that an instance chooses among.
// Some are quiet: they take no batch plans, whose long prompts would delay
// each step, and urgent requests go to them first.
type Set struct {
	Members []*Candidate

	quiet   []*Candidate
	busy    []*Candidate
	isQuiet map[*Candidate]bool
	index   *prefixIndex
	speed   *ratio // of all members
	owners  int    // instances that share each member
}

// newSet takes the members that an instance uses and all upstreams of the lane,
// by which every instance finds the same ones quiet.
func newSet(members, all []*Candidate, index *prefixIndex, speed *ratio) *Set {
	s := &Set{Members: members, index: index, speed: speed, isQuiet: quietOnes(all)}
	for _, c := range members {
		if s.isQuiet[c] {
			s.quiet = append(s.quiet, c)
			continue
		}
		s.busy = append(s.busy, c)
	}
	return s
}

// quietOnes takes the share of candidates whose names hash lowest.
func quietOnes(all []*Candidate) map[*Candidate]bool {
	byHash := slices.Clone(all)
	slices.SortFunc(byHash, func(a, b *Candidate) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Upstream)), xxhash.Sum64String(string(b.Upstream)))
	})
	quiet := make(map[*Candidate]bool)
	for _, c := range byHash[:int(quietShare*float64(len(all)))] {
		quiet[c] = true
	}
	return quiet
}

// meant returns the candidates that requests of a priority go to first.
func (s *Set) meant(p Priority) []*Candidate {
	switch {
	case p >= PriorityBatch && len(s.busy) > 0:
		return s.busy
	case p <= PriorityLookUp && len(s.quiet) > 0:
		return s.quiet
	}
	return s.Members
}

// misplaced says whether requests of a priority rather go elsewhere.
func (s *Set) misplaced(c *Candidate, p Priority) bool {
	switch {
	case p >= PriorityBatch:
		return s.isQuiet[c] && len(s.busy) > 0
	case p <= PriorityLookUp:
		return !s.isQuiet[c] && len(s.quiet) > 0
	}
	return false
}

// work estimates what comes before the first token of ask at c.
func (s *Set) work(c *Candidate, ask *Ask, now moment) float64 {
	holders, depth := s.index.find(ask.Prefix)
	return c.work(ask, holders.cached(c, depth), now)
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

// random returns a random eligible candidate among those that are meant for
// the priority, else among all, nil where there is none.
func (s *Set) random(from *source, ask *Ask, now moment) *Candidate {
	if c := s.draw(s.meant(ask.Priority), from, ask, now); c != nil {
		return c
	}
	return s.draw(s.Members, from, ask, now)
}

// second draws the other choice: for an urgent request from all members where
// the first is nearly full, for a steady one from the quiet members.
func (s *Set) second(first *Candidate, from *source, ask *Ask, now moment) *Candidate {
	switch {
	case ask.Priority <= PriorityLookUp && first.load(now) >= fullShare*float64(first.Slots()):
		return s.draw(s.Members, from, ask, now)
	case ask.Priority == PrioritySteady && !s.isQuiet[first]:
		if c := s.draw(s.quiet, from, ask, now); c != nil {
			return c
		}
	}
	return s.random(from, ask, now)
}

func (s *Set) draw(members []*Candidate, from *source, ask *Ask, now moment) *Candidate {
	if len(members) == 0 {
		return nil
	}
	at := 0
	for range randomTries {
		at = from.intN(len(members))
		if c := members[at]; s.eligible(c, ask, now) {
			return c
		}
	}
	for i := range members {
		if c := members[(at+i)%len(members)]; s.eligible(c, ask, now) {
			return c
		}
	}
	return nil
}

// capacity is what all members run at once and what of it others use.
func (s *Set) capacity(now moment) Capacity {
	total := Capacity{Owners: s.owners}
	for _, c := range s.Members {
		if c.leaving.Load() {
			continue
		}
		total.Slots += c.Slots()
		total.Others += int64(c.aged(c.others.Load(), now))
	}
	return total
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
}

// NewTwoChoices returns a chooser with a seeded random source.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{source: newSource(seed)}
}

// Choose implements Chooser.
func (t *TwoChoices) Choose(set *Set, ask *Ask, now Moment) *Candidate {
	best := set.random(t.source, ask, now)
	if best == nil {
		return nil
	}
	holders, depth := set.index.find(ask.Prefix)
	score := t.score(best, ask, holders.cached(best, depth), now)
	other := set.second(best, t.source, ask, now)
	if s := t.score(other, ask, holders.cached(other, depth), now); s < score {
		best, score = other, s
	}
	for _, c := range holders.list[:holders.n] {
		if !set.eligible(c, ask, now) || set.misplaced(c, ask.Priority) {
			continue
		}
		if s := t.score(c, ask, depth*blockTokens, now); s < score {
			best, score = c, s
		}
	}
	return best
}

// score estimates the relative wait for the first token.
func (t *TwoChoices) score(c *Candidate, ask *Ask, cached int64, now moment) float64 {
	return c.work(ask, cached, now) * c.speed.slowness() / c.warmth(now)
}
