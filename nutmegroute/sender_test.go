package nutmegroute

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

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
	cfg.Pool.Set(targets)
	return NewSender(cfg)
}

// connCounter counts the requests that arrive at a listener, below net/http.
type connCounter struct {
	requests atomic.Int64
	answer   func(request int64, conn net.Conn) bool // false closes the connection
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
			call := Call{Route: "r", Key: "pane-1", Method: method, Path: "/book", Repeat: RepeatNotRun}
			if _, err := s.Call(t.Context(), call); err != nil {
				t.Fatal(err)
			}
			_, err := s.Call(t.Context(), call)
			if RanOf(err) != RanUnknown {
				t.Errorf("call that the upstream read and did not answer: %v; want run unknown", err)
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
	answer, err := newTestSender(SenderConfig{}, upstream.URL).Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/", Repeat: RepeatNotRun})
	if err != nil || answer.Status != http.StatusTemporaryRedirect || second.Load() != 0 {
		t.Errorf("status %d, error %v, %d calls at the redirect's target; want the redirect as the answer", answer.Status, err, second.Load())
	}
}

func TestWhatAnswersSayAboutRunning(t *testing.T) {
	tests := map[string]struct {
		status int
		header http.Header
		chat   Ran // empty for a whole answer
		call   Ran
	}{
		"refused with proof":    {status: 503, header: http.Header{"X-Not-Run": {"1"}}, chat: RanNo, call: RanNo},
		"unavailable":           {status: 503, chat: RanUnknown},
		"not found":             {status: 404, chat: RanNo},
		"too many":              {status: 429, chat: RanNo},
		"conflict":              {status: 409, chat: RanUnknown},
		"internal":              {status: 500, chat: RanUnknown},
		"proof beside a 200":    {status: 200, header: http.Header{"X-Not-Run": {"1"}}, chat: RanYes, call: RanNo},
		"stream without an end": {status: 200, chat: RanYes},
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
			answer, err := s.Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/", Repeat: RepeatNotRun})
			if tt.call == "" {
				if err != nil || answer.Status != tt.status {
					t.Errorf("call: status %d, error %v; want the service's answer", answer.Status, err)
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
	_, err = newTestSender(SenderConfig{}, url).Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/", Repeat: RepeatNotRun})
	if RanOf(err) != RanNo {
		t.Errorf("call to a port without a process: %v; want run no", err)
	}
}

// flaky fails the first calls with a status, then answers.
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

func TestRepeatRules(t *testing.T) {
	tests := map[string]struct {
		method    string
		repeat    Repeat
		wantCalls int64
		want      int
	}{
		"repeatable look-up": {method: http.MethodGet, repeat: RepeatYes, wantCalls: 2, want: 200},
		"repeatable change":  {method: http.MethodPut, repeat: RepeatYes, wantCalls: 2, want: 200},
		"not repeatable":     {method: http.MethodGet, repeat: RepeatNotRun, wantCalls: 1, want: 503},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			f := &flaky{fails: 1, status: http.StatusServiceUnavailable}
			upstream := httptest.NewServer(f)
			defer upstream.Close()
			s := newTestSender(SenderConfig{HedgeDelay: time.Minute}, upstream.URL)
			answer, err := s.Call(t.Context(), Call{Route: "r", Method: tt.method, Path: "/", Repeat: tt.repeat})
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
		if _, err := s.Call(t.Context(), Call{Route: "r", Method: http.MethodPut, Path: "/", Repeat: RepeatYes}); err != nil && !IsKind(err, KindOverloaded) {
			t.Fatal(err)
		}
	}
	if most := int64(calls*(1+retryShare) + retryReserve); f.calls.Load() > most {
		t.Errorf("%d calls reached the upstream for %d; want %d at most", f.calls.Load(), calls, most)
	}
}

func TestLookUpsAreHedgedAndChangesAreNot(t *testing.T) {
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
		answer, err := s.Call(t.Context(), Call{Route: "r", Method: http.MethodGet, Path: "/", Repeat: RepeatYes})
		if err != nil || answer.Status != http.StatusOK {
			t.Fatalf("look-up: status %d, error %v", answer.Status, err)
		}
	}
	if slow.Load() == 0 {
		t.Fatal("the slow upstream was never chosen; the test shows nothing")
	}
	before := slow.Load() + fast.Load()
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	_, _ = s.Call(ctx, Call{Route: "r", Method: http.MethodGet, Path: "/", Repeat: RepeatNotRun})
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
	_, err := s.Call(ctx, Call{Route: "r", Method: http.MethodPost, Path: "/", Repeat: RepeatNotRun})
	if RanOf(err) != RanNo || f.calls.Load() != 0 {
		t.Errorf("call past its deadline: %v, %d calls; want run no and none", err, f.calls.Load())
	}
}

// scripted is an engine whose connections follow a script: each entry is what
// one connection sends before it breaks. Resumes take the next entries.
type scripted struct {
	mu        sync.Mutex
	script    []string
	offsets   []string
	cancelled int
}

func (s *scripted) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	if r.Method == http.MethodDelete {
		s.cancelled++
		s.mu.Unlock()
		_, _ = io.WriteString(w, `{"prompt_tokens":3,"answer_tokens":2}`)
		return
	}
	if r.Method == http.MethodGet {
		s.offsets = append(s.offsets, r.Header.Get("Last-Event-ID"))
	}
	if len(s.script) == 0 {
		s.mu.Unlock()
		w.WriteHeader(http.StatusNotFound)
		return
	}
	text := s.script[0]
	s.script = s.script[1:]
	s.mu.Unlock()
	w.Header().Set(streamHeader, "s-1")
	_, _ = io.WriteString(w, text)
	_ = http.NewResponseController(w).Flush()
	if !strings.Contains(text, endMark) {
		panic(http.ErrAbortHandler)
	}
}

func token(n int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{\"content\":\"t%d \"}}]}\n\n", n, n)
}

func ending(n, tokens int) string {
	return fmt.Sprintf("id: %d\ndata: {\"choices\":[{\"delta\":{},\"finish_reason\":\"stop\"}],\"usage\":{\"total_tokens\":%d}}\n\ndata: [DONE]\n\n", n, tokens)
}

// chatResult is what one chat gave.
type chatResult struct {
	Offsets   []Offset
	Tokens    nutmegid.Tokens
	Exact     bool
	Kind      ErrorKind
	Ran       Ran
	Cancelled int
}

func runScript(t *testing.T, engine *scripted, chat Chat) chatResult {
	t.Helper()
	upstream := httptest.NewServer(engine)
	defer upstream.Close()
	s := newTestSender(SenderConfig{MaxAttempts: 1, ResumeWindow: 200 * time.Millisecond}, upstream.URL)
	var got chatResult
	chat.Model = "m"
	use, err := s.Chat(t.Context(), chat, func(e Event) error {
		got.Offsets = append(got.Offsets, e.Offset)
		return nil
	})
	got.Tokens, got.Exact = use.Tokens, use.Exact
	var known *Error
	if errors.As(err, &known) {
		got.Kind, got.Ran = known.Kind, known.Ran
	}
	engine.mu.Lock()
	defer engine.mu.Unlock()
	got.Cancelled = engine.cancelled
	return got
}

func TestStreams(t *testing.T) {
	chat := Chat{Bound: 50, MaxAnswer: 3}
	tests := map[string]struct {
		script []string
		want   chatResult
	}{
		"whole": {
			script: []string{token(1) + token(2) + ending(3, 12)},
			want:   chatResult{Offsets: []Offset{1, 2, 3}, Tokens: 12, Exact: true},
		},
		"broken and resumed": {
			script: []string{token(1), token(2), ending(3, 12)},
			want:   chatResult{Offsets: []Offset{1, 2, 3}, Tokens: 12, Exact: true},
		},
		"resumed with events that had arrived": {
			script: []string{token(1) + token(2), token(1) + token(2) + token(3) + ending(4, 13)},
			want:   chatResult{Offsets: []Offset{1, 2, 3, 4}, Tokens: 13, Exact: true},
		},
		"end mark lost": {
			script: []string{token(1) + strings.TrimSuffix(ending(2, 9), "data: [DONE]\n\n"), ending(2, 9)},
			want:   chatResult{Offsets: []Offset{1, 2}, Tokens: 9, Exact: true},
		},
		"event cut in the middle": {
			script: []string{token(1) + "id: 2\ndata: {\"choi", token(2) + ending(3, 12)},
			want:   chatResult{Offsets: []Offset{1, 2, 3}, Tokens: 12, Exact: true},
		},
		"event left out": {
			script: []string{token(1) + token(3), token(2) + token(3) + ending(4, 13)},
			want:   chatResult{Offsets: []Offset{1, 2, 3, 4}, Tokens: 13, Exact: true},
		},
		"lost by the engine": {
			script: []string{token(1)},
			want:   chatResult{Offsets: []Offset{1}, Tokens: 50, Kind: KindLost, Ran: RanYes},
		},
		"end mark without an end": {
			script: []string{token(1) + "data: [DONE]\n\n"},
			want:   chatResult{Offsets: []Offset{1}, Tokens: 50, Kind: KindLost, Ran: RanYes},
		},
		"over the answer's maximum": {
			script: []string{token(1) + token(2) + token(3) + token(4) + ending(5, 14)},
			want:   chatResult{Offsets: []Offset{1, 2, 3}, Tokens: 5, Exact: true, Kind: KindOverran, Ran: RanYes, Cancelled: 1},
		},
		"over the reservation": {
			script: []string{token(1) + ending(2, 51)},
			want:   chatResult{Offsets: []Offset{1}, Tokens: 5, Exact: true, Kind: KindOverran, Ran: RanYes, Cancelled: 1},
		},
		"cancelled by another": {
			script: []string{token(1) + "id: 2\ndata: {\"choices\":[{\"finish_reason\":\"abort\"}]}\n\ndata: [DONE]\n\n"},
			want:   chatResult{Offsets: []Offset{1}, Tokens: 50, Kind: KindCancelled, Ran: RanYes},
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := runScript(t, &scripted{script: tt.script}, chat)
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("chat (-want +got):\n%s", diff)
			}
		})
	}
}

func TestChatIsSentAgainOnlyBeforeItsFirstEvent(t *testing.T) {
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer first.Close()
	engine := &scripted{script: []string{token(1) + ending(2, 9)}}
	second := httptest.NewServer(engine)
	defer second.Close()
	reserved := 1
	s := newTestSender(SenderConfig{}, first.URL, first.URL, second.URL)
	var offsets []Offset
	use, err := s.Chat(t.Context(), Chat{Model: "m", Bound: 50, Again: func(context.Context) error {
		reserved++
		return nil
	}}, func(e Event) error {
		offsets = append(offsets, e.Offset)
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	if want := nutmegid.Tokens(50*(reserved-1) + 9); use.Tokens != want || use.Exact != (reserved == 1) {
		t.Errorf("use %+v after %d reservations; want %d tokens", use, reserved, want)
	}
	if diff := cmp.Diff([]Offset{1, 2}, offsets); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// secondRefuses fails a first request without proof, and refuses later ones as not run.
type secondRefuses struct{ requests atomic.Int64 }

func (s *secondRefuses) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	if s.requests.Add(1) > 1 {
		w.Header().Set(notRunHeader, "1")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func TestLaterRefusalDoesNotUnsayAnEarlierAttempt(t *testing.T) {
	engine := httptest.NewServer(&secondRefuses{})
	defer engine.Close()
	again := func(context.Context) error { return nil }
	use, err := newTestSender(SenderConfig{}, engine.URL).Chat(t.Context(), Chat{Model: "m", Bound: 50, Again: again}, func(Event) error { return nil })
	if RanOf(err) != RanUnknown || use.Tokens != 50 {
		t.Errorf("chat: use %+v, error %v; want the first attempt's bound and run unknown", use, err)
	}
	service := httptest.NewServer(&secondRefuses{})
	defer service.Close()
	_, err = newTestSender(SenderConfig{}, service.URL).Call(t.Context(), Call{Route: "r", Method: http.MethodPut, Path: "/", Repeat: RepeatYes})
	if RanOf(err) != RanUnknown {
		t.Errorf("call: error %v; want run unknown", err)
	}
}

func TestRefusedReservationEndsTheChatAsMayHaveRun(t *testing.T) {
	engine := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusInternalServerError)
	}))
	defer engine.Close()
	s := newTestSender(SenderConfig{}, engine.URL)
	use, err := s.Chat(t.Context(), Chat{Model: "m", Bound: 50, Again: func(context.Context) error {
		return errors.New("the budget is used up")
	}}, func(Event) error { return nil })
	if RanOf(err) != RanUnknown || use.Tokens != 50 {
		t.Errorf("use %+v, error %v; want the first attempt's bound and run unknown", use, err)
	}
}

// TestRandomStreams breaks streams at random and checks that each event arrives
// once and in order, or that the chat fails without an end.
func TestRandomStreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		tokens := rapid.IntRange(1, 12).Draw(t, "tokens")
		var whole []string
		for n := 1; n <= tokens; n++ {
			whole = append(whole, token(n))
		}
		whole = append(whole, ending(tokens+1, tokens+9))
		f := &follower{
			sender: NewSender(SenderConfig{}), place: Place{Stream: "s", Bound: 1000, MaxAnswer: 1000},
		}
		var got []Offset
		f.sink = func(e Event) error {
			got = append(got, e.Offset)
			return nil
		}
		var err error
		for range 8 {
			from := rapid.IntRange(0, int(f.offset)).Draw(t, "resumed_from")
			text := strings.Join(whole[min(from, len(whole)-1):], "")
			text = text[:rapid.IntRange(0, len(text)).Draw(t, "broken_after")]
			if err = f.read(&connection{body: io.NopCloser(strings.NewReader(text)), cancel: func() {}}); !IsKind(err, KindBroken) {
				break
			}
		}
		for i, offset := range got {
			if offset != Offset(i+1) {
				t.Fatalf("events %v; want each once and in order", got)
			}
		}
		if err == nil && len(got) != tokens+1 {
			t.Fatalf("answer of %d events ended whole after %d", tokens+1, len(got))
		}
		if err != nil && !IsKind(err, KindBroken) {
			t.Fatalf("broken stream: %v", err)
		}
	})
}

// FuzzStream checks that no bytes from an upstream pass as a whole answer
// without a finishing event, or break the order of events.
func FuzzStream(f *testing.F) {
	for _, seed := range []string{
		token(1) + ending(2, 9), token(2), "data: [DONE]\n\n", "id: x\ndata: {}\n\n", "id: 1\ndata: {\n\n",
		"id: 1\ndata: {\"usage\":{\"total_tokens\":99999}}\n\n", ": comment\n\n", "id: 18446744073709551615\ndata: {}\n\n",
	} {
		f.Add([]byte(seed))
	}
	sender := NewSender(SenderConfig{})
	f.Fuzz(func(t *testing.T, text []byte) {
		last, finished := Offset(0), false
		reader := &follower{sender: sender, place: Place{Stream: "s", Bound: 100, MaxAnswer: 10}}
		reader.sink = func(e Event) error {
			if e.Offset != last+1 {
				t.Errorf("event %d follows event %d", e.Offset, last)
			}
			last = e.Offset
			finished = finished || strings.Contains(strings.ToLower(string(e.Data)), "finish_reason")
			return nil
		}
		err := reader.read(&connection{body: io.NopCloser(strings.NewReader(string(text))), cancel: func() {}})
		if err == nil && !finished {
			t.Errorf("%q passed as a whole answer", text)
		}
		if reader.use.Exact && reader.use.Tokens > 100 && err == nil {
			t.Errorf("%d tokens passed a reservation of 100", reader.use.Tokens)
		}
	})
}
