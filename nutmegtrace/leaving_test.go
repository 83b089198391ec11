package nutmegtrace

import (
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// leavingTestGracePeriod is the time after which a leaving upstream gets no new work.
const leavingTestGracePeriod = 3 * time.Second

func TestLeavingEngineGetsNoNewWorkAndItsStreamsFinish(t *testing.T) {
	ctx := testContext(t)
	f := startFleet(t, FleetConfig{Instances: 3, Engines: 2, TokenTime: 5 * time.Millisecond})
	err := f.Setup(ctx, []OwnerSpec{{Name: "kaca", Tokens: 1_000_000}}, []WorkspaceSpec{{Name: "rack", Owner: "kaca", Tokens: 500_000}})
	if err != nil {
		t.Fatal(err)
	}
	long := Chat{Workspace: "rack", Prompt: "a rebuilt longhouse", MaxTokens: 900}
	results := make([]Result, 6)
	var running sync.WaitGroup
	for i := range results {
		running.Go(func() {
			var err error
			if results[i], err = f.Chat(ctx, i%3, long); err != nil {
				t.Errorf("long plan: %v", err)
			}
		})
	}
	time.Sleep(500 * time.Millisecond)
	f.markLeaving([]nutmegid.Upstream{"engine-1"})
	time.Sleep(leavingTestGracePeriod)
	before := len(f.Engines[0].Runs())
	for i := range 60 {
		if _, err := f.Chat(ctx, i%3, Chat{Workspace: "rack", Prompt: "one sheet", MaxTokens: 2}); err != nil {
			t.Fatal(err)
		}
	}
	if after := len(f.Engines[0].Runs()); after != before {
		t.Errorf("the leaving engine got %d new requests; want none", after-before)
	}
	running.Wait()
	for i, r := range results {
		if diff := cmp.Diff(long.ExpectedText(), r.Text); diff != "" || !r.Complete {
			t.Errorf("long plan %d complete: %v, text (-want +got):\n%s", i, r.Complete, diff)
		}
	}
	if before == 0 {
		t.Error("the leaving engine never had work")
	}
}
