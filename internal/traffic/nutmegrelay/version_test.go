package nutmegrelay

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// setVersions gives the upstreams u0, u1, … software versions. The seed decides which are
// tried first.
func (f *fleet) setVersions(seed uint64, versions ...nutmegview.SoftwareVersion) {
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	for id, u := range f.view.Upstreams().ByID {
		u.Version = versions[id[1]-'0']
		byID[id] = u
	}
	f.view.SetUpstreams(2, byID)
	f.relay.cfg.Placer = nutmegplace.New(nutmegplace.Config{Seed: seed})
	f.relay.cfg.Placer.SetUpstreams(f.view.Upstreams())
}

const (
	firstEvent  = "id: 1\ndata: one\n\n"
	secondEvent = "id: 2\ndata: two\n\n"
	otherEvent  = "id: 2\ndata: of another version\n\n"
)

// A stream went on at an upstream of another software version than the one that had
// begun it (ORDER): what the two write does not fit together.
func TestStreamGoesOnAtItsOwnVersionOnly(t *testing.T) {
	for seed := range uint64(20) {
		f := newFleet(t, truncated(firstEvent), truncated(firstEvent), text(otherEvent))
		f.setVersions(seed, "v1", "v1", "v2")
		call := newCall(resumable)
		call.Route.MaxUpstreams = 3
		sink := &recorder{}
		outcome, refusal := f.relay.Serve(t.Context(), call, sink)
		if refusal != nil {
			t.Fatal(refusal)
		}
		if outcome.Reason == nutmegcall.ReasonAnswered && sink.Body != otherEvent {
			t.Fatalf("the caller got %q as a complete stream, joined from two versions", sink.Body)
		}
	}
}

// A stream of which the caller has nothing yet may begin anew at any version, and one
// that broke off goes on as before where its version still serves.
func TestBrokenStreamGoesOnWhereItsVersionServes(t *testing.T) {
	got := map[string]bool{}
	for seed := range uint64(30) {
		f := newFleet(t, truncated(firstEvent), text(otherEvent), text(secondEvent))
		f.setVersions(seed, "v1", "v2", "v1")
		sink := &recorder{}
		if _, refusal := f.relay.Serve(t.Context(), newCall(resumable), sink); refusal != nil {
			t.Fatal(refusal)
		}
		got[sink.Body] = true
	}
	want := map[string]bool{firstEvent + secondEvent: true, otherEvent: true, secondEvent: true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("streams (-want +got):\n%s", diff)
	}
	for seed := range uint64(10) {
		f := newFleet(t, truncated("id: 1\ndata"), text(firstEvent))
		f.setVersions(seed, "v1", "v2")
		sink := &recorder{}
		outcome, refusal := f.relay.Serve(t.Context(), newCall(resumable), sink)
		if refusal != nil || outcome.Reason != nutmegcall.ReasonAnswered || sink.Body != firstEvent {
			t.Fatalf("stream %q, outcome %+v, refusal %v; want the whole stream of the other version", sink.Body, outcome, refusal)
		}
	}
}
