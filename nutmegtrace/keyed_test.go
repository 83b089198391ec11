package nutmegtrace

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// TestKeyedChatThatWasCutIsBilledOnce lets another request crash the engine in the
// middle of a chat with an idempotency key, and sends the chat again with the same
// key through another instance. Only the complete answer must be billed.
func TestKeyedChatThatWasCutIsBilledOnce(t *testing.T) {
	f := crashingFleet(t, FleetConfig{Instances: 2, Engines: 1, TokenTime: 5 * time.Millisecond})
	chat := Chat{Workspace: "other", Prompt: "cut list", MaxTokens: 60}
	c := &testCaller{fleet: f, workspace: "other"}
	ended := make(chan int, 1)
	go func() {
		_, status := c.completionText(t, 0, "list-1", chatBody(t, chat, false))
		ended <- status
	}()
	waitFor(t, "the chat has events", func() bool {
		runs := f.runs()
		return len(runs) > 0 && runs[0].AnswerTokens > 2
	})
	_, _ = f.Chat(testContext(t), 0, crashingChat)
	if status := <-ended; status == http.StatusOK {
		t.Fatal("the chat was answered although its engine crashed")
	}
	f.checkRefusedAfterRun(t, c, chat)
	text := ""
	waitFor(t, "the chat is answered under its key", func() bool {
		var status int
		text, status = c.completionText(t, 1, "list-1", chatBody(t, chat, false))
		return status == http.StatusOK
	})
	if diff := cmp.Diff(chat.ExpectedText(), text); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	var last nutmegid.Tokens
	for _, run := range f.runs() {
		if run.Workspace == "other" && run.Ended {
			last = nutmegid.Tokens(run.PromptTokens + run.AnswerTokens)
		}
	}
	waitFor(t, "the whole answer is billed", func() bool {
		bills, err := f.Bills(testContext(t))
		if err != nil {
			t.Fatal(err)
		}
		return bills.Owners["kaca"] != nil && bills.Owners["kaca"].Workspaces["other"] == last
	})
}

// checkRefusedAfterRun sends a chat again, whose first attempt ran, while the engine
// refuses work. The refusal must not say that the request did not run.
func (f *Fleet) checkRefusedAfterRun(t *testing.T, c *testCaller, chat Chat) {
	t.Helper()
	f.Engines[0].SetFaults(nutmegstand.EngineFaults{Refuse: true})
	defer f.Engines[0].SetFaults(nutmegstand.EngineFaults{})
	waitFor(t, "the chat is refused by the engine", func() bool {
		resp, err := c.open(testContext(t), 1, http.MethodPost, "/v1/chat/completions", http.Header{"Idempotency-Key": {"list-1"}}, chatBody(t, chat, false))
		if err != nil {
			t.Fatal(err)
		}
		defer func() { _ = resp.Body.Close() }()
		var refused Result
		if err := readRefusal(resp.Body, &refused); err != nil {
			t.Fatal(err)
		}
		if refused.Ran == nutmegroute.RanNo {
			t.Errorf("refusal %q says that the request did not run", refused.Kind)
		}
		return refused.Kind == string(nutmegroute.KindRefused)
	})
}
