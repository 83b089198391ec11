package nutmegtrace

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

const paneBody = `{"pane":"600x900x6"}`

// sendOrder sends the pane order and returns what its caller saw.
func sendOrder(t *testing.T, f *Fleet, instance int, key string) Result {
	t.Helper()
	result, err := f.Order(testContext(t), instance, "rack", key, paneBody)
	if err != nil {
		return Result{}
	}
	result.Request = ""
	return result
}

// orderState queries the state of an order at the second instance.
func orderState(t *testing.T, f *Fleet, key string) (string, nutmegroute.Ran) {
	t.Helper()
	c := &testCaller{fleet: f, workspace: "rack"}
	resp, err := c.open(testContext(t), 1, http.MethodGet, "/v1/orders/"+string(DefaultRoute)+"/"+key, nil, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var answer struct {
		State string          `json:"state"`
		Ran   nutmegroute.Ran `json:"run"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		t.Fatal(err)
	}
	return answer.State, answer.Ran
}

func checkOrderState(t *testing.T, f *Fleet, key, want string, wantRan nutmegroute.Ran) {
	t.Helper()
	got, ran := orderState(t, f, key)
	if got != want || ran != wantRan {
		t.Errorf("order %q is %s, run %s; want %s, run %s", key, got, ran, want, wantRan)
	}
}

// orderRuns returns how often the services ran each order.
func (f *Fleet) orderRuns() map[string]int64 {
	runs := make(map[string]int64)
	for _, s := range f.Services {
		for _, call := range s.Calls() {
			if call.Key != "" {
				runs[call.Key]++
			}
		}
	}
	return runs
}

func (f *Fleet) waitForServiceCalls(t *testing.T, n int) {
	t.Helper()
	for range 500 {
		if len(f.Services[0].Calls()) >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("service ran %d calls; want %d", len(f.Services[0].Calls()), n)
}

func TestOrdersOfManyCallersWaitForOneRun(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Services: 1})
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{Delay: 200 * time.Millisecond})
	results := make([]Result, 6)
	var wait sync.WaitGroup
	for i := range results {
		wait.Go(func() { results[i] = sendOrder(t, f, i%2, "pane-1") })
	}
	wait.Wait()
	for _, result := range results {
		if diff := cmp.Diff(results[0], result); diff != "" || !result.Complete {
			t.Errorf("answers differ (-first +other):\n%s", diff)
		}
	}
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
	checkOrderState(t, f, "pane-1", "done", "yes")
	checkOrderState(t, f, "pane-2", "unclaimed", "unknown")
}

func TestOrderOfADeadInstanceStaysUnknown(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Services: 1})
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{Delay: time.Second})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		sendOrder(t, f, 0, "pane-1")
	}()
	f.waitForServiceCalls(t, 1)
	f.killNode(0)
	<-ended
	got := sendOrder(t, f, 1, "pane-1")
	if diff := cmp.Diff(Result{Status: 409, Kind: "order_claimed", Ran: "unknown"}, got); diff != "" {
		t.Errorf("repeated order (-want +got):\n%s", diff)
	}
	checkOrderState(t, f, "pane-1", "claimed", "unknown")
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestOrderWhoseAnswerIsLostStaysUnknown(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Services: 1})
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{LoseAnswer: true})
	first := sendOrder(t, f, 0, "pane-1")
	if first.Ran != nutmegroute.RanUnknown {
		t.Errorf("first order says run %q; want unknown", first.Ran)
	}
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{})
	got := sendOrder(t, f, 1, "pane-1")
	if diff := cmp.Diff(Result{Status: 409, Kind: "order_unknown", Ran: "unknown"}, got); diff != "" {
		t.Errorf("repeated order (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestRefusedOrderMayBeSentAgain(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Services: 1})
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{Refuse: true})
	got := sendOrder(t, f, 0, "pane-1")
	if diff := cmp.Diff(Result{Status: 503, Kind: "upstream_refused", Ran: "no"}, got); diff != "" {
		t.Errorf("refused order (-want +got):\n%s", diff)
	}
	checkOrderState(t, f, "pane-1", "not_run", "no")
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{})
	if again := sendOrder(t, f, 1, "pane-1"); !again.Complete {
		t.Errorf("order sent again: %+v; want a complete answer", again)
	}
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestOrderInAnOutageIsNotRun(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 1, Services: 1})
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	got := sendOrder(t, f, 0, "pane-1")
	if got.Ran != nutmegroute.RanNo || got.Complete {
		t.Errorf("order in an outage: %+v; want it refused as not run", got)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	if again := sendOrder(t, f, 0, "pane-1"); !again.Complete {
		t.Errorf("order after the outage: %+v; want a complete answer", again)
	}
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestOutcomeIsRecordedAfterAnOutage(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Services: 1})
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{Delay: 300 * time.Millisecond})
	done := make(chan Result)
	go func() { done <- sendOrder(t, f, 0, "pane-1") }()
	f.waitForServiceCalls(t, 1)
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	first := <-done
	if !first.Complete {
		t.Errorf("order whose outcome could not be stored: %+v; want a complete answer", first)
	}
	if diff := cmp.Diff(first, sendOrder(t, f, 0, "pane-1")); diff != "" {
		t.Errorf("repeated order in the outage (-first +repeated):\n%s", diff)
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	if diff := cmp.Diff(first, sendOrder(t, f, 1, "pane-1")); diff != "" {
		t.Errorf("repeated order at another instance (-first +repeated):\n%s", diff)
	}
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}

func TestOrdersWithLostResponsesOfStoreAndService(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 3, Services: 1, Platform: nutmegstand.PlatformConfig{Seed: 7}})
	f.Platform.SetFaults(nutmegstand.PlatformFaults{LostAnswers: 0.3, LostRequests: 0.2})
	const orders = 20
	notRun := make([]bool, orders)
	var wait sync.WaitGroup
	for i := range orders {
		wait.Go(func() {
			for try := range 3 {
				got := sendOrder(t, f, (i+try)%3, fmt.Sprintf("pane-%d", i))
				notRun[i] = got.Ran == nutmegroute.RanNo
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{LoseAnswer: true})
	time.Sleep(100 * time.Millisecond)
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{})
	wait.Wait()
	runs := f.orderRuns()
	for i := range orders {
		key := fmt.Sprintf("pane-%d", i)
		if runs[key] > 1 {
			t.Errorf("order %q ran %d times; want at most once", key, runs[key])
		}
		if notRun[i] && runs[key] > 0 {
			t.Errorf("last refusal of order %q says that it did not run, but it ran", key)
		}
	}
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
}

func TestDeadlineOfAnOrder(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 1, Services: 1})
	f.Services[0].SetFaults(nutmegstand.ServiceFaults{Delay: 300 * time.Millisecond})
	c := &testCaller{fleet: f, workspace: "rack"}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	header := http.Header{"Idempotency-Key": {"pane-1"}, "X-Deadline": {"100ms"}}
	resp, err := c.open(ctx, 0, http.MethodPost, "/v1/services/"+string(DefaultRoute)+"/book", header, []byte(paneBody))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	var result Result
	if err := readRefusal(resp.Body, &result); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Result{Kind: "order_claimed", Ran: "unknown"}, result); diff != "" {
		t.Errorf("answer at the deadline (-want +got):\n%s", diff)
	}
	if again := sendOrder(t, f, 0, "pane-1"); !again.Complete {
		t.Errorf("repeated order: %+v; want the answer of the first one", again)
	}
	if diff := cmp.Diff(map[string]int64{"pane-1": 1}, f.orderRuns()); diff != "" {
		t.Errorf("runs (-want +got):\n%s", diff)
	}
}
