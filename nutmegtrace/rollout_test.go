package nutmegtrace

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

var rolloutOwners = []OwnerSpec{{Name: "kaca", Tokens: 1000}}

var rolloutWorkspaces = []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 1000}}

// rolloutFleet starts a fleet whose first configuration is in force at every
// instance.
func rolloutFleet(tb testing.TB, instances int) *Fleet {
	tb.Helper()
	f, err := NewFleet(FleetConfig{Instances: instances, Engines: 1, Services: 1})
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() {
		if err := f.Close(); err != nil {
			tb.Errorf("fleet did not stop: %v", err)
		}
	})
	if err := f.Setup(tb.Context(), rolloutOwners, rolloutWorkspaces); err != nil {
		tb.Fatal(err)
	}
	return f
}

// toggleWorkspace closes the workspace if n is even and opens it if n is odd.
func toggleWorkspace(tb testing.TB, f *Fleet, instance, n int) nutmegid.Revision {
	tb.Helper()
	kinds := []nutmegconf.IntentKind{nutmegconf.IntentCloseWorkspace, nutmegconf.IntentOpenWorkspace}
	revision, err := f.ApplyIntents(tb.Context(), instance, nutmegconf.Intent{Kind: kinds[n%2], Workspace: "rack"})
	if err != nil {
		tb.Fatal(err)
	}
	return revision
}

// TestRevisionReachesAllInstancesWithoutTheStore confirms changes while watches
// deliver no events, or the store fails right after the confirmation. Instances
// then learn of the revision from peers only.
func TestRevisionReachesAllInstancesWithoutTheStore(t *testing.T) {
	f := rolloutFleet(t, 7)
	for n, faults := range []nutmegstand.PlatformFaults{{SilentWatch: true}, {Outage: true}} {
		f.Platform.SetFaults(nutmegstand.PlatformFaults{SilentWatch: true})
		revision := toggleWorkspace(t, f, n, n)
		f.Platform.SetFaults(faults)
		if err := f.WaitRevision(testContext(t), revision); err != nil {
			t.Errorf("with faults %+v: %v", faults, err)
		}
		f.Platform.SetFaults(nutmegstand.PlatformFaults{})
		if err := f.waitForStore(testContext(t)); err != nil {
			t.Fatal(err)
		}
	}
}

// waitForStore waits until every instance reaches the store again.
func (f *Fleet) waitForStore(ctx context.Context) error {
	for instance := range f.Nodes {
		for {
			var status struct {
				StoreUp bool `json:"store_up"`
			}
			if err := f.callOperatorAPI(ctx, instance, http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			if status.StoreUp {
				break
			}
			select {
			case <-ctx.Done():
				return ctx.Err()
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// TestNewInstanceInAnOutage starts two instances in an outage of the platform: one
// that reaches peers, and one that reaches none and must not become ready.
func TestNewInstanceInAnOutage(t *testing.T) {
	f := rolloutFleet(t, 2)
	revision := toggleWorkspace(t, f, 0, 0)
	if err := f.WaitRevision(testContext(t), revision); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	if _, err := f.AddNode(); err != nil {
		t.Fatal(err)
	}
	if err := f.WaitRevision(testContext(t), revision); err != nil {
		t.Errorf("new instance with peers: %v", err)
	}
	f.cfg.Adjust = func(s *nutmegconf.Settings) { s.Peers.Seeds = nil }
	if _, err := f.AddNode(); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(http.StatusServiceUnavailable, f.readyStatus(t, 3)); diff != "" {
		t.Errorf("ready status of an instance without platform and peers (-want +got):\n%s", diff)
	}
	result, err := f.Chat(testContext(t), 3, Chat{Workspace: "rack", Prompt: "x", MaxTokens: 1})
	if err != nil {
		t.Fatal(err)
	}
	want := Result{Status: http.StatusServiceUnavailable, Kind: "not_ready", Ran: "no"}
	if diff := cmp.Diff(want, result); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	if err := f.WaitRevision(testContext(t), revision); err != nil {
		t.Errorf("after the outage: %v", err)
	}
}

// TestEffectsAreAppliedAfterTheirConfirmerDies stores a revision with pending
// effects, as an instance leaves it that dies before it has changed the budgets.
// The other instances must apply them.
func TestEffectsAreAppliedAfterTheirConfirmerDies(t *testing.T) {
	ctx := testContext(t)
	f := rolloutFleet(t, 2)
	client := nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: f.PlatformURL})
	writer := nutmegstore.NewWriter(client, "dead")
	_, err := nutmegstore.Update(ctx, writer, nutmegconf.HeadKey, func(h *nutmegconf.Head) error {
		h.Revision++
		h.Pending = append(h.Pending, nutmegconf.PendingPlan{Plan: "plan", Revision: h.Revision, Effects: []nutmegconf.Effect{
			{ID: "plan/0", Kind: nutmegconf.EffectTopUp, Budget: "workspace/rack", Tokens: 77},
			{ID: "plan/1", Kind: nutmegconf.EffectLower, Budget: "owner/kaca", Tokens: 30},
		}})
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	for {
		doc, err := nutmegstore.Read[nutmegconf.Head](ctx, writer, nutmegconf.HeadKey)
		if err != nil {
			t.Fatal(err)
		}
		if len(doc.Body.Pending) == 0 {
			break
		}
		time.Sleep(pollInterval)
	}
	shard, err := nutmegstore.Read[nutmegbudget.Shard](ctx, writer, nutmegstore.Key{Kind: nutmegbudget.ShardKind, Name: nutmegbudget.ShardName(0)})
	if err != nil {
		t.Fatal(err)
	}
	got := map[nutmegid.BudgetID]nutmegid.Tokens{}
	for id, b := range shard.Body.Budgets {
		got[id] = b.Prepaid
	}
	want := map[nutmegid.BudgetID]nutmegid.Tokens{"workspace/rack": 1077, "owner/kaca": 970}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("prepaid (-want +got):\n%s", diff)
	}
}

const rolloutsPerIteration = 20

// BenchmarkRollout measures how long confirmed revisions take to be in force at
// every instance, and what an idle fleet costs.
func BenchmarkRollout(b *testing.B) {
	for _, n := range []int{7, 50, 100} {
		for name, faults := range map[string]nutmegstand.PlatformFaults{"watched": {}, "silent_watches": {SilentWatch: true}} {
			b.Run(fmt.Sprintf("instances=%d/%s", n, name), func(b *testing.B) {
				f := rolloutFleet(b, n)
				f.Platform.SetFaults(faults)
				for b.Loop() {
					f.reportIdleCost(b)
					f.reportRollout(b)
				}
			})
		}
	}
}

// reportIdleCost reports the cost of a fleet without requests and changes.
func (f *Fleet) reportIdleCost(b *testing.B) {
	const duration = 5 * time.Second
	before, spent := f.Platform.Record(), processorTime(b)
	time.Sleep(duration)
	after := f.Platform.Record()
	b.ReportMetric(float64(after.Reads-before.Reads+after.Watches-before.Watches)/duration.Seconds(), "reads/s")
	b.ReportMetric(float64(after.Writes-before.Writes)/duration.Seconds(), "writes/s")
	b.ReportMetric(100*(processorTime(b)-spent).Seconds()/duration.Seconds()/float64(len(f.Nodes)), "%core/instance")
}

// reportRollout confirms changes and reports the times from the first instance's
// event of each revision to that of every instance.
func (f *Fleet) reportRollout(b *testing.B) {
	var took []time.Duration
	for n := range rolloutsPerIteration {
		revision := toggleWorkspace(b, f, n%len(f.Nodes), n)
		if err := f.WaitRevision(b.Context(), revision); err != nil {
			b.Fatal(err)
		}
		took = append(took, f.propagationTimes(revision)...)
	}
	slices.Sort(took)
	ms := func(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
	b.ReportMetric(ms(took[len(took)/2]), "p50-ms")
	b.ReportMetric(ms(took[len(took)*99/100]), "p99-ms")
	b.ReportMetric(ms(took[len(took)-1]), "max-ms")
}

// propagationTimes returns how long after the first instance, which confirmed the
// revision, each instance had it in force.
func (f *Fleet) propagationTimes(revision nutmegid.Revision) []time.Duration {
	var at []int64
	for _, e := range f.Timeline(nutmegtime.Filter{Kind: nutmegtime.KindRevision}) {
		if e.Revision == revision {
			at = append(at, e.At.Micros)
		}
	}
	first := slices.Min(at)
	var took []time.Duration
	for _, micros := range at {
		took = append(took, time.Duration(micros-first)*time.Microsecond)
	}
	return took
}

func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		b.Fatal(err)
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
