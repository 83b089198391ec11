package nutmegmeter

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	// demandTimeConstant is the time constant of the exponential decay: after this
	// time, a request counts for 1/e of its tokens.
	demandTimeConstant = 6 * time.Second
	// demandLevels is the number of priorities that are told apart; higher ones
	// count as the least urgent of them.
	demandLevels = 10
)

// demand estimates the token demand of each workspace by priority. Requests carry
// the current time.
type demand struct {
	mu   sync.Mutex
	sums map[nutmegid.Workspace]*[demandLevels]decayingSum
}

// decayingSum is a token count that decays exponentially.
type decayingSum struct {
	tokens float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{sums: make(map[nutmegid.Workspace]*[demandLevels]decayingSum)}
}

// record adds a request.
func (d *demand) record(req tokenRequest) {
	d.mu.Lock()
	defer d.mu.Unlock()
	levels, ok := d.sums[req.workspace]
	if !ok {
		levels = new([demandLevels]decayingSum)
		d.sums[req.workspace] = levels
	}
	s := &levels[level(req.priority)]
	s.tokens = s.decayed(req.at) + float64(req.tokens)
	s.at = req.at
}

// moreUrgent returns the tokens that more urgent requests of the workspace are
// expected to ask for within span at the recent rate.
func (d *demand) moreUrgent(req tokenRequest, span time.Duration) nutmegid.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	levels, ok := d.sums[req.workspace]
	if !ok {
		return 0
	}
	var recent float64
	for i := range level(req.priority) {
		recent += levels[i].decayed(req.at)
	}
	return nutmegid.Tokens(recent * float64(span) / float64(demandTimeConstant))
}

func level(priority int) int {
	return min(max(priority, 0), demandLevels-1)
}

func (s *decayingSum) decayed(now time.Time) float64 {
	age := max(now.Sub(s.at), 0)
	return s.tokens * math.Exp(-float64(age)/float64(demandTimeConstant))
}
