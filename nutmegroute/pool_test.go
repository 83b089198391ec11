package nutmegroute

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const testModel = nutmegid.Model("drafter")

func targets(n int) []Target {
	list := make([]Target, 0, n)
	for i := range n {
		name := nutmegid.Upstream(fmt.Sprintf("engine-%03d", i))
		list = append(list, Target{Upstream: name, URL: "http://" + string(name), Models: []nutmegid.Model{testModel}})
	}
	return list
}

func newTestPool(n int) *Pool {
	p := NewPool(PoolConfig{Chooser: NewTwoChoices(1)})
	p.SetTargets(targets(n))
	return p
}

func mustPick(t *testing.T, p *Pool, req PickRequest) *Pick {
	t.Helper()
	req.Model = testModel
	req.Priority = PrioritySteady
	pick, err := p.Pick(t.Context(), req)
	if err != nil {
		t.Fatal(err)
	}
	return pick
}

// chosen counts the upstreams of n picks, each done immediately.
func chosen(t *testing.T, p *Pool, n int, err error) map[nutmegid.Upstream]int {
	t.Helper()
	counts := make(map[nutmegid.Upstream]int)
	for range n {
		pick := mustPick(t, p, PickRequest{})
		counts[pick.Upstream]++
		pick.Done(err)
	}
	return counts
}

func TestPickAvoidsListedUpstreams(t *testing.T) {
	p := newTestPool(3)
	for range 20 {
		pick := mustPick(t, p, PickRequest{Avoid: []nutmegid.Upstream{"engine-000", "engine-002"}})
		if diff := cmp.Diff(nutmegid.Upstream("engine-001"), pick.Upstream); diff != "" {
			t.Fatalf("upstream (-want +got):\n%s", diff)
		}
		pick.Done(nil)
	}
}

func TestUnknownModelIsRefusedAsNotRun(t *testing.T) {
	p := newTestPool(1)
	_, err := p.Pick(t.Context(), PickRequest{Model: "absent"})
	var e *Error
	if !errors.As(err, &e) || e.Kind != KindNoUpstream || e.Ran != RanNo {
		t.Errorf("error is %v; want no_upstream, not run", err)
	}
}

func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	p := newTestPool(3)
	running := mustPick(t, p, PickRequest{Avoid: []nutmegid.Upstream{"engine-001", "engine-002"}})
	p.MergeLeaving([]LeavingRecord{{Upstream: "engine-000", Serial: 7, Leaving: true}})
	if got := chosen(t, p, 50, nil)["engine-000"]; got != 0 {
		t.Errorf("the leaving upstream got %d new requests; want none", got)
	}
	running.Done(nil)

	p.MergeLeaving([]LeavingRecord{{Upstream: "engine-000", Serial: 6}})
	if got := chosen(t, p, 50, nil)["engine-000"]; got != 0 {
		t.Errorf("a record with an older serial made the upstream available again: %d requests", got)
	}
	p.MergeLeaving([]LeavingRecord{{Upstream: "engine-000", Serial: 8}})
	if got := chosen(t, p, 50, nil)["engine-000"]; got == 0 {
		t.Error("the upstream got no requests after its return")
	}
}

func TestLeavingRecordsMergeBetweenPools(t *testing.T) {
	a, b := newTestPool(2), newTestPool(2)
	a.MergeLeaving([]LeavingRecord{{Upstream: "engine-001", Serial: 3, Leaving: true}})
	b.MergeLeaving(a.ExportLeaving())
	if diff := cmp.Diff(a.ExportLeaving(), b.ExportLeaving()); diff != "" {
		t.Errorf("records (-a +b):\n%s", diff)
	}
	if got := chosen(t, b, 20, nil)["engine-001"]; got != 0 {
		t.Errorf("the peer sent %d requests to the leaving upstream; want none", got)
	}
}

func TestPickFailsWhenAllUpstreamsLeave(t *testing.T) {
	p := newTestPool(1)
	p.MergeLeaving([]LeavingRecord{{Upstream: "engine-000", Serial: 1, Leaving: true}})
	_, err := p.Pick(t.Context(), PickRequest{Model: testModel})
	if diff := cmp.Diff(RanNo, RanOf(err)); diff != "" {
		t.Errorf("ran (-want +got):\n%s", diff)
	}
}

func TestRetiredUpstreamKeepsItsAddressForRunningStreams(t *testing.T) {
	p := newTestPool(2)
	p.SetTargets(targets(1))
	if got := chosen(t, p, 20, nil)["engine-001"]; got != 0 {
		t.Errorf("the retired upstream got %d requests; want none", got)
	}
	url, ok := p.URL("engine-001")
	if !ok || url != "http://engine-001" {
		t.Errorf("address is %q, %v; want http://engine-001", url, ok)
	}
}

var errBroken = &Error{Kind: KindBroken, Ran: RanYes}

func TestFailingUpstreamIsEjectedThenSlowStarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(4)
		others := []nutmegid.Upstream{"engine-001", "engine-002", "engine-003"}
		for range DefaultConsecutiveFailures {
			mustPick(t, p, PickRequest{Avoid: others}).Done(errBroken)
		}
		if got := chosen(t, p, 100, nil)["engine-000"]; got != 0 {
			t.Errorf("the ejected upstream got %d requests; want none", got)
		}
		time.Sleep(DefaultBaseEjectionTime + time.Millisecond)
		early := loadShare(t, p)
		time.Sleep(slowStart)
		late := loadShare(t, p)
		if early*2 > late {
			t.Errorf("share of concurrent requests is %d in the slow start and %d after; want less than half", early, late)
		}
	})
}

// loadShare returns how many of 100 concurrent requests engine-000 gets.
func loadShare(t *testing.T, p *Pool) int {
	t.Helper()
	share := 0
	var picks []*Pick
	for range 100 {
		pick := mustPick(t, p, PickRequest{})
		if pick.Upstream == "engine-000" {
			share++
		}
		picks = append(picks, pick)
	}
	for _, pick := range picks {
		pick.Done(nil)
	}
	return share
}

func TestEjectionNeverEmptiesAPool(t *testing.T) {
	for _, size := range []int{1, 2, 3, 8} {
		p := newTestPool(size)
		chosen(t, p, 200, errBroken)
		now, usable := p.now(), 0
		for _, c := range p.all {
			if c.usable(now) {
				usable++
			}
		}
		if usable < max(1, size/2) {
			t.Errorf("%d of %d upstreams are left; want at least half", usable, size)
		}
	}
}

func TestUrgentRequestsOverflowInteractiveUpstreams(t *testing.T) {
	p := newTestPool(5)
	used := make(map[nutmegid.Upstream]int)
	for range 5 * DefaultEngineSlots * 9 / 10 {
		pick, err := p.Pick(t.Context(), PickRequest{Model: testModel, Priority: PriorityCheck})
		if err != nil {
			t.Fatal(err)
		}
		used[pick.Upstream]++
	}
	if len(used) != 5 {
		t.Errorf("%d upstreams got urgent requests; want all 5 once the interactive ones are nearly full: %v", len(used), used)
	}
}

func TestBatchRequestsAvoidInteractiveUpstreams(t *testing.T) {
	p := newTestPool(5)
	used := make(map[nutmegid.Upstream]int)
	for range 50 {
		pick, err := p.Pick(t.Context(), PickRequest{Model: testModel, Priority: PriorityBatch})
		if err != nil {
			t.Fatal(err)
		}
		used[pick.Upstream]++
	}
	if len(used) != 3 {
		t.Errorf("%d upstreams got batch requests; want 3 of 5: %v", len(used), used)
	}
}

func TestCancelledCallersDoNotEject(t *testing.T) {
	p := newTestPool(2)
	chosen(t, p, 50, &Error{Kind: KindBroken, Ran: RanYes, Err: context.Canceled})
	chosen(t, p, 50, &Error{Kind: KindRefused, Ran: RanNo})
	for name, c := range p.all {
		if !c.usable(p.now()) {
			t.Errorf("%s is ejected", name)
		}
	}
}

func TestPrefixHolderIsPreferredUntilItIsBusy(t *testing.T) {
	p := newTestPool(8)
	prefix := PrefixBlocks(make([]byte, 8*PrefixBlockBytes))
	req := PickRequest{Prefix: prefix, PromptTokens: 8 * blockTokens}
	first := mustPick(t, p, req)
	first.FirstToken()
	second := mustPick(t, p, req)
	second.FirstToken()
	if diff := cmp.Diff(first.Upstream, second.Upstream); diff != "" {
		t.Errorf("upstream of the same prefix (-first +second):\n%s", diff)
	}
	used := make(map[nutmegid.Upstream]bool)
	for range 400 {
		pick := mustPick(t, p, req)
		pick.FirstToken()
		used[pick.Upstream] = true
	}
	if len(used) < 4 {
		t.Errorf("400 concurrent requests of one prefix used %d upstreams; want at least half of 8", len(used))
	}
}

func instanceNames(n int) []nutmegid.Instance {
	names := make([]nutmegid.Instance, 0, n)
	for i := range n {
		names = append(names, nutmegid.Instance(fmt.Sprintf("entry-%03d", i)))
	}
	return names
}

// subsets returns the upstreams that each instance uses.
func subsets(instances []nutmegid.Instance, upstreams int) map[nutmegid.Instance][]nutmegid.Upstream {
	all := make(map[nutmegid.Instance][]nutmegid.Upstream)
	for _, i := range instances {
		p := NewPool(PoolConfig{Chooser: NewRandom(1), Instance: i})
		p.SetInstances(instances)
		p.SetTargets(targets(upstreams))
		for _, c := range p.groups[groupKey{model: testModel}].set.Members {
			all[i] = append(all[i], c.Upstream)
		}
	}
	return all
}

func TestSubsetsCoverEveryUpstream(t *testing.T) {
	for _, size := range []struct{ instances, upstreams, most int }{
		{7, 20, 20}, {7, 100, 60}, {90, 130, 64}, {450, 667, 64},
	} {
		covered := make(map[nutmegid.Upstream]int)
		for i, list := range subsets(instanceNames(size.instances), size.upstreams) {
			if len(list) > size.most {
				t.Errorf("%d upstreams: instance %s has %d; want at most %d", size.upstreams, i, len(list), size.most)
			}
			for _, u := range list {
				covered[u]++
			}
		}
		if len(covered) != size.upstreams {
			t.Errorf("%d instances cover %d of %d upstreams", size.instances, len(covered), size.upstreams)
		}
		for u, n := range covered {
			if n < minInstancesPerUpstream {
				t.Errorf("%s is used by %d instances; want at least %d", u, n, minInstancesPerUpstream)
			}
		}
	}
}

func TestSubsetsAreStableUnderChurn(t *testing.T) {
	instances := instanceNames(90)
	before := subsets(instances, 130)
	after := subsets(instances[1:], 130)
	moved, total := 0, 0
	for _, i := range instances[1:] {
		total += len(before[i])
		for _, u := range after[i] {
			if !slices.Contains(before[i], u) {
				moved++
			}
		}
	}
	if moved*20 > total {
		t.Errorf("removing one instance moved %d of %d assignments; want at most a twentieth", moved, total)
	}
}

func BenchmarkSubset(b *testing.B) {
	for _, size := range []struct{ instances, upstreams int }{{7, 20}, {90, 130}, {450, 667}} {
		b.Run(fmt.Sprintf("instances=%d/upstreams=%d", size.instances, size.upstreams), func(b *testing.B) {
			f := newFleet(instanceNames(size.instances))
			p := newTestPool(size.upstreams)
			all := p.groups[groupKey{model: testModel}].set.Members
			for b.Loop() {
				f.subset("entry-003", all, DefaultSubset)
			}
		})
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, size := range []int{8, 32, 190, 667} {
		b.Run(fmt.Sprintf("upstreams=%d", size), func(b *testing.B) {
			p := newTestPool(size)
			set := p.groups[groupKey{model: testModel}].set
			req := &PickRequest{Model: testModel, PromptTokens: 4000, Prefix: PrefixBlocks(make([]byte, 16*PrefixBlockBytes))}
			for _, c := range set.Members[:min(size, maxHolders)] {
				set.index.add(req.Prefix[:1], c)
			}
			b.ReportAllocs()
			for b.Loop() {
				if set.choose(p.cfg.Chooser, req, p.now()) == nil {
					b.Fatal("no upstream was chosen")
				}
			}
		})
	}
}

func TestChoosingDoesNotAllocate(t *testing.T) {
	p := newTestPool(32)
	set := p.groups[groupKey{model: testModel}].set
	req := &PickRequest{Model: testModel, PromptTokens: 4000, Prefix: PrefixBlocks(make([]byte, 16*PrefixBlockBytes))}
	set.index.add(req.Prefix, set.Members[0])
	if n := testing.AllocsPerRun(100, func() { set.choose(p.cfg.Chooser, req, p.now()) }); n != 0 {
		t.Errorf("a choice allocates %v times; want none", n)
	}
}
