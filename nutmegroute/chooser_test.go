package nutmegroute

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// skewedTrace is a workload with few, unevenly popular prompt prefixes and engines of
// different speeds.
type skewedTrace struct {
	seed      uint64
	engines   int
	slow      int // engines at half speed
	instances int
	requests  int
	rate      float64 // requests per second
	prefixes  int
	skew      float64 // Zipf exponent of the prefixes' popularity
}

var choiceTrace = skewedTrace{
	seed: 7, engines: 20, slow: 5, instances: 3, requests: 4000, rate: 100, prefixes: 60, skew: 1.2,
}

// traceRequest is a request of a trace.
type traceRequest struct {
	at       time.Duration
	instance int
	prompt   []byte
	answer   int64
	priority Priority
}

func (s skewedTrace) build() []traceRequest {
	random := rand.New(rand.NewPCG(s.seed, s.seed))
	shared := make([]string, s.prefixes)
	for i := range shared {
		blocks := 4 + random.IntN(9)
		shared[i] = strings.Repeat(fmt.Sprintf("%08d", i), blocks*PrefixBlockBytes/8)
	}
	zipf := rand.NewZipf(random, s.skew, 1, uint64(s.prefixes-1))
	var list []traceRequest
	at := 0.0
	for range s.requests {
		at += random.ExpFloat64() / s.rate
		own := strings.Repeat("z", 100+random.IntN(2000))
		list = append(list, traceRequest{
			at:       time.Duration(at * float64(time.Second)),
			instance: random.IntN(s.instances),
			prompt:   []byte(shared[zipf.Uint64()] + own),
			answer:   int64(20 + math.Min(random.ExpFloat64()*120, 1000)),
			priority: PrioritySteady,
		})
	}
	return list
}

// simulation runs a trace against simulated engines under a fake clock.
type simulation struct {
	trace   skewedTrace
	engines map[nutmegid.Upstream]*nutmegstand.Engine
	pools   []*Pool

	mu    sync.Mutex
	waits []time.Duration // times to first token
}

func newSimulation(trace skewedTrace, choosers func(seed uint64) Chooser) *simulation {
	sim := &simulation{trace: trace, engines: make(map[nutmegid.Upstream]*nutmegstand.Engine)}
	list := targets(trace.engines)
	for i, target := range list {
		pace := time.Duration(1)
		if i < trace.slow {
			pace = 2
		}
		sim.engines[target.Upstream] = nutmegstand.NewEngine(nutmegstand.EngineConfig{
			Name:          string(target.Upstream),
			TokenTime:     pace * 12 * time.Millisecond,
			BatchTime:     pace * 150 * time.Microsecond,
			PrefillTime:   pace * 40 * time.Microsecond,
			MaxBatch:      32,
			MaxQueue:      4096,
			CacheBlocks:   128,
			ReportLag:     400 * time.Millisecond,
			EventLag:      500 * time.Millisecond,
			EventDropRate: 0.1,
			Seed:          uint64(i),
		})
	}
	for i := range trace.instances {
		names := instanceNames(trace.instances)
		p := NewPool(PoolConfig{Chooser: choosers(uint64(i)), Instance: names[i]})
		p.SetInstances(names)
		p.SetTargets(list)
		sim.pools = append(sim.pools, p)
	}
	return sim
}

// run plays the trace and returns the sorted times to first token.
func (sim *simulation) run(t *testing.T) []time.Duration {
	t.Helper()
	quit := make(chan struct{})
	var reports, requests sync.WaitGroup
	for _, p := range sim.pools {
		reports.Go(func() { sim.reportLoop(p, quit) })
	}
	start := time.Now()
	for _, r := range sim.trace.build() {
		time.Sleep(r.at - time.Since(start))
		requests.Go(func() { sim.request(t, r) })
	}
	requests.Wait()
	close(quit)
	reports.Wait()
	for _, e := range sim.engines {
		e.Close()
	}
	slices.Sort(sim.waits)
	return sim.waits
}

// reportLoop delivers the engines' reports to one pool, as a prober would.
func (sim *simulation) reportLoop(p *Pool, quit <-chan struct{}) {
	after := make(map[nutmegid.Upstream]uint64)
	ticker := time.NewTicker(DefaultProbeInterval)
	defer ticker.Stop()
	for {
		for u, e := range sim.engines {
			load := e.Load(after[u])
			after[u] = load.CacheNext
			p.ApplyReport(u, reportOf(load))
		}
		select {
		case <-quit:
			return
		case <-ticker.C:
		}
	}
}

func reportOf(load nutmegstand.EngineLoad) LoadReport {
	r := LoadReport{
		Running: load.Running, Waiting: load.Waiting, WaitingTokens: load.WaitingTokens,
		Slots: load.Slots, AgeMillis: load.AgeMillis, CacheNext: load.CacheNext,
	}
	for _, e := range load.Cache {
		r.Cache = append(r.Cache, CacheEvent{Sequence: e.Sequence, Block: e.Block, Evicted: e.Evicted})
	}
	return r
}

func (sim *simulation) request(t *testing.T, r traceRequest) {
	start := time.Now()
	tokens := nutmegstand.PromptTokens(r.prompt)
	pick, err := sim.pools[r.instance].Pick(t.Context(), PickRequest{
		Model: testModel, Workspace: "rack", Priority: r.priority,
		PromptTokens: tokens, Tokens: tokens + r.answer, Prefix: PrefixBlocks(r.prompt),
	})
	if err != nil {
		t.Errorf("a request was refused: %v", err)
		return
	}
	pending, ok := sim.engines[pick.Upstream].Submit(nutmegstand.EngineCall{
		ChatRequest: nutmegstand.ChatRequest{Model: string(testModel), Messages: json.RawMessage(r.prompt), MaxTokens: r.answer},
		Priority:    int(r.priority),
	})
	if !ok {
		t.Error("an engine refused a request")
		return
	}
	<-pending.FirstToken
	wait := time.Since(start)
	pick.FirstToken()
	sim.mu.Lock()
	sim.waits = append(sim.waits, wait)
	sim.mu.Unlock()
	<-pending.Done
	pick.Done(nil)
}

func percentile(sorted []time.Duration, share float64) time.Duration {
	return sorted[int(share*float64(len(sorted)-1))]
}

type policy struct {
	name string
	new  func(seed uint64) Chooser
}

// policies are the compared policies; the last one is the default.
var policies = []policy{
	{"random", func(seed uint64) Chooser { return NewRandom(seed) }},
	{"least_in_flight", func(uint64) Chooser { return LeastInFlight{} }},
	{"last_report", func(uint64) Chooser { return LastReport{} }},
	{"two_choices", func(seed uint64) Chooser { return NewTwoChoices(seed) }},
}

func TestTwoChoicesWaitLessThanOtherPolicies(t *testing.T) {
	p95 := make(map[string]time.Duration)
	for _, policy := range policies {
		synctest.Test(t, func(t *testing.T) {
			waits := newSimulation(choiceTrace, policy.new).run(t)
			p95[policy.name] = percentile(waits, 0.95)
			t.Logf("%-16s first token p50 %v p95 %v p99 %v", policy.name, percentile(waits, 0.5), p95[policy.name], percentile(waits, 0.99))
		})
	}
	for _, policy := range policies[:len(policies)-1] {
		if p95["two_choices"] >= p95[policy.name] {
			t.Errorf("p95 is %v with two choices and %v with %s; want a lower p95", p95["two_choices"], p95[policy.name], policy.name)
		}
	}
	if limit := p95["random"] * 7 / 10; p95["two_choices"] > limit {
		t.Errorf("p95 is %v with two choices; want at most 0.7 of random, %v", p95["two_choices"], limit)
	}
}
