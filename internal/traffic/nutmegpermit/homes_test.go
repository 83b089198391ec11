package nutmegpermit

import (
	"fmt"
	"slices"
	"testing"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// TestLimitsHaveHomesAfterALostFailureDomain takes each of three failure domains away for
// good. An instance of the others must find a home for every limit.
func TestLimitsHaveHomesAfterALostFailureDomain(t *testing.T) {
	const domains, perDomain, processes = 3, 25, 500
	var all []*nutmegview.Instance
	for n := range domains * perDomain {
		all = append(all, &nutmegview.Instance{Name: nutmegid.Instance(fmt.Sprint("i-", n)), FailureDomain: nutmegid.FailureDomain(fmt.Sprint("z", n%domains))})
	}
	for n := range processes {
		homes := Homes(nutmegview.Process(fmt.Sprint("u-", n)), all)
		for d := range domains {
			lost := nutmegid.FailureDomain(fmt.Sprint("z", d))
			if !slices.ContainsFunc(homes, func(i *nutmegview.Instance) bool { return i.FailureDomain != lost }) {
				t.Errorf("limit %d has no home once %s is lost", n, lost)
			}
		}
		if len(homes) > homeCount+1 {
			t.Errorf("limit %d has %d homes", n, len(homes))
		}
	}
}

// TestLimitsOfAFleetInOneDomainHaveHomes covers fleets too small for a home elsewhere.
func TestLimitsOfAFleetInOneDomainHaveHomes(t *testing.T) {
	var all []*nutmegview.Instance
	for n := range 4 {
		if got := len(Homes("u", all)); got != min(n, homeCount) {
			t.Errorf("%d homes among %d instances", got, n)
		}
		all = append(all, &nutmegview.Instance{Name: nutmegid.Instance(fmt.Sprint("i-", n)), FailureDomain: "z"})
	}
}
