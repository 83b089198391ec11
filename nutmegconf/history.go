package nutmegconf

import (
	"context"
	"fmt"
	"maps"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// History returns up to n entries up to a revision, the latest first; from the
// present revision on when it is 0.
func (b *Book) History(ctx context.Context, from nutmegid.Revision, n int) ([]Entry, error) {
	head, _, err := b.load(ctx)
	if err != nil {
		return nil, err
	}
	if from == 0 || from > head.Revision {
		from = head.Revision
	}
	var entries []Entry
	for revision := from; revision > 0 && len(entries) < min(n, maxHistory); revision-- {
		e, err := b.entry(ctx, head, revision)
		if err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// entry reads the history of one revision.
func (b *Book) entry(ctx context.Context, head Head, revision nutmegid.Revision) (Entry, error) {
	if e, ok := head.entry(revision); ok {
		return e, nil
	}
	doc, err := nutmegstore.Read[Entry](ctx, b.cfg.Store, historyKey(revision))
	return doc.Body, err
}

// before returns what the sections were that a revision changed.
func (b *Book) before(ctx context.Context, head Head, revision nutmegid.Revision) (map[Section]SegmentHash, error) {
	if e, ok := head.entry(revision); ok && revision == head.Revision {
		return e.Before, nil
	}
	doc, err := nutmegstore.Read[Entry](ctx, b.cfg.Store, historyKey(revision))
	return doc.Body.Before, err
}

// archive writes the history of the head's revision, before the next one is
// added. So only the latest entry may be in the head alone.
func (b *Book) archive(ctx context.Context, head Head) error {
	e, ok := head.entry(head.Revision)
	if !ok {
		return nil
	}
	err := nutmegstore.Create(ctx, b.cfg.Store, historyKey(e.Revision), e)
	if nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return nil
	}
	return err
}

// past puts together the configuration of an earlier revision.
func (b *Book) past(ctx context.Context, head Head, revision nutmegid.Revision) (*Config, error) {
	if revision == 0 || revision >= head.Revision || head.Revision-revision > maxRollBack {
		return nil, fmt.Errorf("revision %d is not among the %d before revision %d", revision, maxRollBack, head.Revision)
	}
	sections := maps.Clone(head.Sections)
	for at := head.Revision; at > revision; at-- {
		before, err := b.before(ctx, head, at)
		if err != nil {
			return nil, err
		}
		for section, hash := range before {
			sections[section] = hash
			if hash == "" {
				delete(sections, section)
			}
		}
	}
	old := Head{Revision: revision, Sections: sections}
	segments, err := b.cfg.Rollout.collect(ctx, old, []Source{StoreSource{b.cfg.Store}})
	if err != nil {
		return nil, err
	}
	return assemble(nil, old, segments)
}

// prune deletes the segments that no roll back can reach any more. What it
// cannot delete now stays as garbage.
func (b *Book) prune(ctx context.Context, head Head) {
	if b.cfg.Remover == nil || head.Revision <= maxRollBack {
		return
	}
	e, err := b.entry(ctx, head, head.Revision-maxRollBack)
	if err != nil {
		return
	}
	for _, hash := range e.Before {
		if hash != "" {
			b.remove(ctx, segmentKey(hash))
		}
	}
	b.remove(ctx, planKey(e.Plan))
}

func (b *Book) remove(ctx context.Context, key nutmegstore.Key) {
	object, err := b.cfg.Remover.Get(ctx, key)
	if err == nil {
		_ = b.cfg.Remover.Delete(ctx, key, object.Version)
	}
}
