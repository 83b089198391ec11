package nutmegtrace

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

const crashText = "poisoned build sheet"

func crashingFleet(t *testing.T, cfg FleetConfig) *Fleet {
	t.Helper()
	f := setUpFleet(t, cfg)
	for _, e := range f.Engines {
		e.SetFaults(nutmegstand.EngineFaults{CrashOn: crashText})
	}
	return f
}

func (f *Fleet) crashes() int {
	n := 0
	for _, e := range f.Engines {
		n += e.Crashes()
	}
	return n
}

var crashingChat = Chat{Workspace: "rack", Prompt: crashText, MaxTokens: 20}

func TestCrashingRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 3, Engines: 4})
	for i := range 9 {
		result, err := f.Chat(testContext(t), i%3, crashingChat)
		if err != nil {
			t.Fatal(err)
		}
		want := nutmegroute.RanNo
		if i == 0 {
			want = nutmegroute.RanYes
		}
		if result.Kind != string(nutmegroute.KindQuarantined) || result.Ran != want {
			t.Errorf("attempt %d: %+v; want a quarantine, run %s", i+1, result, want)
		}
	}
	if n := f.crashes(); n != 2 {
		t.Errorf("%d upstreams crashed; want 2", n)
	}
}

func TestCrashingRequestFromManyCallersAtOnce(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 2, Engines: 6})
	var wait sync.WaitGroup
	for range 12 {
		wait.Go(func() {
			_, _ = f.Chat(t.Context(), 0, crashingChat)
		})
	}
	wait.Wait()
	if _, err := f.Chat(testContext(t), 1, crashingChat); err != nil {
		t.Fatal(err)
	}
	if n := f.crashes(); n > 2 {
		t.Errorf("%d upstreams crashed; want 2 at most", n)
	}
}

func TestSuspectIsNotTriedWithoutTheStore(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 2, Engines: 4})
	if _, err := f.Chat(testContext(t), 0, Chat{Workspace: "rack", Prompt: "warm", MaxTokens: 5}); err != nil {
		t.Fatal(err)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	for range 2 {
		result, err := f.Chat(testContext(t), 0, crashingChat)
		if err != nil {
			t.Fatal(err)
		}
		if result.Complete {
			t.Errorf("crashing request was answered: %+v", result)
		}
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	if n := f.crashes(); n != 1 {
		t.Errorf("%d upstreams crashed in the outage; want 1", n)
	}
}

func TestSuspectIsKnownToPeersInAnOutage(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 2, Engines: 4})
	ctx := testContext(t)
	for instance := range f.Nodes {
		if _, err := f.Chat(ctx, instance, Chat{Workspace: "rack", Prompt: "warm", MaxTokens: 5}); err != nil {
			t.Fatal(err)
		}
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	if _, err := f.Chat(ctx, 0, crashingChat); err != nil {
		t.Fatal(err)
	}
	var list nutmegnode.Suspects
	for range 300 {
		if err := f.callOperatorAPI(ctx, 1, http.MethodGet, "/v1/suspects", nil, &list); err != nil {
			t.Fatal(err)
		}
		if len(list.Suspects) > 0 {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	result, err := f.Chat(ctx, 1, crashingChat)
	if err != nil {
		t.Fatal(err)
	}
	if result.Kind != string(nutmegroute.KindSuspect) || result.Ran != nutmegroute.RanNo {
		t.Errorf("attempt at the other instance: %+v; want %s, run no", result, nutmegroute.KindSuspect)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	if n := f.crashes(); n != 1 {
		t.Errorf("%d upstreams crashed in the outage; want 1", n)
	}
}

func TestUnrelatedRequestsAreNotQuarantined(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 2, Engines: 2, TokenTime: 5 * time.Millisecond})
	chats := make([]Chat, 8)
	results := make([]Result, len(chats))
	var wait sync.WaitGroup
	for i := range chats {
		chats[i] = Chat{Workspace: "other", Prompt: fmt.Sprintf("lot %d", i), MaxTokens: 60}
		wait.Go(func() {
			results[i], _ = f.Chat(t.Context(), i%2, chats[i])
		})
	}
	wait.Go(func() { _, _ = f.Chat(t.Context(), 0, crashingChat) })
	wait.Wait()
	for i, chat := range chats {
		again, err := f.Chat(testContext(t), i%2, chat)
		if err != nil {
			t.Fatal(err)
		}
		want := Result{Request: again.Request, Status: http.StatusOK, Complete: true, Text: chat.ExpectedText()}
		if diff := cmp.Diff(want, again); diff != "" {
			t.Errorf("unrelated request %d after the crashes (-want +got):\n%s", i, diff)
		}
	}
	if n := f.crashes(); n != 2 {
		t.Errorf("%d upstreams crashed; want 2", n)
	}
}

func TestOperatorListsAndClearsSuspects(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 2, Engines: 3})
	ctx := testContext(t)
	if _, err := f.Chat(ctx, 0, crashingChat); err != nil {
		t.Fatal(err)
	}
	var list nutmegnode.Suspects
	for range 200 {
		if err := f.callOperatorAPI(ctx, 1, http.MethodGet, "/v1/suspects", nil, &list); err != nil {
			t.Fatal(err)
		}
		if len(list.Suspects) == 1 && list.Suspects[0].Verdict == nutmegroute.VerdictQuarantined {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if len(list.Suspects) != 1 || list.Suspects[0].Workspace != nutmegid.Workspace("rack") {
		t.Fatalf("suspects at the other instance: %+v; want one of rack", list.Suspects)
	}
	for _, e := range f.Engines {
		e.SetFaults(nutmegstand.EngineFaults{})
	}
	path := "/v1/suspects/" + string(list.Suspects[0].Fingerprint)
	var cleared nutmegroute.Suspect
	if err := f.callOperatorAPI(ctx, 1, http.MethodDelete, path, nil, &cleared); err != nil {
		t.Fatal(err)
	}
	result, err := f.Chat(ctx, 1, crashingChat)
	if err != nil {
		t.Fatal(err)
	}
	if !result.Complete {
		t.Errorf("cleared request: %+v; want a complete answer", result)
	}
}
