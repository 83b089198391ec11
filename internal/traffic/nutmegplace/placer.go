// Package nutmegplace decides where requests go: among the upstreams of a
// service it weighs waiting work, prompt parts that an engine keeps, and health
// as seen by results. It has no clock, network or goroutine: the monotonic time
// since any start is an argument.
//
// # Usage
//
//	placer := nutmegplace.New(nutmegplace.Config{FailureDomain: "ipoh", Seed: 1})
//	placer.SetUpstreams(view.Upstreams())
//	ticket, refusal := placer.Pick(nutmegplace.Ask{Service: "drafter", Prompt: prompt}, now)
//	placer.FirstEvent(ticket, now)
//	placer.Done(ticket, nutmegplace.ResultAnswered, now)
package nutmegplace

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegrendezvous"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Config configures a placer.
type Config struct {
	FailureDomain nutmegid.FailureDomain // of this instance
	Seed          uint64                 // of the random choices
}

// Ask is what a request needs.
type Ask struct {
	Service nutmegview.Service
	Prompt  nutmegcall.Prompt // zero for plain services
	Avoid   []nutmegid.Upstream
}

// Ticket is one request's place at an upstream. Done must be called.
type Ticket struct {
	Upstream nutmegview.Upstream

	candidate *candidate
	tokens    int64 // counted as pending
	started   bool
	ended     bool
}

// Placer chooses upstreams. It may be used concurrently.
type Placer struct {
	cfg Config

	mu        sync.Mutex
	random    *rand.Rand
	byID      map[nutmegid.Upstream]*candidate
	byService map[nutmegview.Service][]*candidate
	engines   map[nutmegview.Service]bool
	kept      keptParts
}

// New returns a placer without upstreams.
func New(cfg Config) *Placer {
	return &Placer{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		byID:      make(map[nutmegid.Upstream]*candidate),
		byService: make(map[nutmegview.Service][]*candidate),
		engines:   make(map[nutmegview.Service]bool),
		kept:      keptParts{places: make(map[string]place)},
	}
}

// SetConfig takes in which services are engines.
func (p *Placer) SetConfig(c *nutmegview.Config) {
	p.mu.Lock()
	defer p.mu.Unlock()
	clear(p.engines)
	for name, s := range c.Services {
		p.engines[name] = s.Engine != nil
	}
	for _, c := range p.byID {
		c.engine = p.engines[c.Service]
	}
}

// SetUpstreams replaces the upstreams. What is known of processes that stay is
// kept; leaving ones take nothing new.
func (p *Placer) SetUpstreams(set *nutmegview.Upstreams) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := make(map[nutmegid.Upstream]*candidate, len(set.ByID))
	byService := make(map[nutmegview.Service][]*candidate)
	for id, u := range set.ByID {
		c, ok := p.byID[id]
		if !ok || !c.sameProcess(u) {
			c = &candidate{Upstream: u, engine: p.engines[u.Service]}
			p.kept.forget(id)
		}
		slots := c.Slots
		c.Upstream = u
		c.Slots = max(slots, u.Slots)
		byID[id] = c
		if !u.Leaving {
			byService[u.Service] = append(byService[u.Service], c)
		}
	}
	for _, list := range byService {
		slices.SortFunc(list, func(a, b *candidate) int { return cmp.Compare(a.ID, b.ID) })
	}
	p.byID = byID
	p.byService = byService
}

// Pick chooses an upstream. The refusal says that nothing was sent.
func (p *Placer) Pick(ask Ask, now time.Duration) (*Ticket, *nutmegcall.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable := p.usable(ask, now)
	if len(usable) == 0 {
		return nil, &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonNoUpstream, RetryAfter: goneRetryAfter,
			Detail: "no upstream of service " + string(ask.Service) + " takes work",
		}
	}
	var best *candidate
	kept := false
	if p.engines[ask.Service] {
		best, kept = p.pickEngine(ask, usable, now)
	} else {
		best = p.leastLoaded(usable, serviceQueueShare, now)
	}
	if best == nil {
		return nil, &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonOverloaded, RetryAfter: fullRetryAfter,
			Detail: "all upstreams of service " + string(ask.Service) + " are full",
		}
	}
	t := &Ticket{Upstream: best.Upstream, candidate: best, tokens: p.unread(ask, kept)}
	best.begin(t.tokens, now)
	if id, _, ok := ask.Prompt.Shared(); ok {
		p.kept.use(id, best.ID, now)
	}
	return t, nil
}

// usable returns the candidates of the best state that there is.
func (p *Placer) usable(ask Ask, now time.Duration) []*candidate {
	var found []*candidate
	best := stateAvoided
	for _, c := range p.byService[ask.Service] {
		if slices.Contains(ask.Avoid, c.ID) {
			continue
		}
		state := c.state(now)
		if state < best {
			best = state
			found = found[:0]
		}
		if state == best {
			found = append(found, c)
		}
	}
	return found
}

// unread is the part of a prompt that the engine has to read.
func (p *Placer) unread(ask Ask, kept bool) int64 {
	_, shared, ok := ask.Prompt.Shared()
	if ok && kept {
		return max(ask.Prompt.Tokens-shared, 0)
	}
	return ask.Prompt.Tokens
}

// pickEngine weighs the engines that a prompt part belongs to and a few at
// random; nil where all are full.
func (p *Placer) pickEngine(ask Ask, usable []*candidate, now time.Duration) (*candidate, bool) {
	id, shared, hasShared := ask.Prompt.Shared()
	var compared []*candidate
	if hasShared {
		compared = nutmegrendezvous.Rank(id, usable, (*candidate).name, homes)
		if c := p.byID[p.kept.find(id, now)]; c != nil && slices.Contains(usable, c) {
			compared = append(compared, c)
		}
	}
	for range randomPicks {
		compared = append(compared, usable[p.random.IntN(len(usable))])
	}
	var best *candidate
	var bestScore float64
	bestKept := false
	for i, c := range compared {
		if c.full(engineQueueShare, now) {
			continue
		}
		kept := hasShared && (i == 0 || p.kept.holds(id, c.ID, now))
		score := p.engineScore(c, ask, shared, kept, now)
		if best == nil || score < bestScore {
			best, bestScore, bestKept = c, score, kept
		}
	}
	if best == nil {
		return p.leastLoaded(usable, engineQueueShare, now), false
	}
	return best, bestKept
}

// engineScore estimates the milliseconds until a request's first event.
func (p *Placer) engineScore(c *candidate, ask Ask, shared int64, kept bool, now time.Duration) float64 {
	own := float64(ask.Prompt.Tokens-shared) / prefillRate
	if !kept {
		own += missWeight * float64(shared) / prefillRate
	}
	ahead := float64(c.pending) / prefillRate
	return ahead + own + streamWeight*c.load(now) + waitWeight*c.waiting*c.freshness(now)
}

// leastLoaded takes the upstream with the least load of all; nil where all are
// full.
func (p *Placer) leastLoaded(usable []*candidate, queueShare float64, now time.Duration) *candidate {
	var best *candidate
	var bestScore float64
	first := p.random.IntN(len(usable))
	for i := range usable {
		c := usable[(first+i)%len(usable)]
		if c.full(queueShare, now) {
			continue
		}
		score := c.load(now)
		if c.FailureDomain != p.cfg.FailureDomain {
			score += remoteExtra
		}
		score /= float64(max(c.Slots, 1))
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// FirstEvent notes that the answer has begun.
func (p *Placer) FirstEvent(t *Ticket, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.start(t)
	t.candidate.heard(now)
}

func (p *Placer) start(t *Ticket) {
	if t.started {
		return
	}
	t.started = true
	t.candidate.pending -= t.tokens
}

// Report takes in an upstream's own count of its requests.
func (p *Placer) Report(t *Ticket, l Load, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	t.candidate.report(l, now)
}

// Done gives the place free and takes in how the request ended. Only the first
// call counts.
func (p *Placer) Done(t *Ticket, r Result, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	p.start(t)
	t.candidate.end()
	if r == ResultAnswered {
		t.candidate.heard(now)
	}
	t.candidate.judge(r, now)
}
