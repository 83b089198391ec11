package nutmegsuspect

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// stored returns a snapshot as it comes back from the store.
func stored(t *testing.T, list []Conviction) []Conviction {
	t.Helper()
	text, err := json.Marshal(list)
	if err != nil {
		t.Fatal(err)
	}
	var decoded []Conviction
	if err := json.Unmarshal(text, &decoded); err != nil {
		t.Fatal(err)
	}
	return decoded
}

// TestRestoredSuspectsAreHeld guards against a fleet that forgets what it holds back
// when all instances end.
func TestRestoredSuspectsAreHeld(t *testing.T) {
	before := newFixture("before")
	c := newCall("/a")
	for n := range int64(crashesToHold + 1) {
		before.UpstreamEnded(c, process("u", n))
	}
	before.UpstreamEnded(newCall("/once"), process("v", 1))
	after := newFixture("after")
	after.now = before.now.Add(firstHold / 2)
	after.Restore(stored(t, before.MergeSnapshot(nil)))
	if !after.held(c) {
		t.Errorf("a request that was held back before is not")
	}
	if diff := cmp.Diff(1, len(after.records)); diff != "" {
		t.Errorf("restored suspects (-want +got):\n%s", diff)
	}
}

// TestAcquittedSuspectsAreNotStored guards against sound requests that are held back
// again after each restart.
func TestAcquittedSuspectsAreNotStored(t *testing.T) {
	f := newFixture("one")
	c := newCall("/a")
	for n := range int64(crashesToHold) {
		f.UpstreamEnded(c, process("u", n))
	}
	earlier := f.MergeSnapshot(nil)
	f.Answered(c)
	if diff := cmp.Diff([]Conviction(nil), f.MergeSnapshot(earlier)); diff != "" {
		t.Errorf("stored suspects (-want +got):\n%s", diff)
	}
}

func TestStoredSuspectsAreBounded(t *testing.T) {
	f := newFixture("one")
	var earlier []Conviction
	for n := range 2 * maxConvictions {
		at := f.now.Add(-time.Duration(n) * time.Second)
		earlier = append(earlier, Conviction{Suspect: Suspect{Key: hashKey([]byte(fmt.Sprint(n)))}, Crashes: map[nutmegview.Process]time.Time{"u": at}})
	}
	earlier = append(earlier, Conviction{Suspect: Suspect{Key: hashKey([]byte("old"))}, Crashes: map[nutmegview.Process]time.Time{"u": f.now.Add(-2 * ReportLifetime)}})
	got := f.MergeSnapshot(earlier)
	if diff := cmp.Diff(earlier[:maxConvictions], got); diff != "" {
		t.Errorf("the latest suspects (-want +got):\n%s", diff)
	}
}
