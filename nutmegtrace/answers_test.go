package nutmegtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/tmaxmax/go-sse"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

const testTokens = nutmegid.Tokens(1_000_000)

// setUpFleet starts a fleet with one owner and the workspaces rack and other. The
// test runs in parallel with others.
func setUpFleet(t *testing.T, cfg FleetConfig) *Fleet {
	t.Helper()
	t.Parallel()
	f := startFleet(t, cfg)
	err := f.Setup(testContext(t), []OwnerSpec{{Name: "kaca", Tokens: testTokens}}, []WorkspaceSpec{
		{Name: "rack", Owner: "kaca", Tokens: testTokens},
		{Name: "other", Owner: "kaca", Tokens: testTokens},
	})
	if err != nil {
		t.Fatal(err)
	}
	return f
}

// shortTimeouts shortens the timeouts for unread answers and silent upstreams.
func shortTimeouts(s *nutmegconf.Settings) {
	s.Limits.KeepUnread = nutmegconf.Duration(200 * time.Millisecond)
	s.Limits.UpstreamIdle = nutmegconf.Duration(200 * time.Millisecond)
}

// engineAddress returns the address at which instances reach an engine.
func (f *Fleet) engineAddress(name nutmegid.Upstream) string {
	return strings.TrimPrefix(f.Upstreams[name].URL, "http://")
}

// testCaller is a caller that tracks how far it has read its answer.
type testCaller struct {
	fleet     *Fleet
	workspace nutmegid.Workspace
	lastID    string
	text      strings.Builder
	request   string
	complete  bool
	failure   string
}

func (c *testCaller) open(ctx context.Context, instance int, method, path string, header http.Header, body []byte) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.fleet.Nodes[instance].Addresses().Callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header = header.Clone()
	if req.Header == nil {
		req.Header = http.Header{}
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey(c.workspace))
	return c.fleet.callerClient.Do(req)
}

// readEvents reads until it has the given number of events, or the stream ends. Zero
// reads the whole stream.
func (c *testCaller) readEvents(resp *http.Response, events int) {
	c.request = resp.Header.Get("X-Request-Id")
	for ev, err := range sse.Read(resp.Body, nil) {
		switch {
		case err != nil:
			return
		case ev.Data == "[DONE]":
			c.complete = true
			return
		case ev.Type == "error":
			c.failure = ev.Data
			return
		}
		var chunk struct {
			Choices []struct {
				Delta struct {
					Content string `json:"content"`
				} `json:"delta"`
			} `json:"choices"`
		}
		if json.Unmarshal([]byte(ev.Data), &chunk) != nil {
			return
		}
		for _, choice := range chunk.Choices {
			c.text.WriteString(choice.Delta.Content)
		}
		c.lastID = ev.LastEventID
		if events--; events == 0 {
			return
		}
	}
}

func chatBody(t *testing.T, c Chat, stream bool) []byte {
	t.Helper()
	body, err := json.Marshal(map[string]any{
		"model": DefaultModel, "messages": messages(c.Prompt), "max_tokens": c.MaxTokens, "stream": stream,
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// begin sends a chat to the first instance and disconnects after the given number
// of events.
func (c *testCaller) begin(t *testing.T, chat Chat, events int) {
	t.Helper()
	resp, err := c.open(testContext(t), 0, http.MethodPost, "/v1/chat/completions", nil, chatBody(t, chat, true))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.readEvents(resp, events)
}

// resume reads on from the latest event at an instance.
func (c *testCaller) resume(t *testing.T, instance, events int) {
	t.Helper()
	header := http.Header{"Last-Event-Id": {c.lastID}}
	resp, err := c.open(testContext(t), instance, http.MethodGet, "/v1/chat/completions/stream", header, nil)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.readEvents(resp, events)
}

// checkComplete compares the received answer with the one that the engine
// generated.
func (c *testCaller) checkComplete(t *testing.T, chat Chat) {
	t.Helper()
	if !c.complete || c.failure != "" {
		t.Errorf("answer complete: %t, failure: %q; want complete without failure", c.complete, c.failure)
	}
	if diff := cmp.Diff(chat.ExpectedText(), c.text.String()); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// checkBilledOnce waits for the bill of one request and compares it with the
// tokens that the engines used.
func (f *Fleet) checkBilledOnce(t *testing.T) {
	t.Helper()
	ctx := testContext(t)
	want := nutmegledger.Bill{Owner: "kaca", Requests: 1, Workspaces: map[nutmegid.Workspace]nutmegid.Tokens{}}
	for _, e := range f.Engines {
		for _, run := range e.Runs() {
			want.Tokens += nutmegid.Tokens(run.PromptTokens + run.AnswerTokens)
		}
	}
	want.Workspaces["rack"] = want.Tokens
	var got nutmegledger.Bill
	for range 100 {
		bills, err := f.Bills(ctx)
		if err != nil {
			t.Fatal(err)
		}
		if bill, ok := bills.Owners["kaca"]; ok {
			got = *bill
		}
		if cmp.Equal(want, got) {
			return
		}
		time.Sleep(DefaultFleetCommitInterval)
	}
	t.Errorf("bill (-want +got):\n%s", cmp.Diff(want, got))
}

func (f *Fleet) runs() []nutmegstand.EngineRun {
	var runs []nutmegstand.EngineRun
	for _, e := range f.Engines {
		runs = append(runs, e.Runs()...)
	}
	return runs
}

// waitForRuns waits until the engines have started n requests.
func (f *Fleet) waitForRuns(t *testing.T, n int) {
	t.Helper()
	for range 500 {
		if len(f.runs()) >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("engines started %d requests; want %d", len(f.runs()), n)
}

func TestAnswerResumesAtAnyInstance(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 3, Engines: 2})
	chat := Chat{Workspace: "rack", Prompt: "longhouse", MaxTokens: 300}
	c := &testCaller{fleet: f, workspace: "rack"}
	c.begin(t, chat, 20)
	c.resume(t, 1, 30)
	c.resume(t, 0, 40)
	c.resume(t, 2, 0)
	c.checkComplete(t, chat)
	if runs := f.runs(); len(runs) != 1 {
		t.Errorf("engines ran %d requests; want 1", len(runs))
	}
	f.checkBilledOnce(t)
}

func TestAnswerResumesAfterItsInstanceIsKilled(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Engines: 1})
	chat := Chat{Workspace: "rack", Prompt: "rework plan", MaxTokens: 300}
	c := &testCaller{fleet: f, workspace: "rack"}
	c.begin(t, chat, 25)
	f.killNode(0)
	c.resume(t, 1, 0)
	c.checkComplete(t, chat)
	f.checkBilledOnce(t)
}

func TestAnswerResumesAfterItsInstanceIsKilledInAnOutage(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Engines: 1})
	chat := Chat{Workspace: "rack", Prompt: "rework plan", MaxTokens: 300}
	c := &testCaller{fleet: f, workspace: "rack"}
	c.begin(t, chat, 25)
	f.Platform.SetFaults(nutmegstand.PlatformFaults{Outage: true})
	f.killNode(0)
	c.resume(t, 1, 0)
	c.checkComplete(t, chat)
	f.Platform.SetFaults(nutmegstand.PlatformFaults{})
	f.checkBilledOnce(t)
}

func TestBrokenUpstreamConnectionsAreHiddenFromCallers(t *testing.T) {
	tests := map[string]func(f *Fleet){
		"cut for a while": func(f *Fleet) {
			f.Links.Cut("instance-1", allEngines)
			time.AfterFunc(100*time.Millisecond, func() { f.Links.Heal("instance-1", allEngines) })
		},
		"silent":            func(f *Fleet) { f.Links.Silence("instance-1", f.engineAddress("engine-1")) },
		"silent, then cut":  func(f *Fleet) { silenceThenCut(f) },
		"cut twice in turn": func(f *Fleet) { cutTwice(f) },
	}
	for name, fault := range tests {
		t.Run(name, func(t *testing.T) {
			f := setUpFleet(t, FleetConfig{Instances: 1, Engines: 1, Adjust: shortTimeouts})
			chat := Chat{Workspace: "rack", Prompt: "build sheet", MaxTokens: 400}
			c := &testCaller{fleet: f, workspace: "rack"}
			time.AfterFunc(100*time.Millisecond, func() { fault(f) })
			c.begin(t, chat, 0)
			c.checkComplete(t, chat)
			if runs := f.runs(); len(runs) != 1 {
				t.Errorf("engine ran %d requests; want 1", len(runs))
			}
			f.checkBilledOnce(t)
		})
	}
}

// allEngines matches the address of every engine.
const allEngines = nutmegstand.AllAddresses

func silenceThenCut(f *Fleet) {
	address := f.engineAddress("engine-1")
	f.Links.Silence("instance-1", address)
	f.Links.Cut("instance-1", address)
	time.AfterFunc(150*time.Millisecond, func() { f.Links.Heal("instance-1", address) })
}

func cutTwice(f *Fleet) {
	address := f.engineAddress("engine-1")
	for range 2 {
		f.Links.Cut("instance-1", address)
		time.Sleep(50 * time.Millisecond)
		f.Links.Heal("instance-1", address)
		time.Sleep(50 * time.Millisecond)
	}
}

func TestUnreadAnswerIsCancelledAndSettled(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 1, Engines: 1, Adjust: shortTimeouts, TokenTime: 5 * time.Millisecond})
	c := &testCaller{fleet: f, workspace: "rack"}
	c.begin(t, Chat{Workspace: "rack", Prompt: "plan", MaxTokens: 4000}, 5)
	for range 100 {
		if f.runs()[0].Cancelled {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	if run := f.runs()[0]; !run.Cancelled || run.AnswerTokens >= 4000 {
		t.Errorf("run %+v; want it cancelled before its end", run)
	}
	f.checkBilledOnce(t)
}

func TestAnswerReadElsewhereIsNotCancelled(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Engines: 1, Adjust: shortTimeouts})
	chat := Chat{Workspace: "rack", Prompt: "plan", MaxTokens: 900}
	c := &testCaller{fleet: f, workspace: "rack"}
	c.begin(t, chat, 5)
	c.resume(t, 1, 0)
	c.checkComplete(t, chat)
	f.checkBilledOnce(t)
}

func TestForgedAndForeignEventIDsAreRefused(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 1, Engines: 1})
	c := &testCaller{fleet: f, workspace: "rack"}
	c.begin(t, Chat{Workspace: "rack", Prompt: "lot", MaxTokens: 10}, 0)
	tests := map[string]struct {
		id        string
		workspace nutmegid.Workspace
		want      string
	}{
		"foreign":      {id: c.lastID, workspace: "other", want: "foreign_event_id"},
		"other offset": {id: strings.Replace(c.lastID, ".11.", ".1.", 1), workspace: "rack", want: "bad_event_id"},
		"no id":        {id: "7", workspace: "rack", want: "bad_event_id"},
		"cut":          {id: c.lastID[:len(c.lastID)-1], workspace: "rack", want: "bad_event_id"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			other := &testCaller{fleet: f, workspace: tt.workspace}
			resp, err := other.open(testContext(t), 0, http.MethodGet, "/v1/chat/completions/stream", http.Header{"Last-Event-Id": {tt.id}}, nil)
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = resp.Body.Close() }()
			checkRefusal(t, resp.Body, tt.want)
		})
	}
	f.checkBilledOnce(t)
}

// checkRefusal checks that a response body is a refusal of a kind that says the
// request did not run.
func checkRefusal(t *testing.T, body io.Reader, kind string) {
	t.Helper()
	var result Result
	if err := readRefusal(body, &result); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Result{Kind: kind, Ran: "no"}, result); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

// completionText sends a chat without streaming. It returns the text of the answer
// and the status, or zero values if the connection failed.
func (c *testCaller) completionText(t *testing.T, instance int, key string, body []byte) (string, int) {
	t.Helper()
	resp, err := c.open(testContext(t), instance, http.MethodPost, "/v1/chat/completions", http.Header{"Idempotency-Key": {key}}, body)
	if err != nil {
		return "", 0
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", 0
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if err := json.Unmarshal(raw, &completion); err != nil || len(completion.Choices) == 0 {
		return string(raw), resp.StatusCode
	}
	return completion.Choices[0].Message.Content, resp.StatusCode
}

func TestKeyedChatRunsOnceOverInstances(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Engines: 2})
	chat := Chat{Workspace: "rack", Prompt: "edge and thickness", MaxTokens: 200}
	c := &testCaller{fleet: f, workspace: "rack"}
	texts := make(chan string, 3)
	for _, instance := range []int{0, 0, 1} {
		go func() {
			text, _ := c.completionText(t, instance, "check-1", chatBody(t, chat, false))
			texts <- text
		}()
	}
	for range 3 {
		if diff := cmp.Diff(chat.ExpectedText(), <-texts); diff != "" {
			t.Errorf("answer (-want +got):\n%s", diff)
		}
	}
	if runs := f.runs(); len(runs) != 1 {
		t.Errorf("engines ran %d requests; want 1", len(runs))
	}
	_, status := c.completionText(t, 1, "check-1", chatBody(t, Chat{Prompt: "another", MaxTokens: 5}, false))
	if diff := cmp.Diff(http.StatusUnprocessableEntity, status); diff != "" {
		t.Errorf("status of another body (-want +got):\n%s", diff)
	}
	f.checkBilledOnce(t)
}

func TestKeyedChatCompletesAfterItsInstanceIsKilled(t *testing.T) {
	f := setUpFleet(t, FleetConfig{Instances: 2, Engines: 1})
	chat := Chat{Workspace: "rack", Prompt: "cut list", MaxTokens: 400}
	c := &testCaller{fleet: f, workspace: "rack"}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		_, _ = c.completionText(t, 0, "list-1", chatBody(t, chat, false))
	}()
	f.waitForRuns(t, 1)
	time.Sleep(100 * time.Millisecond) // until the instance has recorded where the stream runs
	f.killNode(0)
	<-ended
	text, _ := c.completionText(t, 1, "list-1", chatBody(t, chat, false))
	if diff := cmp.Diff(chat.ExpectedText(), text); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if runs := f.runs(); len(runs) != 1 {
		t.Errorf("engine ran %d requests; want 1", len(runs))
	}
	f.checkBilledOnce(t)
}
