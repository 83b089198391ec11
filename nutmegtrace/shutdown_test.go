package nutmegtrace

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

func rackFleet(t *testing.T, cfg FleetConfig) *Fleet {
	t.Helper()
	f := startFleet(t, cfg)
	err := f.Setup(testContext(t), []OwnerSpec{{Name: "kaca", Tokens: 100_000}}, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 100_000}})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// startChat sends a chat in the background. It returns a channel for the result
// once the engine has started to run the chat.
func startChat(t *testing.T, f *Fleet, instance int, c Chat) <-chan Result {
	t.Helper()
	results := make(chan Result, 1)
	before := len(f.Engines[0].Runs())
	go func() {
		result, err := f.Chat(context.WithoutCancel(t.Context()), instance, c)
		if err != nil {
			t.Logf("chat ended with %v", err)
		}
		results <- result
	}()
	waitFor(t, "the engine runs the chat", func() bool { return len(f.Engines[0].Runs()) > before })
	return results
}

func waitFor(t *testing.T, what string, done func() bool) {
	t.Helper()
	ctx := testContext(t)
	for !done() {
		select {
		case <-ctx.Done():
			t.Fatalf("timed out waiting until %s", what)
		case <-time.After(pollInterval):
		}
	}
}

// storedBudget reads the workspace's budget from the platform.
func storedBudget(t *testing.T, f *Fleet) *nutmegbudget.Budget {
	t.Helper()
	value := f.Platform.Value(nutmegbudget.ShardKind, nutmegbudget.ShardName(0))
	doc, err := nutmegstore.Decode[nutmegbudget.Shard](nutmegstore.Object{Value: value})
	if err != nil {
		t.Fatal(err)
	}
	return doc.Body.Budgets["workspace/rack"]
}

func TestGracefulStopEndsStreamsAndReturnsLeases(t *testing.T) {
	f := rackFleet(t, FleetConfig{Instances: 2, Engines: 1, Adjust: func(s *nutmegconf.Settings) {
		s.Limits.DrainDelay = nutmegconf.Duration(100 * time.Millisecond)
	}})
	chat := Chat{Workspace: "rack", Prompt: "a long plan", MaxTokens: 400}
	running := startChat(t, f, 0, chat)
	stopped := make(chan error, 1)
	go func() { stopped <- f.Nodes[0].Stop(testContext(t)) }()
	waitFor(t, "readyz fails", func() bool { return f.readyStatus(t, 0) == http.StatusServiceUnavailable })
	refused, err := f.Chat(testContext(t), 0, chat)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Result{Request: refused.Request, Status: 503, Kind: "not_ready", Ran: "no"}, refused); diff != "" {
		t.Errorf("new work while draining (-want +got):\n%s", diff)
	}
	result := <-running
	if err := <-stopped; err != nil {
		t.Errorf("stop failed: %v", err)
	}
	if diff := cmp.Diff(chat.ExpectedText(), result.Text); diff != "" || !result.Complete {
		t.Errorf("running answer is truncated (-want +got):\n%s", diff)
	}
	budget := storedBudget(t, f)
	run := f.Engines[0].Runs()[0]
	if diff := cmp.Diff(nutmegid.Tokens(run.PromptTokens+run.AnswerTokens), budget.Spent); diff != "" {
		t.Errorf("settled spend (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(nutmegid.Tokens(0), budget.Leased()); diff != "" {
		t.Errorf("tokens left in leases (-want +got):\n%s", diff)
	}
	lines, err := f.LedgerLines(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, len(lines)); diff != "" {
		t.Errorf("ledger lines (-want +got):\n%s", diff)
	}
}

func (f *Fleet) readyStatus(t *testing.T, instance int) int {
	t.Helper()
	req, err := http.NewRequestWithContext(testContext(t), http.MethodGet, "http://"+f.Nodes[instance].Addresses().Callers+"/readyz", nil)
	if err != nil {
		t.Fatal(err)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}

func TestStopThatRunsOutOfTimeStillSettlesAndBills(t *testing.T) {
	f := rackFleet(t, FleetConfig{Instances: 1, Engines: 1})
	running := startChat(t, f, 0, Chat{Workspace: "rack", Prompt: "a long plan", MaxTokens: 60_000})
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	if err := f.Nodes[0].Stop(ctx); err == nil {
		t.Error("stop reports no error although it cut a stream")
	}
	f.Nodes = nil // Stop has failed already; Close must not call it again
	if result := <-running; result.Complete {
		t.Error("a truncated answer counts as complete")
	}
	budget := storedBudget(t, f)
	if budget.Leased() != 0 || budget.Spent == 0 {
		t.Errorf("leased %d and spent %d; want 0 and the cut answer's tokens", budget.Leased(), budget.Spent)
	}
	lines, err := f.LedgerLines(testContext(t))
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(1, len(lines)); diff != "" {
		t.Errorf("ledger lines (-want +got):\n%s", diff)
	}
}

func TestStopDuringAnOutageStrandsButNeverFreesTokens(t *testing.T) {
	f := rackFleet(t, FleetConfig{Instances: 1, Engines: 1, Adjust: func(s *nutmegconf.Settings) {
		s.Limits.FinishTimeout = nutmegconf.Duration(300 * time.Millisecond)
	}})
	if _, err := f.Chat(testContext(t), 0, Chat{Workspace: "rack", Prompt: "plan", MaxTokens: 20}); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	if err := f.Nodes[0].Stop(testContext(t)); err == nil {
		t.Error("stop reports no error although leases could not be returned")
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	budget := storedBudget(t, f)
	run := f.Engines[0].Runs()[0]
	if used := nutmegid.Tokens(run.PromptTokens + run.AnswerTokens); budget.Spent+budget.Leased() < used {
		t.Errorf("spent %d and leased %d cover less than the %d tokens that ran", budget.Spent, budget.Leased(), used)
	}
	f.Nodes = nil // Stop has failed already; Close must not call it again
}

func TestKilledInstanceLeavesItsLeaseCountedAsSpent(t *testing.T) {
	f := rackFleet(t, FleetConfig{Instances: 2, Engines: 1})
	running := startChat(t, f, 0, Chat{Workspace: "rack", Prompt: "plan", MaxTokens: 60_000})
	f.Nodes[0].Kill()
	if result := <-running; result.Complete {
		t.Error("a truncated answer counts as complete")
	}
	budget := storedBudget(t, f)
	if err := budget.Check("workspace/rack"); err != nil {
		t.Error(err)
	}
	if budget.Leased() < 60_000 {
		t.Errorf("lease of the dead instance holds %d tokens; want at least its running request's bound", budget.Leased())
	}
}
