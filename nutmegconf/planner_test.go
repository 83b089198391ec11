package nutmegconf

import (
	"errors"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

func TestPlanHasNoEffectUntilItIsConfirmed(t *testing.T) {
	inst := newConfiguredInstance(t)
	before, _ := inst.rollout.Head()
	plan, err := inst.planner.Plan(t.Context(), fleetActor, "raise the budget", []Intent{
		{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 50},
		{Kind: IntentCloseWorkspace, Workspace: "rack"},
	})
	if err != nil {
		t.Fatal(err)
	}
	want := []Change{
		{Subject: "budget workspace/rack", Before: "prepaid 100, spent 0, leased 0 to 0 instances", After: "prepaid 150"},
		{Subject: "workspace rack", Before: "open", After: "closed"},
	}
	if diff := cmp.Diff(want, plan.Changes); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
	after, _ := inst.rollout.Head()
	if diff := cmp.Diff(before, after); diff != "" {
		t.Errorf("head (-before +after):\n%s", diff)
	}
	if _, err := inst.planner.Confirm(t.Context(), fleetActor, plan.ID); err != nil {
		t.Fatal(err)
	}
	if _, ok := inst.view.Current().Authenticate("rack"); ok {
		t.Error("closed workspace still accepts requests")
	}
	if diff := cmp.Diff(nutmegid.Tokens(150), inst.fleet.prepaid["workspace/rack"]); diff != "" {
		t.Errorf("prepaid (-want +got):\n%s", diff)
	}
}

func TestStalePlanNamesOtherChangeAndOffersNewPlan(t *testing.T) {
	inst := newConfiguredInstance(t)
	intents := []Intent{{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5}}
	mine, err := inst.planner.Plan(t.Context(), fleetActor, "", intents)
	if err != nil {
		t.Fatal(err)
	}
	theirs, err := inst.planner.Plan(t.Context(), Actor{Name: "bo"}, "", []Intent{{Kind: IntentCloseWorkspace, Workspace: "rework"}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := inst.planner.Confirm(t.Context(), Actor{Name: "bo"}, theirs.ID); err != nil {
		t.Fatal(err)
	}
	_, err = inst.planner.Confirm(t.Context(), fleetActor, mine.ID)
	var stale *StalePlanError
	if !errors.As(err, &stale) || stale.NewPlan == nil {
		t.Fatalf("confirm returned %v; want a *StalePlanError with a new plan", err)
	}
	if !strings.Contains(err.Error(), `operator "bo" changed workspace rework`) {
		t.Errorf("refusal %q does not name the other change", err)
	}
	if _, err := inst.planner.Confirm(t.Context(), fleetActor, stale.NewPlan.ID); err != nil {
		t.Errorf("new plan: %v", err)
	}
	if diff := cmp.Diff(nutmegid.Tokens(105), inst.fleet.prepaid["workspace/rack"]); diff != "" {
		t.Errorf("prepaid (-want +got):\n%s", diff)
	}
}

func TestConfirmIsIdempotent(t *testing.T) {
	inst := newConfiguredInstance(t)
	plan, err := inst.planner.Plan(t.Context(), fleetActor, "", []Intent{{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5}})
	if err != nil {
		t.Fatal(err)
	}
	for range 2 {
		done, err := inst.planner.Confirm(t.Context(), fleetActor, plan.ID)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(Confirmation{Plan: plan.ID, Revision: 2}, done); diff != "" {
			t.Errorf("confirmation (-want +got):\n%s", diff)
		}
	}
	for n := range maxRecentEntries + 3 { // until the entry is only in the archive
		inst.accept(t, Intent{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: nutmegid.Tokens(n + 1)})
	}
	done, err := inst.planner.Confirm(t.Context(), fleetActor, plan.ID)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(Confirmation{Plan: plan.ID, Revision: 2}, done); diff != "" {
		t.Errorf("late confirmation (-want +got):\n%s", diff)
	}
}

// TestEffectsSurviveConfirmerCrash makes every effect of the confirming instance
// fail, as if it had crashed after the confirm. Another instance must apply each
// effect once.
func TestEffectsSurviveConfirmerCrash(t *testing.T) {
	inst := newConfiguredInstance(t)
	inst.fleet.failApply = func() bool { return true }
	done := inst.accept(t,
		Intent{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: 5},
		Intent{Kind: IntentTopUp, Budget: "owner/kaca", Tokens: 7})
	if diff := cmp.Diff(2, len(done.PendingEffects)); diff != "" {
		t.Fatalf("pending effects (-want +got):\n%s", diff)
	}
	inst.fleet.failApply = func() bool { return false }
	other := newTestInstance(inst.store, inst.fleet)
	for range 2 {
		head, err := other.planner.CompletePending(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if len(head.Pending) != 0 {
			t.Errorf("still pending: %v", head.Pending)
		}
	}
	want := map[nutmegid.BudgetID]nutmegid.Tokens{"workspace/rack": 105, "owner/kaca": 7}
	if diff := cmp.Diff(want, inst.fleet.prepaid); diff != "" {
		t.Errorf("prepaid (-want +got):\n%s", diff)
	}
}

func TestRollbackCreatesNewRevision(t *testing.T) {
	inst := newConfiguredInstance(t)
	inst.accept(t, Intent{Kind: IntentCloseWorkspace, Workspace: "rack"})
	inst.accept(t, Intent{Kind: IntentRetireUpstreams, Upstreams: []nutmegid.Upstream{"drafter"}})
	done := inst.accept(t, Intent{Kind: IntentRollBack, Revision: 1})
	if diff := cmp.Diff(nutmegid.Revision(4), done.Revision); diff != "" {
		t.Errorf("revision (-want +got):\n%s", diff)
	}
	c := inst.view.Current()
	if c.Workspaces["rack"].Closed || c.Upstreams["drafter"].Retired {
		t.Errorf("content of revision 1 was not restored: %v %v", c.Workspaces["rack"], c.Upstreams["drafter"])
	}
	entries, err := inst.planner.History(t.Context(), 0, 10)
	if err != nil {
		t.Fatal(err)
	}
	var revisions []nutmegid.Revision
	for _, e := range entries {
		revisions = append(revisions, e.Revision)
	}
	if diff := cmp.Diff([]nutmegid.Revision{4, 3, 2, 1}, revisions); diff != "" {
		t.Errorf("history (-want +got):\n%s", diff)
	}
}

// TestInvalidPlansAreRefused checks that a plan is refused as a whole, with all its
// errors, and that nothing is stored.
func TestInvalidPlansAreRefused(t *testing.T) {
	brazos := Actor{Name: "bo", Owner: "brazos"}
	tests := []struct {
		name    string
		actor   Actor
		intents []Intent
		want    []string
	}{
		{"unknown kind", fleetActor, []Intent{{Kind: "explode"}}, []string{"the kind is unknown"}},
		{"two errors", fleetActor, []Intent{{Kind: IntentTopUp, Budget: "workspace/none", Tokens: 5}, {Kind: IntentAddOwner}}, []string{`"workspace/none"`, `field "owner" is missing`}},
		{"unexpected field", fleetActor, []Intent{{Kind: IntentRemoveRoute, Route: "orders", Tokens: 4}}, []string{`field "tokens" does not belong`}},
		{"negative tokens", fleetActor, []Intent{{Kind: IntentTopUp, Budget: "owner/kaca", Tokens: -1}}, []string{"tokens is -1"}},
		{"overflow", fleetActor, []Intent{{Kind: IntentTopUp, Budget: "workspace/rack", Tokens: maxTokens}}, []string{"overflow"}},
		{"other owner's workspace", brazos, []Intent{{Kind: IntentCloseWorkspace, Workspace: "rack"}}, []string{`may not change what "kaca" holds`}},
		{"other owner's budget", brazos, []Intent{{Kind: IntentTopUp, Budget: "owner/kaca", Tokens: 5}}, []string{`may not change`}},
		{"shared configuration by an owner", brazos, []Intent{{Kind: IntentAddOwner, Owner: "new"}}, []string{"ask an operator without owner"}},
		{"remove open workspace", fleetActor, []Intent{{Kind: IntentRemoveWorkspace, Workspace: "rack"}}, []string{"close_workspace"}},
		{"last upstream of a route", fleetActor, []Intent{{Kind: IntentRetireUpstreams, Upstreams: []nutmegid.Upstream{"desk"}}}, []string{`route "orders" would have no upstream`}},
		{"upstream for an unknown route", fleetActor, []Intent{{Kind: IntentAddUpstream, Upstreams: []nutmegid.Upstream{"x"}, Upstream: &UpstreamConfig{
			Kind: KindService, URL: "ftp://x", Routes: []nutmegid.Route{"none"},
		}}}, []string{"no URL", "no failure_domain", `route "none", which does not exist`}},
		{"upstream in service", fleetActor, []Intent{{Kind: IntentRemoveUpstream, Upstreams: []nutmegid.Upstream{"desk"}}}, []string{"in service"}},
		{"key of another workspace", fleetActor, []Intent{{Kind: IntentChangeWorkspace, Workspace: "rework", KeyHashes: []string{HashKey("rack")}}}, []string{"the same key"}},
		{"bad key hash", fleetActor, []Intent{{Kind: IntentChangeWorkspace, Workspace: "rack", KeyHashes: []string{"rack"}}}, []string{"64 hexadecimal digits"}},
		{"owner with workspaces", fleetActor, []Intent{{Kind: IntentRemoveOwner, Owner: "kaca"}}, []string{`workspace "rack" would belong to owner "kaca"`}},
		{"release of a live instance", fleetActor, []Intent{{Kind: IntentReleaseInstance, Incarnation: "alive", Gone: true}}, []string{"is alive"}},
		{"release without gone statement", fleetActor, []Intent{{Kind: IntentReleaseInstance, Incarnation: "x"}}, []string{`field "gone" is missing`}},
		{"roll back too far", fleetActor, []Intent{{Kind: IntentRollBack, Revision: 9}}, []string{"revision 9 is not among"}},
		{"lower budget raises it", fleetActor, []Intent{{Kind: IntentLowerBudget, Budget: "workspace/rack", Tokens: 100}}, []string{"use top_up"}},
		{"remove leased budget", fleetActor, []Intent{{Kind: IntentRemoveBudget, Budget: "workspace/rework"}}, []string{"leased"}},
		{"no intents", fleetActor, nil, []string{"0 intents"}},
	}
	for _, test := range tests {
		inst := newConfiguredInstance(t)
		inst.fleet.alive["alive"] = true
		inst.fleet.prepaid["workspace/rework"] = 10
		inst.fleet.leased["workspace/rework"] = 5
		plans := inst.store.count(PlanKind)
		_, err := inst.planner.Plan(t.Context(), test.actor, "", test.intents)
		if err == nil {
			t.Errorf("%s: the plan was accepted", test.name)
			continue
		}
		for _, want := range test.want {
			if !strings.Contains(err.Error(), want) {
				t.Errorf("%s: refusal %q does not say %q", test.name, err, want)
			}
		}
		if diff := cmp.Diff(plans, inst.store.count(PlanKind)); diff != "" {
			t.Errorf("%s: plans stored (-want +got):\n%s", test.name, diff)
		}
	}
}

func TestMoveRequiresReceivingOwner(t *testing.T) {
	inst := newConfiguredInstance(t)
	kaca, brazos := Actor{Name: "ka", Owner: "kaca"}, Actor{Name: "bo", Owner: "brazos"}
	plan, err := inst.planner.Plan(t.Context(), kaca, "", []Intent{{Kind: IntentMoveWorkspace, Workspace: "rack", Owner: "brazos"}})
	if err != nil {
		t.Fatal(err)
	}
	var forbidden *ForbiddenError
	if _, err := inst.planner.Confirm(t.Context(), kaca, plan.ID); !errors.As(err, &forbidden) {
		t.Errorf("confirm by the giving owner returned %v; want a *ForbiddenError", err)
	}
	if _, err := inst.planner.Confirm(t.Context(), brazos, plan.ID); err != nil {
		t.Errorf("confirm by the receiving owner: %v", err)
	}
	caller, ok := inst.view.Current().Authenticate("rack")
	if diff := cmp.Diff([]any{nutmegid.Owner("brazos"), true}, []any{caller.Owner, ok}); diff != "" {
		t.Errorf("owner (-want +got):\n%s", diff)
	}
}

// TestOldSegmentsAreDeleted checks that the number of stored segments is bounded
// while revisions are added, and that a rollback to every revision within
// maxRollbackRevisions stays possible.
func TestOldSegmentsAreDeleted(t *testing.T) {
	inst := newConfiguredInstance(t)
	segments := inst.store.count(SegmentKind)
	toggle := []IntentKind{IntentCloseWorkspace, IntentOpenWorkspace}
	for n := range maxRollbackRevisions + 60 {
		inst.accept(t, Intent{Kind: toggle[n%2], Workspace: "rack"})
	}
	if got, limit := inst.store.count(SegmentKind), segments+maxRollbackRevisions+2; got > limit {
		t.Errorf("store holds %d segments; want at most %d", got, limit)
	}
	head, _ := inst.rollout.Head()
	for _, back := range []nutmegid.Revision{1, 100, maxRollbackRevisions} {
		past, err := inst.planner.configAt(t.Context(), head, head.Revision-back)
		if err != nil {
			t.Errorf("revision %d: %v", head.Revision-back, err)
			continue
		}
		if diff := cmp.Diff((head.Revision-back)%2 == 0, past.Workspaces["rack"].Closed); diff != "" {
			t.Errorf("workspace closed at revision %d (-want +got):\n%s", head.Revision-back, diff)
		}
	}
}

// TestLargeConfigurationFitsStore checks the object sizes at 2,600 workspaces and
// 12,000 upstreams, the size expected in two years, and that one change writes one
// segment.
func TestLargeConfigurationFitsStore(t *testing.T) {
	inst := newLargeInstance(t, 2600, 12_000)
	segments, writes := inst.store.count(SegmentKind), inst.store.writes
	inst.accept(t, Intent{Kind: IntentCloseWorkspace, Workspace: "workspace-0"})
	if diff := cmp.Diff(1, inst.store.count(SegmentKind)-segments); diff != "" {
		t.Errorf("segments written by one change (-want +got):\n%s", diff)
	}
	if diff := cmp.Diff(4, inst.store.writes-writes); diff != "" {
		t.Errorf("writes of one change (plan, segment, archive, head) (-want +got):\n%s", diff)
	}
	largest := 0
	for _, o := range inst.store.objects {
		largest = max(largest, len(o.Value))
	}
	if largest > nutmegstore.MaxValueBytes/2 {
		t.Errorf("largest object has %d bytes; want at most half of %d", largest, nutmegstore.MaxValueBytes)
	}
}
