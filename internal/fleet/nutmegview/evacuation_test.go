package nutmegview

import (
	"testing"

	"github.com/google/go-cmp/cmp"
)

func TestOlderEvacuationChangesAreIgnored(t *testing.T) {
	v := New()
	var applied []EvacuationChange
	v.OnEvacuation(func(c EvacuationChange) { applied = append(applied, c) })
	began := EvacuationChange{FailureDomain: "ipoh", Evacuated: true, Version: 7}
	ended := EvacuationChange{FailureDomain: "ipoh", Version: 9}
	other := EvacuationChange{FailureDomain: "penang", Evacuated: true, Version: 8}
	for _, c := range []EvacuationChange{began, ended, began, other, ended} {
		v.ApplyEvacuation(c)
	}
	if diff := cmp.Diff([]EvacuationChange{began, ended, other}, applied); diff != "" {
		t.Errorf("applied changes (-want +got):\n%s", diff)
	}
	if v.IsEvacuated("ipoh") || !v.IsEvacuated("penang") || v.IsEvacuated("kuantan") {
		t.Errorf("evacuated: ipoh %v, penang %v, kuantan %v; want only penang", v.IsEvacuated("ipoh"), v.IsEvacuated("penang"), v.IsEvacuated("kuantan"))
	}
}
