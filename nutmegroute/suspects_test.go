package nutmegroute

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// outageStore is a store that can be unavailable, or lose the responses to its writes.
type outageStore struct {
	localSuspects
	out  bool
	lost bool
}

var errStoreDown = errors.New("the store is unavailable")

func (s *outageStore) Update(ctx context.Context, change func(*SuspectList) error) (SuspectList, error) {
	if s.out {
		return SuspectList{}, errStoreDown
	}
	list, err := s.localSuspects.Update(ctx, change)
	if err == nil && s.lost {
		return SuspectList{}, errStoreDown
	}
	return list, err
}

// fixedPicker always picks the same upstream.
type fixedPicker struct{ upstream nutmegid.Upstream }

func (p fixedPicker) Pick(context.Context, []nutmegid.Upstream) (nutmegid.Upstream, error) {
	return p.upstream, nil
}
func (fixedPicker) Release(error) {}

// suspectFleet holds several instances that share one store.
type suspectFleet struct {
	store     *outageStore
	instances []*Suspects
	crashes   int
}

func newSuspectFleet(n int) *suspectFleet {
	f := &suspectFleet{store: &outageStore{}}
	for range n {
		f.instances = append(f.instances, NewSuspects(SuspectsConfig{Store: f.store, Now: func() time.Time { return time.Unix(0, 0) }}))
	}
	return f
}

// send simulates one attempt of a request that crashes every upstream.
func (f *suspectFleet) send(s *Suspects, fingerprint Fingerprint, u nutmegid.Upstream) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
	defer cancel()
	switch s.Check(fingerprint) {
	case VerdictClear:
		f.crashes++
		s.RecordCrash(ctx, CrashReport{Fingerprint: fingerprint, Upstream: u})
	case VerdictSuspect:
		if s.BeginTrial(ctx, fingerprint, fixedPicker{upstream: u}) == nil {
			f.crashes++
			s.EndTrial(ctx, fingerprint, VerdictQuarantined)
		}
	case VerdictQuarantined:
	}
}

// share merges the entries of one instance into another, as gossip and the store watch do.
func share(from, to *Suspects) { to.Merge(from.Export(maxSuspects)) }

func TestRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newSuspectFleet(4)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			at := f.instances[rapid.IntRange(0, 3).Draw(t, "instance")]
			f.store.out = rapid.Bool().Draw(t, "store_out")
			f.store.lost = rapid.Bool().Draw(t, "answer_lost")
			before := at.Check("f")
			f.send(at, "f", nutmegid.Upstream(rapid.StringMatching("u[1-4]").Draw(t, "upstream")))
			// Every instance learns of the first crash before the caller sends the request
			// again. Later changes may arrive late.
			if after := at.Check("f"); after != before && (after == VerdictSuspect || rapid.Bool().Draw(t, "heard")) {
				for _, other := range f.instances {
					share(at, other)
				}
			}
		}
		if f.crashes > 2 {
			t.Fatalf("%d upstreams crashed; want at most 2", f.crashes)
		}
	})
}

func TestOneTrialAtATimePerUpstream(t *testing.T) {
	f := newSuspectFleet(2)
	a, b := f.instances[0], f.instances[1]
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Millisecond)
	defer cancel()
	a.RecordCrash(ctx, CrashReport{Fingerprint: "guilty", Upstream: "u1"})
	a.RecordCrash(ctx, CrashReport{Fingerprint: "innocent", Upstream: "u1"})
	share(a, b)
	if err := a.BeginTrial(ctx, "guilty", fixedPicker{upstream: "u2"}); err != nil {
		t.Fatal(err)
	}
	if err := b.BeginTrial(ctx, "innocent", fixedPicker{upstream: "u2"}); !IsKind(err, KindSuspect) || RanOf(err) != RanNo {
		t.Errorf("second trial at the same upstream: %v; want %s and RanNo", err, KindSuspect)
	}
	a.EndTrial(t.Context(), "guilty", VerdictQuarantined)
	if err := b.BeginTrial(t.Context(), "innocent", fixedPicker{upstream: "u2"}); err != nil {
		t.Fatal(err)
	}
	b.EndTrial(t.Context(), "innocent", VerdictClear)
	share(b, a)
	share(a, b)
	got := map[Fingerprint]Verdict{"guilty": b.Check("guilty"), "innocent": a.Check("innocent")}
	want := map[Fingerprint]Verdict{"guilty": VerdictQuarantined, "innocent": VerdictClear}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

func TestStalePeerDoesNotReverseClear(t *testing.T) {
	f := newSuspectFleet(2)
	a, old := f.instances[0], f.instances[1]
	a.RecordCrash(t.Context(), CrashReport{Fingerprint: "f", Upstream: "u1"})
	share(a, old)
	if err := a.Clear(t.Context(), "f"); err != nil {
		t.Fatal(err)
	}
	share(old, a)
	if diff := cmp.Diff(VerdictClear, a.Check("f")); diff != "" {
		t.Errorf("verdict after merging a stale peer's entries (-want +got):\n%s", diff)
	}
}

func TestSuspectsAreBoundedAndKeepQuarantined(t *testing.T) {
	s := NewSuspects(SuspectsConfig{})
	s.RecordCrash(t.Context(), CrashReport{Fingerprint: "guilty", Upstream: "u1"})
	s.EndTrial(t.Context(), "guilty", VerdictQuarantined)
	var many []Suspect
	for i := range 2 * maxSuspects {
		f := NewFingerprint("rack", "m", []byte{byte(i), byte(i >> 8)})
		many = append(many, Suspect{Fingerprint: f, Sequence: 1, Verdict: VerdictSuspect, ChangedAt: time.Unix(int64(i), 0)})
	}
	s.Merge(many)
	if n := len(s.Export(4 * maxSuspects)); n != maxSuspects {
		t.Errorf("%d entries are kept; want %d", n, maxSuspects)
	}
	if diff := cmp.Diff(VerdictQuarantined, s.Check("guilty")); diff != "" {
		t.Errorf("verdict (-want +got):\n%s", diff)
	}
}
