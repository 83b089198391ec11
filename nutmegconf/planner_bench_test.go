package nutmegconf

import (
	"fmt"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// BenchmarkConfirm measures planning and confirming one change of one workspace.
func BenchmarkConfirm(b *testing.B) {
	for _, n := range []int{26, 260, 2600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			inst := newLargeInstance(b, n, n*12_000/2600)
			kinds := []IntentKind{IntentCloseWorkspace, IntentOpenWorkspace}
			i := 0
			for b.Loop() {
				plan, err := inst.planner.Plan(b.Context(), fleetActor, "", []Intent{{Kind: kinds[i%2], Workspace: "workspace-0"}})
				if err != nil {
					b.Fatal(err)
				}
				if _, err := inst.planner.Confirm(b.Context(), fleetActor, plan.ID); err != nil {
					b.Fatal(err)
				}
				i++
			}
			b.ReportMetric(float64(len(inst.store.objects[HeadKey].Value)), "head-B")
		})
	}
}

// BenchmarkOffer measures applying a revision with one changed segment.
func BenchmarkOffer(b *testing.B) {
	for _, n := range []int{26, 260, 2600} {
		b.Run(fmt.Sprintf("workspaces=%d", n), func(b *testing.B) {
			inst := newLargeInstance(b, n, n*12_000/2600)
			heads := twoHeads(b, inst)
			source := StoreSource{inst.planner.cfg.Store}
			i := 0
			for b.Loop() {
				head := heads[i%2]
				head.Revision = nutmegid.Revision(i + 10)
				if _, err := inst.rollout.Offer(b.Context(), head, source); err != nil {
					b.Fatal(err)
				}
				i++
			}
		})
	}
}

// twoHeads returns two heads that differ in one segment.
func twoHeads(b *testing.B, inst *testInstance) [2]Head {
	b.Helper()
	var heads [2]Head
	for n, kind := range []IntentKind{IntentCloseWorkspace, IntentOpenWorkspace} {
		plan, err := inst.planner.Plan(b.Context(), fleetActor, "", []Intent{{Kind: kind, Workspace: "workspace-0"}})
		if err != nil {
			b.Fatal(err)
		}
		if _, err := inst.planner.Confirm(b.Context(), fleetActor, plan.ID); err != nil {
			b.Fatal(err)
		}
		heads[n], _ = inst.rollout.Head()
	}
	return heads
}
