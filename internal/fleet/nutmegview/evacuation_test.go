package nutmegview

import (
	"fmt"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
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

// TestEvacuationsOfManyNamesStayBounded evacuates more names than are kept. None that
// is evacuated may be forgotten for another.
func TestEvacuationsOfManyNamesStayBounded(t *testing.T) {
	v := New()
	v.ApplyEvacuation(EvacuationChange{FailureDomain: "ipoh", Evacuated: true, Version: 1})
	for n := range 3 * maxEvacuations {
		domain := nutmegid.FailureDomain(fmt.Sprint("ended-", n))
		v.ApplyEvacuation(EvacuationChange{FailureDomain: domain, Evacuated: true, Version: nutmegid.Version(2*n + 2)})
		v.ApplyEvacuation(EvacuationChange{FailureDomain: domain, Version: nutmegid.Version(2*n + 3)})
	}
	for n := range 2 * maxEvacuations {
		v.ApplyEvacuation(EvacuationChange{FailureDomain: nutmegid.FailureDomain(fmt.Sprint("open-", n)), Evacuated: true, Version: nutmegid.Version(10*maxEvacuations + n)})
	}
	if n := len(v.Evacuations()); n > maxEvacuations {
		t.Errorf("%d changes are kept, want at most %d", n, maxEvacuations)
	}
	if !v.IsEvacuated("ipoh") {
		t.Error("the first evacuated domain was forgotten")
	}
}
