package nutmegconf

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Kinds of the store objects that hold the configuration.
const (
	ConfigKind  = "config"         // holds the head
	SegmentKind = "config_segment" // named by hash
	PlanKind    = "plan"
	HistoryKind = "config_history" // named by revision
)

// HeadKey is the key of the object that holds the accepted revision.
var HeadKey = nutmegstore.Key{Kind: ConfigKind, Name: "head"}

// SegmentHash is the hexadecimal SHA-256 of a segment's JSON, which also names it.
type SegmentHash string

// Segment is the immutable content of one section as of one revision. Including
// the revision makes each segment unique, so that an old one can be deleted while
// plans are being confirmed.
type Segment struct {
	Section  Section           `json:"section"`
	Revision nutmegid.Revision `json:"revision"`
	Items    json.RawMessage   `json:"items"`
}

func hashSegment(raw []byte) SegmentHash {
	sum := sha256.Sum256(raw)
	return SegmentHash(hex.EncodeToString(sum[:]))
}

// decodeSegment verifies the hash of a segment and decodes it.
func decodeSegment(raw []byte, hash SegmentHash) (Segment, error) {
	var s Segment
	if hashSegment(raw) != hash {
		return s, fmt.Errorf("segment %s is corrupt; its content has a different hash", hash)
	}
	return s, json.Unmarshal(raw, &s)
}

// Head is the body of the head object: the accepted revision, its segments, the
// latest history, and the effects that are still pending.
type Head struct {
	Revision nutmegid.Revision       `json:"revision"`
	Sections map[Section]SegmentHash `json:"sections"`
	Recent   []HistoryEntry          `json:"recent"`
	Pending  []PendingPlan           `json:"pending,omitempty"`
}

// HistoryEntry records how one revision came about.
type HistoryEntry struct {
	Revision    nutmegid.Revision `json:"revision"`
	Plan        nutmegid.PlanID   `json:"plan"`
	Operator    string            `json:"operator"`
	ConfirmedBy string            `json:"confirmed_by"`
	Owner       nutmegid.Owner    `json:"owner,omitempty"`
	At          time.Time         `json:"at"`
	Reason      string            `json:"reason,omitempty"`
	Changes     []Change          `json:"changes"`
	// Before holds the previous segments of the changed sections, with an empty hash
	// for a section that did not exist. In the head only the latest entry has it.
	Before map[Section]SegmentHash `json:"before,omitempty"`
}

// PendingPlan holds the effects of a confirmed plan that have not been completed.
type PendingPlan struct {
	Plan     nutmegid.PlanID   `json:"plan"`
	Revision nutmegid.Revision `json:"revision"`
	Effects  []Effect          `json:"effects"`
}

// oldestPending returns the oldest revision with pending effects, or 0 for none.
func (h *Head) oldestPending() nutmegid.Revision {
	if len(h.Pending) == 0 {
		return 0
	}
	return h.Pending[0].Revision
}

// recentEntry returns the entry of a revision if the head still contains it.
func (h *Head) recentEntry(revision nutmegid.Revision) (HistoryEntry, bool) {
	n := slices.IndexFunc(h.Recent, func(e HistoryEntry) bool { return e.Revision == revision })
	if n < 0 {
		return HistoryEntry{}, false
	}
	return h.Recent[n], true
}

// addRevision adds a new revision to the head. Older entries, which have been
// archived, lose their Before field and are dropped beyond maxRecentEntries.
func (h *Head) addRevision(e HistoryEntry, sections map[Section]SegmentHash, effects []Effect) error {
	if e.Revision != h.Revision+1 {
		return fmt.Errorf("revision %d does not follow revision %d; report this as a defect", e.Revision, h.Revision)
	}
	for n := range h.Recent {
		h.Recent[n].Before = nil // archived
	}
	h.Revision = e.Revision
	h.Sections = sections
	h.Recent = append(h.Recent, e)
	h.Recent = h.Recent[max(0, len(h.Recent)-maxRecentEntries):]
	if len(effects) > 0 {
		h.Pending = append(h.Pending, PendingPlan{Plan: e.Plan, Revision: e.Revision, Effects: effects})
	}
	return nil
}

// removeCompleted removes completed effects from the head. It reports whether there
// were any.
func (h *Head) removeCompleted(done map[EffectID]bool) bool {
	removed := false
	var pending []PendingPlan
	for _, p := range h.Pending {
		remaining := slices.DeleteFunc(slices.Clone(p.Effects), func(e Effect) bool { return done[e.ID] })
		removed = removed || len(remaining) < len(p.Effects)
		if len(remaining) > 0 {
			p.Effects = remaining
			pending = append(pending, p)
		}
	}
	h.Pending = pending
	return removed
}

// DecodeHead decodes the JSON of a head received from a peer.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("head is not valid JSON: %w", err)
	}
	if h.Revision == 0 {
		return h, errors.New("head has no revision")
	}
	return h, nil
}

func historyKey(revision nutmegid.Revision) nutmegstore.Key {
	return nutmegstore.Key{Kind: HistoryKind, Name: fmt.Sprintf("%012d", revision)}
}

func segmentKey(hash SegmentHash) nutmegstore.Key {
	return nutmegstore.Key{Kind: SegmentKind, Name: string(hash)}
}

func planKey(id nutmegid.PlanID) nutmegstore.Key {
	return nutmegstore.Key{Kind: PlanKind, Name: string(id)}
}
