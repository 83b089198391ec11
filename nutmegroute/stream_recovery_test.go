package nutmegroute

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// unresponsiveConn forwards or discards what is written, returns no data, and fails reads once
// the gate opens.
type unresponsiveConn struct {
	net.Conn
	swallow bool
	gate    chan struct{}
}

func (c *unresponsiveConn) Write(b []byte) (int, error) {
	if c.swallow {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

func (c *unresponsiveConn) Read([]byte) (int, error) {
	<-c.gate
	return 0, errors.New("connection lost")
}

// dialUnresponsiveFirst returns an unresponsive connection for the first dial. It breaks once
// ready returns.
func dialUnresponsiveFirst(swallow bool, ready func()) DialFunc {
	var dials atomic.Int64
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, network, address)
		if err != nil || dials.Add(1) > 1 {
			return conn, err
		}
		c := &unresponsiveConn{Conn: conn, swallow: swallow, gate: make(chan struct{})}
		go func() {
			ready()
			close(c.gate)
		}()
		return c, nil
	}
}

type chatOutcome struct {
	Runs   int
	Events int
	Exact  bool
	Use    nutmegid.Tokens
	Failed bool
}

// chatOver sends one chat over a dialer and returns its outcome and the tokens that the engine
// used.
func chatOver(t *testing.T, engine *nutmegstand.Engine, url string, dial DialFunc) (chatOutcome, nutmegid.Tokens) {
	t.Helper()
	s := newTestSender(SenderConfig{MaxAttempts: 2, ResumeWindow: 200 * time.Millisecond, Dial: dial}, url)
	var got chatOutcome
	body := []byte(`{"model":"m","messages":[{"role":"user","content":"one sheet"}],"max_tokens":5,"stream":true}`)
	chat := Chat{Request: "r", Model: "m", Body: body, ReservedTokens: 500, MaxAnswer: 5, ReserveAgain: func(context.Context) error { return nil }}
	usage, err := s.Chat(t.Context(), chat, func(Event) error {
		got.Events++
		return nil
	})
	got.Exact, got.Use, got.Failed = usage.Exact, usage.Tokens, err != nil
	var ran nutmegid.Tokens
	for _, run := range engine.Runs() {
		got.Runs++
		ran += nutmegid.Tokens(run.PromptTokens + run.AnswerTokens)
	}
	return got, ran
}

func startEngine(t *testing.T) (*nutmegstand.Engine, string) {
	t.Helper()
	engine := nutmegstand.NewEngine(nutmegstand.EngineConfig{TokenTime: time.Millisecond})
	server := httptest.NewServer(engine.Handler())
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
		engine.Close()
	})
	return engine, server.URL
}

func TestChatWithLostHeadersIsResumedByStreamName(t *testing.T) {
	engine, url := startEngine(t)
	arrived := func() {
		for len(engine.Runs()) == 0 {
			time.Sleep(time.Millisecond)
		}
	}
	got, ran := chatOver(t, engine, url, dialUnresponsiveFirst(false, arrived))
	want := chatOutcome{Runs: 1, Events: 6, Exact: true, Use: ran}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("chat (-want +got):\n%s", diff)
	}
}

func TestLostChatIsResentAndCountedOnce(t *testing.T) {
	engine, url := startEngine(t)
	// The engine must have been up before the chat was sent to prove that it never ran.
	time.Sleep(time.Second)
	got, ran := chatOver(t, engine, url, dialUnresponsiveFirst(true, func() { time.Sleep(50 * time.Millisecond) }))
	want := chatOutcome{Runs: 1, Events: 6, Exact: true, Use: ran}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("chat (-want +got):\n%s", diff)
	}
}

func TestLateChatWithCancelledNameIsRefused(t *testing.T) {
	engine, url := startEngine(t)
	cancel, err := http.NewRequestWithContext(t.Context(), http.MethodDelete, url+"/v1/streams/late", nil)
	if err != nil {
		t.Fatal(err)
	}
	post, err := http.NewRequestWithContext(t.Context(), http.MethodPost, url+"/v1/chat/completions", http.NoBody)
	if err != nil {
		t.Fatal(err)
	}
	post.Header.Set(streamHeader, "late")
	for _, req := range []*http.Request{cancel, post} {
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
	}
	if runs := engine.Runs(); len(runs) != 0 {
		t.Errorf("engine ran %d chats under a cancelled name", len(runs))
	}
}

func TestRestartedEngineCannotProveChatNeverRan(t *testing.T) {
	sentAt := time.Now().Add(-10 * time.Second)
	restarted := cancelResponse{NeverRan: true, UptimeMillis: 9_000}
	running := cancelResponse{NeverRan: true, UptimeMillis: 60_000}
	if diff := cmp.Diff([]bool{false, true}, []bool{restarted.isConclusive(sentAt), running.isConclusive(sentAt)}); diff != "" {
		t.Errorf("conclusive answer of a restarted engine and of one that did not restart (-want +got):\n%s", diff)
	}
}
