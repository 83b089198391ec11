package nutmegconf

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"

	"pgregory.net/rapid"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// operatorMachine is the state machine of TestConcurrentOperators: operators act at
// several instances that restart, over a store with outages and lost answers, while
// peers exchange revisions.
type operatorMachine struct {
	store           *memoryStore
	fleet           *fakeFleet
	instances       []*testInstance
	plans           []Plan
	confirmed       map[nutmegid.PlanID]nutmegid.Revision
	confirmedOnBase map[nutmegid.Revision]nutmegid.PlanID
	confirmSent     map[nutmegid.PlanID]bool // plans whose confirm was sent, whether or not it succeeded
	lastRevision    map[*testInstance]nutmegid.Revision
}

func (o *operatorMachine) instance(t *rapid.T) *testInstance {
	return o.instances[rapid.IntRange(0, len(o.instances)-1).Draw(t, "instance")]
}

// plan makes a plan with a top-up and, at random, a change of a workspace.
func (o *operatorMachine) plan(t *rapid.T) {
	inst := o.instance(t)
	budget := rapid.SampledFrom([]nutmegid.BudgetID{"owner/kaca", "workspace/rack"}).Draw(t, "budget")
	intents := []Intent{{Kind: IntentTopUp, Budget: budget, Tokens: nutmegid.Tokens(rapid.IntRange(1, 99).Draw(t, "tokens"))}}
	if rapid.Bool().Draw(t, "toggle") {
		kind := IntentCloseWorkspace
		if c := inst.view.Current(); c != nil && c.Workspaces["rack"].Closed {
			kind = IntentOpenWorkspace
		}
		intents = append(intents, Intent{Kind: kind, Workspace: "rack"})
	}
	plan, err := inst.planner.Plan(context.Background(), fleetActor, "", intents)
	if err == nil {
		o.plans = append(o.plans, plan)
	}
}

// confirm confirms one of the last four plans.
func (o *operatorMachine) confirm(t *rapid.T) {
	if len(o.plans) == 0 {
		return
	}
	inst := o.instance(t)
	plan := o.plans[rapid.IntRange(max(0, len(o.plans)-4), len(o.plans)-1).Draw(t, "plan")]
	o.confirmSent[plan.ID] = true
	done, err := inst.planner.Confirm(context.Background(), fleetActor, plan.ID)
	var stale *StalePlanError
	switch {
	case err == nil:
		o.checkConfirmation(t, plan, done)
	case errors.As(err, &stale) && o.confirmed[plan.ID] != 0:
		t.Fatalf("plan %s was confirmed as revision %d and is now reported as stale", plan.ID, o.confirmed[plan.ID])
	}
}

// checkConfirmation checks a confirmation against the earlier ones.
func (o *operatorMachine) checkConfirmation(t *rapid.T, plan Plan, done Confirmation) {
	if first := o.confirmed[plan.ID]; first != 0 && first != done.Revision {
		t.Fatalf("plan %s was confirmed as revision %d and as %d", plan.ID, first, done.Revision)
	}
	if other, ok := o.confirmedOnBase[plan.Base]; ok && other != plan.ID {
		t.Fatalf("plans %s and %s were both confirmed on revision %d", other, plan.ID, plan.Base)
	}
	o.confirmed[plan.ID] = done.Revision
	o.confirmedOnBase[plan.Base] = plan.ID
}

// interleaveConfirm lets another operator confirm a plan after an instance has read
// the head and before it writes it.
func (o *operatorMachine) interleaveConfirm(t *rapid.T) {
	o.store.beforeWrite = func(key nutmegstore.Key) {
		if key == HeadKey {
			o.store.beforeWrite = nil
			o.confirm(t)
		}
	}
}

func (o *operatorMachine) outage(t *rapid.T) {
	o.store.down = rapid.Bool().Draw(t, "down")
}

func (o *operatorMachine) restart(t *rapid.T) {
	n := rapid.IntRange(0, len(o.instances)-1).Draw(t, "instance")
	o.instances[n] = newTestInstance(o.store, o.fleet)
}

// readHead makes an instance read and apply the stored head.
func (o *operatorMachine) readHead(t *rapid.T) {
	inst := o.instance(t)
	_, _, _ = inst.planner.loadHead(context.Background())
}

// gossip sends one instance's revision to another, which may be newer already.
func (o *operatorMachine) gossip(t *rapid.T) {
	from, to := o.instance(t), o.instance(t)
	_, raw := from.rollout.Head()
	if head, err := DecodeHead(raw); err == nil {
		if _, err := to.rollout.Offer(context.Background(), head, from.rollout); err != nil {
			t.Fatalf("revision %d could not be applied from a peer: %v", head.Revision, err)
		}
	}
}

func (o *operatorMachine) complete(t *rapid.T) {
	_, _ = o.instance(t).planner.CompletePending(context.Background())
}

// check verifies after every step that no instance's revision has decreased.
func (o *operatorMachine) check(t *rapid.T) {
	for _, inst := range o.instances {
		revision := inst.rollout.Revision()
		if revision < o.lastRevision[inst] {
			t.Fatalf("revision decreased from %d to %d", o.lastRevision[inst], revision)
		}
		o.lastRevision[inst] = revision
	}
}

// checkFinalState ends the run. It makes the store available, completes all pending
// effects, and checks that history and budgets match the confirmed plans.
func (o *operatorMachine) checkFinalState(t *rapid.T) {
	o.store.down, o.store.lostAnswers, o.store.beforeWrite = false, 0, nil
	o.fleet.failApply = func() bool { return false }
	inst := newTestInstance(o.store, o.fleet)
	head, err := inst.planner.CompletePending(context.Background())
	if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		t.Fatal(err)
	}
	if len(head.Pending) > 0 {
		t.Fatalf("effects are still pending at the end: %v", head.Pending)
	}
	want := make(map[nutmegid.BudgetID]nutmegid.Tokens)
	confirmed := 0
	for _, plan := range o.plans {
		e, err := inst.planner.historyEntry(context.Background(), head, plan.Base+1)
		if err != nil || e.Plan != plan.ID {
			if o.confirmed[plan.ID] != 0 {
				t.Fatalf("plan %s was confirmed, but is missing from history", plan.ID)
			}
			continue
		}
		confirmed++
		if !o.confirmSent[plan.ID] {
			t.Fatalf("plan %s took effect without a confirm", plan.ID)
		}
		want[plan.Intents[0].Budget] += plan.Intents[0].Tokens
	}
	if nutmegid.Revision(confirmed+1) != head.Revision {
		t.Fatalf("%d plans were confirmed after the first, but the revision is %d", confirmed, head.Revision)
	}
	if fmt.Sprint(want) != fmt.Sprint(o.fleet.prepaid) {
		t.Fatalf("budgets hold %v; the confirmed plans add up to %v", o.fleet.prepaid, want)
	}
}

// TestConcurrentOperators runs concurrent operators under random store and effect
// failures. Revisions must never decrease, only one plan may succeed on a base
// revision, and no plan may take effect without a confirm.
func TestConcurrentOperators(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "faults")
		o := &operatorMachine{
			store:           newMemoryStore(seed),
			fleet:           newFakeFleet(),
			confirmed:       make(map[nutmegid.PlanID]nutmegid.Revision),
			confirmedOnBase: make(map[nutmegid.Revision]nutmegid.PlanID),
			confirmSent:     make(map[nutmegid.PlanID]bool),
			lastRevision:    make(map[*testInstance]nutmegid.Revision),
		}
		first := newTestInstance(o.store, o.fleet)
		plan, err := first.planner.Plan(context.Background(), fleetActor, "", []Intent{
			{Kind: IntentAddOwner, Owner: "kaca"}, {Kind: IntentAddWorkspace, Workspace: "rack", Owner: "kaca"},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := first.planner.Confirm(context.Background(), fleetActor, plan.ID); err != nil {
			t.Fatal(err)
		}
		o.store.lostAnswers = 0.1
		random := rand.New(rand.NewPCG(seed, 1))
		o.fleet.failApply = func() bool { return random.Float64() < 0.3 }
		o.instances = []*testInstance{first, newTestInstance(o.store, o.fleet), newTestInstance(o.store, o.fleet)}
		t.Repeat(map[string]func(*rapid.T){
			"": o.check, "plan": o.plan, "confirm": o.confirm, "confirm again": o.confirm, "outage": o.outage,
			"restart": o.restart, "watch": o.readHead, "tell": o.gossip, "complete": o.complete,
			"interrupt": o.interleaveConfirm,
		})
		o.checkFinalState(t)
	})
}
