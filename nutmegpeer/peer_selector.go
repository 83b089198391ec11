package nutmegpeer

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// peerSelector selects the addresses that the rounds contact: all members in turn,
// reshuffled for each cycle, and at intervals a seed, which reconnects parts of
// the fleet that no longer know each other.
type peerSelector struct {
	mu     sync.Mutex
	seeds  []string
	queue  []string // members not yet contacted in this cycle
	rounds int
	// nextFullRound is the next round that asks for all members.
	nextFullRound int
}

func (s *peerSelector) setSeeds(seeds []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.seeds = slices.Clone(seeds)
}

// selectAddresses returns up to n addresses for the next round, and whether the
// first one is to be asked for all members. Leaving and dead members are skipped,
// except for seeds if there is no other address.
func (s *peerSelector) selectAddresses(n int, members []Member, self string) ([]string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	candidates := s.candidates(members, self)
	var selected []string
	s.rounds++
	switch {
	case len(candidates) == 0:
		selected = s.randomSeeds(n, self)
	case s.rounds%seedRoundInterval == 0:
		selected = s.randomSeeds(1, self)
	}
	for range 2 {
		for len(s.queue) > 0 && len(selected) < n {
			next := s.queue[0]
			s.queue = s.queue[1:]
			if candidates[next] && !slices.Contains(selected, next) {
				selected = append(selected, next)
			}
		}
		if len(selected) >= n || len(s.queue) > 0 {
			break
		}
		s.queue = shuffled(candidates)
	}
	full := s.rounds >= s.nextFullRound
	if full && len(selected) > 0 {
		s.nextFullRound = fullRoundGrowth * max(1, s.rounds)
	}
	return selected, full
}

// randomAddresses returns up to n random addresses without advancing the cycle.
// Leaving and dead members are skipped, except for seeds if there is no other
// address.
func (s *peerSelector) randomAddresses(n int, members []Member, self string) []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	addresses := shuffled(s.candidates(members, self))
	if len(addresses) == 0 {
		return s.randomSeeds(n, self)
	}
	return addresses[:min(n, len(addresses))]
}

// candidates returns the addresses of the members other than self that are alive or
// suspected, and the seeds whose state is not known. A new instance knows few
// members, often the same ones as other new instances. The caller holds mu.
func (s *peerSelector) candidates(members []Member, self string) map[string]bool {
	candidates := make(map[string]bool, len(members))
	for _, seed := range s.seeds {
		candidates[seed] = true
	}
	for _, m := range members {
		if m.State != StateAlive && m.State != StateSuspect {
			delete(candidates, m.Address)
		}
	}
	for _, m := range members {
		if m.State == StateAlive || m.State == StateSuspect {
			candidates[m.Address] = true
		}
	}
	delete(candidates, self)
	return candidates
}

// randomSeeds returns up to n random seeds other than self. The caller holds mu.
func (s *peerSelector) randomSeeds(n int, self string) []string {
	seeds := slices.DeleteFunc(slices.Clone(s.seeds), func(seed string) bool { return seed == self })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(n, len(seeds))]
}

// shuffled returns the addresses in random order.
func shuffled(candidates map[string]bool) []string {
	addresses := make([]string, 0, len(candidates))
	for address := range candidates {
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
