package nutmegconf

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestCompletersShareTheirLooks lets an effect stay pending for ten minutes: a
// fleet looks at it about as often whatever its size, and first within a few seconds.
func TestCompletersShareTheirLooks(t *testing.T) {
	for _, n := range []int{7, 70} {
		synctest.Test(t, func(t *testing.T) {
			d := testDesk(t)
			looks := 0
			began := time.Now()
			first := time.Duration(0)
			d.ledger.fail = func() bool {
				looks++
				if first == 0 {
					first = time.Since(began)
				}
				return true
			}
			d.accept(t, Intent{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5})
			looks, first, began = 0, 0, time.Now()
			head, _ := d.rollout.Head()
			var all []*Completer
			for range n {
				c := NewCompleter(CompleterConfig{Book: newDesk(d.store, d.ledger).book, Instances: func() int { return n }})
				c.Start()
				c.Notice(head)
				all = append(all, c)
			}
			time.Sleep(10 * time.Minute)
			for _, c := range all {
				c.Stop()
			}
			if first < DefaultCompleteDelay || first > 3*DefaultCompleteDelay {
				t.Errorf("%d instances looked first after %s", n, first)
			}
			if perSecond := float64(looks) / 600; perSecond < 0.5 || perSecond > 4 {
				t.Errorf("%d instances looked %.1f times a second", n, perSecond)
			}
		})
	}
}

// TestCompleterCarriesOutWhatItNotices follows one effect from notice to end.
func TestCompleterCarriesOutWhatItNotices(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := testDesk(t)
		d.ledger.fail = func() bool { return true }
		done := d.accept(t, Intent{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5})
		d.ledger.fail = func() bool { return false }
		c := NewCompleter(CompleterConfig{Book: newDesk(d.store, d.ledger).book})
		c.Start()
		defer c.Stop()
		head, _ := d.rollout.Head()
		c.Notice(head)
		time.Sleep(3 * DefaultCompleteDelay)
		synctest.Wait()
		if diff := cmp.Diff(1, d.ledger.times(done.Pending[0].ID)); diff != "" {
			t.Errorf("times that the effect took place (-want +got):\n%s", diff)
		}
		if left, err := d.book.CompletePending(t.Context()); err != nil || len(left.Pending) > 0 {
			t.Errorf("still pending: %v (%v)", left.Pending, err)
		}
	})
}
