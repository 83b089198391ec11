package nutmegroute

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// usableNow says whether engine-000 takes new work at a pool.
func usableNow(p *Pool) bool {
	return p.all["engine-000"].usable(p.now())
}

func live(leaving bool) map[nutmegid.Upstream]bool {
	return map[nutmegid.Upstream]bool{"engine-000": leaving}
}

func TestLaggingListDoesNotBringALeavingUpstreamBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newTestPool(2), newTestPool(2)
		first.TakeLive(live(false))
		second.TakeLive(live(false))
		first.TakeLive(live(true))
		second.MergeLeaving(first.ExportLeaving())
		second.TakeLive(live(false))
		if usableNow(first) || usableNow(second) {
			t.Error("an upstream that leaves takes new work")
		}
		time.Sleep(2 * time.Second)
		second.TakeLive(live(true))
		first.TakeLive(live(false))
		second.MergeLeaving(first.ExportLeaving())
		if diff := cmp.Diff([]bool{true, true}, []bool{usableNow(first), usableNow(second)}); diff != "" {
			t.Errorf("takes work after its return (-want +got):\n%s", diff)
		}
	})
}

func TestListOverrulesAStrayNoteInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(2)
		p.TakeLive(live(false))
		p.MergeLeaving([]LeavingNote{{Upstream: "engine-000", Serial: 9, Leaving: true}})
		p.TakeLive(live(false))
		if usableNow(p) {
			t.Error("the list overruled a fresh note")
		}
		time.Sleep(liveListTrust)
		p.TakeLive(live(false))
		if !usableNow(p) {
			t.Error("the upstream takes no work, though the list has shown it live for long")
		}
	})
}

func TestStartedInstanceTrustsAListThatSaysLeaving(t *testing.T) {
	p := newTestPool(2)
	p.TakeLive(live(true))
	if usableNow(p) {
		t.Error("an upstream that the list shows as leaving takes new work")
	}
}
