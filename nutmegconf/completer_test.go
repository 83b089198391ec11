package nutmegconf

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCompletionRateIsIndependentOfFleetSize keeps an effect pending for ten
// minutes. The fleet must try it first within a few seconds and then at about the
// same rate whatever the number of instances. Without the wait that grows with the
// fleet, the calls to the store would grow with it.
func TestCompletionRateIsIndependentOfFleetSize(t *testing.T) {
	for _, n := range []int{7, 70} {
		synctest.Test(t, func(t *testing.T) {
			inst := newConfiguredInstance(t)
			attempts := 0
			started := time.Now()
			first := time.Duration(0)
			inst.fleet.failApply = func() bool {
				attempts++
				if first == 0 {
					first = time.Since(started)
				}
				return true
			}
			inst.accept(t, Intent{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5})
			attempts, first, started = 0, 0, time.Now()
			head, _ := inst.rollout.Head()
			var completers []*Completer
			for range n {
				c := NewCompleter(CompleterConfig{Planner: newTestInstance(inst.store, inst.fleet).planner, Instances: func() int { return n }})
				c.Start()
				c.Observe(head)
				completers = append(completers, c)
			}
			time.Sleep(10 * time.Minute)
			for _, c := range completers {
				c.Stop()
			}
			if first < DefaultCompleteDelay || first > 3*DefaultCompleteDelay {
				t.Errorf("%d instances made the first attempt after %s", n, first)
			}
			if perSecond := float64(attempts) / 600; perSecond < 0.5 || perSecond > 4 {
				t.Errorf("%d instances made %.1f attempts per second", n, perSecond)
			}
		})
	}
}

// TestCompleterAppliesPendingEffect checks that a pending effect reported to a
// completer is applied once and removed from the head.
func TestCompleterAppliesPendingEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		inst := newConfiguredInstance(t)
		inst.fleet.failApply = func() bool { return true }
		done := inst.accept(t, Intent{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5})
		inst.fleet.failApply = func() bool { return false }
		c := NewCompleter(CompleterConfig{Planner: newTestInstance(inst.store, inst.fleet).planner})
		c.Start()
		defer c.Stop()
		head, _ := inst.rollout.Head()
		c.Observe(head)
		time.Sleep(3 * DefaultCompleteDelay)
		synctest.Wait()
		if diff := cmp.Diff(1, inst.fleet.appliedCount(done.PendingEffects[0].ID)); diff != "" {
			t.Errorf("number of times the effect was applied (-want +got):\n%s", diff)
		}
		if left, err := inst.planner.CompletePending(t.Context()); err != nil || len(left.Pending) > 0 {
			t.Errorf("still pending: %v (%v)", left.Pending, err)
		}
	})
}
