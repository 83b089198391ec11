package nutmegtrace

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// runOperatorStep runs one action of an operator: it makes a plan, confirms it
// until the outcome is known, and makes a new plan if the plan was stale.
func (r *replayer) runOperatorStep(ctx context.Context, step Step) {
	intents, err := stepIntents(step)
	if err != nil {
		r.recordFailure("line %d: action %q has malformed intents: %v", step.line, step.Action, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, intentTimeout)
	defer cancel()
	started := time.Now()
	plan := operatorPlan{target: r.target, intents: intents}
	instance := max(0, step.Instance)
	for attempt := 0; ; attempt++ {
		instance = r.target.nextUp(instance)
		var revision nutmegid.Revision
		revision, err = plan.confirmOnce(ctx, instance)
		if err == nil {
			r.recordConfirmed(intents, revision, started)
			return
		}
		if isFinalRefusal(err) || !backoff(ctx, attempt) {
			break
		}
		instance = (instance + 1) % r.target.Instances()
	}
	r.recordFailure("line %d: action %q failed: %v", step.line, step.Action, err)
}

// operatorPlan is the plan of one operator action over several attempts.
type operatorPlan struct {
	target  *Target
	intents []nutmegconf.Intent
	planID  nutmegid.PlanID // empty until a plan is made, and after it was found stale
}

// confirmOnce makes a plan if there is none and tries to confirm it. A plan whose
// confirmation was not answered is confirmed again and never replaced by a new
// one, because the first confirmation may have taken effect.
func (p *operatorPlan) confirmOnce(ctx context.Context, instance int) (nutmegid.Revision, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorCallTimeout)
	defer cancel()
	if p.planID == "" {
		plan, err := p.target.plan(ctx, instance, p.intents)
		if err != nil {
			return 0, err
		}
		p.planID = plan.ID
	}
	revision, err := p.target.confirm(ctx, instance, p.planID)
	var refused *operatorAPIError
	if errors.As(err, &refused) && refused.status == http.StatusConflict {
		p.planID = ""
	}
	return revision, err
}

func stepIntents(s Step) ([]nutmegconf.Intent, error) {
	switch s.Action {
	case ActionTopUp:
		return []nutmegconf.Intent{{Kind: nutmegconf.IntentTopUp, Budget: s.Budget, Tokens: s.Tokens}}, nil
	case ActionMoveWorkspace:
		return []nutmegconf.Intent{{Kind: nutmegconf.IntentMoveWorkspace, Workspace: s.Workspace, Owner: s.Owner}}, nil
	case ActionRetireUpstreams:
		return []nutmegconf.Intent{{Kind: nutmegconf.IntentRetireUpstreams, Upstreams: s.Upstreams}}, nil
	default:
		return s.decodeIntents()
	}
}

// recordConfirmed records the effects of a confirmed plan for the evaluation.
func (r *replayer) recordConfirmed(intents []nutmegconf.Intent, revision nutmegid.Revision, started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	r.observations.confirmed = append(r.observations.confirmed, confirmedRevision{revision: revision, at: now})
	for _, i := range intents {
		switch i.Kind {
		case nutmegconf.IntentTopUp, nutmegconf.IntentAddBudget:
			r.observations.credits = append(r.observations.credits, credit{budget: i.Budget, tokens: i.Tokens, at: started})
		case nutmegconf.IntentMoveWorkspace:
			r.observations.owners = append(r.observations.owners, ownershipPeriod{workspace: i.Workspace, owner: i.Owner, at: started})
		case nutmegconf.IntentRetireUpstreams:
			for _, name := range i.Upstreams {
				r.observations.departures = append(r.observations.departures, departure{upstream: name, at: now})
			}
		}
	}
}

func (r *replayer) recordLeaving(upstreams []nutmegid.Upstream) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, name := range upstreams {
		r.observations.departures = append(r.observations.departures, departure{upstream: name, at: time.Now()})
	}
}
