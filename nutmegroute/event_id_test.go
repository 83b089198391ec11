package nutmegroute

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

var testStreamRef = StreamRef{
	Request: "r-1", Workspace: "rack", Owner: "kaca", Model: "drafter",
	Upstream: "engine-1", Stream: "s-1", ReservedTokens: 120, MaxAnswer: 100,
}

func mustWriter(t testing.TB, s *Signer) *EventIDWriter {
	t.Helper()
	w, err := s.Writer(testStreamRef)
	if err != nil {
		t.Fatal(err)
	}
	return w
}

func TestEventIDRoundTrip(t *testing.T) {
	s := NewSigner([]byte("fleet key"))
	ref, offset, err := s.Open(mustWriter(t, s).ID(42), "rack")
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(testStreamRef, ref); diff != "" || offset != 42 {
		t.Errorf("offset %d, stream (-want +got):\n%s", offset, diff)
	}
}

func TestEventIDOfAnotherFleetOrWorkspace(t *testing.T) {
	s := NewSigner([]byte("fleet key"))
	id := mustWriter(t, s).ID(1)
	_, _, err := NewSigner([]byte("another key")).Open(id, "rack")
	var idErr *EventIDError
	if !errors.As(err, &idErr) || idErr.Kind != EventIDForged {
		t.Errorf("id of another fleet: %v; want %s", err, EventIDForged)
	}
	_, _, err = s.Open(id, "other")
	if !errors.As(err, &idErr) || idErr.Kind != EventIDForeign {
		t.Errorf("id of another workspace: %v; want %s", err, EventIDForeign)
	}
}

// FuzzEventID checks that only unchanged ids created by the fleet can be opened.
func FuzzEventID(f *testing.F) {
	s := NewSigner([]byte("fleet key"))
	id := mustWriter(f, s).ID(7)
	for _, seed := range []string{id, "", ".", "..", "a.1.b", id + "x", strings.ToUpper(id), id[:40]} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, given string) {
		ref, offset, err := s.Open(given, "rack")
		if err != nil {
			return
		}
		w, err := s.Writer(ref)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(w.ID(offset), given); diff != "" {
			t.Errorf("opened an id that the fleet did not create (-created +given):\n%s", diff)
		}
	})
}
