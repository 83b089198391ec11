package nutmegconf

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Remover deletes stored objects that are no longer needed.
type Remover interface {
	Get(ctx context.Context, key nutmegstore.Key) (nutmegstore.Object, error)
	Delete(ctx context.Context, key nutmegstore.Key, version nutmegid.Version) error
}

// PlannerConfig configures a Planner.
type PlannerConfig struct {
	Store        *nutmegstore.Writer
	Rollout      *Rollout
	Effects      EffectApplier
	EngineOrders bool              // whether engines accept orders; intents that order engines are refused when false
	FleetState   func() FleetState // returns the fleet's state when a plan is started
	Remover      Remover           // old segments are kept when nil
	Now          func() time.Time
}

// Planner creates plans from operators' intents and confirms them.
type Planner struct {
	cfg PlannerConfig
}

// NewPlanner returns a Planner that keeps its state in cfg.Store.
func NewPlanner(cfg PlannerConfig) *Planner {
	if cfg.Now == nil {
		cfg.Now = time.Now
	}
	return &Planner{cfg: cfg}
}

// StoreSource reads segments from the store.
type StoreSource struct {
	Store *nutmegstore.Writer
}

// Segment implements SegmentSource.
func (s StoreSource) Segment(ctx context.Context, hash SegmentHash) ([]byte, error) {
	doc, err := nutmegstore.Read[json.RawMessage](ctx, s.Store, segmentKey(hash))
	return doc.Body, err
}

// writtenSource serves the segments that this instance has just written, so that
// it does not read them back from the store.
type writtenSource map[SegmentHash][]byte

// Segment implements SegmentSource.
func (s writtenSource) Segment(_ context.Context, hash SegmentHash) ([]byte, error) {
	raw, ok := s[hash]
	if !ok {
		return nil, fmt.Errorf("segment %s was not written by this plan", hash)
	}
	return raw, nil
}

// Plan computes what the intents would change and stores the resulting plan.
func (p *Planner) Plan(ctx context.Context, actor Actor, reason string, intents []Intent) (Plan, error) {
	if len(intents) == 0 || len(intents) > maxIntents {
		return Plan{}, &IntentError{Detail: fmt.Sprintf("the request has %d intents", len(intents)), Remedy: fmt.Sprintf("give 1 to %d", maxIntents)}
	}
	head, config, err := p.loadHead(ctx)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		ID:        nutmegid.NewPlanID(),
		Base:      head.Revision,
		Operator:  actor.Name,
		Owner:     actor.Owner,
		Reason:    reason,
		CreatedAt: p.cfg.Now().UTC(),
		Intents:   intents,
	}
	builder := p.newPlanBuilder(ctx, actor, plan.ID, head, config)
	builder.apply(intents)
	if len(builder.errs) > 0 {
		return Plan{}, errors.Join(builder.errs...)
	}
	plan.ConfirmingOwner = builder.confirmOwner
	plan.Changes, plan.Affected, plan.Warnings, plan.Effects = builder.changes, builder.affected, builder.warnings, builder.effects
	return plan, nutmegstore.Create(ctx, p.cfg.Store, planKey(plan.ID), plan)
}

func (p *Planner) newPlanBuilder(ctx context.Context, actor Actor, id nutmegid.PlanID, head Head, config *Config) *planBuilder {
	return &planBuilder{
		ctx:          ctx,
		actor:        actor,
		fleet:        p.cfg.FleetState(),
		planID:       id,
		engineOrders: p.cfg.EngineOrders,
		before:       config,
		config:       config.clone(),
		configAt: func(ctx context.Context, revision nutmegid.Revision) (*Config, error) {
			return p.configAt(ctx, head, revision)
		},
	}
}

// loadHead reads the accepted head and its configuration from the store, and
// applies the configuration at this instance.
func (p *Planner) loadHead(ctx context.Context) (Head, *Config, error) {
	var lost *LostHeadError
	for range maxHeadReads {
		doc, err := nutmegstore.Read[Head](ctx, p.cfg.Store, HeadKey)
		if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
			return Head{}, nil, err
		}
		head := doc.Body
		if _, err := p.cfg.Rollout.Offer(ctx, head, StoreSource{p.cfg.Store}); err != nil {
			return Head{}, nil, err
		}
		config := p.cfg.Rollout.cfg.View.Current()
		if config == nil {
			config = &Config{}
		}
		if config.Revision == head.Revision {
			return head, config, nil
		}
		lost = &LostHeadError{Stored: head.Revision, InForce: config.Revision}
	}
	return Head{}, nil, lost
}

// Confirm applies a plan by a compare-and-set on its base revision. It is
// idempotent per plan. It returns once the revision is durable; effects that
// could not be completed are listed in Confirmation.PendingEffects.
func (p *Planner) Confirm(ctx context.Context, actor Actor, id nutmegid.PlanID) (Confirmation, error) {
	doc, err := nutmegstore.Read[Plan](ctx, p.cfg.Store, planKey(id))
	if nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return Confirmation{}, &UnknownPlanError{Plan: id}
	}
	if err != nil {
		return Confirmation{}, err
	}
	plan := doc.Body
	if err := plan.mayConfirm(actor); err != nil {
		return Confirmation{}, err
	}
	head, config, err := p.loadHead(ctx)
	if err != nil {
		return Confirmation{}, err
	}
	if head.Revision != plan.Base {
		return p.resolveStale(ctx, actor, head, plan)
	}
	head, err = p.commit(ctx, actor, plan, head, config)
	var stale *StalePlanError
	if errors.As(err, &stale) {
		return p.resolveStale(ctx, actor, head, plan)
	}
	if err != nil {
		return Confirmation{}, err
	}
	return p.completePlan(ctx, plan, head), nil
}

// resolveStale handles a plan whose base is not the current revision. If the plan
// was confirmed earlier, it returns that confirmation. Otherwise it returns a
// *StalePlanError with a new plan for the same intents.
func (p *Planner) resolveStale(ctx context.Context, actor Actor, head Head, plan Plan) (Confirmation, error) {
	stale := &StalePlanError{Plan: plan.ID, Base: plan.Base, Current: head.Revision}
	e, err := p.historyEntry(ctx, head, plan.Base+1)
	if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return Confirmation{}, err
	}
	if err == nil && e.Plan == plan.ID {
		return p.completePlan(ctx, plan, head), nil
	}
	if err == nil {
		stale.FirstChange = &e
	}
	newPlan, err := p.Plan(ctx, actor, plan.Reason, plan.Intents)
	if err != nil {
		stale.ReplanError = err
		return Confirmation{}, stale
	}
	stale.NewPlan = &newPlan
	return Confirmation{}, stale
}

// commit writes the plan's segments and then the head. If another plan was
// confirmed first, it returns a *StalePlanError and the head that it found.
func (p *Planner) commit(ctx context.Context, actor Actor, plan Plan, head Head, config *Config) (Head, error) {
	author := Actor{Name: plan.Operator, Owner: plan.Owner}
	builder := p.newPlanBuilder(ctx, author, plan.ID, head, config)
	builder.apply(plan.Intents)
	if len(builder.errs) > 0 {
		return head, errors.Join(builder.errs...)
	}
	sections, before, written, err := p.writeSections(ctx, head, config, builder.config)
	if err != nil {
		return head, err
	}
	if err := p.archive(ctx, head); err != nil {
		return head, err
	}
	entry := plan.historyEntry(actor.Name, p.cfg.Now().UTC(), before)
	var found Head
	doc, err := nutmegstore.Update(ctx, p.cfg.Store, HeadKey, func(h *Head) error {
		if h.Revision != plan.Base {
			found = *h
			return &StalePlanError{Plan: plan.ID, Base: plan.Base, Current: h.Revision}
		}
		return h.addRevision(entry, sections, plan.Effects)
	})
	if err != nil {
		return found, err
	}
	if _, err := p.cfg.Rollout.Offer(ctx, doc.Body, written, StoreSource{p.cfg.Store}); err != nil {
		return doc.Body, fmt.Errorf("plan %q is confirmed, but this instance could not read it: %w", plan.ID, err)
	}
	return doc.Body, nil
}

// writeSections writes the sections that differ from the head. It returns the
// hashes of all sections, the previous hashes of the changed ones, and the
// written segments.
func (p *Planner) writeSections(ctx context.Context, head Head, current, next *Config) (map[Section]SegmentHash, map[Section]SegmentHash, writtenSource, error) {
	old, err := current.sections()
	if err != nil {
		return nil, nil, nil, err
	}
	items, err := next.sections()
	if err != nil {
		return nil, nil, nil, err
	}
	sections := nonNilMap(maps.Clone(head.Sections))
	before := make(map[Section]SegmentHash)
	written := make(writtenSource)
	for section := range old {
		if _, ok := items[section]; !ok {
			before[section] = head.Sections[section]
			delete(sections, section)
		}
	}
	for _, section := range sortedKeys(items) {
		if string(items[section]) == string(old[section]) {
			continue
		}
		raw, err := json.Marshal(Segment{Section: section, Revision: head.Revision + 1, Items: items[section]})
		if err != nil {
			return nil, nil, nil, err
		}
		hash := hashSegment(raw)
		if err := p.writeSegment(ctx, hash, raw); err != nil {
			return nil, nil, nil, err
		}
		before[section] = head.Sections[section]
		sections[section] = hash
		written[hash] = raw
	}
	return sections, before, written, nil
}

// writeSegment stores a segment. A conflict is not an error: segments are named by
// their hash, so an existing one has the same content.
func (p *Planner) writeSegment(ctx context.Context, hash SegmentHash, raw []byte) error {
	err := nutmegstore.Create(ctx, p.cfg.Store, segmentKey(hash), json.RawMessage(raw))
	if nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return nil
	}
	return err
}

// completePlan applies the pending effects and reports which of the plan's effects
// remain.
func (p *Planner) completePlan(ctx context.Context, plan Plan, head Head) Confirmation {
	done := Confirmation{Plan: plan.ID, Revision: plan.Base + 1}
	head, err := p.Complete(ctx, head)
	if err != nil {
		done.PendingReason = err.Error()
	}
	for _, pending := range head.Pending {
		if pending.Plan == plan.ID {
			done.PendingEffects = pending.Effects
		}
	}
	p.pruneSegments(ctx, head)
	return done
}

// Complete applies the pending effects of a head and removes the completed ones
// from the stored head. It returns the head with the effects that remain. Effects
// on a budget wait while the removal of that budget is pending.
func (p *Planner) Complete(ctx context.Context, head Head) (Head, error) {
	done := make(map[EffectID]bool)
	removalPending := make(map[nutmegid.BudgetID]bool)
	var failed error
	for _, pending := range head.Pending {
		for _, e := range pending.Effects {
			if removalPending[e.Budget] {
				continue
			}
			ok, err := p.cfg.Effects.Apply(ctx, e)
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("effect %q of plan %q is still pending: %w", e.ID, pending.Plan, err))
			}
			if ok && err == nil {
				done[e.ID] = true
				continue
			}
			removalPending[e.Budget] = e.Kind == EffectRemoveBudget
		}
	}
	if len(done) == 0 {
		return head, failed
	}
	doc, err := nutmegstore.Update(ctx, p.cfg.Store, HeadKey, func(h *Head) error {
		if !h.removeCompleted(done) {
			return nutmegstore.ErrUnchanged
		}
		return nil
	})
	if err != nil {
		return head, errors.Join(failed, err)
	}
	return doc.Body, failed
}

// CompletePending applies the pending effects of the stored head.
func (p *Planner) CompletePending(ctx context.Context) (Head, error) {
	doc, err := nutmegstore.Read[Head](ctx, p.cfg.Store, HeadKey)
	if err != nil {
		return Head{}, err
	}
	return p.Complete(ctx, doc.Body)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
