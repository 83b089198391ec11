package nutmegrelay

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/url"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegretry"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// testWire uses headers of its own.
type testWire struct{}

func (testWire) Request(call *nutmegcall.Call, s Sending) *http.Request {
	return &http.Request{
		Method: call.Method, URL: &url.URL{Scheme: "http", Opaque: call.Target}, Host: "host", Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: http.Header{"Id": {string(call.ID)}, "Upstream": {string(s.Upstream)}, "After": {s.ResumeAfter}, "User-Agent": {""}},
	}
}

func (testWire) Head(resp *http.Response) Head {
	return Head{Request: nutmegid.RequestID(resp.Header.Get("Id")), NotRun: resp.Header.Get("Not-Run") != "", Moved: resp.StatusCode == http.StatusMisdirectedRequest}
}

// recorder is a caller that notes what it gets.
type recorder struct {
	Status int
	Body   string
	Begun  int
}

func (r *recorder) Answer(status int, _ http.Header, body []byte) error {
	r.Status, r.Body = status, string(body)
	return nil
}

func (r *recorder) Begin(status int, _ http.Header) {
	r.Status = status
	r.Begun++
}

func (r *recorder) Write(part []byte) error {
	r.Body += string(part)
	return nil
}

// purse is a budget that notes what was settled.
type purse struct {
	held    nutmegid.Tokens
	settled []nutmegid.Tokens
	refuse  *nutmegcall.Refusal
}

func (p *purse) Reserve(_ context.Context, call *nutmegcall.Call) (Reservation, *nutmegcall.Refusal) {
	p.held += call.Prompt.Bound()
	return p, p.refuse
}

func (p *purse) Settle(used nutmegid.Tokens) {
	p.settled = append(p.settled, used)
}

// fleet is a number of upstreams of one service with a script each.
type fleet struct {
	relay *Relay
	purse *purse
	mu    sync.Mutex
	runs  []string // "upstream after" of each request that arrived
}

func newFleet(t *testing.T, scripts ...http.HandlerFunc) *fleet {
	t.Helper()
	f := &fleet{purse: &purse{}}
	view := nutmegview.New()
	view.Apply(&nutmegview.Config{Revision: 1, Services: map[nutmegview.Service]nutmegview.ServiceConfig{"s": {Engine: &nutmegview.Engine{TokensPerEvent: 5}}}})
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	for i, script := range scripts {
		id := nutmegid.Upstream(fmt.Sprint("u", i))
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.runs = append(f.runs, string(id)+" "+r.Header.Get("After"))
			f.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			script(w, r)
		}))
		t.Cleanup(server.Close)
		byID[id] = nutmegview.Upstream{ID: id, Service: "s", Address: server.Listener.Addr().String(), Slots: 4}
	}
	placer := nutmegplace.New(nutmegplace.Config{Seed: 1})
	view.SetUpstreams(1, byID)
	placer.SetUpstreams(view.Upstreams())
	pool := nutmegconn.NewPool(nutmegconn.PoolConfig{Dial: nutmegconn.NewDialer(nutmegconn.DialerConfig{}).Dial})
	pool.Start()
	t.Cleanup(pool.Stop)
	f.relay = New(Config{
		Wire: testWire{}, Pool: pool, Placer: placer, Budget: f.purse, View: view,
		Retries: nutmegretry.NewBudget(nutmegretry.Config{Ratio: 0.2, Extra: 50, Window: 10 * time.Second}),
	})
	return f
}

func callOn(route nutmegview.Route) *nutmegcall.Call {
	now := time.Now()
	if route.MaxUpstreams == 0 {
		route.MaxUpstreams = 2
	}
	return &nutmegcall.Call{
		ID: "id-1", Route: &route, Service: "s", Workspace: "w", Metered: route.Stream, Method: http.MethodGet, Target: "/x",
		Prompt: nutmegcall.Prompt{Tokens: 100, MaxOutput: 50}, Arrived: now, Deadline: now.Add(10 * time.Second),
	}
}

var (
	idempotent = nutmegview.Route{Repeat: nutmegview.Idempotent}
	once       = nutmegview.Route{}
	stream     = nutmegview.Route{Stream: true}
	resumable  = nutmegview.Route{Stream: true, Resumable: true}
)

func status(code int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(code) }
}

func text(body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }
}

func refuses(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Not-Run", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// breaks writes a part of an answer and resets the connection.
func breaks(part string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, part)
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func TestAFailedLookUpIsRepeatedElsewhere(t *testing.T) {
	f := newFleet(t, status(http.StatusInternalServerError), text("found"))
	for range 4 {
		out := &recorder{}
		outcome, refusal := f.relay.Serve(t.Context(), callOn(idempotent), out)
		if refusal != nil || out.Body != "found" || outcome.Ran != nutmegcall.HasRun {
			t.Errorf("answer %+v, outcome %+v, refusal %v", out, outcome, refusal)
		}
	}
}

func TestAnOrderThatMayHaveRunIsNotRepeated(t *testing.T) {
	f := newFleet(t, breaks("half"), breaks("half"))
	outcome, refusal := f.relay.Serve(t.Context(), callOn(once), &recorder{})
	if refusal == nil || refusal.Ran == nutmegcall.NotRun || refusal.RetryAfter != 0 {
		t.Errorf("refusal is %+v, want one that promises nothing", refusal)
	}
	if len(f.runs) != 1 || outcome.Sends != 1 {
		t.Errorf("the order was sent %d times", len(f.runs))
	}
}

func TestAnOrderThatWasRefusedGoesToAnotherUpstream(t *testing.T) {
	f := newFleet(t, refuses, text("booked"))
	for range 4 {
		out := &recorder{}
		if _, refusal := f.relay.Serve(t.Context(), callOn(nutmegview.Route{MaxUpstreams: 1}), out); refusal != nil || out.Body != "booked" {
			t.Errorf("answer %+v, refusal %v", out, refusal)
		}
	}
}

func TestAnOrderThatAllRefuseHasNotRun(t *testing.T) {
	f := newFleet(t, refuses, refuses)
	_, refusal := f.relay.Serve(t.Context(), callOn(once), &recorder{})
	if refusal == nil || refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0 {
		t.Errorf("refusal is %+v, want one that says when to come back", refusal)
	}
}

func TestAnUpstreamsPromiseIsNotGivenForIt(t *testing.T) {
	// The status says that the request has not run; the upstream does not.
	f := newFleet(t, status(http.StatusServiceUnavailable))
	out := &recorder{}
	_, refusal := f.relay.Serve(t.Context(), callOn(nutmegview.Route{MaxUpstreams: 1}), out)
	if refusal == nil || refusal.Ran == nutmegcall.NotRun || out.Status != 0 {
		t.Errorf("refusal is %+v, answer %+v", refusal, out)
	}
}

func TestABrokenStreamGoesOnElsewhereAfterItsLastWholeEvent(t *testing.T) {
	second := text("id: 2\ndata: b\n\nid: 3\ndata: c\n\n")
	first := breaks("id: 1\ndata: a\n\nid: 2\nda")
	f := newFleet(t, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			first(w, r)
			return
		}
		second(w, r)
	}, func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("After") == "" {
			first(w, r)
			return
		}
		second(w, r)
	})
	out := &recorder{}
	outcome, refusal := f.relay.Serve(t.Context(), callOn(resumable), out)
	if refusal != nil {
		t.Fatal(refusal)
	}
	want := &recorder{Status: http.StatusOK, Body: "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", Begun: 1}
	if diff := cmp.Diff(want, out); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
	if len(f.runs) != 2 || f.runs[1][3:] != "1" || f.runs[0][:2] == f.runs[1][:2] {
		t.Errorf("sendings are %q, want a second one elsewhere after event 1", f.runs)
	}
	if outcome.Reason != nutmegcall.ReasonAnswered || outcome.Used != 100+3*5 {
		t.Errorf("outcome is %+v, want an answer and 115 tokens", outcome)
	}
	if diff := cmp.Diff([]nutmegid.Tokens{115}, f.purse.settled); diff != "" {
		t.Errorf("settled (-want +got):\n%s", diff)
	}
}

func TestABrokenStreamThatMayNotGoOnIsBrokenOff(t *testing.T) {
	f := newFleet(t, breaks("id: 1\ndata: a\n\nid"), breaks("id: 1\ndata: a\n\nid"))
	out := &recorder{}
	outcome, refusal := f.relay.Serve(t.Context(), callOn(stream), out)
	if refusal != nil || outcome.Reason != nutmegcall.ReasonAnswerBroken {
		t.Errorf("outcome %+v, refusal %v; want a broken answer", outcome, refusal)
	}
	if diff := cmp.Diff("id: 1\ndata: a\n\n", out.Body); diff != "" {
		t.Errorf("body (-want +got):\n%s", diff)
	}
	if len(f.runs) != 1 {
		t.Errorf("the stream was sent %d times", len(f.runs))
	}
}

func TestAStreamThatEndsWithinAnEventIsNotWhole(t *testing.T) {
	f := newFleet(t, text("id: 1\ndata: a\n\nid: 2\n"))
	outcome, _ := f.relay.Serve(t.Context(), callOn(stream), &recorder{})
	if outcome.Reason != nutmegcall.ReasonAnswerBroken {
		t.Errorf("outcome is %+v, want a broken answer", outcome)
	}
}

func TestWhatHasNotRunCostsNothing(t *testing.T) {
	f := newFleet(t, refuses, refuses)
	_, _ = f.relay.Serve(t.Context(), callOn(stream), &recorder{})
	if diff := cmp.Diff([]nutmegid.Tokens{0}, f.purse.settled); diff != "" {
		t.Errorf("settled (-want +got):\n%s", diff)
	}
}

func TestNothingIsSentWithoutTokens(t *testing.T) {
	f := newFleet(t, text(""))
	f.purse.refuse = &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudget}
	_, refusal := f.relay.Serve(t.Context(), callOn(stream), &recorder{})
	if refusal != f.purse.refuse || len(f.runs) != 0 {
		t.Errorf("refusal %v, sendings %q", refusal, f.runs)
	}
}

func TestACallersCloseEndsTheRequestUpstream(t *testing.T) {
	started, ended := make(chan struct{}), make(chan struct{})
	f := newFleet(t, func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancelCause(t.Context())
	go func() {
		<-started
		cancel(errors.New("the caller left"))
	}()
	_, refusal := f.relay.Serve(ctx, callOn(once), &recorder{})
	if refusal == nil || refusal.Reason != nutmegcall.ReasonCallerLeft {
		t.Errorf("refusal is %v, want %s", refusal, nutmegcall.ReasonCallerLeft)
	}
	<-ended
}

func TestTheDeadlineEndsACallWithAnAnswer(t *testing.T) {
	f := newFleet(t, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	call := callOn(once)
	call.Deadline = call.Arrived.Add(50 * time.Millisecond)
	_, refusal := f.relay.Serve(t.Context(), call, &recorder{})
	if refusal == nil || refusal.Reason != nutmegcall.ReasonDeadline || refusal.Ran != nutmegcall.MayHaveRun {
		t.Errorf("refusal is %+v, want a passed deadline that promises nothing", refusal)
	}
}
