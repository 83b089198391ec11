package nutmegconf

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	// ConfigKind is the object kind of the configuration.
	ConfigKind = "config"
	// PlanKind is the object kind of plans.
	PlanKind = "plan"
)

// HeadKey names the object that holds the accepted configuration.
var HeadKey = nutmegstore.Key{Kind: ConfigKind, Name: "head"}

// Plan is the answer to intents: what would change. It has no effect until it
// is confirmed.
type Plan struct {
	ID       nutmegid.PlanID   `json:"id"`
	Base     nutmegid.Revision `json:"base_revision"`
	Operator string            `json:"operator"`
	Reason   string            `json:"reason,omitempty"`
	MadeAt   time.Time         `json:"made_at"`
	Intents  []Intent          `json:"intents"`
	Changes  []Change          `json:"changes"`
}

// StalePlanError says that the configuration moved on after the plan was made.
type StalePlanError struct {
	Plan    nutmegid.PlanID
	Base    nutmegid.Revision
	Present nutmegid.Revision
}

// Error names both revisions and the remedy.
func (e *StalePlanError) Error() string {
	return fmt.Sprintf("plan %q was made against revision %d, but revision %d is in force; make the plan again", e.Plan, e.Base, e.Present)
}

// TopUp adds tokens to a budget, once per id.
type TopUp struct {
	Budget nutmegid.BudgetID
	ID     nutmegid.TopUpID
	Tokens nutmegid.Tokens
}

// Budgets applies the budget part of a confirmed plan.
type Budgets interface {
	TopUp(ctx context.Context, t TopUp) error
}

// BookConfig configures a book.
type BookConfig struct {
	Store   *nutmegstore.Writer
	Budgets Budgets
	Now     func() time.Time
}

// Book makes and confirms plans.
type Book struct {
	cfg BookConfig
}

// NewBook returns a book over the store.
func NewBook(cfg BookConfig) *Book {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Book{cfg: cfg}
}

// Plan works out what the intents would change and stores the plan.
func (b *Book) Plan(ctx context.Context, operator, reason string, intents []Intent) (Plan, error) {
	if len(intents) == 0 {
		return Plan{}, errors.New("the request has no intents; give at least one")
	}
	base, err := b.head(ctx)
	if err != nil {
		return Plan{}, err
	}
	changes, err := applyAll(base.clone(), intents)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		ID:       nutmegid.NewPlanID(),
		Base:     base.Revision,
		Operator: operator,
		Reason:   reason,
		MadeAt:   b.cfg.Now(),
		Intents:  intents,
		Changes:  changes,
	}
	return plan, nutmegstore.Create(ctx, b.cfg.Store, planKey(plan.ID), plan)
}

func (b *Book) head(ctx context.Context) (*Config, error) {
	doc, err := nutmegstore.Read[Config](ctx, b.cfg.Store, HeadKey)
	if nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return &Config{}, nil
	}
	return &doc.Body, err
}

// applyAll makes all changes or reports all faults.
func applyAll(c *Config, intents []Intent) ([]Change, error) {
	var changes []Change
	var faults []error
	for _, intent := range intents {
		change, err := intent.apply(c)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		changes = append(changes, change)
	}
	return changes, errors.Join(faults...)
}

// Confirm puts a plan into force by compare and set on its base revision.
// Confirming the same plan again has no further effect.
func (b *Book) Confirm(ctx context.Context, id nutmegid.PlanID) (nutmegid.Revision, error) {
	doc, err := nutmegstore.Read[Plan](ctx, b.cfg.Store, planKey(id))
	if err != nil {
		return 0, err
	}
	plan := doc.Body
	head, err := nutmegstore.Update(ctx, b.cfg.Store, HeadKey, plan.confirm)
	if err != nil {
		return 0, err
	}
	return head.Body.Plans[id], b.applyBudgets(ctx, plan)
}

func (p Plan) confirm(c *Config) error {
	if _, ok := c.Plans[p.ID]; ok {
		return nutmegstore.ErrUnchanged
	}
	if c.Revision != p.Base {
		return &StalePlanError{Plan: p.ID, Base: p.Base, Present: c.Revision}
	}
	next := c.clone()
	if _, err := applyAll(next, p.Intents); err != nil {
		return err
	}
	next.Revision++
	next.Plans[p.ID] = next.Revision
	*c = *next
	return nil
}

// applyBudgets adds the plan's tokens. The top-up ids come from the plan, so a
// repeated confirm adds nothing.
func (b *Book) applyBudgets(ctx context.Context, plan Plan) error {
	for n, intent := range plan.Intents {
		if intent.Kind != IntentAddBudget && intent.Kind != IntentTopUp {
			continue
		}
		topUp := TopUp{Budget: intent.Budget, ID: nutmegid.TopUpID(fmt.Sprintf("%s/%d", plan.ID, n)), Tokens: intent.Tokens}
		if err := b.cfg.Budgets.TopUp(ctx, topUp); err != nil {
			return fmt.Errorf("plan %q is confirmed, but budget %q was not topped up; confirm again: %w", plan.ID, intent.Budget, err)
		}
	}
	return nil
}

func planKey(id nutmegid.PlanID) nutmegstore.Key {
	return nutmegstore.Key{Kind: PlanKind, Name: string(id)}
}
