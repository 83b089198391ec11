package nutmegroute

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// usableNow reports whether engine-000 accepts new requests.
func usableNow(p *Pool) bool {
	return p.all["engine-000"].usable(p.now())
}

func live(leaving bool) map[nutmegid.Upstream]bool {
	return map[nutmegid.Upstream]bool{"engine-000": leaving}
}

func TestLaggingListDoesNotRestoreLeavingUpstream(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		first, second := newTestPool(2), newTestPool(2)
		first.TakeLive(live(false))
		second.TakeLive(live(false))
		first.TakeLive(live(true))
		second.MergeLeaving(first.ExportLeaving())
		second.TakeLive(live(false))
		if usableNow(first) || usableNow(second) {
			t.Error("a leaving upstream accepts new requests")
		}
		time.Sleep(2 * time.Second)
		second.TakeLive(live(true))
		first.TakeLive(live(false))
		second.MergeLeaving(first.ExportLeaving())
		if diff := cmp.Diff([]bool{true, true}, []bool{usableNow(first), usableNow(second)}); diff != "" {
			t.Errorf("accepts requests after its return (-want +got):\n%s", diff)
		}
	})
}

func TestListOverridesStaleRecordEventually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(2)
		p.TakeLive(live(false))
		p.MergeLeaving([]LeavingNote{{Upstream: "engine-000", Serial: 9, Leaving: true}})
		p.TakeLive(live(false))
		if usableNow(p) {
			t.Error("the list overrode a recent record")
		}
		time.Sleep(liveListTrustAge)
		p.TakeLive(live(false))
		if !usableNow(p) {
			t.Error("the upstream accepts no requests although the list has shown it live for liveListTrustAge")
		}
	})
}

func TestNewInstanceTrustsListedLeaving(t *testing.T) {
	p := newTestPool(2)
	p.TakeLive(live(true))
	if usableNow(p) {
		t.Error("an upstream listed as leaving accepts new requests")
	}
}
