package nutmegconf

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Source gives segments by hash: the store, or a peer.
type Source interface {
	Segment(ctx context.Context, hash SegmentHash) ([]byte, error)
}

// RolloutConfig configures a rollout.
type RolloutConfig struct {
	View *View
}

// Rollout brings revisions into force at one instance and holds their content
// for peers.
type Rollout struct {
	cfg RolloutConfig

	mu       sync.Mutex // held while one revision is put together
	stateMu  sync.Mutex
	head     Head
	rawHead  []byte
	segments map[SegmentHash][]byte
}

// NewRollout returns a rollout without a revision.
func NewRollout(cfg RolloutConfig) *Rollout {
	return &Rollout{cfg: cfg, segments: make(map[SegmentHash][]byte)}
}

// Offer brings a head into force if its revision is higher than the present
// one. Segments that are not held yet come from the first source that has them.
// It reports whether the revision was put into force.
func (r *Rollout) Offer(ctx context.Context, head Head, sources ...Source) (bool, error) {
	if head.Revision <= r.Revision() {
		return false, nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if head.Revision <= r.Revision() {
		return false, nil
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return false, err
	}
	segments, err := r.collect(ctx, head, sources)
	if err != nil {
		return false, err
	}
	config, err := assemble(r.cfg.View.Current(), head, segments)
	if err != nil {
		return false, err
	}
	r.stateMu.Lock()
	r.head, r.rawHead, r.segments = head, raw, segments
	r.stateMu.Unlock()
	return r.cfg.View.Apply(config), nil
}

// Revision returns the revision that is held.
func (r *Rollout) Revision() nutmegid.Revision {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.head.Revision
}

// Head returns the head in force and its JSON for peers; nil before the first.
func (r *Rollout) Head() (Head, []byte) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.head, r.rawHead
}

// Segment implements Source for peers.
func (r *Rollout) Segment(_ context.Context, hash SegmentHash) ([]byte, error) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	raw, ok := r.segments[hash]
	if !ok {
		return nil, fmt.Errorf("segment %s is not held here; ask another peer", hash)
	}
	return raw, nil
}

// collect returns all segments of a head, fetching those that are not held.
func (r *Rollout) collect(ctx context.Context, head Head, sources []Source) (map[SegmentHash][]byte, error) {
	r.stateMu.Lock()
	held := maps.Clone(r.segments)
	r.stateMu.Unlock()
	segments := make(map[SegmentHash][]byte, len(head.Sections))
	for section, hash := range head.Sections {
		raw, ok := held[hash]
		var err error
		if !ok {
			raw, sources, err = fetch(ctx, hash, sources)
		}
		if err != nil {
			return nil, fmt.Errorf("section %q of revision %d: %w", section, head.Revision, err)
		}
		segments[hash] = raw
	}
	return segments, nil
}

// fetch asks the sources in their order. It returns those that are still worth
// asking: from the one that answered on.
func fetch(ctx context.Context, hash SegmentHash, sources []Source) ([]byte, []Source, error) {
	failed := errors.New("no source is left; wait for the store or a peer")
	for n, source := range sources {
		raw, err := source.Segment(ctx, hash)
		if err == nil && hashSegment(raw) == hash {
			return raw, sources[n:], nil
		}
		failed = errors.Join(failed, err)
	}
	return nil, nil, failed
}

// assemble makes the configuration of a head out of the present one and the
// segments of the sections that differ.
func assemble(present *Config, head Head, segments map[SegmentHash][]byte) (*Config, error) {
	if present == nil {
		present = &Config{}
	}
	next := present.clone()
	next.Revision = head.Revision
	for section := range present.segments {
		if _, ok := head.Sections[section]; !ok {
			if err := next.set(section, nil); err != nil {
				return nil, err
			}
		}
	}
	for section, hash := range head.Sections {
		if present.segments[section] == hash {
			continue
		}
		s, err := decodeSegment(segments[hash], hash)
		if err != nil {
			return nil, err
		}
		if s.Section != section {
			return nil, fmt.Errorf("segment %s belongs to section %q, not %q", hash, s.Section, section)
		}
		if err := next.set(section, s.Items); err != nil {
			return nil, err
		}
	}
	next.segments = maps.Clone(head.Sections)
	return next, nil
}
