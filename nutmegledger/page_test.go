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

// memoryStore is an in-memory object store. Its fault function decides for each
// write whether it fails without effect or takes effect without a response.
type memoryStore struct {
	objects map[nutmegstore.Key]nutmegstore.Object
	version nutmegid.Version
	fault   func() string // "", "fail" or "lose"
}

func newMemoryStore() *memoryStore {
	return &memoryStore{objects: make(map[nutmegstore.Key]nutmegstore.Object), fault: func() string { return "" }}
}

func (m *memoryStore) failure(kind nutmegstore.ErrorKind, key nutmegstore.Key) error {
	return &nutmegstore.Error{Kind: kind, Key: key, Err: errors.New("drawn")}
}

func (m *memoryStore) Get(_ context.Context, key nutmegstore.Key) (nutmegstore.Object, error) {
	object, ok := m.objects[key]
	if !ok {
		return object, m.failure(nutmegstore.KindNotFound, key)
	}
	return object, nil
}

func (m *memoryStore) Create(_ context.Context, key nutmegstore.Key, value []byte) (nutmegid.Version, error) {
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

func (m *memoryStore) Replace(_ context.Context, key nutmegstore.Key, _ []byte, _ nutmegid.Version) (nutmegid.Version, error) {
	return 0, m.failure(nutmegstore.KindConflict, key)
}

func (m *memoryStore) Delete(_ context.Context, key nutmegstore.Key, version nutmegid.Version) error {
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

func (m *memoryStore) List(_ context.Context, kind, _ string) ([]nutmegstore.Object, error) {
	var objects []nutmegstore.Object
	for key, object := range m.objects {
		if key.Kind == kind {
			objects = append(objects, object)
		}
	}
	return objects, nil
}

func (m *memoryStore) count(kind string) int {
	objects, _ := m.List(context.Background(), kind, "")
	return len(objects)
}

// put writes lines as one segment.
func (m *memoryStore) put(t interface{ Fatal(...any) }, sequence uint64, lines []Line) {
	w := nutmegstore.NewWriter(m, "w")
	segment := Segment{Incarnation: "w", Sequence: sequence, Lines: lines}
	if err := nutmegstore.Create(context.Background(), w, SegmentKey("w", sequence), segment); err != nil {
		t.Fatal(err)
	}
}

func TestCompactionMovesSegmentsIntoPages(t *testing.T) {
	m := newMemoryStore()
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
	m := newMemoryStore()
	m.put(t, 1, []Line{line(1)})
	compacted, err := Compact(t.Context(), nutmegstore.NewWriter(m, "c"), m, 2)
	if err != nil || compacted != 0 || m.count(SegmentKind) != 1 {
		t.Errorf("Compact reported %d segments with error %v; want 0 and no error", compacted, err)
	}
}

func TestDamagedSegmentIsNeverCompacted(t *testing.T) {
	m := newMemoryStore()
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

// TestBillsStayTheSameThroughFaultyCompactions injects random failures and lost
// responses into the writes and deletions of several compactions, adds lines in
// between, and checks that every request is billed once.
func TestBillsStayTheSameThroughFaultyCompactions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMemoryStore()
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
			cancel() // prevents retries after a backoff
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
				t.Fatalf("billed %d requests, want %d, after round %d", requests, written, round)
			}
		}
	})
}
