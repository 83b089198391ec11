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
	Name          string
	TokenTime     time.Duration // DefaultTokenTime when zero
	BatchTime     time.Duration
	PrefillTime   time.Duration
	StepTokens    int64         // maximum prompt tokens computed per step; DefaultStepTokens when zero
	MaxBatch      int           // maximum streams that run at once; DefaultMaxBatch when zero
	MaxQueue      int           // maximum waiting streams; DefaultMaxQueue when zero
	CacheBlocks   int           // capacity of the prefix cache in blocks; DefaultCacheBlocks when zero
	ReportLag     time.Duration // how far load reports lag behind the current state
	EventLag      time.Duration // delay before a cache event is published
	EventDropRate float64       // fraction of cache events that are never published
	RestartTime   time.Duration // downtime after a crash; DefaultRestartTime when zero
	Fencing       bool          // reject orders with a stale fencing token
	Weights       *WeightStore  // store that models are loaded from; loads take no time when nil
	Models        []string      // models loaded at startup
	ImportTime    time.Duration // time to import one token of KV cache
	Seed          uint64        // seed of the random choice of unpublished cache events
	OrderDelay    time.Duration // delay between accepting an order and applying it
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

// EngineFaults are the injectable faults of an engine.
type EngineFaults struct {
	CrashOn string `json:"crash_on"` // a request whose body contains this text crashes the engine
	Silent  bool   `json:"silent"`   // open streams send no more data
	Refuse  bool   `json:"refuse"`   // reject new requests as not executed
	Leaving bool   `json:"leaving"`  // report in load reports that the engine is leaving
}

// EngineRun records what an engine did for one request.
type EngineRun struct {
	Stream       string    `json:"stream"`
	Request      string    `json:"request"`
	Workspace    string    `json:"workspace"`
	Priority     int       `json:"priority"`
	PromptTokens int64     `json:"prompt_tokens"`
	CachedTokens int64     `json:"cached_tokens"` // prompt tokens served from the prefix cache
	AnswerTokens int64     `json:"answer_tokens"`
	Ended        bool      `json:"ended"`
	Cancelled    bool      `json:"cancelled"`
	Crashed      bool      `json:"crashed"`
	StartedAt    time.Time `json:"started_at"`
	FirstTokenAt time.Time `json:"first_token_at"`
	EndedAt      time.Time `json:"ended_at"`
}

// Engine simulates a model engine with continuous batching.
type Engine struct {
	cfg        EngineConfig
	ctx        context.Context // canceled by Close
	cancelLoop context.CancelFunc
	done       chan struct{}
	wake       chan struct{} // capacity 1; signals that there may be work

	mu            sync.Mutex
	random        *rand.Rand
	faults        EngineFaults
	streams       map[string]*stream
	arrivals      []*stream // all accepted streams in order of arrival
	running       []*stream
	waiting       []*stream
	crashes       int
	downUntil     time.Time // when the restart after a crash completes
	upSince       time.Time // time of startup or of the end of the latest restart
	silencedConns uint64    // connections numbered up to this one send no more data
	lastConn      uint64
	stepped       chan struct{} // closed and replaced after each step
	cache         *prefixCache
	loads         []loadState
	models        modelState
}

// NewEngine starts an engine that runs until Close.
func NewEngine(cfg EngineConfig) *Engine {
	cfg = cfg.withDefaults()
	ctx, cancel := context.WithCancel(context.Background())
	e := &Engine{
		cfg:        cfg,
		ctx:        ctx,
		cancelLoop: cancel,
		done:       make(chan struct{}),
		wake:       make(chan struct{}, 1),
		random:     rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		streams:    make(map[string]*stream),
		stepped:    make(chan struct{}),
		cache:      newPrefixCache(cfg.CacheBlocks),
		models:     newModelState(cfg.Models),
		upSince:    time.Now(),
	}
	go e.loop()
	return e
}

// Close stops the engine and waits for its loop to return.
func (e *Engine) Close() {
	e.cancelLoop()
	<-e.done
}

// SetFaults replaces the injected faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// SilenceConnections silences all open connections: they stay open but send no
// more data. New connections are not affected.
func (e *Engine) SilenceConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.silencedConns = e.lastConn
}

// Runs returns a record of each request, in order of arrival.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]EngineRun, 0, len(e.arrivals))
	for _, s := range e.arrivals {
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

// restarting reports whether the engine is restarting after a crash.
func (e *Engine) restarting() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return time.Now().Before(e.downUntil)
}

// loop runs steps while there is work. The duration of a step depends on its
// batch.
func (e *Engine) loop() {
	defer close(e.done)
	for {
		stepTime := e.beginStep()
		if stepTime == 0 {
			select {
			case <-e.ctx.Done():
				return
			case <-e.wake:
				continue
			}
		}
		timer := time.NewTimer(stepTime)
		select {
		case <-e.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
			e.finishStep()
		}
	}
}

// wakeLoop tells an idle loop that there may be work.
func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// beginStep admits waiting streams by priority, plans the prompt tokens of the
// next step and returns the duration of the step, or 0 if there is no work.
func (e *Engine) beginStep() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return 0
	}
	budget := e.cfg.StepTokens
	for _, s := range e.running {
		s.planned = min(s.uncomputed, budget)
		budget -= s.planned
	}
	stepTime := e.cfg.TokenTime + time.Duration(len(e.running))*e.cfg.BatchTime
	return stepTime + time.Duration(e.cfg.StepTokens-budget)*e.cfg.PrefillTime
}

// admit moves waiting streams to the batch until it is full. The prompt tokens
// that are in the prefix cache need no computation. The caller holds e.mu.
func (e *Engine) admit() {
	n := min(e.cfg.MaxBatch-len(e.running), len(e.waiting))
	for _, s := range e.waiting[:n] {
		s.run.CachedTokens = min(e.cache.countCached(s.blocks)*blockTokens, s.run.PromptTokens)
		s.uncomputed = s.run.PromptTokens - s.run.CachedTokens
		e.running = append(e.running, s)
	}
	e.waiting = slices.Delete(e.waiting, 0, n)
}

// finishStep completes a step: each stream advances through its prompt, and each
// stream whose prompt is fully computed generates one token.
func (e *Engine) finishStep() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if slices.ContainsFunc(e.running, func(s *stream) bool { return s.triggersCrash }) {
		e.crashAll()
	}
	now := time.Now()
	for _, s := range e.running {
		s.uncomputed -= s.planned
		s.planned = 0
		if s.uncomputed == 0 {
			e.generateToken(s, now)
		}
	}
	e.running = slices.DeleteFunc(e.running, (*stream).ended)
	e.notifyStep()
}

// notifyStep wakes all connections that wait for the next step. The caller holds
// e.mu.
func (e *Engine) notifyStep() {
	close(e.stepped)
	e.stepped = make(chan struct{})
}

func (e *Engine) generateToken(s *stream, now time.Time) {
	if s.run.AnswerTokens == 0 {
		s.run.FirstTokenAt = now
		close(s.firstToken)
		e.storeBlocks(s.blocks, now)
	}
	s.run.AnswerTokens++
	if s.run.AnswerTokens >= s.maxTokens {
		s.run.Ended = true
		s.end(now)
	}
}

// crashAll simulates a crash of the engine process: it ends and forgets every
// stream, clears the prefix cache and stays down for the restart time.
func (e *Engine) crashAll() {
	e.crashes++
	now := time.Now()
	e.downUntil = now.Add(e.cfg.RestartTime)
	e.upSince = e.downUntil
	for _, s := range slices.Concat(e.running, e.waiting) {
		s.run.Crashed = true
		s.end(now)
	}
	e.running = nil
	e.waiting = nil
	e.streams = make(map[string]*stream)
	e.cache = newPrefixCache(e.cfg.CacheBlocks)
}
