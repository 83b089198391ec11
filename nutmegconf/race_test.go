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

// operators is a random run of operators at instances that restart, over a
// store with outages and lost answers, and peers that pass revisions on.
type operators struct {
	store     *memoryStore
	ledger    *ledger
	desks     []*desk
	plans     []Plan
	confirmed map[nutmegid.PlanID]nutmegid.Revision
	byBase    map[nutmegid.Revision]nutmegid.PlanID
	asked     map[nutmegid.PlanID]bool // confirms that were sent, also without answer
	seen      map[*desk]nutmegid.Revision
}

func (o *operators) desk(t *rapid.T) *desk {
	return o.desks[rapid.IntRange(0, len(o.desks)-1).Draw(t, "instance")]
}

// plan asks for a top-up, or for a change of a workspace with one.
func (o *operators) plan(t *rapid.T) {
	d := o.desk(t)
	budget := rapid.SampledFrom([]nutmegid.BudgetID{"owner/kaca", "workspace/rack"}).Draw(t, "budget")
	intents := []Intent{{Kind: IntentTopUp, Budget: budget, Tokens: nutmegid.Tokens(rapid.IntRange(1, 99).Draw(t, "tokens"))}}
	if rapid.Bool().Draw(t, "toggle") {
		kind := IntentCloseWorkspace
		if c := d.view.Current(); c != nil && c.Workspaces["rack"].Closed {
			kind = IntentOpenWorkspace
		}
		intents = append(intents, Intent{Kind: kind, Workspace: "rack"})
	}
	plan, err := d.book.Plan(context.Background(), fleetActor, "", intents)
	if err == nil {
		o.plans = append(o.plans, plan)
	}
}

func (o *operators) confirm(t *rapid.T) {
	if len(o.plans) == 0 {
		return
	}
	d := o.desk(t)
	plan := o.plans[rapid.IntRange(max(0, len(o.plans)-4), len(o.plans)-1).Draw(t, "plan")]
	o.asked[plan.ID] = true
	done, err := d.book.Confirm(context.Background(), fleetActor, plan.ID)
	var stale *StalePlanError
	switch {
	case err == nil:
		o.accepted(t, plan, done)
	case errors.As(err, &stale) && o.confirmed[plan.ID] != 0:
		t.Fatalf("plan %s was confirmed as revision %d and is now called stale", plan.ID, o.confirmed[plan.ID])
	}
}

// accepted checks a confirmation against the earlier ones.
func (o *operators) accepted(t *rapid.T, plan Plan, done Confirmation) {
	if first := o.confirmed[plan.ID]; first != 0 && first != done.Revision {
		t.Fatalf("plan %s was confirmed as revision %d and as %d", plan.ID, first, done.Revision)
	}
	if other, ok := o.byBase[plan.Base]; ok && other != plan.ID {
		t.Fatalf("plans %s and %s were both confirmed on revision %d", other, plan.ID, plan.Base)
	}
	o.confirmed[plan.ID] = done.Revision
	o.byBase[plan.Base] = plan.ID
}

// interrupt lets another operator confirm between an instance's reading of the
// head and its writing.
func (o *operators) interrupt(t *rapid.T) {
	o.store.before = func(key nutmegstore.Key) {
		if key == HeadKey {
			o.store.before = nil
			o.confirm(t)
		}
	}
}

func (o *operators) outage(t *rapid.T) {
	o.store.down = rapid.Bool().Draw(t, "down")
}

func (o *operators) restart(t *rapid.T) {
	n := rapid.IntRange(0, len(o.desks)-1).Draw(t, "instance")
	o.desks[n] = newDesk(o.store, o.ledger)
}

// watch lets an instance see the stored head.
func (o *operators) watch(t *rapid.T) {
	d := o.desk(t)
	_, _, _ = d.book.load(context.Background())
}

// tell passes one instance's revision to another, also an old one.
func (o *operators) tell(t *rapid.T) {
	from, to := o.desk(t), o.desk(t)
	_, raw := from.rollout.Head()
	if head, err := DecodeHead(raw); err == nil {
		if _, err := to.rollout.Offer(context.Background(), head, from.rollout); err != nil {
			t.Fatalf("revision %d could not be taken from a peer: %v", head.Revision, err)
		}
	}
}

func (o *operators) complete(t *rapid.T) {
	_, _ = o.desk(t).book.CompletePending(context.Background())
}

// check holds after every step.
func (o *operators) check(t *rapid.T) {
	for _, d := range o.desks {
		revision := d.rollout.Revision()
		if revision < o.seen[d] {
			t.Fatalf("revision fell from %d to %d", o.seen[d], revision)
		}
		o.seen[d] = revision
	}
}

// settle ends the run: the store is back, and what was accepted is complete.
func (o *operators) settle(t *rapid.T) {
	o.store.down, o.store.lost, o.store.before = false, 0, nil
	o.ledger.fail = func() bool { return false }
	d := newDesk(o.store, o.ledger)
	head, err := d.book.CompletePending(context.Background())
	if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		t.Fatal(err)
	}
	if len(head.Pending) > 0 {
		t.Fatalf("effects are pending after the end: %v", head.Pending)
	}
	want := make(map[nutmegid.BudgetID]nutmegid.Tokens)
	accepted := 0
	for _, plan := range o.plans {
		e, err := d.book.entry(context.Background(), head, plan.Base+1)
		if err != nil || e.Plan != plan.ID {
			if o.confirmed[plan.ID] != 0 {
				t.Fatalf("plan %s was confirmed, but history does not hold it", plan.ID)
			}
			continue
		}
		accepted++
		if !o.asked[plan.ID] {
			t.Fatalf("plan %s took effect without a confirm", plan.ID)
		}
		want[plan.Intents[0].Budget] += plan.Intents[0].Tokens
	}
	if nutmegid.Revision(accepted+1) != head.Revision {
		t.Fatalf("%d plans were accepted after the first, but the revision is %d", accepted, head.Revision)
	}
	if fmt.Sprint(want) != fmt.Sprint(o.ledger.prepaid) {
		t.Fatalf("budgets hold %v; the accepted plans add up to %v", o.ledger.prepaid, want)
	}
}

// TestOperatorsRace runs operators against each other and all faults: revisions
// never fall, one plan succeeds on a base, and nothing happens without a confirm.
func TestOperatorsRace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "faults")
		o := &operators{
			store:     newMemoryStore(seed),
			ledger:    newLedger(),
			confirmed: make(map[nutmegid.PlanID]nutmegid.Revision),
			byBase:    make(map[nutmegid.Revision]nutmegid.PlanID),
			asked:     make(map[nutmegid.PlanID]bool),
			seen:      make(map[*desk]nutmegid.Revision),
		}
		first := newDesk(o.store, o.ledger)
		plan, err := first.book.Plan(context.Background(), fleetActor, "", []Intent{
			{Kind: IntentAddOwner, Owner: "kaca"}, {Kind: IntentAddWorkspace, Workspace: "rack", Owner: "kaca"},
		})
		if err != nil {
			t.Fatal(err)
		}
		if _, err := first.book.Confirm(context.Background(), fleetActor, plan.ID); err != nil {
			t.Fatal(err)
		}
		o.store.lost = 0.1
		random := rand.New(rand.NewPCG(seed, 1))
		o.ledger.fail = func() bool { return random.Float64() < 0.3 }
		o.desks = []*desk{first, newDesk(o.store, o.ledger), newDesk(o.store, o.ledger)}
		t.Repeat(map[string]func(*rapid.T){
			"": o.check, "plan": o.plan, "confirm": o.confirm, "confirm again": o.confirm, "outage": o.outage,
			"restart": o.restart, "watch": o.watch, "tell": o.tell, "complete": o.complete,
			"interrupt": o.interrupt,
		})
		o.settle(t)
	})
}
