// Package nutmegroute sends requests to upstreams: it chooses among the
// upstreams of a model or route, streams answers whole, and says of every
// failure whether the request may have run.
//
// # Usage
//
//	pool := nutmegroute.NewPool(nutmegroute.PoolConfig{Chooser: nutmegroute.NewTwoChoices(seed)})
//	pool.Set(targets)
//	sender := nutmegroute.NewSender(nutmegroute.SenderConfig{Pool: pool})
//	use, err := sender.Chat(ctx, chat, sink)
//
// Errors are of type *Error. RanNo is only given where nothing can have
// reached an upstream, or the upstream itself refused the request.
package nutmegroute

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Target is one upstream that a pool may choose.
type Target struct {
	Upstream nutmegid.Upstream
	URL      string
	Models   []nutmegid.Model
	Routes   []nutmegid.Route
}

// Candidate is a target with its load.
type Candidate struct {
	Target
	inFlight atomic.Int64
}

// InFlight returns the requests that this instance has at the upstream.
func (c *Candidate) InFlight() int64 {
	return c.inFlight.Load()
}

// Chooser picks one of several candidates, of which there is at least one.
type Chooser interface {
	Choose(candidates []*Candidate) *Candidate
}

// TwoChoices picks the less loaded of two random candidates.
type TwoChoices struct {
	mu     sync.Mutex
	random *rand.Rand
}

// NewTwoChoices returns a chooser with a seeded random source.
func NewTwoChoices(seed uint64) *TwoChoices {
	return &TwoChoices{random: rand.New(rand.NewPCG(seed, seed))}
}

// Choose implements Chooser.
func (t *TwoChoices) Choose(candidates []*Candidate) *Candidate {
	t.mu.Lock()
	a := candidates[t.random.IntN(len(candidates))]
	b := candidates[t.random.IntN(len(candidates))]
	t.mu.Unlock()
	if b.InFlight() < a.InFlight() {
		return b
	}
	return a
}

// PoolConfig configures a pool.
type PoolConfig struct {
	Chooser Chooser
}

// Pool holds the upstreams that take new work.
type Pool struct {
	cfg PoolConfig

	mu     sync.RWMutex
	all    map[nutmegid.Upstream]*Candidate
	models map[nutmegid.Model][]*Candidate
	routes map[nutmegid.Route][]*Candidate
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	return &Pool{cfg: cfg, all: make(map[nutmegid.Upstream]*Candidate)}
}

// Set replaces the targets. Load counts of targets that stay are kept.
func (p *Pool) Set(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all := make(map[nutmegid.Upstream]*Candidate, len(targets))
	p.models = make(map[nutmegid.Model][]*Candidate)
	p.routes = make(map[nutmegid.Route][]*Candidate)
	for _, t := range targets {
		c, ok := p.all[t.Upstream]
		if !ok || c.URL != t.URL {
			c = &Candidate{}
		}
		c.Target = t
		all[t.Upstream] = c
		for _, m := range t.Models {
			p.models[m] = append(p.models[m], c)
		}
		for _, r := range t.Routes {
			p.routes[r] = append(p.routes[r], c)
		}
	}
	p.all = all
}

// Models returns the models that have an upstream.
func (p *Pool) Models() []nutmegid.Model {
	p.mu.RLock()
	defer p.mu.RUnlock()
	models := make([]nutmegid.Model, 0, len(p.models))
	for m := range p.models {
		models = append(models, m)
	}
	return models
}

// ForModel chooses an upstream of a model.
func (p *Pool) ForModel(m nutmegid.Model) (*Candidate, bool) {
	p.mu.RLock()
	candidates := p.models[m]
	p.mu.RUnlock()
	return p.choose(candidates)
}

// ForRoute chooses an upstream of a route.
func (p *Pool) ForRoute(r nutmegid.Route) (*Candidate, bool) {
	p.mu.RLock()
	candidates := p.routes[r]
	p.mu.RUnlock()
	return p.choose(candidates)
}

func (p *Pool) choose(candidates []*Candidate) (*Candidate, bool) {
	if len(candidates) == 0 {
		return nil, false
	}
	return p.cfg.Chooser.Choose(candidates), true
}
