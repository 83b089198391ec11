package nutmegledger

import (
	"context"
	"errors"
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// memory is a store whose calls fail without effect, or take effect without
// an answer, as drawn.
type memory struct {
	objects map[nutmegstore.Key]nutmegstore.Object
	version nutmegid.Version
	fault   func() string // "", "fail" or "lose"
}

func newMemory() *memory {
	return &memory{objects: make(map[nutmegstore.Key]nutmegstore.Object), fault: func() string { return "" }}
}

func (m *memory) failure(kind nutmegstore.ErrorKind, key nutmegstore.Key) error {
	return &nutmegstore.Error{Kind: kind, Key: key, Err: errors.New("drawn")}
}

func (m *memory) Get(_ context.Context, key nutmegstore.Key) (nutmegstore.Object, error) {
	object, ok := m.objects[key]
	if !ok {
		return object, m.failure(nutmegstore.KindNotFound, key)
	}
	return object, nil
}

func (m *memory) Create(_ context.Context, key nutmegstore.Key, value []byte) (nutmegid.Version, error) {
	fault := m.fault()
	if fault == "fail" {
		return 0, m.failure(nutmegstore.KindUnavailable, key)
	}
	if _, ok := m.objects[key]; ok {
		return 0, m.failure(nutmegstore.KindConflict, key)
	}
	m.version++
	m.objects[key] = nutmegstore.Object{Key: key, Version: m.version, Value: value}
	if fault == "lose" {
		return 0, m.failure(nutmegstore.KindUnknown, key)
	}
	return m.version, nil
}

func (m *memory) Replace(_ context.Context, key nutmegstore.Key, _ []byte, _ nutmegid.Version) (nutmegid.Version, error) {
	return 0, m.failure(nutmegstore.KindConflict, key)
}

func (m *memory) Delete(_ context.Context, key nutmegstore.Key, version nutmegid.Version) error {
	fault := m.fault()
	if fault == "fail" {
		return m.failure(nutmegstore.KindUnavailable, key)
	}
	if m.objects[key].Version != version {
		return m.failure(nutmegstore.KindNotFound, key)
	}
	delete(m.objects, key)
	if fault == "lose" {
		return m.failure(nutmegstore.KindUnknown, key)
	}
	return nil
}

func (m *memory) List(_ context.Context, kind, _ string) ([]nutmegstore.Object, error) {
	var objects []nutmegstore.Object
	for key, object := range m.objects {
		if key.Kind == kind {
			objects = append(objects, object)
		}
	}
	return objects, nil
}

func (m *memory) count(kind string) int {
	objects, _ := m.List(context.Background(), kind, "")
	return len(objects)
}

// put writes one segment of lines.
func (m *memory) put(t interface{ Fatal(...any) }, sequence uint64, lines []Line) {
	w := nutmegstore.NewWriter(m, "w")
	segment := Segment{Incarnation: "w", Sequence: sequence, Lines: lines}
	if err := nutmegstore.Create(context.Background(), w, SegmentKey("w", sequence), segment); err != nil {
		t.Fatal(err)
	}
}

func TestCompactionMovesSegmentsIntoPages(t *testing.T) {
	m := newMemory()
	for n := range 300 {
		m.put(t, uint64(n+1), []Line{line(n), line(n + 1)})
	}
	before, err := Fold(t.Context(), m)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := Compact(t.Context(), nutmegstore.NewWriter(m, "c"), m, 256); err != nil {
		t.Fatal(err)
	}
	after, err := Fold(t.Context(), m)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("bills (-before +after):\n%s", diff)
	}
	if diff := cmp.Diff([]int{0, 1}, []int{m.count(SegmentKind), m.count(PageKind)}); diff != "" {
		t.Errorf("segments and pages (-want +got):\n%s", diff)
	}
}

func TestFewSegmentsAreNotCompacted(t *testing.T) {
	m := newMemory()
	m.put(t, 1, []Line{line(1)})
	moved, err := Compact(t.Context(), nutmegstore.NewWriter(m, "c"), m, 2)
	if err != nil || moved != 0 || m.count(SegmentKind) != 1 {
		t.Errorf("moved %d with error %v; want the segment to stay", moved, err)
	}
}

func TestDamagedSegmentIsNeverCompacted(t *testing.T) {
	m := newMemory()
	m.put(t, 1, []Line{line(1)})
	damaged := SegmentKey("w", 2)
	if _, err := m.Create(t.Context(), damaged, []byte("damaged")); err != nil {
		t.Fatal(err)
	}
	if _, err := Compact(t.Context(), nutmegstore.NewWriter(m, "c"), m, 1); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("damaged", string(m.objects[damaged].Value)); diff != "" {
		t.Errorf("damaged segment (-want +got):\n%s", diff)
	}
}

// TestBillsStayTheSameThroughFaultyCompactions draws lost answers and failures
// for every write of several compactions, between which lines are added.
func TestBillsStayTheSameThroughFaultyCompactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemory()
		written := 0
		for round := range rapid.IntRange(1, 4).Draw(t, "rounds") {
			for range rapid.IntRange(0, 5).Draw(t, "segments") {
				m.put(t, uint64(written+1), []Line{line(written), line(max(0, written-1))})
				written++
			}
			m.fault = func() string {
				return rapid.SampledFrom([]string{"", "", "", "lose", "fail"}).Draw(t, "fault")
			}
			ctx, cancel := context.WithCancel(context.Background())
			cancel() // no attempt is repeated after a wait
			_, _ = Compact(ctx, nutmegstore.NewWriter(m, nutmegid.Incarnation(fmt.Sprintf("c%d", round))), m, 1)
			m.fault = func() string { return "" }
			bills, err := Fold(context.Background(), m)
			if err != nil {
				t.Fatal(err)
			}
			requests := 0
			for _, b := range bills.Owners {
				requests += b.Requests
			}
			if requests != written {
				t.Fatalf("billed %d requests of %d after round %d", requests, written, round)
			}
		}
	})
}
