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

// Remover deletes objects that are not needed any more.
type Remover interface {
	Get(ctx context.Context, key nutmegstore.Key) (nutmegstore.Object, error)
	Delete(ctx context.Context, key nutmegstore.Key, version nutmegid.Version) error
}

// BookConfig configures a book.
type BookConfig struct {
	Store   *nutmegstore.Writer
	Rollout *Rollout
	Effects Effects
	Orders  bool        // engines take orders; their intents are refused when false
	Live    func() Live // the state at the start of one plan
	Remover Remover     // old segments stay when nil
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

// StoreSource reads segments from the store.
type StoreSource struct {
	Store *nutmegstore.Writer
}

// Segment implements Source.
func (s StoreSource) Segment(ctx context.Context, hash SegmentHash) ([]byte, error) {
	doc, err := nutmegstore.Read[json.RawMessage](ctx, s.Store, segmentKey(hash))
	return doc.Body, err
}

// writtenSource holds the segments that this instance has just written.
type writtenSource map[SegmentHash][]byte

// Segment implements Source.
func (s writtenSource) Segment(_ context.Context, hash SegmentHash) ([]byte, error) {
	raw, ok := s[hash]
	if !ok {
		return nil, fmt.Errorf("segment %s is not one of this plan", hash)
	}
	return raw, nil
}

// Plan works out what the intents would change and stores the plan.
func (b *Book) Plan(ctx context.Context, actor Actor, reason string, intents []Intent) (Plan, error) {
	if len(intents) == 0 || len(intents) > maxIntents {
		return Plan{}, &IntentError{Detail: fmt.Sprintf("the request has %d intents", len(intents)), Remedy: fmt.Sprintf("give 1 to %d", maxIntents)}
	}
	head, config, err := b.load(ctx)
	if err != nil {
		return Plan{}, err
	}
	plan := Plan{
		ID:       nutmegid.NewPlanID(),
		Base:     head.Revision,
		Operator: actor.Name,
		Owner:    actor.Owner,
		Reason:   reason,
		MadeAt:   b.cfg.Now().UTC(),
		Intents:  intents,
	}
	d := b.draft(ctx, actor, plan.ID, head, config)
	d.apply(intents)
	if len(d.faults) > 0 {
		return Plan{}, errors.Join(d.faults...)
	}
	plan.ConfirmBy = d.consent
	plan.Changes, plan.Affected, plan.Warnings, plan.Effects = d.changes, d.affected, d.warnings, d.effects
	return plan, nutmegstore.Create(ctx, b.cfg.Store, planKey(plan.ID), plan)
}

func (b *Book) draft(ctx context.Context, actor Actor, id nutmegid.PlanID, head Head, config *Config) *draft {
	return &draft{
		ctx:    ctx,
		actor:  actor,
		live:   b.cfg.Live(),
		plan:   id,
		orders: b.cfg.Orders,
		before: config,
		config: config.clone(),
		past: func(ctx context.Context, revision nutmegid.Revision) (*Config, error) {
			return b.past(ctx, head, revision)
		},
	}
}

// load reads the accepted head and its configuration from the store. The
// configuration is put into force here as well.
func (b *Book) load(ctx context.Context) (Head, *Config, error) {
	var lost *LostHeadError
	for range maxLoads {
		doc, err := nutmegstore.Read[Head](ctx, b.cfg.Store, HeadKey)
		if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
			return Head{}, nil, err
		}
		head := doc.Body
		if _, err := b.cfg.Rollout.Offer(ctx, head, StoreSource{b.cfg.Store}); err != nil {
			return Head{}, nil, err
		}
		config := b.cfg.Rollout.cfg.View.Current()
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

// Confirm puts a plan into force by compare and set on its base revision.
// Confirming the same plan again has no further effect. It returns once the
// revision is durable; effects that could not be completed are in Pending.
func (b *Book) Confirm(ctx context.Context, actor Actor, id nutmegid.PlanID) (Confirmation, error) {
	doc, err := nutmegstore.Read[Plan](ctx, b.cfg.Store, planKey(id))
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
	head, config, err := b.load(ctx)
	if err != nil {
		return Confirmation{}, err
	}
	if head.Revision != plan.Base {
		return b.confirmedBefore(ctx, actor, head, plan)
	}
	head, err = b.accept(ctx, actor, plan, head, config)
	var stale *StalePlanError
	if errors.As(err, &stale) {
		return b.confirmedBefore(ctx, actor, head, plan)
	}
	if err != nil {
		return Confirmation{}, err
	}
	return b.finish(ctx, plan, head), nil
}

// confirmedBefore answers for a plan whose base is not the present revision:
// it was confirmed already, or it is stale.
func (b *Book) confirmedBefore(ctx context.Context, actor Actor, head Head, plan Plan) (Confirmation, error) {
	stale := &StalePlanError{Plan: plan.ID, Base: plan.Base, Present: head.Revision}
	e, err := b.entry(ctx, head, plan.Base+1)
	if err != nil && !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return Confirmation{}, err
	}
	if err == nil && e.Plan == plan.ID {
		return b.finish(ctx, plan, head), nil
	}
	if err == nil {
		stale.By = &e
	}
	fresh, err := b.Plan(ctx, actor, plan.Reason, plan.Intents)
	if err != nil {
		stale.Refused = err
		return Confirmation{}, stale
	}
	stale.Fresh = &fresh
	return Confirmation{}, stale
}

// accept writes the plan's segments and then the head. Its error is a
// *StalePlanError with the head that it found when another plan came first.
func (b *Book) accept(ctx context.Context, actor Actor, plan Plan, head Head, config *Config) (Head, error) {
	planner := Actor{Name: plan.Operator, Owner: plan.Owner}
	d := b.draft(ctx, planner, plan.ID, head, config)
	d.apply(plan.Intents)
	if len(d.faults) > 0 {
		return head, errors.Join(d.faults...)
	}
	sections, before, written, err := b.segments(ctx, head, config, d.config)
	if err != nil {
		return head, err
	}
	if err := b.archive(ctx, head); err != nil {
		return head, err
	}
	entry := plan.entry(actor.Name, b.cfg.Now().UTC(), before)
	var found Head
	doc, err := nutmegstore.Update(ctx, b.cfg.Store, HeadKey, func(h *Head) error {
		if h.Revision != plan.Base {
			found = *h
			return &StalePlanError{Plan: plan.ID, Base: plan.Base, Present: h.Revision}
		}
		return h.add(entry, sections, plan.Effects)
	})
	if err != nil {
		return found, err
	}
	if _, err := b.cfg.Rollout.Offer(ctx, doc.Body, written, StoreSource{b.cfg.Store}); err != nil {
		return doc.Body, fmt.Errorf("plan %q is confirmed, but this instance could not read it: %w", plan.ID, err)
	}
	return doc.Body, nil
}

// segments writes the sections that differ from the head. It returns the new
// sections, what the changed ones were before, and the written segments.
func (b *Book) segments(ctx context.Context, head Head, present, next *Config) (map[Section]SegmentHash, map[Section]SegmentHash, writtenSource, error) {
	old, err := present.sections()
	if err != nil {
		return nil, nil, nil, err
	}
	items, err := next.sections()
	if err != nil {
		return nil, nil, nil, err
	}
	sections := made(maps.Clone(head.Sections))
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
		if err := b.writeSegment(ctx, hash, raw); err != nil {
			return nil, nil, nil, err
		}
		before[section] = head.Sections[section]
		sections[section] = hash
		written[hash] = raw
	}
	return sections, before, written, nil
}

// writeSegment stores a segment. One that exists has the same content.
func (b *Book) writeSegment(ctx context.Context, hash SegmentHash, raw []byte) error {
	err := nutmegstore.Create(ctx, b.cfg.Store, segmentKey(hash), json.RawMessage(raw))
	if nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return nil
	}
	return err
}

// finish carries out what is pending and tells what remains of the plan.
func (b *Book) finish(ctx context.Context, plan Plan, head Head) Confirmation {
	done := Confirmation{Plan: plan.ID, Revision: plan.Base + 1}
	head, _ = b.Complete(ctx, head)
	for _, p := range head.Pending {
		if p.Plan == plan.ID {
			done.Pending = p.Effects
		}
	}
	b.prune(ctx, head)
	return done
}

// Complete carries out the pending effects of a head, and takes those that are
// done out of the stored one. It returns the head with what remains.
func (b *Book) Complete(ctx context.Context, head Head) (Head, error) {
	done := make(map[EffectID]bool)
	removing := make(map[nutmegid.BudgetID]bool)
	var failed error
	for _, p := range head.Pending {
		for _, e := range p.Effects {
			if removing[e.Budget] {
				continue
			}
			ok, err := b.cfg.Effects.Apply(ctx, e)
			if err != nil {
				failed = errors.Join(failed, fmt.Errorf("effect %q of plan %q is still pending: %w", e.ID, p.Plan, err))
			}
			if ok && err == nil {
				done[e.ID] = true
				continue
			}
			removing[e.Budget] = e.Kind == EffectRemoveBudget
		}
	}
	if len(done) == 0 {
		return head, failed
	}
	doc, err := nutmegstore.Update(ctx, b.cfg.Store, HeadKey, func(h *Head) error {
		if !h.finish(done) {
			return nutmegstore.ErrUnchanged
		}
		return nil
	})
	if err != nil {
		return head, errors.Join(failed, err)
	}
	return doc.Body, failed
}

// CompletePending completes what the stored head has pending.
func (b *Book) CompletePending(ctx context.Context) (Head, error) {
	doc, err := nutmegstore.Read[Head](ctx, b.cfg.Store, HeadKey)
	if err != nil {
		return Head{}, err
	}
	return b.Complete(ctx, doc.Body)
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}
