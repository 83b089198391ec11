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
		first.ApplyLiveList(live(false))
		second.ApplyLiveList(live(false))
		first.ApplyLiveList(live(true))
		second.MergeLeaving(first.ExportLeaving())
		second.ApplyLiveList(live(false))
		if usableNow(first) || usableNow(second) {
			t.Error("a leaving upstream accepts new requests")
		}
		time.Sleep(2 * time.Second)
		second.ApplyLiveList(live(true))
		first.ApplyLiveList(live(false))
		second.MergeLeaving(first.ExportLeaving())
		if diff := cmp.Diff([]bool{true, true}, []bool{usableNow(first), usableNow(second)}); diff != "" {
			t.Errorf("accepts requests after its return (-want +got):\n%s", diff)
		}
	})
}

func TestListOverridesStaleRecordEventually(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newTestPool(2)
		p.ApplyLiveList(live(false))
		p.MergeLeaving([]LeavingRecord{{Upstream: "engine-000", Serial: 9, Leaving: true}})
		p.ApplyLiveList(live(false))
		if usableNow(p) {
			t.Error("the list overrode a recent record")
		}
		time.Sleep(liveListTrustAge)
		p.ApplyLiveList(live(false))
		if !usableNow(p) {
			t.Error("the upstream accepts no requests although the list has shown it live for liveListTrustAge")
		}
	})
}

func TestNewInstanceTrustsListedLeaving(t *testing.T) {
	p := newTestPool(2)
	p.ApplyLiveList(live(true))
	if usableNow(p) {
		t.Error("an upstream listed as leaving accepts new requests")
	}
}
