package nutmegtrace

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// TestAnswerIsBilledWhenItsInstanceEndsBeforeItsLedgerWrite completes a request
// during an outage of the platform and ends its instance before it can write the
// ledger line. Another instance must write it.
func TestAnswerIsBilledWhenItsInstanceEndsBeforeItsLedgerWrite(t *testing.T) {
	ends := map[string]func(t *testing.T, n *nutmegnode.Node){
		"killed": func(_ *testing.T, n *nutmegnode.Node) { n.Kill() },
		"stopped in the outage": func(t *testing.T, n *nutmegnode.Node) {
			if err := n.Stop(testContext(t)); err == nil {
				t.Error("stop reports no error although the ledger was not written")
			}
		},
	}
	for name, end := range ends {
		t.Run(name, func(t *testing.T) { testAdoption(t, end) })
	}
}

func testAdoption(t *testing.T, end func(t *testing.T, n *nutmegnode.Node)) {
	f := rackFleet(t, FleetConfig{Instances: 3, Engines: 1, Adjust: func(s *nutmegconf.Settings) {
		s.Limits.FinishTimeout = nutmegconf.Duration(300 * time.Millisecond)
	}})
	waitFor(t, "instances know each other", func() bool { return f.peersKnown(t) == 2 })
	if _, err := f.Chat(testContext(t), 0, Chat{Workspace: "rack", Prompt: "first", MaxTokens: 10}); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	result, err := f.Chat(testContext(t), 0, Chat{Workspace: "rack", Prompt: "second", MaxTokens: 10})
	if err != nil || !result.Complete {
		t.Fatalf("chat in the outage: %+v, %v", result, err)
	}
	end(t, f.Nodes[0])
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	f.Nodes = f.Nodes[1:]
	var bills nutmegledger.Bills
	waitFor(t, "another instance writes the line", func() bool {
		if bills, err = f.Bills(testContext(t)); err != nil {
			t.Fatal(err)
		}
		return bills.Owners["kaca"] != nil && bills.Owners["kaca"].Requests == 2
	})
	var ran int64
	for _, run := range f.Engines[0].Runs() {
		ran += run.PromptTokens + run.AnswerTokens
	}
	if diff := cmp.Diff(ran, int64(bills.Owners["kaca"].Tokens)); diff != "" {
		t.Errorf("billed tokens against what ran (-want +got):\n%s", diff)
	}
}

// peersKnown returns how many other instances the first one considers alive.
func (f *Fleet) peersKnown(t *testing.T) int {
	t.Helper()
	var status nutmegnode.Status
	if err := f.callOperatorAPI(testContext(t), 0, http.MethodGet, "/v1/status", nil, &status); err != nil {
		t.Fatal(err)
	}
	known := 0
	for _, m := range status.Peers {
		if m.State == nutmegpeer.StateAlive {
			known++
		}
	}
	return known
}
