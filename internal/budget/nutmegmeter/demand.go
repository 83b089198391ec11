package nutmegmeter

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// demandTimeConstant is the time constant of the exponential decay: after this
// time, a request counts for 1/e of its tokens.
const demandTimeConstant = 6 * time.Second

// demand estimates the token demand of urgent requests for each workspace.
// Callers pass the current time.
type demand struct {
	mu   sync.Mutex
	sums map[nutmegid.Workspace]*decayingSum
}

// decayingSum is a token count that decays exponentially.
type decayingSum struct {
	tokens float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{sums: make(map[nutmegid.Workspace]*decayingSum)}
}

// record adds a request for n tokens.
func (d *demand) record(w nutmegid.Workspace, n nutmegid.Tokens, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.sums[w]
	if !ok {
		s = &decayingSum{}
		d.sums[w] = s
	}
	s.tokens = s.decayed(now) + float64(n)
	s.at = now
}

// forecast returns the tokens that requests are expected to ask for within span
// at the recent rate.
func (d *demand) forecast(w nutmegid.Workspace, span time.Duration, now time.Time) nutmegid.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	s, ok := d.sums[w]
	if !ok {
		return 0
	}
	return nutmegid.Tokens(s.decayed(now) * float64(span) / float64(demandTimeConstant))
}

func (s *decayingSum) decayed(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	return s.tokens * math.Exp(-float64(age)/float64(demandTimeConstant))
}
