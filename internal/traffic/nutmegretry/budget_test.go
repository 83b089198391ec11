package nutmegretry

import (
	"math/rand/v2"
	"testing"
	"time"
)

var config = Config{Ratio: 0.2, Extra: 52, Window: 10 * time.Second}

func TestAStormOfFailuresStaysWithinTheFleetsBudget(t *testing.T) {
	// Six instances whose every request fails and wants to be sent again, at a
	// rate that changes from second to second.
	const instances = 6
	random := rand.New(rand.NewPCG(1, 1))
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(config)
	}
	type sending struct {
		at    time.Duration
		again bool
	}
	var all []sending
	for at := time.Duration(0); at < time.Minute; at += time.Duration(random.IntN(20)+1) * time.Millisecond {
		b := budgets[random.IntN(instances)]
		b.First("drafter", at)
		all = append(all, sending{at: at})
		if b.Again("drafter", at, instances) {
			all = append(all, sending{at: at, again: true})
		}
	}
	from := 0
	firsts, repeats := 0, 0
	for _, s := range all {
		if s.again {
			repeats++
		} else {
			firsts++
		}
		for all[from].at <= s.at-config.Window {
			if all[from].again {
				repeats--
			} else {
				firsts--
			}
			from++
		}
		if bound := config.Ratio*float64(firsts) + config.Extra; float64(repeats) > bound {
			t.Fatalf("%d repeats of %d requests in a window, bound %v", repeats, firsts, bound)
		}
	}
	if repeats == 0 {
		t.Error("no request was sent again")
	}
}

func TestAnIdleServiceHasRepeatsToGive(t *testing.T) {
	b := NewBudget(config)
	b.First("desk", time.Hour)
	if !b.Again("desk", time.Hour, 6) {
		t.Error("the first failure of a quiet service was not sent again")
	}
}

func TestServicesAreCountedApart(t *testing.T) {
	b := NewBudget(config)
	for b.Again("drafter", time.Second, 6) {
		continue
	}
	b.First("desk", time.Second)
	if !b.Again("desk", time.Second, 6) {
		t.Error("a service was charged with another's repeats")
	}
}

func TestChangedBoundsHoldForWhatWasCounted(t *testing.T) {
	b := NewBudget(config)
	for b.Again("desk", time.Second, 1) {
		continue
	}
	b.SetConfig(Config{Ratio: 0.2, Extra: 2 * config.Extra, Window: config.Window})
	if !b.Again("desk", time.Second, 1) {
		t.Error("a larger bound gave nothing")
	}
	b.SetConfig(config)
	if b.Again("desk", time.Second, 1) {
		t.Error("repeats were forgotten when the bound fell back")
	}
}
