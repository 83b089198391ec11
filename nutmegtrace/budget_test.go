package nutmegtrace

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// TestPeersShareTokensInAnOutage sends a chat, in an outage of the platform, to an
// instance without leases. Its peer must transfer tokens that it leased before.
func TestPeersShareTokensInAnOutage(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, FleetConfig{Instances: 2, Engines: 1})
	err := f.Setup(ctx, []OwnerSpec{{Name: "kaca", Tokens: 100_000}}, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 100_000}})
	if err != nil {
		t.Fatal(err)
	}
	chat := Chat{Workspace: "rack", Prompt: "one sheet", MaxTokens: 20}
	if first, err := f.Chat(ctx, 0, chat); err != nil || !first.Complete {
		t.Fatalf("first answer is %+v, %v", first, err)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	second, err := f.Chat(ctx, 1, chat)
	if err != nil {
		t.Fatal(err)
	}
	want := Result{Request: second.Request, Status: 200, Complete: true, Text: chat.ExpectedText()}
	if diff := cmp.Diff(want, second); diff != "" {
		t.Errorf("answer in the outage (-want +got):\n%s", diff)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	moved := make(map[nutmegid.BudgetID]bool)
	for _, e := range f.Timeline(nutmegtime.Filter{Kind: nutmegtime.KindTransfer}) {
		moved[e.Budget] = true
	}
	wantMoved := map[nutmegid.BudgetID]bool{nutmegid.WorkspaceBudget("rack"): true, nutmegid.OwnerBudget("kaca"): true}
	if diff := cmp.Diff(wantMoved, moved); diff != "" {
		t.Errorf("budgets with transfers (-want +got):\n%s", diff)
	}
}
