package nutmegtrace

import (
	"fmt"
	"sync"
	"testing"
)

// TestBurstAtANewInstanceIsNotRefused sends many chats at once to an instance that
// holds no lease yet. The budgets are a thousand times larger than needed, so no
// chat may be refused while the first lease is fetched.
func TestBurstAtANewInstanceIsNotRefused(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, FleetConfig{Instances: 1, Engines: 4})
	err := f.Setup(ctx, []OwnerSpec{{Name: "kaca", Tokens: 1_000_000_000}}, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 1_000_000_000}})
	if err != nil {
		t.Fatal(err)
	}
	const chats = 200
	results := make([]Result, chats)
	var wait sync.WaitGroup
	for n := range chats {
		wait.Go(func() {
			result, err := f.Chat(ctx, 0, Chat{Workspace: "rack", Prompt: fmt.Sprintf("sheet %d", n), MaxTokens: 10})
			if err != nil {
				t.Errorf("chat %d: %v", n, err)
			}
			results[n] = result
		})
	}
	wait.Wait()
	refused := make(map[string]int)
	for _, r := range results {
		if !r.Complete {
			refused[fmt.Sprintf("%d %s", r.Status, r.Kind)]++
		}
	}
	if len(refused) > 0 {
		t.Errorf("some of %d chats were not answered, by status and kind: %v", chats, refused)
	}
}
