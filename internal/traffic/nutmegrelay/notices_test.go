package nutmegrelay

import (
	"context"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegwarmup"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const permitWait = 3 * time.Second // of fakeNotices

// fakeNotices permits requests to some upstreams only, and counts what it is asked.
type fakeNotices struct {
	permitted map[nutmegid.Upstream]bool
	leaving   map[nutmegid.Upstream]bool
	asked     map[nutmegid.Upstream]int
	recorded  []nutmegid.Upstream
	onAsk     func()
	cold      map[nutmegid.Upstream]bool
}

func (l *fakeNotices) Record(_ *nutmegcall.Call, u nutmegview.Upstream, _ nutmegnotice.Notice) {
	l.recorded = append(l.recorded, u.ID)
}

func (l *fakeNotices) Permit(_ context.Context, u nutmegview.Upstream) Permit {
	l.asked[u.ID]++
	if l.onAsk != nil {
		l.onAsk()
	}
	return Permit{Granted: l.permitted[u.ID], Leaving: l.leaving[u.ID], Cold: l.cold[u.ID], Wait: permitWait, Detail: "none is left"}
}

func (l *fakeNotices) IsLeaving(u nutmegview.Upstream) bool {
	return l.leaving[u.ID]
}

// limitedFleet returns a fleet of which only some upstreams may get requests.
func limitedFleet(t *testing.T, permitted []nutmegid.Upstream, handlers ...http.HandlerFunc) (*fleet, *fakeNotices) {
	t.Helper()
	f := newFleet(t, handlers...)
	l := &fakeNotices{permitted: make(map[nutmegid.Upstream]bool), asked: make(map[nutmegid.Upstream]int)}
	for _, u := range permitted {
		l.permitted[u] = true
	}
	f.relay.cfg.Notices = l
	return f, l
}

// TestRequestGoesToAnUpstreamThatPermitsIt guards against requests that are sent
// without a permit, that wait for one, or that ask again and again where there is none.
func TestRequestGoesToAnUpstreamThatPermitsIt(t *testing.T) {
	f, limits := limitedFleet(t, []nutmegid.Upstream{"u2"}, text("a"), text("b"), text("c"))
	for range 10 {
		sink := &recorder{}
		outcome, refusal := f.relay.Serve(t.Context(), newCall(nonIdempotent), sink)
		if refusal != nil || outcome.Upstream != "u2" {
			t.Fatalf("outcome %+v, refusal %v; want an answer of u2", outcome, refusal)
		}
	}
	if limits.asked["u0"] > 1 || limits.asked["u1"] > 1 {
		t.Errorf("asked %v; want at most once at upstreams that say to wait", limits.asked)
	}
}

// TestRetriesNeedPermits guards against retries, which reach an upstream like first
// attempts, that are sent without a permit.
func TestRetriesNeedPermits(t *testing.T) {
	f, limits := limitedFleet(t, []nutmegid.Upstream{"u0"}, status(http.StatusInternalServerError), text("b"))
	_, refusal := f.relay.Serve(t.Context(), newCall(idempotent), &recorder{})
	if refusal == nil || refusal.Ran != nutmegcall.MayHaveRun {
		t.Errorf("refusal %v; want one that says that the request may have run", refusal)
	}
	for _, request := range f.requests {
		if request == "u1 " {
			t.Error("a retry was sent without a permit")
		}
	}
	if len(limits.recorded) == 0 || limits.asked["u1"] == 0 {
		t.Errorf("answers recorded of %v, permits asked %v; want both", limits.recorded, limits.asked)
	}
}

// TestLeavingUpstreamGetsNoNewRequests guards against requests to upstreams that have
// said that they leave, and against callers that are told to wait for them.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	f, notices := limitedFleet(t, []nutmegid.Upstream{"u1"}, text("a"), text("b"))
	notices.leaving = map[nutmegid.Upstream]bool{"u0": true}
	for range 5 {
		if outcome, refusal := f.relay.Serve(t.Context(), newCall(nonIdempotent), &recorder{}); refusal != nil || outcome.Upstream != "u1" {
			t.Fatalf("outcome %+v, refusal %v; want an answer of u1", outcome, refusal)
		}
	}
	notices.leaving["u1"], notices.permitted["u1"] = true, false
	_, refusal := f.relay.Serve(t.Context(), newCall(idempotent), &recorder{})
	if refusal == nil || refusal.Reason != nutmegcall.ReasonNoUpstream || refusal.Ran != nutmegcall.NotRun {
		t.Errorf("refusal %v when all upstreams leave; want %s, not run", refusal, nutmegcall.ReasonNoUpstream)
	}
	if notices.asked["u0"] > 1 {
		t.Errorf("%d requests were placed at an upstream that leaves; want at most 1", notices.asked["u0"])
	}
}

// TestRequestWithoutAnyPermitIsRefusedAtOnce guards against callers that wait for a
// permit until their deadline, and against refusals that do not say when to return.
func TestRequestWithoutAnyPermitIsRefusedAtOnce(t *testing.T) {
	f, _ := limitedFleet(t, nil, text("a"), text("b"))
	for range 2 {
		_, refusal := f.relay.Serve(t.Context(), newCall(idempotent), &recorder{})
		if refusal == nil || refusal.Reason != nutmegcall.ReasonRateLimited || refusal.Ran != nutmegcall.NotRun {
			t.Fatalf("refusal %v; want %s, not run", refusal, nutmegcall.ReasonRateLimited)
		}
		if refusal.RetryAfter < permitWait-time.Second || refusal.RetryAfter > permitWait+time.Second {
			t.Errorf("the caller is told to return after %s; want about %s", refusal.RetryAfter, permitWait)
		}
	}
	if len(f.requests) > 0 {
		t.Errorf("requests were sent: %v", f.requests)
	}
}

// coldUpstreams says which upstreams are cold.
type coldUpstreams map[nutmegid.Upstream]bool

// State implements nutmegplace.Warmup.
func (c coldUpstreams) State(u nutmegview.Upstream, _ time.Duration) nutmegwarmup.State {
	return nutmegwarmup.State{Cold: c[u.ID], Share: 1}
}

// TestDeniedByAColdUpstreamGoesToAWarmOne guards against callers that are refused, or
// wait for many questions, while most upstreams are cold and one is not.
func TestDeniedByAColdUpstreamGoesToAWarmOne(t *testing.T) {
	handlers := make([]http.HandlerFunc, 2*maxPermitRequests)
	cold := make(coldUpstreams)
	for n := range handlers {
		handlers[n] = text("a")
		cold[nutmegid.Upstream(fmt.Sprint("u", n))] = n > 0
	}
	f, limits := limitedFleet(t, []nutmegid.Upstream{"u0"}, handlers...)
	limits.cold = cold
	placer := nutmegplace.New(nutmegplace.Config{Seed: 1, Warmup: cold})
	placer.SetUpstreams(f.view.Upstreams())
	f.relay.cfg.Placer = placer
	for range 20 {
		clear(limits.asked)
		outcome, refusal := f.relay.Serve(t.Context(), newCall(nonIdempotent), &recorder{})
		if refusal != nil || outcome.Upstream != "u0" {
			t.Fatalf("outcome %+v, refusal %v; want an answer of the warm upstream", outcome, refusal)
		}
		if len(limits.asked) > 2 {
			t.Errorf("asked %v; want at most one cold upstream", limits.asked)
		}
	}
}

// TestCallerThatLeavesWhileAPermitIsAskedFor guards against callers that have left and
// count as refused.
func TestCallerThatLeavesWhileAPermitIsAskedFor(t *testing.T) {
	f, limits := limitedFleet(t, nil, text("a"))
	ctx, cancel := context.WithCancel(t.Context())
	limits.onAsk = cancel
	if _, refusal := f.relay.Serve(ctx, newCall(idempotent), &recorder{}); refusal == nil || refusal.Reason != nutmegcall.ReasonCallerLeft {
		t.Errorf("refusal %v; want %s", refusal, nutmegcall.ReasonCallerLeft)
	}
}
