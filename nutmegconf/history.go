package nutmegconf

import (
	"context"
	"fmt"
	"maps"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// History returns up to n entries, the latest first, starting at the revision from,
// or at the current revision if from is 0.
func (p *Planner) History(ctx context.Context, from nutmegid.Revision, n int) ([]HistoryEntry, error) {
	head, _, err := p.loadHead(ctx)
	if err != nil {
		return nil, err
	}
	if from == 0 || from > head.Revision {
		from = head.Revision
	}
	var entries []HistoryEntry
	for revision := from; revision > 0 && len(entries) < min(n, maxHistoryPage); revision-- {
		e, err := p.historyEntry(ctx, head, revision)
		if err != nil {
			return entries, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// historyEntry returns the entry of one revision, from the head or the archive.
func (p *Planner) historyEntry(ctx context.Context, head Head, revision nutmegid.Revision) (HistoryEntry, error) {
	if e, ok := head.recentEntry(revision); ok {
		return e, nil
	}
	doc, err := nutmegstore.Read[HistoryEntry](ctx, p.cfg.Store, historyKey(revision))
	return doc.Body, err
}

// sectionsBefore returns the previous segments of the sections that a revision
// changed.
func (p *Planner) sectionsBefore(ctx context.Context, head Head, revision nutmegid.Revision) (map[Section]SegmentHash, error) {
	if e, ok := head.recentEntry(revision); ok && revision == head.Revision {
		return e.Before, nil
	}
	doc, err := nutmegstore.Read[HistoryEntry](ctx, p.cfg.Store, historyKey(revision))
	return doc.Body.Before, err
}

// archive writes the entry of the head's revision to the store before the next
// revision is added, so that only the latest entry can exist in the head alone.
func (p *Planner) archive(ctx context.Context, head Head) error {
	e, ok := head.recentEntry(head.Revision)
	if !ok {
		return nil
	}
	err := nutmegstore.Create(ctx, p.cfg.Store, historyKey(e.Revision), e)
	if nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return nil
	}
	return err
}

// configAt reconstructs the configuration of an earlier revision by undoing the
// section changes of the later ones.
func (p *Planner) configAt(ctx context.Context, head Head, revision nutmegid.Revision) (*Config, error) {
	if revision == 0 || revision >= head.Revision || head.Revision-revision > maxRollbackRevisions {
		return nil, fmt.Errorf("revision %d is not among the %d before revision %d", revision, maxRollbackRevisions, head.Revision)
	}
	sections := maps.Clone(head.Sections)
	for at := head.Revision; at > revision; at-- {
		before, err := p.sectionsBefore(ctx, head, at)
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
	segments, err := p.cfg.Rollout.collectSegments(ctx, old, []SegmentSource{StoreSource{p.cfg.Store}})
	if err != nil {
		return nil, err
	}
	return assembleConfig(nil, old, segments)
}

// pruneSegments deletes the segments that no rollback can reach any more. Segments
// that cannot be deleted now are not retried and stay in the store.
func (p *Planner) pruneSegments(ctx context.Context, head Head) {
	if p.cfg.Remover == nil || head.Revision <= maxRollbackRevisions {
		return
	}
	e, err := p.historyEntry(ctx, head, head.Revision-maxRollbackRevisions)
	if err != nil {
		return
	}
	for _, hash := range e.Before {
		if hash != "" {
			p.deleteObject(ctx, segmentKey(hash))
		}
	}
	p.deleteObject(ctx, planKey(e.Plan))
}

func (p *Planner) deleteObject(ctx context.Context, key nutmegstore.Key) {
	object, err := p.cfg.Remover.Get(ctx, key)
	if err == nil {
		_ = p.cfg.Remover.Delete(ctx, key, object.Version)
	}
}
