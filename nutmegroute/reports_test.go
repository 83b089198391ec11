package nutmegroute

import (
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func TestReportExcludesOwnLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(1)
		time.Sleep(time.Second)
		for range 10 {
			mustPick(t, p, PickRequest{PromptTokens: 100})
		}
		time.Sleep(400 * time.Millisecond)
		for range 5 {
			mustPick(t, p, PickRequest{PromptTokens: 100})
		}
		p.ApplyReport("engine-000", LoadReport{Running: 10, Waiting: 4, WaitingTokens: 1500, Slots: 32, AgeMillis: 200})
		c := p.all["engine-000"]
		got := []int64{c.InFlight(), c.otherStreams.Load(), c.otherPendingTokens.Load(), c.Slots()}
		if diff := cmp.Diff([]int64{15, 4, 500, 32}, got); diff != "" {
			t.Errorf("own, others, others' tokens, slots (-want +got):\n%s", diff)
		}
		fresh := c.load(p.now())
		time.Sleep(10 * reportHalfLife)
		if aged := c.load(p.now()); aged >= fresh || aged < 15 {
			t.Errorf("load is %v after the report has decayed and %v before; want it to approach 15", aged, fresh)
		}
	})
}

func TestLateAndMissingCacheEvents(t *testing.T) {
	p := newTestPool(4)
	prefix := PrefixBlocks(make([]byte, 4*PrefixBlockBytes))
	stored := func(sequence uint64, block int) CacheEvent {
		return CacheEvent{Sequence: sequence, Block: prefix[block]}
	}
	p.ApplyReport("engine-002", LoadReport{Cache: []CacheEvent{stored(1, 0), stored(3, 2)}})
	pick := mustPick(t, p, PickRequest{Prefix: prefix, PromptTokens: 4 * blockTokens})
	if diff := cmp.Diff(nutmegid.Upstream("engine-002"), pick.Upstream); diff != "" {
		t.Errorf("upstream (-want +got):\n%s", diff)
	}
	set := p.groups[groupKey{model: testModel}].set
	p.ApplyReport("engine-002", LoadReport{Cache: []CacheEvent{{Sequence: 9, Block: prefix[3], Evicted: true}}})
	if _, depth := set.index.find(prefix); depth != 3 {
		t.Errorf("known prefix has %d blocks after an eviction; want 3", depth)
	}
}

func TestSelfReportedLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	p := newTestPool(3)
	p.ApplyReport("engine-001", LoadReport{Leaving: true})
	if got := chosen(t, p, 50, nil)["engine-001"]; got != 0 {
		t.Errorf("the leaving upstream got %d requests; want none", got)
	}
	want := []LeavingRecord{{Upstream: "engine-001", Leaving: true}}
	if diff := cmp.Diff(want, p.ExportLeaving()); diff != "" {
		t.Errorf("records for peers (-want +got):\n%s", diff)
	}
}

// waitFor polls until ok returns true, for up to ten seconds.
func waitFor(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", what)
}

func TestProberEjectsUnresponsiveUpstream(t *testing.T) {
	var broken atomic.Bool
	reports := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if broken.Load() {
			panic(http.ErrAbortHandler)
		}
		_, _ = w.Write([]byte(`{"running":3,"slots":8}`))
	})
	var list []Target
	for i, target := range targets(2) {
		server := httptest.NewServer(reports)
		if i == 1 {
			server.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write([]byte(`{"running":3,"slots":8}`))
			})
		}
		t.Cleanup(server.Close)
		target.URL = server.URL
		list = append(list, target)
	}
	p := NewPool(PoolConfig{Chooser: NewTwoChoices(1)})
	p.SetTargets(list)
	b := NewProber(ProberConfig{Pool: p, HTTP: http.DefaultClient, Interval: 5 * time.Millisecond, Rate: 1000})
	b.Start()
	defer b.Stop()
	c := p.all["engine-000"]
	waitFor(t, "a report", func() bool { return c.slots.Load() == 8 })
	broken.Store(true)
	waitFor(t, "the ejection", func() bool { return !c.usable(p.now()) })
	if got := chosen(t, p, 50, nil)["engine-000"]; got != 0 {
		t.Errorf("the ejected upstream got %d requests; want none", got)
	}
}
