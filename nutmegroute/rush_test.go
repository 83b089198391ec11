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

// kind is one kind of request of a rush.
type kind struct {
	priority  Priority
	workspace nutmegid.Workspace
	rate      float64 // requests a second
	prompt    int     // bytes
	answer    int64   // tokens
}

var (
	checks  = kind{PriorityCheck, "quality", 40, 400, 4}
	lookUps = kind{PriorityLookUp, "dock", 40, 600, 8}
	steady  = kind{PrioritySteady, "rack", 10, 3000, 100}
	plans   = kind{PriorityBatch, "longhouse", 24, 30000, 800}
)

const rushTime = 30 * time.Second

// rush runs kinds of requests together and returns each one's whole times in order.
func rush(t *testing.T, kinds ...kind) map[Priority][]time.Duration {
	t.Helper()
	b := newBench(skewedTrace{seed: 5, engines: 8, instances: 3}, func(seed uint64) Chooser { return NewTwoChoices(seed) })
	quit := make(chan struct{})
	var reports, requests sync.WaitGroup
	for _, p := range b.pools {
		reports.Go(func() { b.reportLoop(p, quit) })
	}
	times := make(map[Priority][]time.Duration)
	for _, k := range kinds {
		requests.Go(func() { b.arrivals(t, k, times) })
	}
	requests.Wait()
	close(quit)
	reports.Wait()
	for _, e := range b.engines {
		e.Close()
	}
	for p := range times {
		slices.Sort(times[p])
	}
	return times
}

// arrivals sends requests of one kind at random times.
func (b *bench) arrivals(t *testing.T, k kind, times map[Priority][]time.Duration) {
	random := rand.New(rand.NewPCG(uint64(k.priority), 1))
	start := time.Now()
	var requests sync.WaitGroup
	for time.Since(start) < rushTime {
		time.Sleep(time.Duration(random.ExpFloat64() / k.rate * float64(time.Second)))
		pool := b.pools[random.IntN(len(b.pools))]
		letter := string(rune('a' + random.IntN(26)))
		prompt := letter + strings.Repeat(letter+"x", k.prompt/2)
		requests.Go(func() { b.whole(t, pool, k, []byte(prompt), times) })
	}
	requests.Wait()
}

func (b *bench) whole(t *testing.T, p *Pool, k kind, prompt []byte, times map[Priority][]time.Duration) {
	start := time.Now()
	tokens := nutmegstand.PromptTokens(prompt)
	pick, err := p.Pick(t.Context(), Ask{
		Model: testModel, Workspace: k.workspace, Priority: k.priority,
		PromptTokens: tokens, Tokens: tokens + k.answer, Prefix: PrefixBlocks(prompt),
	})
	if err != nil {
		t.Errorf("a request was refused: %v", err)
		return
	}
	ticket, ok := b.engines[pick.Upstream].Submit(nutmegstand.EngineCall{
		ChatRequest: nutmegstand.ChatRequest{Messages: json.RawMessage(prompt), MaxTokens: k.answer},
		Priority:    int(k.priority),
	})
	if !ok {
		t.Error("an engine refused a request")
		return
	}
	<-ticket.First
	pick.FirstToken()
	<-ticket.End
	pick.Done(nil)
	b.mu.Lock()
	times[k.priority] = append(times[k.priority], time.Since(start))
	b.mu.Unlock()
}

func TestRushOfBatchPlansDoesNotDelayChecks(t *testing.T) {
	var calm, busy map[Priority][]time.Duration
	synctest.Test(t, func(t *testing.T) { calm = rush(t, checks, lookUps, steady) })
	synctest.Test(t, func(t *testing.T) { busy = rush(t, checks, lookUps, steady, plans) })
	for p, name := range []string{"check", "look_up", "steady", "batch"} {
		p := Priority(p)
		for _, times := range [][]time.Duration{calm[p], busy[p]} {
			if len(times) > 0 {
				t.Logf("%-8s %d requests: p50 %v p99 %v", name, len(times), percentile(times, 0.5), percentile(times, 0.99))
			}
		}
	}
	for _, p := range []Priority{PriorityCheck, PriorityLookUp} {
		without, with := percentile(calm[p], 0.99), percentile(busy[p], 0.99)
		if with > without*3/2 {
			t.Errorf("p99 of priority %d is %v in the rush and %v without; want at most 1.5 times", p, with, without)
		}
	}
	if len(busy[PriorityBatch]) < 600 {
		t.Errorf("%d batch plans came through; want all of about 720", len(busy[PriorityBatch]))
	}
}
