package nutmegstand

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// EngineConfig configures the engine stand-in. A step takes TokenTime, plus
// BatchTime for each running stream, plus PrefillTime for each prompt token
// computed in it.
type EngineConfig struct {
	Name         string
	TokenTime    time.Duration // DefaultTokenTime when zero
	BatchTime    time.Duration
	PrefillTime  time.Duration
	StepTokens   int64         // prompt tokens of one step; DefaultStepTokens when zero
	MaxBatch     int           // streams that run at once; DefaultMaxBatch when zero
	MaxQueue     int           // streams that wait; DefaultMaxQueue when zero
	CacheBlocks  int           // prefix blocks that the cache holds; DefaultCacheBlocks when zero
	ReportLag    time.Duration // age of load reports
	EventLag     time.Duration // age at which cache events are published
	EventGaps    float64       // share of cache events that are never published
	RestartTime  time.Duration // after a crash; DefaultRestartTime when zero
	Fencing      bool          // refuses orders with an old fencing number
	Weights      *Weights      // where models are loaded from; loads take no time when nil
	Models       []string      // loaded at the start
	ImportTime   time.Duration // of each token of imported KV cache
	Seed         uint64        // of the random gaps
	OrdersSettle time.Duration // from an order's answer to its effect
}

// Defaults of the engine stand-in.
const (
	DefaultMaxBatch    = 64
	DefaultMaxQueue    = 256
	DefaultTokenTime   = 2 * time.Millisecond
	DefaultStepTokens  = 2048
	DefaultCacheBlocks = 512
	DefaultRestartTime = 300 * time.Millisecond

	defaultMaxTokens = 16
)

func (cfg EngineConfig) withDefaults() EngineConfig {
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = DefaultMaxBatch
	}
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	if cfg.TokenTime == 0 {
		cfg.TokenTime = DefaultTokenTime
	}
	if cfg.StepTokens == 0 {
		cfg.StepTokens = DefaultStepTokens
	}
	if cfg.CacheBlocks == 0 {
		cfg.CacheBlocks = DefaultCacheBlocks
	}
	if cfg.RestartTime == 0 {
		cfg.RestartTime = DefaultRestartTime
	}
	return cfg
}

// EngineFaults are the faults of an engine that can be switched.
type EngineFaults struct {
	CrashOn string `json:"crash_on"` // requests whose body holds this text end the engine's streams
	Silent  bool   `json:"silent"`   // open streams say nothing more
	Refuse  bool   `json:"refuse"`   // new requests are refused as not run
	Leaving bool   `json:"leaving"`  // load reports say that the engine is leaving
}

// EngineRun is what an engine did for one request.
type EngineRun struct {
	Stream       string    `json:"stream"`
	Request      string    `json:"request"`
	Workspace    string    `json:"workspace"`
	Priority     int       `json:"priority"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"` // of the prompt, found in the cache
	AnswerTokens int64     `json:"answer_tokens"`
	Ended        bool      `json:"ended"`
	Cancelled    bool      `json:"cancelled"`
	Crashed      bool      `json:"crashed"`
	StartedAt    time.Time `json:"started_at"`
	FirstTokenAt time.Time `json:"first_token_at"`
	EndedAt      time.Time `json:"ended_at"`
}

// Engine is a small stand-in of a model engine with continuous batching.
type Engine struct {
	cfg  EngineConfig
	ctx  context.Context // ends at Close
	quit context.CancelFunc
	done chan struct{}
	wake chan struct{} // of size 1: there may be work

	mu      sync.Mutex
	random  *rand.Rand
	faults  EngineFaults
	streams map[string]*stream
	order   []*stream // in order of arrival
	running []*stream
	waiting []*stream
	crashes int
	downTo  time.Time // end of the restart after a crash
	upSince time.Time // start, or end of the latest restart
	hushed  uint64    // connections up to this number say nothing more
	conns   uint64
	stepped chan struct{} // closed at each step
	cache   *prefixCache
	loads   []loadState
	models  modelState
}

// NewEngine returns an engine that steps until Close.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:     cfg,
		ctx:     ctx,
		quit:    cancel,
		done:    make(chan struct{}),
		wake:    make(chan struct{}, 1),
		random:  rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		streams: make(map[string]*stream),
		stepped: make(chan struct{}),
		cache:   newPrefixCache(cfg.CacheBlocks),
		models:  newModelState(cfg.Models),
		upSince: time.Now(),
	}
	go e.loop()
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	e.quit()
	<-e.done
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Hush makes all connections that are open now say nothing more; new ones work.
func (e *Engine) Hush() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.hushed = e.conns
}

// Runs returns what the engine did, in order of arrival.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]EngineRun, 0, len(e.order))
	for _, s := range e.order {
		runs = append(runs, s.run)
	}
	return runs
}

// Crashes returns how often a request has crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// down says whether the engine restarts after a crash.
func (e *Engine) down() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downTo)
}

// loop steps while there is work, each step as long as its batch makes it.
func (e *Engine) loop() {
	defer close(e.done)
	for {
		span := e.begin()
		if span == 0 {
			select {
			case <-e.ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		timer := time.NewTimer(span)
		select {
		case <-e.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			e.finish()
		}
	}
}

func (e *Engine) rouse() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// begin admits waiting streams by priority, plans the prompt tokens of the
// next step and returns how long it takes, 0 without work.
func (e *Engine) begin() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	budget := e.cfg.StepTokens
	for _, s := range e.running {
		s.planned = min(s.prompt, budget)
		budget -= s.planned
	}
	span := e.cfg.TokenTime + time.Duration(len(e.running))*e.cfg.BatchTime
	return span + time.Duration(e.cfg.StepTokens-budget)*e.cfg.PrefillTime
}

func (e *Engine) admit() {
	n := min(e.cfg.MaxBatch-len(e.running), len(e.waiting))
	for _, s := range e.waiting[:n] {
		s.run.CachedTokens = min(e.cache.hit(s.blocks)*blockTokens, s.run.PromptTokens)
		s.prompt = s.run.PromptTokens - s.run.CachedTokens
		e.running = append(e.running, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, n)
}

// finish ends a step: prompts advance, and each stream with a whole prompt has
// one more token.
func (e *Engine) finish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.running, func(s *stream) bool { return s.crash }) {
		e.crashAll()
	}
	now := time.Now()
	for _, s := range e.running {
		s.prompt -= s.planned
		s.planned = 0
		if s.prompt == 0 {
			e.token(s, now)
		}
	}
	e.running = slices.DeleteFunc(e.running, (*stream).ended)
	e.signal()
}

func (e *Engine) signal() {
	close(e.stepped)
	e.stepped = make(chan struct{})
}

func (e *Engine) token(s *stream, now time.Time) {
	if s.run.AnswerTokens == 0 {
		s.run.FirstTokenAt = now
		close(s.first)
		e.store(s.blocks, now)
	}
	s.run.AnswerTokens++
	if s.run.AnswerTokens >= s.max {
		s.run.Ended = true
		s.end(now)
	}
}

// crashAll ends every stream, as a crash of the engine's process does: it
// forgets them and its cache, and is down for its restart time.
func (e *Engine) crashAll() {
	e.crashes++
	now := time.Now()
	e.downTo = now.Add(e.cfg.RestartTime)
	e.upSince = e.downTo
	for _, s := range slices.Concat(e.running, e.waiting) {
		s.run.Crashed = true
		s.end(now)
	}
	e.running = nil
	e.waiting = nil
	e.streams = make(map[string]*stream)
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
}
