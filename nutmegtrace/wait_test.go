package nutmegtrace

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// TestOnlyTheStartOfAFaultWaits guards against a fault whose end would wait for the steps that it delays.
func TestOnlyTheStartOfAFaultWaits(t *testing.T) {
	fault := Step{At: nutmegconf.Duration(time.Second), Duration: nutmegconf.Duration(time.Second), Action: ActionPlatformOutage, Wait: true}
	var waits []bool
	for _, s := range (Trace{Steps: []Step{fault}}).Schedule(1, 1) {
		waits = append(waits, s.Wait)
	}
	if diff := cmp.Diff([]bool{true, false}, waits); diff != "" {
		t.Error(diff)
	}
}
