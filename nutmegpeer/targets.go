package nutmegpeer

import (
	"math/rand/v2"
	"slices"
	"sync"
)

// targets chooses whom the next rounds talk to: all members in turn, in an
// order that is drawn anew each time, and now and then a seed, which joins
// parts of the fleet that have lost each other.
type targets struct {
	mu     sync.Mutex
	seeds  []string
	turn   []string
	rounds int
	// nextFull is the round that asks for all members.
	nextFull int
}

func (t *targets) setSeeds(seeds []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.seeds = slices.Clone(seeds)
}

// pick returns up to n addresses, and whether the first should be asked for all
// members. Leaving and dead members are left out.
func (t *targets) pick(n int, members []Member, self string) ([]string, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	known := present(members, self)
	var picked []string
	t.rounds++
	switch {
	case len(known) == 0:
		picked = t.someSeeds(n, self)
	case t.rounds%seedRounds == 0:
		picked = t.someSeeds(1, self)
	}
	for range 2 {
		for len(t.turn) > 0 && len(picked) < n {
			next := t.turn[0]
			t.turn = t.turn[1:]
			if known[next] && !slices.Contains(picked, next) {
				picked = append(picked, next)
			}
		}
		if len(picked) >= n || len(t.turn) > 0 {
			break
		}
		t.turn = shuffled(known)
	}
	full := t.rounds >= t.nextFull
	if full && len(picked) > 0 {
		t.nextFull = fullGrowth * max(1, t.rounds)
	}
	return picked, full
}

// random returns up to n addresses out of turn; seeds where no member is known.
func (t *targets) random(n int, members []Member, self string) []string {
	addresses := shuffled(present(members, self))
	if len(addresses) > 0 {
		return addresses[:min(n, len(addresses))]
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.someSeeds(n, self)
}

// present returns the addresses of members that may answer.
func present(members []Member, self string) map[string]bool {
	known := make(map[string]bool, len(members))
	for _, m := range members {
		if m.State == StateAlive || m.State == StateSuspect {
			known[m.Address] = true
		}
	}
	delete(known, self)
	return known
}

// someSeeds returns up to n random seeds.
func (t *targets) someSeeds(n int, self string) []string {
	seeds := slices.DeleteFunc(slices.Clone(t.seeds), func(s string) bool { return s == self })
	rand.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	return seeds[:min(n, len(seeds))]
}

func shuffled(known map[string]bool) []string {
	addresses := make([]string, 0, len(known))
	for address := range known {
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses
}
