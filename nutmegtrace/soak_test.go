package nutmegtrace

import (
	"testing"
	"time"
)

// TestBrokenInvariantsAreDetected breaks the invariant of each kind of objects on
// purpose and checks that the run violates the guarantee that depends on it.
func TestBrokenInvariantsAreDetected(t *testing.T) {
	for kind, measure := range map[string]string{
		"budget": "overspend_tokens",
		"order":  "protected_double_runs",
		"config": "config_reverts",
	} {
		t.Run(kind, func(t *testing.T) {
			trace := brokenTrace(t, kind)
			report, err := Replay(testContext(t), ReplayConfig{Fleet: startFleet(t, trace.FleetConfig())}, trace)
			if err != nil {
				t.Fatal(err)
			}
			if report.Measures.counts()[measure] == 0 || len(report.Failures) == 0 {
				t.Errorf("%s is 0 with the invariant of %s broken; failures %v", measure, kind, report.Failures)
			}
		})
	}
}

// brokenTrace returns a soak trace that breaks the invariant of one kind of objects
// and has no other faults.
func brokenTrace(t *testing.T, kind string) Trace {
	t.Helper()
	length := 3 * time.Second
	if kind == "config" {
		length = 6 * time.Second // long enough for an instance to end and start
	}
	trace, err := GenerateSoakTrace(SoakConfig{Seed: 3, Length: length, Deployment: brazos, BrokenKind: kind})
	if err != nil {
		t.Fatal(err)
	}
	kept := trace.Steps[:0]
	for _, s := range trace.Steps {
		switch s.Action {
		case ActionPlatformUnchecked, ActionPlatformEdit, ActionPlatformRewind, ActionReplace, ActionOrder, ActionChat:
			kept = append(kept, s)
		case ActionTopUp:
			if kind != "config" || s.At == 0 { // a top-up after the rewind would raise the revision again
				kept = append(kept, s)
			}
		case ActionCut, ActionKill, ActionStart:
			if kind == "config" && s.Duration == 0 && (s.Action != ActionCut || s.From == brokenInstance) {
				kept = append(kept, s)
			}
		}
	}
	trace.Steps = kept
	return trace
}
