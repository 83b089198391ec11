package nutmegroute

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// newTestSender returns a sender over upstreams that serve the model m and the route r.
func newTestSender(cfg SenderConfig, urls ...string) *Sender {
	cfg.Pool = NewPool(PoolConfig{Chooser: NewTwoChoices(1)})
	var targets []Target
	for i, url := range urls {
		targets = append(targets, Target{
			Upstream: nutmegid.Upstream(fmt.Sprintf("u-%d", i+1)), URL: url,
			Models: []nutmegid.Model{"m"}, Routes: []nutmegid.Route{"r"},
		})
	}
	cfg.Pool.SetTargets(targets)
	return NewSender(cfg)
}

// connCounter counts requests at the connection level, so that resends by net/http are
// counted, too.
type connCounter struct {
	requests atomic.Int64
	answer   func(request int64, conn net.Conn) bool // returns false to close the connection
}

func (c *connCounter) run(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	in := bufio.NewReader(conn)
	for {
		req, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return
		}
		if !c.answer(c.requests.Add(1), conn) {
			return
		}
	}
}

func (c *connCounter) listen(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go c.loop(l)
	return "http://" + l.Addr().String()
}

func (c *connCounter) loop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go c.run(conn)
	}
}

func answerOK(conn net.Conn) bool {
	_, err := io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
	return err == nil
}

func TestCallIsNotSentAgainByTheHTTPClient(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPut, http.MethodPost} {
		t.Run(method, func(t *testing.T) {
			upstream := &connCounter{answer: func(n int64, conn net.Conn) bool { return n == 1 && answerOK(conn) }}
			s := newTestSender(SenderConfig{}, upstream.listen(t))
			call := Call{Route: "r", Key: "pane-1", Method: method, Path: "/book", RetryPolicy: RetryIfNotRun}
			if _, err := s.Call(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			_, err := s.Call(t.Context(), call)
			if RanOf(err) != RanUnknown {
				t.Errorf("call that the upstream read without responding: %v; want RanUnknown", err)
			}
			if n := upstream.requests.Load(); n != 2 {
				t.Errorf("upstream read %d requests; want 2, one for each call", n)
			}
		})
	}
}

func TestCallFollowsNoRedirect(t *testing.T) {
	var second atomic.Int64
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { second.Add(1) }))
	defer other.Close()
	upstream := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer upstream.Close()
	answer, err := newTestSender(SenderConfig{}, upstream.URL).Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/", RetryPolicy: RetryIfNotRun})
	if err != nil || answer.Status != http.StatusTemporaryRedirect || second.Load() != 0 {
		t.Errorf("status %d, error %v, %d calls at the redirect's target; want the redirect as the response", answer.Status, err, second.Load())
	}
}

func TestResponsesDetermineRan(t *testing.T) {
	tests := map[string]struct {
		status int
		header http.Header
		chat   Ran // empty for a complete response
		call   Ran
	}{
		"refused with proof":         {status: 503, header: http.Header{"X-Not-Run": {"1"}}, chat: RanNo, call: RanNo},
		"unavailable":                {status: 503, chat: RanUnknown},
		"not found":                  {status: 404, chat: RanNo},
		"too many":                   {status: 429, chat: RanNo},
		"conflict":                   {status: 409, chat: RanUnknown},
		"internal":                   {status: 500, chat: RanUnknown},
		"not run despite status 200": {status: 200, header: http.Header{"X-Not-Run": {"1"}}, chat: RanYes, call: RanNo},
		"stream without an end":      {status: 200, chat: RanYes},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			upstream := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				for key, values := range tt.header {
					w.Header()[key] = values
				}
				w.WriteHeader(tt.status)
			}))
			defer upstream.Close()
			s := newTestSender(SenderConfig{MaxAttempts: 1, ResumeWindow: time.Millisecond}, upstream.URL)
			_, err := s.Chat(t.Context(), Chat{Model: "m"}, func(Event) error { return nil })
			if diff := cmp.Diff(tt.chat, RanOf(err)); diff != "" {
				t.Errorf("chat: %v (-want +got):\n%s", err, diff)
			}
			answer, err := s.Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/", RetryPolicy: RetryIfNotRun})
			if tt.call == "" {
				if err != nil || answer.Status != tt.status {
					t.Errorf("call: status %d, error %v; want the service's response", answer.Status, err)
				}
				return
			}
			if diff := cmp.Diff(tt.call, RanOf(err)); diff != "" {
				t.Errorf("call: %v (-want +got):\n%s", err, diff)
			}
		})
	}
}

func TestUnreachableUpstreamDidNotRun(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	url := "http://" + l.Addr().String()
	_ = l.Close()
	_, err = newTestSender(SenderConfig{}, url).Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/", RetryPolicy: RetryIfNotRun})
	if RanOf(err) != RanNo {
		t.Errorf("call to a closed port: %v; want RanNo", err)
	}
}

// flaky fails the first calls with a status and then succeeds.
type flaky struct {
	fails  int64
	status int
	calls  atomic.Int64
}

func (f *flaky) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if f.calls.Add(1) <= f.fails {
		w.WriteHeader(f.status)
		return
	}
	_, _ = io.WriteString(w, "ok")
}

func TestRetryPolicies(t *testing.T) {
	tests := map[string]struct {
		method    string
		repeat    RetryPolicy
		wantCalls int64
		want      int
	}{
		"repeatable look-up": {method: http.MethodGet, repeat: RetryAlways, wantCalls: 2, want: 200},
		"repeatable change":  {method: http.MethodPut, repeat: RetryAlways, wantCalls: 2, want: 200},
		"not repeatable":     {method: http.MethodGet, repeat: RetryIfNotRun, wantCalls: 1, want: 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &flaky{fails: 1, status: http.StatusServiceUnavailable}
			upstream := httptest.NewServer(f)
			defer upstream.Close()
			s := newTestSender(SenderConfig{HedgeDelay: time.Minute}, upstream.URL)
			answer, err := s.Call(t.Context(), Call{Route: "r", Method: tt.method, Path: "/", RetryPolicy: tt.repeat})
			if err != nil {
				t.Fatal(err)
			}
			if answer.Status != tt.want || f.calls.Load() != tt.wantCalls {
				t.Errorf("status %d after %d calls; want %d after %d", answer.Status, f.calls.Load(), tt.want, tt.wantCalls)
			}
		})
	}
}

func TestRetryBudgetBoundsRetries(t *testing.T) {
	const calls = 200
	f := &flaky{fails: 1 << 30, status: http.StatusServiceUnavailable}
	upstream := httptest.NewServer(f)
	defer upstream.Close()
	s := newTestSender(SenderConfig{}, upstream.URL)
	for range calls {
		if _, err := s.Call(t.Context(), Call{Route: "r", Method: http.MethodPut, Path: "/", RetryPolicy: RetryAlways}); err != nil && !IsKind(err, KindOverloaded) {
			t.Fatal(err)
		}
	}
	if most := int64(calls*(1+retryShare) + retryReserve); f.calls.Load() > most {
		t.Errorf("%d requests reached the upstream for %d calls; want at most %d", f.calls.Load(), calls, most)
	}
}

func TestOnlyRepeatableReadsAreHedged(t *testing.T) {
	release := make(chan struct{})
	var slow, fast atomic.Int64
	slowServer := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		slow.Add(1)
		select {
		case <-release:
		case <-r.Context().Done():
		}
	}))
	defer slowServer.Close()
	defer close(release)
	fastServer := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { fast.Add(1) }))
	defer fastServer.Close()
	s := newTestSender(SenderConfig{HedgeDelay: 10 * time.Millisecond, CallTimeout: 5 * time.Second}, slowServer.URL, fastServer.URL)
	for range 8 {
		answer, err := s.Call(t.Context(), Call{Route: "r", Method: http.MethodGet, Path: "/", RetryPolicy: RetryAlways})
		if err != nil || answer.Status != http.StatusOK {
			t.Fatalf("look-up: status %d, error %v", answer.Status, err)
		}
	}
	if slow.Load() == 0 {
		t.Fatal("the slow upstream was never chosen; the test is inconclusive")
	}
	before := slow.Load() + fast.Load()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _ = s.Call(ctx, Call{Route: "r", Method: http.MethodGet, Path: "/", RetryPolicy: RetryIfNotRun})
	if sent := slow.Load() + fast.Load() - before; sent != 1 {
		t.Errorf("a call that may not be repeated was sent %d times; want once", sent)
	}
}

func TestNothingIsSentPastTheDeadline(t *testing.T) {
	f := &flaky{}
	upstream := httptest.NewServer(f)
	defer upstream.Close()
	s := newTestSender(SenderConfig{}, upstream.URL)
	ctx, cancel := context.WithDeadline(t.Context(), time.Now().Add(-time.Second))
	defer cancel()
	_, err := s.Call(ctx, Call{Route: "r", Method: http.MethodPost, Path: "/", RetryPolicy: RetryIfNotRun})
	if RanOf(err) != RanNo || f.calls.Load() != 0 {
		t.Errorf("call past its deadline: error %v, %d requests sent; want RanNo and none", err, f.calls.Load())
	}
}
