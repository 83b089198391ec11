package nutmegroute

import (
	"encoding/json"
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

// requestKind describes a stream of similar requests.
type requestKind struct {
	priority  Priority
	workspace nutmegid.Workspace
	rate      float64 // requests per second
	prompt    int     // bytes
	answer    int64   // tokens
}

var (
	checkLoad  = requestKind{PriorityCheck, "quality", 40, 400, 4}
	lookUpLoad = requestKind{PriorityLookUp, "dock", 40, 600, 8}
	steady     = requestKind{PrioritySteady, "rack", 10, 3000, 100}
	batchLoad  = requestKind{PriorityBatch, "longhouse", 24, 30000, 800}
)

const loadTime = 30 * time.Second

// runLoad runs several kinds of requests concurrently and returns the sorted durations by
// priority.
func runLoad(t *testing.T, kinds ...requestKind) map[Priority][]time.Duration {
	t.Helper()
	sim := newSimulation(skewedTrace{seed: 5, engines: 8, instances: 3}, func(seed uint64) Chooser { return NewTwoChoices(seed) })
	quit := make(chan struct{})
	var reports, requests sync.WaitGroup
	for _, p := range sim.pools {
		reports.Go(func() { sim.reportLoop(p, quit) })
	}
	times := make(map[Priority][]time.Duration)
	for _, k := range kinds {
		requests.Go(func() { sim.arrivals(t, k, times) })
	}
	requests.Wait()
	close(quit)
	reports.Wait()
	for _, e := range sim.engines {
		e.Close()
	}
	for p := range times {
		slices.Sort(times[p])
	}
	return times
}

// arrivals sends requests of one kind at exponentially distributed intervals.
func (sim *simulation) arrivals(t *testing.T, k requestKind, times map[Priority][]time.Duration) {
	random := rand.New(rand.NewPCG(uint64(k.priority), 1))
	start := time.Now()
	var requests sync.WaitGroup
	for time.Since(start) < loadTime {
		time.Sleep(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second)))
		pool := sim.pools[random.IntN(len(sim.pools))]
		letter := string(rune('a' + random.IntN(26)))
		prompt := letter + strings.Repeat(letter+"x", k.prompt/2)
		requests.Go(func() { sim.runRequest(t, pool, k, []byte(prompt), times) })
	}
	requests.Wait()
}

func (sim *simulation) runRequest(t *testing.T, p *Pool, k requestKind, prompt []byte, times map[Priority][]time.Duration) {
	start := time.Now()
	tokens := nutmegstand.PromptTokens(prompt)
	pick, err := p.Pick(t.Context(), PickRequest{
		Model: testModel, Workspace: k.workspace, Priority: k.priority,
		PromptTokens: tokens, Tokens: tokens + k.answer, Prefix: PrefixBlocks(prompt),
	})
	if err != nil {
		t.Errorf("a request was refused: %v", err)
		return
	}
	pending, ok := sim.engines[pick.Upstream].Submit(nutmegstand.EngineCall{
		ChatRequest: nutmegstand.ChatRequest{Messages: json.RawMessage(prompt), MaxTokens: k.answer},
		Priority:    int(k.priority),
	})
	if !ok {
		t.Error("an engine refused a request")
		return
	}
	<-pending.FirstToken
	pick.FirstToken()
	<-pending.Done
	pick.Done(nil)
	sim.mu.Lock()
	times[k.priority] = append(times[k.priority], time.Since(start))
	sim.mu.Unlock()
}

func TestBatchLoadDoesNotDelayUrgentRequests(t *testing.T) {
	var baseline, busy map[Priority][]time.Duration
	synctest.Test(t, func(t *testing.T) { baseline = runLoad(t, checkLoad, lookUpLoad, steady) })
	synctest.Test(t, func(t *testing.T) { busy = runLoad(t, checkLoad, lookUpLoad, steady, batchLoad) })
	for p, name := range []string{"check", "look_up", "steady", "batch"} {
		p := Priority(p)
		for _, times := range [][]time.Duration{baseline[p], busy[p]} {
			if len(times) > 0 {
				t.Logf("%-8s %d requests: p50 %v p99 %v", name, len(times), percentile(times, 0.5), percentile(times, 0.99))
			}
		}
	}
	for _, p := range []Priority{PriorityCheck, PriorityLookUp} {
		without, with := percentile(baseline[p], 0.99), percentile(busy[p], 0.99)
		if with > without*3/2 {
			t.Errorf("p99 of priority %d is %v with batch load and %v without; want at most 1.5 times as long", p, with, without)
		}
	}
	if len(busy[PriorityBatch]) < 600 {
		t.Errorf("%d batch requests completed; want at least 600 of about 720", len(busy[PriorityBatch]))
	}
}
