package nutmegconf

import (
	"fmt"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// BenchmarkConfirm plans and confirms one change of one workspace.
func BenchmarkConfirm(b *testing.B) {
	for _, n := range []int{26, 260, 2600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			d := bigDesk(b, n, n*12_000/2600)
			kinds := []IntentKind{IntentCloseWorkspace, IntentOpenWorkspace}
			i := 0
			for b.Loop() {
				plan, err := d.book.Plan(b.Context(), fleetActor, "", []Intent{{Kind: kinds[i%2], Workspace: "workspace-0"}})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := d.book.Confirm(b.Context(), fleetActor, plan.ID); err != nil {
					b.Fatal(err)
				}
				i++
			}
			b.ReportMetric(float64(len(d.store.objects[HeadKey].Value)), "head-B")
		})
	}
}

// BenchmarkOffer puts a revision with one changed segment into force.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{26, 260, 2600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			d := bigDesk(b, n, n*12_000/2600)
			heads := twoHeads(b, d)
			source := StoreSource{d.book.cfg.Store}
			i := 0
			for b.Loop() {
				head := heads[i%2]
				head.Revision = nutmegid.Revision(i + 10)
				if _, err := d.rollout.Offer(b.Context(), head, source); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// twoHeads returns two heads that differ in one segment.
func twoHeads(b *testing.B, d *desk) [2]Head {
	b.Helper()
	var heads [2]Head
	for n, kind := range []IntentKind{IntentCloseWorkspace, IntentOpenWorkspace} {
		plan, err := d.book.Plan(b.Context(), fleetActor, "", []Intent{{Kind: kind, Workspace: "workspace-0"}})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := d.book.Confirm(b.Context(), fleetActor, plan.ID); err != nil {
			b.Fatal(err)
		}
		heads[n], _ = d.rollout.Head()
	}
	return heads
}
