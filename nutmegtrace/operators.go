package nutmegtrace

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// operate carries out one act of an operator: plan, then confirm until the
// outcome is known, and plan again when the plan has gone stale.
func (r *replayer) operate(ctx context.Context, step Step) {
	intents, err := intentsOf(step)
	if err != nil {
		r.fail("line %d: %s: %v", step.line, step.Do, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, operatorPatience)
	defer cancel()
	began := time.Now()
	act := operatorAct{target: r.target, intents: intents}
	instance := max(0, step.Instance)
	for attempt := 0; ; attempt++ {
		instance = r.target.balance(instance)
		var revision nutmegid.Revision
		revision, err = act.try(ctx, instance)
		if err == nil {
			r.noteAccepted(intents, revision, began)
			return
		}
		if isRefusal(err) || !pause(ctx, attempt) {
			break
		}
		instance = (instance + 1) % r.target.Instances()
	}
	r.fail("line %d: %s: %v", step.line, step.Do, err)
}

// operatorAct is one act of an operator over several tries.
type operatorAct struct {
	target  *Target
	intents []nutmegconf.Intent
	plan    nutmegid.PlanID // made, and not known to be stale
}

// try makes a plan where there is none and confirms it. A plan whose confirm
// was not answered is confirmed again, never made anew.
func (a *operatorAct) try(ctx context.Context, instance int) (nutmegid.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	if a.plan == "" {
		plan, err := a.target.plan(ctx, instance, a.intents)
		if err != nil {
			return 0, err
		}
		a.plan = plan.ID
	}
	revision, err := a.target.confirm(ctx, instance, a.plan)
	var refused *operatorError
	if errors.As(err, &refused) && refused.status == http.StatusConflict {
		a.plan = ""
	}
	return revision, err
}

func intentsOf(s Step) ([]nutmegconf.Intent, error) {
	switch s.Do {
	case ActionTopUp:
		return []nutmegconf.Intent{{Kind: nutmegconf.IntentTopUp, Budget: s.Budget, Tokens: s.Tokens}}, nil
	case ActionMoveWorkspace:
		return []nutmegconf.Intent{{Kind: nutmegconf.IntentMoveWorkspace, Workspace: s.Workspace, Owner: s.Owner}}, nil
	case ActionRetireUpstreams:
		return []nutmegconf.Intent{{Kind: nutmegconf.IntentRetireUpstreams, Upstreams: s.Upstreams}}, nil
	default:
		return s.intents()
	}
}

// noteAccepted keeps what a confirmed plan means for the judgement.
func (r *replayer) noteAccepted(intents []nutmegconf.Intent, revision nutmegid.Revision, began time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.evidence.accepted = append(r.evidence.accepted, acceptance{revision: revision, at: now})
	for _, i := range intents {
		switch i.Kind {
		case nutmegconf.IntentTopUp, nutmegconf.IntentAddBudget:
			r.evidence.prepaid = append(r.evidence.prepaid, grant{budget: i.Budget, tokens: i.Tokens, at: began})
		case nutmegconf.IntentMoveWorkspace:
			r.evidence.owners = append(r.evidence.owners, ownership{workspace: i.Workspace, owner: i.Owner, at: began})
		case nutmegconf.IntentRetireUpstreams:
			for _, name := range i.Upstreams {
				r.evidence.leaving = append(r.evidence.leaving, leave{upstream: name, at: now})
			}
		}
	}
}

func (r *replayer) noteLeaving(upstreams []nutmegid.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range upstreams {
		r.evidence.leaving = append(r.evidence.leaving, leave{upstream: name, at: time.Now()})
	}
}
