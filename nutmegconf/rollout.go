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

// SegmentSource returns segments by hash, from the store or from a peer.
type SegmentSource interface {
	Segment(ctx context.Context, hash SegmentHash) ([]byte, error)
}

// RolloutConfig configures a Rollout.
type RolloutConfig struct {
	View *View
}

// Rollout applies revisions at one instance and keeps their content for peers.
type Rollout struct {
	cfg RolloutConfig

	applyMu  sync.Mutex // serializes the assembly of revisions
	stateMu  sync.Mutex
	head     Head
	rawHead  []byte
	segments map[SegmentHash][]byte
}

// NewRollout returns a Rollout without a revision.
func NewRollout(cfg RolloutConfig) *Rollout {
	return &Rollout{cfg: cfg, segments: make(map[SegmentHash][]byte)}
}

// Offer applies a head if its revision is higher than the current one. Missing
// segments are fetched from the first source that has them. It reports whether the
// revision was applied.
func (r *Rollout) Offer(ctx context.Context, head Head, sources ...SegmentSource) (bool, error) {
	if head.Revision <= r.Revision() {
		return false, nil
	}
	r.applyMu.Lock()
	defer r.applyMu.Unlock()
	if head.Revision <= r.Revision() {
		return false, nil
	}
	raw, err := json.Marshal(head)
	if err != nil {
		return false, err
	}
	segments, err := r.collectSegments(ctx, head, sources)
	if err != nil {
		return false, err
	}
	config, err := assembleConfig(r.cfg.View.Current(), head, segments)
	if err != nil {
		return false, err
	}
	r.stateMu.Lock()
	r.head, r.rawHead, r.segments = head, raw, segments
	r.stateMu.Unlock()
	return r.cfg.View.Apply(config), nil
}

// Revision returns the current revision, or 0 before the first.
func (r *Rollout) Revision() nutmegid.Revision {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.head.Revision
}

// Head returns the current head and its JSON for peers, which is nil before the
// first head.
func (r *Rollout) Head() (Head, []byte) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	return r.head, r.rawHead
}

// Segment implements SegmentSource for peers that fetch from this instance.
func (r *Rollout) Segment(_ context.Context, hash SegmentHash) ([]byte, error) {
	r.stateMu.Lock()
	defer r.stateMu.Unlock()
	raw, ok := r.segments[hash]
	if !ok {
		return nil, fmt.Errorf("segment %s is not held here; ask another peer", hash)
	}
	return raw, nil
}

// collectSegments returns all segments of a head and fetches the missing ones.
func (r *Rollout) collectSegments(ctx context.Context, head Head, sources []SegmentSource) (map[SegmentHash][]byte, error) {
	r.stateMu.Lock()
	held := maps.Clone(r.segments)
	r.stateMu.Unlock()
	segments := make(map[SegmentHash][]byte, len(head.Sections))
	for section, hash := range head.Sections {
		raw, ok := held[hash]
		var err error
		if !ok {
			raw, sources, err = fetchSegment(ctx, hash, sources)
		}
		if err != nil {
			return nil, fmt.Errorf("section %q of revision %d: %w", section, head.Revision, err)
		}
		segments[hash] = raw
	}
	return segments, nil
}

// fetchSegment tries the sources in order. It also returns the sources to try for
// the next segment, starting with the one that succeeded.
func fetchSegment(ctx context.Context, hash SegmentHash, sources []SegmentSource) ([]byte, []SegmentSource, error) {
	failed := fmt.Errorf("no source returned segment %s; wait for the store or a peer", hash)
	for n, source := range sources {
		raw, err := source.Segment(ctx, hash)
		if err == nil && hashSegment(raw) == hash {
			return raw, sources[n:], nil
		}
		failed = errors.Join(failed, err)
	}
	return nil, nil, failed
}

// assembleConfig builds the configuration of a head from the current configuration
// and the segments of the sections that differ.
func assembleConfig(current *Config, head Head, segments map[SegmentHash][]byte) (*Config, error) {
	if current == nil {
		current = &Config{}
	}
	next := current.clone()
	next.Revision = head.Revision
	for section := range current.segments {
		if _, ok := head.Sections[section]; !ok {
			if err := next.setSection(section, nil); err != nil {
				return nil, err
			}
		}
	}
	for section, hash := range head.Sections {
		if current.segments[section] == hash {
			continue
		}
		s, err := decodeSegment(segments[hash], hash)
		if err != nil {
			return nil, err
		}
		if s.Section != section {
			return nil, fmt.Errorf("segment %s belongs to section %q, not %q", hash, s.Section, section)
		}
		if err := next.setSection(section, s.Items); err != nil {
			return nil, err
		}
	}
	next.segments = maps.Clone(head.Sections)
	return next, nil
}
