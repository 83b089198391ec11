package nutmegtrace

import (
	"testing"
	"time"
)

// TestBrokenRulesAreCaught breaks the rule of each kind of objects on purpose
// and checks that the run fails on the promise that rests on it.
func TestBrokenRulesAreCaught(t *testing.T) {
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
				t.Errorf("%s is 0 with the rule of %s broken; failures %v", measure, kind, report.Failures)
			}
		})
	}
}

// brokenTrace is a soak without other faults whose rule of a kind is broken.
func brokenTrace(t *testing.T, kind string) Trace {
	t.Helper()
	length := 3 * time.Second
	if kind == "config" {
		length = 6 * time.Second // an instance stops and starts in it
	}
	trace, err := Soak(SoakConfig{Seed: 3, Length: length, Deployment: brazos, Broken: kind})
	if err != nil {
		t.Fatal(err)
	}
	kept := trace.Steps[:0]
	for _, s := range trace.Steps {
		switch s.Do {
		case ActionPlatformUnchecked, ActionPlatformEdit, ActionPlatformRewind, ActionReplace, ActionOrder, ActionChat:
			kept = append(kept, s)
		case ActionTopUp:
			if kind != "config" || s.At == 0 { // none after the configuration went back
				kept = append(kept, s)
			}
		case ActionCut, ActionKill, ActionStart:
			if kind == "config" && s.For == 0 && (s.Do != ActionCut || s.From == brokenInstance) {
				kept = append(kept, s)
			}
		}
	}
	trace.Steps = kept
	return trace
}
