// Package nutmegroute sends requests to upstreams: it admits them by priority
// and workspace, chooses among the upstreams of a model or route, streams
// answers whole, and says of every failure whether the request may have run.
//
// # Usage
//
//	pool := nutmegroute.NewPool(nutmegroute.PoolConfig{Chooser: nutmegroute.NewTwoChoices(seed)})
//	pool.Set(targets)
//	pick, err := pool.Pick(ctx, nutmegroute.Ask{Model: "drafter", Workspace: "rack", Priority: nutmegroute.PriorityCheck})
//	// send to pick.Upstream at pick.URL; pick.FirstToken() when the answer begins
//	pick.Done(err)
//
// A Sender does this for whole requests:
//
//	sender := nutmegroute.NewSender(nutmegroute.SenderConfig{Pool: pool})
//	use, err := sender.Chat(ctx, chat, sink)
//
// Errors are of type *Error. RanNo is only given where nothing can have
// reached an upstream, or the upstream itself refused the request.
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

// Priority orders waiting requests; lower values go first.
type Priority int

// The priorities, the most urgent first.
const (
	PriorityCheck Priority = iota
	PriorityLookUp
	PrioritySteady
	PriorityBatch

	priorities = 4
)

// Target is one upstream that a pool may choose.
type Target struct {
	Upstream nutmegid.Upstream
	URL      string
	Models   []nutmegid.Model
	Routes   []nutmegid.Route
}

// Ask is what a request needs of an upstream.
type Ask struct {
	Model        nutmegid.Model
	Route        nutmegid.Route // used where Model is empty
	Workspace    nutmegid.Workspace
	Priority     Priority
	PromptTokens int64    // estimate; 0 for plain services
	Tokens       int64    // bound of prompt and answer: the request's weight in fairness
	Prefix       []uint64 // of PrefixBlocks; nil without a prompt
	Avoid        []nutmegid.Upstream
}

func (a *Ask) lane() laneKey {
	if a.Model != "" {
		return laneKey{model: a.Model}
	}
	return laneKey{route: a.Route}
}

// PoolConfig configures a pool.
type PoolConfig struct {
	Chooser  Chooser
	Queue    QueueConfig
	Health   HealthConfig
	Instance nutmegid.Instance // for subsets; all upstreams are used where it is empty
	OnLeave  func(LeavingNote) // told of each upstream that begins to leave; must not block
	Subset   int               // upstreams of one model or route at an instance; DefaultSubset when zero
}

type laneKey struct {
	model nutmegid.Model
	route nutmegid.Route
}

// lane holds the upstreams of one model or route and the queue before them.
type lane struct {
	queue *Queue
	set   *Set
}

// Pool holds the upstreams that take new work.
type Pool struct {
	cfg     PoolConfig
	start   time.Time
	leaving *Leaving

	mu      sync.RWMutex
	all     map[nutmegid.Upstream]*Candidate
	lanes   map[laneKey]*lane
	retired map[nutmegid.Upstream]retired
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
		leaving: NewLeaving(),
		all:     make(map[nutmegid.Upstream]*Candidate),
		lanes:   make(map[laneKey]*lane),
		retired: make(map[nutmegid.Upstream]retired),
	}
}

// now is the monotonic time since the pool's start.
func (p *Pool) now() moment {
	return moment(time.Since(p.start))
}

// Set replaces the targets. What is known of targets that stay is kept.
func (p *Pool) Set(targets []Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.targets = slices.SortedFunc(slices.Values(targets), func(a, b Target) int { return cmp.Compare(a.Upstream, b.Upstream) })
	p.rebuild()
}

// SetInstances tells the pool the instances of the fleet, among which the
// upstreams of each model and route are divided.
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

// rebuild makes the candidates and lanes of the present targets.
func (p *Pool) rebuild() {
	first := len(p.all) == 0
	all := make(map[nutmegid.Upstream]*Candidate, len(p.targets))
	members := make(map[laneKey][]*Candidate)
	for _, t := range p.targets {
		c := p.candidate(t, first)
		all[t.Upstream] = c
		for _, m := range t.Models {
			members[laneKey{model: m}] = append(members[laneKey{model: m}], c)
		}
		for _, r := range t.Routes {
			members[laneKey{route: r}] = append(members[laneKey{route: r}], c)
		}
	}
	lanes := make(map[laneKey]*lane, len(members))
	for key, candidates := range members {
		lanes[key] = p.lane(key, candidates)
	}
	old := p.all
	p.all = all
	p.lanes = lanes
	p.retire(old)
	p.applyLeaving()
}

// retire marks the candidates that are targets no more.
func (p *Pool) retire(old map[nutmegid.Upstream]*Candidate) {
	for u, c := range old {
		if p.all[u] == c {
			continue
		}
		c.leaving.Store(true)
		p.retired[u] = retired{url: c.URL, at: p.now()}
		for _, l := range p.lanes {
			l.set.index.forget(c)
		}
	}
	for u, r := range p.retired {
		if p.all[u] != nil || p.now()-r.at > moment(retiredKept) {
			delete(p.retired, u)
		}
	}
}

// retired is an upstream that is no target any more; its streams may still run.
type retired struct {
	url string
	at  moment
}

// candidate keeps what is known of a target; a new one starts slowly unless
// the whole pool is new.
func (p *Pool) candidate(t Target, first bool) *Candidate {
	c, ok := p.all[t.Upstream]
	if ok && c.URL == t.URL {
		return c
	}
	c = &Candidate{Target: t}
	if !first {
		c.warmFrom.Store(int64(p.now()))
	}
	return c
}

func (p *Pool) lane(key laneKey, candidates []*Candidate) *lane {
	mine, owners := p.fleet.subset(p.cfg.Instance, candidates, p.cfg.Subset)
	old, ok := p.lanes[key]
	if !ok {
		set := newSet(mine, candidates, newPrefixIndex(), &ratio{})
		set.owners = owners
		return &lane{set: set, queue: NewQueue(p.cfg.Queue, set.capacity(p.now()))}
	}
	set := newSet(mine, candidates, old.set.index, old.set.speed)
	set.owners = owners
	return &lane{set: set, queue: old.queue}
}

// Models returns the models that have an upstream.
func (p *Pool) Models() []nutmegid.Model {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var models []nutmegid.Model
	for key := range p.lanes {
		if key.model != "" {
			models = append(models, key.model)
		}
	}
	slices.Sort(models)
	return models
}

// URL returns where an upstream is reached, also one that takes no new work.
func (p *Pool) URL(u nutmegid.Upstream) (string, bool) {
	p.mu.RLock()
	defer p.mu.RUnlock()
	if c, ok := p.all[u]; ok {
		return c.URL, true
	}
	r, ok := p.retired[u]
	return r.url, ok
}

// Pick is one upstream chosen for one attempt of a request. Done must be called.
type Pick struct {
	Upstream nutmegid.Upstream
	URL      string

	pool      *Pool
	lane      *lane
	candidate *Candidate
	ask       Ask
	sentAt    moment
	work      float64 // estimated before the first token
	started   atomic.Bool
	done      atomic.Bool
}

// Pick waits for its turn and chooses an upstream. The error is an *Error that
// says RanNo.
func (p *Pool) Pick(ctx context.Context, ask Ask) (*Pick, error) {
	k := &Pick{pool: p, ask: ask}
	p.mu.RLock()
	l := p.lanes[ask.lane()]
	p.mu.RUnlock()
	if l == nil || len(l.set.Members) == 0 {
		return nil, noUpstream(&ask)
	}
	if err := l.queue.Enter(ctx, ask.Priority, ask.Workspace, ask.Tokens); err != nil {
		return nil, err
	}
	if err := k.choose(); err != nil {
		l.queue.Leave(ask.Priority)
		return nil, err
	}
	return k, nil
}

// choose takes the lane as it is now: it may have changed during the wait.
func (k *Pick) choose() error {
	p := k.pool
	p.mu.RLock()
	defer p.mu.RUnlock()
	k.lane = p.lanes[k.ask.lane()]
	if k.lane == nil {
		return noUpstream(&k.ask)
	}
	now := p.now()
	c := k.lane.set.choose(p.cfg.Chooser, &k.ask, now)
	if c == nil {
		return noUpstream(&k.ask)
	}
	k.candidate = c
	k.Upstream = c.Upstream
	k.URL = c.URL
	k.sentAt = now
	k.work = k.lane.set.work(c, &k.ask, now)
	c.begin(k.ask.PromptTokens, now)
	k.lane.set.index.use(k.ask.Prefix, c)
	return nil
}

// FirstToken notes that the answer has begun.
func (k *Pick) FirstToken() {
	if !k.started.CompareAndSwap(false, true) {
		return
	}
	k.candidate.answered(k.ask.PromptTokens)
	k.candidate.speed.note(k.lane.set.speed, time.Duration(k.pool.now()-k.sentAt), k.work)
}

// Done gives the place free and notes how the attempt ended: err is nil after
// a whole answer, else what the attempt failed of.
func (k *Pick) Done(err error) {
	if !k.done.CompareAndSwap(false, true) {
		return
	}
	if k.started.CompareAndSwap(false, true) {
		k.candidate.answered(k.ask.PromptTokens)
	}
	k.candidate.end()
	k.lane.queue.Leave(k.ask.Priority)
	k.pool.judge(k.candidate, k.lane.set, err)
}

func noUpstream(ask *Ask) error {
	name := fmt.Sprintf("model %q", ask.Model)
	if ask.Model == "" {
		name = fmt.Sprintf("route %q", ask.Route)
	}
	return &Error{Kind: KindNoUpstream, Ran: RanNo, Remedy: "no upstream serves " + name + "; try again later"}
}
