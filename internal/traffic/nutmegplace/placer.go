// Package nutmegplace selects the upstream of a service for each request. It
// weighs queued work, prompt prefixes that engines have cached, and health as
// seen in the results of earlier requests. It has no clock, network access or
// goroutines; callers pass the monotonic time since an arbitrary start.
//
// # Usage
//
//	placer := nutmegplace.New(nutmegplace.Config{FailureDomain: "ipoh", Seed: 1})
//	placer.SetUpstreams(view.Upstreams())
//	placement, refusal := placer.Pick(nutmegplace.PickInfo{Service: "drafter", Prompt: prompt}, now)
//	placer.RecordEvent(placement, now)
//	placer.Done(placement, nutmegplace.ResultAnswered, now)
package nutmegplace

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegrendezvous"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegwarmup"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Config configures a Placer.
type Config struct {
	FailureDomain nutmegid.FailureDomain // of this instance
	Seed          uint64                 // of the random number generator
	Locations     Locations              // all are open when nil
	Warmup        Warmup                 // no upstream is spared when nil
}

// Warmup says which upstreams have to be spared after their start.
type Warmup interface {
	State(u nutmegview.Upstream, now time.Duration) nutmegwarmup.State
}

// noWarmup spares no upstream.
type noWarmup struct{}

// State implements Warmup.
func (noWarmup) State(nutmegview.Upstream, time.Duration) nutmegwarmup.State {
	return nutmegwarmup.State{Share: 1}
}

// PickInfo holds the properties of a request that decide its placement.
type PickInfo struct {
	Service nutmegview.Service
	Prompt  nutmegcall.Prompt   // zero for services that are not inference engines
	Exclude []nutmegid.Upstream // upstreams not to pick
	Regions nutmegview.RegionLimit
	// Version is the only software version that can go on with a stream; nil for a
	// request that begins anew.
	Version *nutmegview.SoftwareVersion
	// AvoidCold asks for an upstream that is not cold, if there is one: a cold one has
	// just denied the request.
	AvoidCold bool
}

// Placement assigns one request to an upstream. Pass it to Done when the request
// has ended.
type Placement struct {
	Upstream nutmegview.Upstream

	candidate *candidate
	tokens    int64 // counted in the candidate's pending tokens until started
	started   bool  // the first event has arrived or the request has ended
	ended     bool
}

// Placer selects upstreams. It is safe for concurrent use.
type Placer struct {
	cfg Config

	mu        sync.Mutex
	random    *rand.Rand
	byID      map[nutmegid.Upstream]*candidate
	byService map[nutmegview.Service][]*candidate // without leaving upstreams
	engines   map[nutmegview.Service]bool
	prefixes  prefixLocations
}

// New returns a Placer without upstreams.
func New(cfg Config) *Placer {
	if cfg.Locations == nil {
		cfg.Locations = anywhere{}
	}
	if cfg.Warmup == nil {
		cfg.Warmup = noWarmup{}
	}
	return &Placer{
		cfg:       cfg,
		random:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		byID:      make(map[nutmegid.Upstream]*candidate),
		byService: make(map[nutmegview.Service][]*candidate),
		engines:   make(map[nutmegview.Service]bool),
		prefixes:  prefixLocations{locations: make(map[string]location)},
	}
}

// SetConfig updates which services are inference engines.
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

// SetUpstreams replaces the upstreams. Load and health are kept for processes
// that remain. Leaving upstreams are not picked for new requests.
func (p *Placer) SetUpstreams(set *nutmegview.Upstreams) {
	p.mu.Lock()
	defer p.mu.Unlock()
	byID := make(map[nutmegid.Upstream]*candidate, len(set.ByID))
	byService := make(map[nutmegview.Service][]*candidate)
	for id, u := range set.ByID {
		c, ok := p.byID[id]
		if !ok || !c.sameProcess(u) {
			c = &candidate{Upstream: u, engine: p.engines[u.Service]}
			p.prefixes.forget(id)
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

// Pick selects an upstream for a request. A refusal means that no upstream can
// take the request, which has then not been sent.
func (p *Placer) Pick(info PickInfo, now time.Duration) (*Placement, *nutmegcall.Refusal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	usable, heldUntil, spared := p.usable(info, true, now)
	best, cached := p.pickAmong(info, usable, now)
	if best == nil && spared {
		usable, heldUntil, _ = p.usable(info, false, now)
		best, cached = p.pickAmong(info, usable, now)
	}
	if best == nil {
		return nil, p.refuse(info, len(usable), heldUntil, now)
	}
	pl := &Placement{Upstream: best.Upstream, candidate: best, tokens: p.uncachedTokens(info, cached)}
	best.startRequest(pl.tokens, now)
	if id, _, ok := info.Prompt.SharedPrefix(); ok {
		p.prefixes.record(id, best.ID, now)
	}
	return pl, nil
}

// pickAmong returns the best of some upstreams, and whether it is expected to have the
// shared prefix cached. It returns nil if all are full.
func (p *Placer) pickAmong(info PickInfo, usable []*candidate, now time.Duration) (*candidate, bool) {
	switch {
	case len(usable) == 0:
		return nil, false
	case p.engines[info.Service]:
		return p.pickEngine(info, usable, now)
	}
	return p.leastLoaded(usable, serviceQueueShare, now), false
}

// refuse returns the refusal of a request for which there is no upstream.
func (p *Placer) refuse(info PickInfo, usable int, heldUntil, now time.Duration) *nutmegcall.Refusal {
	switch {
	case usable > 0:
		return &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonOverloaded, RetryAfter: overloadedRetryAfter,
			Detail: "all upstreams of service " + string(info.Service) + " are full",
		}
	case heldUntil > 0:
		return &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonRateLimited, RetryAfter: p.spread(heldUntil - now),
			Detail: "all usable upstreams of service " + string(info.Service) + " have had as many requests as they take",
		}
	}
	if refusal := p.closed(info); refusal != nil {
		return refusal
	}
	detail := "no upstream of service " + string(info.Service) + " takes work"
	if info.Version != nil {
		detail = fmt.Sprintf("no upstream of service %s with software version %q takes work", info.Service, *info.Version)
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonNoUpstream, RetryAfter: noUpstreamRetryAfter, Detail: detail}
}

// fits reports whether an upstream can take a request at all, as far as its entry tells.
func (i PickInfo) fits(u nutmegview.Upstream) bool {
	return !slices.Contains(i.Exclude, u.ID) && (i.Version == nil || *i.Version == u.Version)
}

// spread extends a wait by up to its own length, but not by long, so that callers do
// not all return at once.
func (p *Placer) spread(wait time.Duration) time.Duration {
	wait = max(wait, minHeldRetryAfter)
	return wait + time.Duration(p.random.Int64N(int64(min(wait, maxHeldSpread))))
}

// usable returns the candidates that share the best available state. Without those
// that are held, heldUntil is the time at which the first hold ends; zero if there
// is none. Upstreams are spared only if spare is set, and spared says whether one was.
func (p *Placer) usable(info PickInfo, spare bool, now time.Duration) (found []*candidate, heldUntil time.Duration, spared bool) {
	best := stateAvoided
	for _, c := range p.byService[info.Service] {
		if c.saidLeaving || !info.fits(c.Upstream) || !p.Admits(c.Upstream, info) {
			continue
		}
		if now < c.heldUntil {
			if heldUntil == 0 || c.heldUntil < heldUntil {
				heldUntil = c.heldUntil
			}
			continue
		}
		state := c.state(now)
		if state == stateHealthy && spare && p.mustSpare(c, info, now) {
			state = stateSpared
			spared = true
		}
		if state < best {
			best = state
			found = found[:0]
		}
		if state == best {
			found = append(found, c)
		}
	}
	return found, heldUntil, spared
}

// mustSpare decides whether a request goes to other upstreams, if there are any: one
// that was cold gets a rising share of the requests, so that not all go where nothing
// else is running.
func (p *Placer) mustSpare(c *candidate, info PickInfo, now time.Duration) bool {
	state := p.cfg.Warmup.State(c.Upstream, now)
	if state.Cold {
		return info.AvoidCold
	}
	return state.Share < 1 && p.random.Float64() >= state.Share
}

// uncachedTokens returns the number of prompt tokens that the engine has to
// process, given whether it has the shared prefix cached.
func (p *Placer) uncachedTokens(info PickInfo, cached bool) int64 {
	_, shared, ok := info.Prompt.SharedPrefix()
	if ok && cached {
		return max(info.Prompt.Tokens-shared, 0)
	}
	return info.Prompt.Tokens
}

// pickEngine returns the engine with the lowest score among those that may have
// the shared prefix cached and a few random ones, and whether it is expected to
// have the prefix. If all of these are full it falls back to the least loaded
// engine; it returns nil if every engine is full.
func (p *Placer) pickEngine(info PickInfo, usable []*candidate, now time.Duration) (*candidate, bool) {
	id, shared, hasShared := info.Prompt.SharedPrefix()
	var compared []*candidate
	if hasShared {
		compared = nutmegrendezvous.Rank(id, usable, (*candidate).name, preferredEngines)
		if c := p.byID[p.prefixes.find(id, now)]; c != nil && slices.Contains(usable, c) {
			compared = append(compared, c)
		}
	}
	for range randomCandidates {
		compared = append(compared, usable[p.random.IntN(len(usable))])
	}
	var best *candidate
	var bestScore float64
	bestCached := false
	for i, c := range compared {
		if c.isFull(engineQueueShare, now) {
			continue
		}
		cached := hasShared && (i == 0 || p.prefixes.isAt(id, c.ID, now))
		score := p.engineScore(c, info, shared, cached, now)
		if best == nil || score < bestScore {
			best, bestScore, bestCached = c, score, cached
		}
	}
	if best == nil {
		return p.leastLoaded(usable, engineQueueShare, now), false
	}
	return best, bestCached
}

// engineScore estimates the time to first event in milliseconds.
func (p *Placer) engineScore(c *candidate, info PickInfo, shared int64, cached bool, now time.Duration) float64 {
	prefill := float64(info.Prompt.Tokens-shared) / prefillTokensPerMs
	if !cached {
		prefill += cacheMissFactor * float64(shared) / prefillTokensPerMs
	}
	if p.cfg.Warmup.State(c.Upstream, now).Cold {
		prefill += coldDelayMs
	}
	queued := float64(c.pending) / prefillTokensPerMs
	usual := queued + prefill + runningDelayMs*c.load(now) + waitingDelayMs*c.waitingRequests*c.reportWeight(now)
	return usual * c.currentSlowdown(now)
}

// leastLoaded returns the upstream with the lowest load per slot, increased for slow,
// cold and remote ones, or nil if all are full.
func (p *Placer) leastLoaded(usable []*candidate, queueShare float64, now time.Duration) *candidate {
	var best *candidate
	var bestScore float64
	first := p.random.IntN(len(usable))
	for i := range usable {
		c := usable[(first+i)%len(usable)]
		if c.isFull(queueShare, now) {
			continue
		}
		load := c.load(now)
		score := load + (load+1)*(c.currentSlowdown(now)-1) // the request itself takes longer, too
		if c.FailureDomain != p.cfg.FailureDomain {
			score += remotePenalty
		}
		if p.cfg.Warmup.State(c.Upstream, now).Cold {
			score += coldLoad
		}
		score /= float64(max(c.Slots, 1))
		if best == nil || score < bestScore {
			best, bestScore = c, score
		}
	}
	return best
}

// RecordEvent records that the upstream sent a part of the response, so the
// prompt no longer counts as pending.
func (p *Placer) RecordEvent(pl *Placement, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.markStarted(pl)
	pl.candidate.recordResponse(now)
}

// markStarted removes the tokens of the prompt from the pending ones.
func (p *Placer) markStarted(pl *Placement) {
	if pl.started {
		return
	}
	pl.started = true
	pl.candidate.pending -= pl.tokens
}

// ReportLoad stores the load that an upstream reported.
func (p *Placer) ReportLoad(pl *Placement, l Load, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.candidate.updateLoad(l, now)
}

// Hold ends the placement of a request that was not sent, because the upstream has
// stated that it takes none now. No request is placed there for the given time.
func (p *Placer) Hold(pl *Placement, wait, now time.Duration) {
	p.Done(pl, ResultNeutral, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.candidate.heldUntil = max(pl.candidate.heldUntil, now+wait)
}

// Leave ends the placement of a request that was not sent, because the upstream takes
// no new requests. None is placed there until another process replaces it.
func (p *Placer) Leave(pl *Placement, now time.Duration) {
	p.Done(pl, ResultNeutral, now)
	p.mu.Lock()
	defer p.mu.Unlock()
	pl.candidate.saidLeaving = true
	p.prefixes.forget(pl.candidate.ID)
}

// Done ends the placement and records the result of the request. Calls after
// the first have no effect.
func (p *Placer) Done(pl *Placement, r Result, now time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if pl.ended {
		return
	}
	pl.ended = true
	p.markStarted(pl)
	pl.candidate.endRequest()
	if r == ResultAnswered {
		pl.candidate.recordResponse(now)
	}
	pl.candidate.recordResult(r, now)
}
