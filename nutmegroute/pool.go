// Package nutmegroute sends requests to upstreams. It admits requests by priority and
// workspace, chooses among the upstreams of a model or route, streams complete answers, and
// reports for every failure whether the request may have run.
//
// # Usage
//
//	pool := nutmegroute.NewPool(nutmegroute.PoolConfig{Chooser: nutmegroute.NewTwoChoices(seed)})
//	pool.SetTargets(targets)
//	pick, err := pool.Pick(ctx, nutmegroute.PickRequest{Model: "drafter", Workspace: "rack", Priority: nutmegroute.PriorityCheck})
//	// send to pick.Upstream at pick.URL; pick.FirstToken() when the answer begins
//	pick.Done(err)
//
// A Sender handles complete requests, including retries and resumed streams:
//
//	sender := nutmegroute.NewSender(nutmegroute.SenderConfig{Pool: pool})
//	usage, err := sender.Chat(ctx, chat, sink)
//
// Errors are of type *Error. RanNo is returned only if no upstream can have received the
// request, or if the upstream itself refused it.
package nutmegroute

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Priority orders queued requests; lower values are served first.
type Priority int

// The priorities, most urgent first.
const (
	PriorityCheck Priority = iota
	PriorityLookUp
	PrioritySteady
	PriorityBatch

	priorities = 4
)

// Target is an upstream that a pool may choose.
type Target struct {
	Upstream nutmegid.Upstream
	URL      string
	Models   []nutmegid.Model
	Routes   []nutmegid.Route
}

// PickRequest describes a request for which an upstream is picked.
type PickRequest struct {
	Model        nutmegid.Model
	Route        nutmegid.Route // used if Model is empty
	Workspace    nutmegid.Workspace
	Priority     Priority
	PromptTokens int64    // estimated; 0 for plain services
	Tokens       int64    // prompt and answer bound, the cost of the request in fair queuing
	Prefix       []uint64 // from PrefixBlocks; nil without a prompt
	Avoid        []nutmegid.Upstream
}

func (r *PickRequest) groupKey() groupKey {
	if r.Model != "" {
		return groupKey{model: r.Model}
	}
	return groupKey{route: r.Route}
}

// PoolConfig configures a pool.
type PoolConfig struct {
	Chooser  Chooser
	Queue    QueueConfig
	Health   HealthConfig
	Instance nutmegid.Instance   // for subsetting; if empty, all upstreams are used
	OnLeave  func(LeavingRecord) // called for each upstream that starts leaving; must not block
	Subset   int                 // upstreams of one model or route per instance; DefaultSubset if zero
}

type groupKey struct {
	model nutmegid.Model
	route nutmegid.Route
}

// targetGroup holds the upstreams of one model or route and their queue.
type targetGroup struct {
	queue *Queue
	set   *CandidateSet
}

// Pool holds the upstreams that accept new requests.
type Pool struct {
	cfg     PoolConfig
	start   time.Time
	leaving *LeavingRecords

	mu      sync.RWMutex
	all     map[nutmegid.Upstream]*Candidate
	groups  map[groupKey]*targetGroup
	retired map[nutmegid.Upstream]retiredTarget
	targets []Target
	fleet   fleet
}

// NewPool returns an empty pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Chooser == nil {
		cfg.Chooser = NewTwoChoices(uint64(time.Now().UnixNano()))
	}
	if cfg.Subset == 0 {
		cfg.Subset = DefaultSubset
	}
	cfg.Health = cfg.Health.withDefaults()
	return &Pool{
		cfg:     cfg,
		start:   time.Now(),
		leaving: NewLeavingRecords(),
		all:     make(map[nutmegid.Upstream]*Candidate),
		groups:  make(map[groupKey]*targetGroup),
		retired: make(map[nutmegid.Upstream]retiredTarget),
	}
}

// now returns the monotonic time since the start of the pool.
func (p *Pool) now() monotime {
	return monotime(time.Since(p.start))
}

// SetTargets replaces the targets. The state of targets that remain is kept.
func (p *Pool) SetTargets(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = slices.SortedFunc(slices.Values(targets), func(a, b Target) int { return cmp.Compare(a.Upstream, b.Upstream) })
	p.rebuild()
}

// SetInstances sets the instances of the fleet, among which the upstreams of each model and
// route are divided.
func (p *Pool) SetInstances(instances []nutmegid.Instance) {
	f := newFleet(instances)
	p.mu.Lock()
	defer p.mu.Unlock()
	if slices.Equal(f.names, p.fleet.names) {
		return
	}
	p.fleet = f
	p.rebuild()
}

// rebuild creates the candidates and target groups for the current targets.
func (p *Pool) rebuild() {
	initial := len(p.all) == 0
	all := make(map[nutmegid.Upstream]*Candidate, len(p.targets))
	members := make(map[groupKey][]*Candidate)
	for _, t := range p.targets {
		c := p.candidate(t, initial)
		all[t.Upstream] = c
		for _, m := range t.Models {
			members[groupKey{model: m}] = append(members[groupKey{model: m}], c)
		}
		for _, r := range t.Routes {
			members[groupKey{route: r}] = append(members[groupKey{route: r}], c)
		}
	}
	groups := make(map[groupKey]*targetGroup, len(members))
	for key, candidates := range members {
		groups[key] = p.buildGroup(key, candidates)
	}
	old := p.all
	p.all = all
	p.groups = groups
	p.retire(old)
	p.applyLeaving()
}

// retire marks the candidates that are no longer targets as leaving.
func (p *Pool) retire(old map[nutmegid.Upstream]*Candidate) {
	for u, c := range old {
		if p.all[u] == c {
			continue
		}
		c.leaving.Store(true)
		p.retired[u] = retiredTarget{url: c.URL, at: p.now()}
		for _, g := range p.groups {
			g.set.index.forget(c)
		}
	}
	for u, r := range p.retired {
		if p.all[u] != nil || p.now()-r.at > monotime(retiredRetention) {
			delete(p.retired, u)
		}
	}
}

// retiredTarget is a former target whose streams may still run.
type retiredTarget struct {
	url string
	at  monotime
}

// candidate returns the existing candidate of a target or creates one. A new candidate goes
// through a slow start unless the whole pool is new.
func (p *Pool) candidate(t Target, initial bool) *Candidate {
	c, ok := p.all[t.Upstream]
	if ok && c.URL == t.URL {
		return c
	}
	c = &Candidate{Target: t}
	if !initial {
		c.slowStartAt.Store(int64(p.now()))
	}
	return c
}

func (p *Pool) buildGroup(key groupKey, candidates []*Candidate) *targetGroup {
	own, sharedBy := p.fleet.subset(p.cfg.Instance, candidates, p.cfg.Subset)
	old, ok := p.groups[key]
	if !ok {
		set := newCandidateSet(own, candidates, newPrefixIndex(), &decayedRatio{})
		set.sharedBy = sharedBy
		return &targetGroup{set: set, queue: NewQueue(p.cfg.Queue, set.capacity(p.now()))}
	}
	set := newCandidateSet(own, candidates, old.set.index, old.set.speed)
	set.sharedBy = sharedBy
	return &targetGroup{set: set, queue: old.queue}
}

// Models returns the models that have an upstream, sorted.
func (p *Pool) Models() []nutmegid.Model {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var models []nutmegid.Model
	for key := range p.groups {
		if key.model != "" {
			models = append(models, key.model)
		}
	}
	slices.Sort(models)
	return models
}

// URL returns the address of an upstream, including one that no longer accepts new requests.
func (p *Pool) URL(u nutmegid.Upstream) (string, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if c, ok := p.all[u]; ok {
		return c.URL, true
	}
	r, ok := p.retired[u]
	return r.url, ok
}

// Pick is an upstream picked for one attempt of a request. Done must be called when the
// attempt ends.
type Pick struct {
	Upstream nutmegid.Upstream
	URL      string

	pool      *Pool
	group     *targetGroup
	candidate *Candidate
	req       PickRequest
	sentAt    monotime
	work      float64 // estimated work ahead of the first token
	started   atomic.Bool
	done      atomic.Bool
}

// Pick waits in the queue and chooses an upstream. Errors are of type *Error with RanNo.
func (p *Pool) Pick(ctx context.Context, req PickRequest) (*Pick, error) {
	pick := &Pick{pool: p, req: req}
	p.mu.RLock()
	g := p.groups[req.groupKey()]
	p.mu.RUnlock()
	if g == nil || len(g.set.Members) == 0 {
		return nil, noUpstreamError(&req)
	}
	if err := g.queue.Acquire(ctx, req.Priority, req.Workspace, req.Tokens); err != nil {
		return nil, err
	}
	if err := pick.choose(); err != nil {
		g.queue.Release(req.Priority)
		return nil, err
	}
	return pick, nil
}

// choose looks up the target group again, because it may have changed while the request was
// queued.
func (pick *Pick) choose() error {
	p := pick.pool
	p.mu.RLock()
	defer p.mu.RUnlock()
	pick.group = p.groups[pick.req.groupKey()]
	if pick.group == nil {
		return noUpstreamError(&pick.req)
	}
	now := p.now()
	c := pick.group.set.choose(p.cfg.Chooser, &pick.req, now)
	if c == nil {
		return noUpstreamError(&pick.req)
	}
	pick.candidate = c
	pick.Upstream = c.Upstream
	pick.URL = c.URL
	pick.sentAt = now
	pick.work = pick.group.set.estimateWork(c, &pick.req, now)
	c.begin(pick.req.PromptTokens, now)
	pick.group.set.index.recordUse(pick.req.Prefix, c)
	return nil
}

// FirstToken records that the first token of the answer has arrived.
func (pick *Pick) FirstToken() {
	if !pick.started.CompareAndSwap(false, true) {
		return
	}
	pick.candidate.firstToken(pick.req.PromptTokens)
	pick.candidate.speed.observe(pick.group.set.speed, time.Duration(pick.pool.now()-pick.sentAt), pick.work)
}

// Done releases the queue slot and records the result of the attempt: err is nil after a
// complete answer, or else the error of the attempt.
func (pick *Pick) Done(err error) {
	if !pick.done.CompareAndSwap(false, true) {
		return
	}
	if pick.started.CompareAndSwap(false, true) {
		pick.candidate.firstToken(pick.req.PromptTokens)
	}
	pick.candidate.end()
	pick.group.queue.Release(pick.req.Priority)
	pick.pool.recordOutcome(pick.candidate, pick.group.set, err)
}

func noUpstreamError(req *PickRequest) error {
	name := fmt.Sprintf("model %q", req.Model)
	if req.Model == "" {
		name = fmt.Sprintf("route %q", req.Route)
	}
	return &Error{Kind: KindNoUpstream, Ran: RanNo, Remedy: "no upstream serves " + name + "; try again later"}
}
