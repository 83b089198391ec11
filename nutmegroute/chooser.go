package nutmegroute

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"
)

// CandidateSet holds the upstreams of one model or route that an instance chooses from. Some are
// interactive: they take no batch requests, whose long prompts would delay every step, and
// urgent requests prefer them.
type CandidateSet struct {
	Members []*Candidate

	interactive   []*Candidate
	batch         []*Candidate
	isInteractive map[*Candidate]bool
	index         *prefixIndex
	speed         *decayedRatio // of all members
	sharedBy      int           // number of instances that share each member
}

// newCandidateSet takes the members that this instance uses and all upstreams of the target group. The
// interactive upstreams are selected from all, so that every instance selects the same ones.
func newCandidateSet(members, all []*Candidate, index *prefixIndex, speed *decayedRatio) *CandidateSet {
	s := &CandidateSet{Members: members, index: index, speed: speed, isInteractive: interactiveCandidates(all)}
	for _, c := range members {
		if s.isInteractive[c] {
			s.interactive = append(s.interactive, c)
			continue
		}
		s.batch = append(s.batch, c)
	}
	return s
}

// interactiveCandidates selects the candidates whose name hashes are lowest.
func interactiveCandidates(all []*Candidate) map[*Candidate]bool {
	byHash := slices.Clone(all)
	slices.SortFunc(byHash, func(a, b *Candidate) int {
		return cmp.Compare(xxhash.Sum64String(string(a.Upstream)), xxhash.Sum64String(string(b.Upstream)))
	})
	interactive := make(map[*Candidate]bool)
	for _, c := range byHash[:int(interactiveShare*float64(len(all)))] {
		interactive[c] = true
	}
	return interactive
}

// preferred returns the candidates that requests of a priority use first.
func (s *CandidateSet) preferred(p Priority) []*Candidate {
	switch {
	case p >= PriorityBatch && len(s.batch) > 0:
		return s.batch
	case p <= PriorityLookUp && len(s.interactive) > 0:
		return s.interactive
	}
	return s.Members
}

// notPreferred reports whether requests of a priority should use other candidates first.
func (s *CandidateSet) notPreferred(c *Candidate, p Priority) bool {
	switch {
	case p >= PriorityBatch:
		return s.isInteractive[c] && len(s.batch) > 0
	case p <= PriorityLookUp:
		return !s.isInteractive[c] && len(s.interactive) > 0
	}
	return false
}

// estimateWork estimates the work ahead of the first token of a request at c.
func (s *CandidateSet) estimateWork(c *Candidate, req *PickRequest, now monotime) float64 {
	holders, depth := s.index.find(req.Prefix)
	return c.estimateWork(req, holders.cachedTokens(c, depth), now)
}

// Chooser selects one usable candidate of a set, or nil if there is none.
type Chooser interface {
	Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate
}

// MonoTime is monotime under an exported name, for implementations of Chooser outside this package.
type MonoTime = monotime

// choose falls back to ejected upstreams, and then to those the request asks to avoid, so that
// health checks never leave a request without an upstream. A leaving upstream is never chosen.
func (s *CandidateSet) choose(chooser Chooser, req *PickRequest, now monotime) *Candidate {
	if c := chooser.Choose(s, req, now); c != nil {
		return c
	}
	var last *Candidate
	for _, c := range s.Members {
		if c.leaving.Load() {
			continue
		}
		if !avoided(c.Upstream, req.Avoid) {
			return c
		}
		last = c
	}
	return last
}

// eligible reports whether a candidate may be chosen for a request.
func (s *CandidateSet) eligible(c *Candidate, req *PickRequest, now monotime) bool {
	return c.usable(now) && !avoided(c.Upstream, req.Avoid)
}

// random returns a random eligible candidate, preferably one of those preferred for the
// priority. It returns nil if no candidate is eligible.
func (s *CandidateSet) random(rng *lockedRand, req *PickRequest, now monotime) *Candidate {
	if c := s.drawEligible(s.preferred(req.Priority), rng, req, now); c != nil {
		return c
	}
	return s.drawEligible(s.Members, rng, req, now)
}

// secondChoice draws the candidate to compare with first. Urgent requests draw from all
// members if first is nearly full; steady requests draw from the interactive members if first
// is not one of them.
func (s *CandidateSet) secondChoice(first *Candidate, rng *lockedRand, req *PickRequest, now monotime) *Candidate {
	switch {
	case req.Priority <= PriorityLookUp && first.load(now) >= nearlyFullShare*float64(first.Slots()):
		return s.drawEligible(s.Members, rng, req, now)
	case req.Priority == PrioritySteady && !s.isInteractive[first]:
		if c := s.drawEligible(s.interactive, rng, req, now); c != nil {
			return c
		}
	}
	return s.random(rng, req, now)
}

func (s *CandidateSet) drawEligible(members []*Candidate, rng *lockedRand, req *PickRequest, now monotime) *Candidate {
	if len(members) == 0 {
		return nil
	}
	at := 0
	for range randomTries {
		at = rng.intN(len(members))
		if c := members[at]; s.eligible(c, req, now) {
			return c
		}
	}
	for i := range members {
		if c := members[(at+i)%len(members)]; s.eligible(c, req, now) {
			return c
		}
	}
	return nil
}

// capacity returns the total slots of the members and how many of them other instances use.
func (s *CandidateSet) capacity(now monotime) Capacity {
	total := Capacity{Instances: s.sharedBy}
	for _, c := range s.Members {
		if c.leaving.Load() {
			continue
		}
		total.Slots += c.Slots()
		total.UsedByOthers += int64(c.decayed(c.otherStreams.Load(), now))
	}
	return total
}

// lockedRand is a seeded random source that is safe for concurrent use.
type lockedRand struct {
	mu     sync.Mutex
	random *rand.Rand
}

func newLockedRand(seed uint64) *lockedRand {
	return &lockedRand{random: rand.New(rand.NewPCG(seed, seed))}
}

func (r *lockedRand) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.random.IntN(n)
}

// Random chooses any eligible candidate.
type Random struct {
	source *lockedRand
}

// NewRandom returns a chooser with a seeded random source.
func NewRandom(seed uint64) *Random {
	return &Random{source: newLockedRand(seed)}
}

// Choose implements Chooser.
func (r *Random) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	return set.random(r.source, req, now)
}

// LeastInFlight chooses the candidate with the fewest requests of this instance.
type LeastInFlight struct{}

// Choose implements Chooser.
func (LeastInFlight) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	var best *Candidate
	for _, c := range set.Members {
		if !set.eligible(c, req, now) {
			continue
		}
		if best == nil || c.inFlight.Load() < best.inFlight.Load() {
			best = c
		}
	}
	return best
}

// LastReport chooses the candidate with the fewest streams in its last report.
type LastReport struct{}

// Choose implements Chooser.
func (LastReport) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	var best *Candidate
	for _, c := range set.Members {
		if !set.eligible(c, req, now) {
			continue
		}
		if best == nil || c.reportedStreams.Load() < best.reportedStreams.Load() {
			best = c
		}
	}
	return best
}

// TwoChoices compares two random candidates and the candidates that cache the longest known
// prefix of the prompt, and chooses the one with the shortest estimated time to first token.
type TwoChoices struct {
	source *lockedRand
}

// NewTwoChoices returns a chooser with a seeded random source.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{source: newLockedRand(seed)}
}

// Choose implements Chooser.
func (t *TwoChoices) Choose(set *CandidateSet, req *PickRequest, now MonoTime) *Candidate {
	best := set.random(t.source, req, now)
	if best == nil {
		return nil
	}
	holders, depth := set.index.find(req.Prefix)
	score := t.score(best, req, holders.cachedTokens(best, depth), now)
	other := set.secondChoice(best, t.source, req, now)
	if s := t.score(other, req, holders.cachedTokens(other, depth), now); s < score {
		best, score = other, s
	}
	for _, c := range holders.list[:holders.n] {
		if !set.eligible(c, req, now) || set.notPreferred(c, req.Priority) {
			continue
		}
		if s := t.score(c, req, depth*blockTokens, now); s < score {
			best, score = c, s
		}
	}
	return best
}

// score estimates the relative time to first token.
func (t *TwoChoices) score(c *Candidate, req *PickRequest, cached int64, now monotime) float64 {
	return c.estimateWork(req, cached, now) * c.speed.slowness() / c.slowStartFactor(now)
}
