package nutmegstand

import (
	"encoding/json"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

const (
	testToken   = 10 * time.Millisecond
	testBatch   = time.Millisecond
	testPrefill = 100 * time.Microsecond
)

func testCall(prompt string, tokens int64, priority int) EngineCall {
	return EngineCall{
		ChatRequest: ChatRequest{Model: "m", Messages: json.RawMessage(prompt), MaxTokens: tokens},
		Priority:    priority,
		Body:        prompt,
	}
}

// withEngine runs fn with an engine inside a synctest bubble with a fake clock.
func withEngine(t *testing.T, cfg EngineConfig, fn func(t *testing.T, e *Engine)) {
	t.Helper()
	cfg.TokenTime, cfg.BatchTime, cfg.PrefillTime = testToken, testBatch, testPrefill
	synctest.Test(t, func(t *testing.T) {
		e := NewEngine(cfg)
		defer e.Close()
		fn(t, e)
	})
}

func submit(t *testing.T, e *Engine, call EngineCall) PendingRequest {
	t.Helper()
	pending, ok := e.Submit(call)
	if !ok {
		t.Fatal("the engine refused the request")
	}
	synctest.Wait()
	return pending
}

func since(t time.Time, done <-chan struct{}) time.Duration {
	<-done
	return time.Since(t)
}

func TestStepsGrowWithBatchAndPrompt(t *testing.T) {
	withEngine(t, EngineConfig{}, func(t *testing.T, e *Engine) {
		start := time.Now()
		first := submit(t, e, testCall(strings.Repeat("x", 4000), 1, 0))
		want := testToken + testBatch + 1000*testPrefill
		if diff := cmp.Diff(want, since(start, first.Done)); diff != "" {
			t.Errorf("time to answer one prompt (-want +got):\n%s", diff)
		}
		var last PendingRequest
		for range 10 {
			last = submit(t, e, testCall("y", 100, 0))
		}
		<-last.FirstToken
		start = time.Now()
		submit(t, e, testCall("y", 1, 0))
		if got := since(start, last.Done); got < 99*(testToken+10*testBatch) {
			t.Errorf("99 steps of 10 streams took %v; want at least %v", got, 99*(testToken+10*testBatch))
		}
	})
}

func TestCachedPrefixShortensThePrompt(t *testing.T) {
	withEngine(t, EngineConfig{CacheBlocks: 4}, func(t *testing.T, e *Engine) {
		prompt := strings.Repeat("p", 4*PrefixBlockBytes)
		<-submit(t, e, testCall(prompt, 1, 0)).Done
		start := time.Now()
		again := submit(t, e, testCall(prompt, 1, 0))
		if diff := cmp.Diff(testToken+testBatch, since(start, again.Done)); diff != "" {
			t.Errorf("time to answer a cached prompt (-want +got):\n%s", diff)
		}
		<-submit(t, e, testCall(strings.Repeat("q", 4*PrefixBlockBytes), 1, 0)).Done
		<-submit(t, e, testCall(prompt, 1, 0)).Done
		var cached []int64
		for _, run := range e.Runs() {
			cached = append(cached, run.CachedTokens)
		}
		if diff := cmp.Diff([]int64{0, 1024, 0, 0}, cached); diff != "" {
			t.Errorf("cached tokens per run, the last prompt having been evicted (-want +got):\n%s", diff)
		}
	})
}

func TestUrgentStreamsAreAdmittedFirst(t *testing.T) {
	withEngine(t, EngineConfig{MaxBatch: 1}, func(t *testing.T, e *Engine) {
		submit(t, e, testCall("a", 50, 3))
		batch := submit(t, e, testCall("b", 1, 3))
		check := submit(t, e, testCall("c", 1, 0))
		<-check.FirstToken
		select {
		case <-batch.FirstToken:
			t.Error("the stream with priority 3 ran before the one with priority 0")
		default:
		}
		<-batch.Done
	})
}

func TestCrashLosesStreamsAndCacheUntilTheRestart(t *testing.T) {
	withEngine(t, EngineConfig{}, func(t *testing.T, e *Engine) {
		prompt := strings.Repeat("p", 2*PrefixBlockBytes)
		<-submit(t, e, testCall(prompt, 1, 0)).Done
		e.SetFaults(EngineFaults{CrashOn: "poison"})
		innocent := submit(t, e, testCall(prompt, 100, 0))
		poison := submit(t, e, testCall("poison", 1, 0))
		<-innocent.Done
		<-poison.Done
		if _, ok := e.Submit(testCall("x", 1, 0)); ok {
			t.Error("the engine accepted a request during its restart")
		}
		time.Sleep(DefaultRestartTime)
		<-submit(t, e, testCall(prompt, 1, 0)).Done
		runs := e.Runs()
		got := []bool{runs[0].Crashed, runs[1].Crashed, runs[2].Crashed, runs[3].CachedTokens > 0}
		if diff := cmp.Diff([]bool{false, true, true, false}, got); diff != "" {
			t.Errorf("crashed flags of three runs, then cache hit after the restart (-want +got):\n%s", diff)
		}
	})
}

func TestReportsAndEventsAreLate(t *testing.T) {
	cfg := EngineConfig{ReportLag: time.Second, EventLag: 2 * time.Second, EventDropRate: 0.5, Seed: 1}
	withEngine(t, cfg, func(t *testing.T, e *Engine) {
		e.Load(0)
		submit(t, e, testCall(strings.Repeat("p", 16*PrefixBlockBytes), 1000, 0))
		time.Sleep(500 * time.Millisecond)
		early := e.Load(0)
		time.Sleep(time.Second)
		e.Load(0)
		late := e.Load(0)
		time.Sleep(time.Second)
		events := len(e.Load(0).Cache)
		got := []int64{early.Running, int64(len(early.Cache)), late.Running, int64(len(late.Cache))}
		if diff := cmp.Diff([]int64{0, 0, 1, 0}, got); diff != "" {
			t.Errorf("running streams and cache events, early then late (-want +got):\n%s", diff)
		}
		if events == 0 || events == 16 {
			t.Errorf("%d of 16 cache events were published; want more than 0 and fewer than 16", events)
		}
	})
}

func TestOldOrdersAreRefusedOrIgnored(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		withEngine(t, EngineConfig{Fencing: fencing}, func(t *testing.T, e *Engine) {
			e.acceptOrder(EngineOrder{ID: "new", Fence: 9, Kind: "change_role", Role: "prefill"})
			synctest.Wait()
			e.acceptOrder(EngineOrder{ID: "old", Fence: 3, Kind: "change_role", Role: "decode"})
			synctest.Wait()
			want := map[bool]string{true: "prefill", false: "decode"}[fencing]
			if diff := cmp.Diff(want, e.State().Role); diff != "" {
				t.Errorf("role with fencing=%v (-want +got):\n%s", fencing, diff)
			}
		})
	}
}

func TestWeightStoreRefusesFetchesBeyondItsLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewWeightStore(WeightStoreConfig{BytesPerSecond: 1 << 30, Sizes: map[string]int64{"big": 4 << 30}})
		start := time.Now()
		done := make(chan bool, 1)
		go func() { done <- s.Fetch(t.Context(), "a", "big") }()
		synctest.Wait()
		second := s.Fetch(t.Context(), "b", "big")
		first := <-done
		if diff := cmp.Diff([]bool{true, false}, []bool{first, second}); diff != "" {
			t.Errorf("fetch results (-want +got):\n%s", diff)
		}
		if diff := cmp.Diff(4*time.Second, time.Since(start)); diff != "" {
			t.Errorf("duration of the fetch (-want +got):\n%s", diff)
		}
	})
}
