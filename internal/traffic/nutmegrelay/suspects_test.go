package nutmegrelay

import (
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
)

// fleetWithCrashes returns a fleet of n upstreams of which each ends at its first
// request.
func fleetWithCrashes(t *testing.T, n int) *fleet {
	t.Helper()
	return fleetThatEnds(t, n, func(server *httptest.Server, _ http.ResponseWriter, _ *http.Request) {
		_ = server.Listener.Close()
		server.CloseClientConnections()
	})
}

// fleetThatEndsAfter returns a fleet of n upstreams of which each ends after part of
// an answer without a length.
func fleetThatEndsAfter(t *testing.T, n int, part string) *fleet {
	t.Helper()
	return fleetThatEnds(t, n, func(server *httptest.Server, w http.ResponseWriter, r *http.Request) {
		_ = server.Listener.Close()
		unframed(part, closeConn)(w, r)
	})
}

// fleetThatEnds returns a fleet of n upstreams that call end for a request.
func fleetThatEnds(t *testing.T, n int, end func(*httptest.Server, http.ResponseWriter, *http.Request)) *fleet {
	t.Helper()
	f := newFleet(t, make([]http.HandlerFunc, n)...)
	byID := maps.Clone(f.relay.cfg.View.Upstreams().ByID)
	for id, u := range byID {
		var server *httptest.Server
		server = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			f.mu.Lock()
			f.requests = append(f.requests, string(id))
			f.mu.Unlock()
			w.Header().Set("Id", r.Header.Get("Id"))
			end(server, w, r)
		}))
		t.Cleanup(server.Close)
		u.Address = server.Listener.Addr().String()
		byID[id] = u
	}
	f.relay.cfg.View.SetUpstreams(2, byID)
	f.relay.cfg.Placer.SetUpstreams(f.relay.cfg.View.Upstreams())
	return f
}

// setLeaving lets all upstreams say that they leave; the placer does not know it yet.
func (f *fleet) setLeaving() {
	byID := maps.Clone(f.relay.cfg.View.Upstreams().ByID)
	for id, u := range byID {
		u.Leaving = true
		byID[id] = u
	}
	f.relay.cfg.View.SetUpstreams(3, byID)
}

// sends returns the number of requests that upstreams have received.
func (f *fleet) sends() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.requests)
}

// TestCrashingRequestEndsTwoUpstreamsAtMost guards against attempts of one call, and
// its repeats, that end one upstream after the other.
func TestCrashingRequestEndsTwoUpstreamsAtMost(t *testing.T) {
	f := fleetWithCrashes(t, 5)
	route := nutmegview.Route{RetryPolicy: nutmegview.Idempotent, MaxUpstreams: 4}
	_, first := f.relay.Serve(t.Context(), newCall(route), &recorder{})
	_, repeat := f.relay.Serve(t.Context(), newCall(route), &recorder{})
	if diff := cmp.Diff(2, f.sends()); diff != "" {
		t.Errorf("sends (-want +got):\n%s", diff)
	}
	if first == nil || first.Ran != nutmegcall.MayHaveRun {
		t.Errorf("refusal of the first call: %v; want one that may have run", first)
	}
	if repeat == nil || repeat.Reason != nutmegcall.ReasonQuarantined || repeat.Ran != nutmegcall.NotRun || repeat.RetryAfter <= 0 {
		t.Errorf("refusal of the repeat: %+v; want %q, not run, with the rest of the hold", repeat, nutmegcall.ReasonQuarantined)
	}
}

// TestErrorAnswerDoesNotAcquit guards against a crashing request that is sent again
// because a failing upstream has answered it with an error.
func TestErrorAnswerDoesNotAcquit(t *testing.T) {
	f := newFleet(t, status(http.StatusInternalServerError))
	call := newCall(nonIdempotent)
	for n := range int64(3) {
		f.relay.cfg.Suspects.UpstreamEnded(call, nutmegview.Upstream{ID: "gone", StartedAt: time.UnixMilli(n)})
		if n == 0 {
			_, _ = f.relay.Serve(t.Context(), call, &recorder{})
		}
	}
	if hold, _ := f.relay.cfg.Suspects.Held(call); f.sends() != 1 || hold.Crashes != 3 {
		t.Errorf("%d crashes count after %d sends; want 3 after one", hold.Crashes, f.sends())
	}
}

// TestLongAnswerMakesNoSuspect guards against long answers that are blamed for the
// crash of an upstream that had been working on them for a while.
func TestLongAnswerMakesNoSuspect(t *testing.T) {
	f := fleetThatEnds(t, 2, func(server *httptest.Server, w http.ResponseWriter, _ *http.Request) {
		c := http.NewResponseController(w)
		for n := range 2 {
			_, _ = fmt.Fprintf(w, "id: %d\ndata: x\n\n", n)
			_ = c.Flush()
			time.Sleep(beginDuration + 20*time.Millisecond)
		}
		_ = server.Listener.Close()
		server.CloseClientConnections()
	})
	outcome, _ := f.relay.Serve(t.Context(), newCall(resumable), &recorder{})
	if outcome.Reason == nutmegcall.ReasonAnswered || f.sends() != 2 {
		t.Fatalf("outcome %+v after %d sends; want a broken answer after two", outcome, f.sends())
	}
	if hold, held := f.relay.cfg.Suspects.Held(newCall(resumable)); held {
		t.Errorf("held back: %+v", hold)
	}
}

// TestPlannedEndMakesNoSuspect guards against requests that are held back because
// upstreams leave as planned.
func TestPlannedEndMakesNoSuspect(t *testing.T) {
	f := fleetWithCrashes(t, 2)
	f.setLeaving()
	_, refusal := f.relay.Serve(t.Context(), newCall(idempotent), &recorder{})
	if sends := f.sends(); refusal == nil || sends != 2 {
		t.Fatalf("refusal %v after %d sends; want one after two", refusal, sends)
	}
	if hold, held := f.relay.cfg.Suspects.Held(newCall(idempotent)); held {
		t.Errorf("held back: %+v", hold)
	}
}

// TestBrokenAnswerOfLivingUpstreamMakesNoSuspect guards against requests that are
// held back because of a bad network or an upstream that fails now and then.
func TestBrokenAnswerOfLivingUpstreamMakesNoSuspect(t *testing.T) {
	f := newFleet(t, truncated("part"), truncated("part"))
	for range 3 {
		if _, refusal := f.relay.Serve(t.Context(), newCall(idempotent), &recorder{}); refusal == nil || refusal.Reason == nutmegcall.ReasonQuarantined {
			t.Errorf("refusal: %v; want one for another reason than %q", refusal, nutmegcall.ReasonQuarantined)
		}
	}
}

var _ Suspects = (*nutmegsuspect.Tracker)(nil)
