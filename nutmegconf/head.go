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

// The object kinds of the configuration.
const (
	ConfigKind  = "config"         // the head
	SegmentKind = "config_segment" // named by hash
	PlanKind    = "plan"
	HistoryKind = "config_history" // named by revision
)

// HeadKey names the object that holds the accepted revision.
var HeadKey = nutmegstore.Key{Kind: ConfigKind, Name: "head"}

// SegmentHash names a segment by the SHA-256 of its JSON.
type SegmentHash string

// Segment is the immutable content of one section since one revision. The
// revision makes each segment unique, so that an old one can be deleted while
// plans are confirmed.
type Segment struct {
	Section  Section           `json:"section"`
	Revision nutmegid.Revision `json:"revision"`
	Items    json.RawMessage   `json:"items"`
}

func hashSegment(raw []byte) SegmentHash {
	sum := sha256.Sum256(raw)
	return SegmentHash(hex.EncodeToString(sum[:]))
}

// decodeSegment checks a segment against its name.
func decodeSegment(raw []byte, hash SegmentHash) (Segment, error) {
	var s Segment
	if hashSegment(raw) != hash {
		return s, fmt.Errorf("segment %s is damaged; its content has another hash", hash)
	}
	return s, json.Unmarshal(raw, &s)
}

// Head is the body of the head object: the accepted revision, the segments
// that it consists of, its latest history, and what is still to be carried out.
type Head struct {
	Revision nutmegid.Revision       `json:"revision"`
	Sections map[Section]SegmentHash `json:"sections"`
	Recent   []Entry                 `json:"recent"`
	Pending  []PendingPlan           `json:"pending,omitempty"`
}

// Entry is the history of one revision.
type Entry struct {
	Revision    nutmegid.Revision `json:"revision"`
	Plan        nutmegid.PlanID   `json:"plan"`
	Operator    string            `json:"operator"`
	ConfirmedBy string            `json:"confirmed_by"`
	Owner       nutmegid.Owner    `json:"owner,omitempty"`
	At          time.Time         `json:"at"`
	Reason      string            `json:"reason,omitempty"`
	Changes     []Change          `json:"changes"`
	// Before holds what the changed sections were; empty where there was none.
	// In the head only the latest entry has it.
	Before map[Section]SegmentHash `json:"before,omitempty"`
}

// PendingPlan holds the effects of a confirmed plan that are not carried out yet.
type PendingPlan struct {
	Plan     nutmegid.PlanID   `json:"plan"`
	Revision nutmegid.Revision `json:"revision"`
	Effects  []Effect          `json:"effects"`
}

// Next names the oldest revision whose effects are still pending, 0 for none.
func (h *Head) nextPending() nutmegid.Revision {
	if len(h.Pending) == 0 {
		return 0
	}
	return h.Pending[0].Revision
}

// entry returns the recent history of a revision.
func (h *Head) entry(revision nutmegid.Revision) (Entry, bool) {
	n := slices.IndexFunc(h.Recent, func(e Entry) bool { return e.Revision == revision })
	if n < 0 {
		return Entry{}, false
	}
	return h.Recent[n], true
}

// add puts a new revision into the head. History that has been archived makes
// room for it.
func (h *Head) add(e Entry, sections map[Section]SegmentHash, effects []Effect) error {
	if e.Revision != h.Revision+1 {
		return fmt.Errorf("revision %d does not follow %d; report this as a defect", e.Revision, h.Revision)
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

// finish takes carried out effects out of the head. It reports whether there were any.
func (h *Head) finish(done map[EffectID]bool) bool {
	found := false
	var rest []PendingPlan
	for _, p := range h.Pending {
		left := slices.DeleteFunc(slices.Clone(p.Effects), func(e Effect) bool { return done[e.ID] })
		found = found || len(left) < len(p.Effects)
		if len(left) > 0 {
			p.Effects = left
			rest = append(rest, p)
		}
	}
	h.Pending = rest
	return found
}

// DecodeHead reads the JSON of a head as peers pass it on.
func DecodeHead(raw []byte) (Head, error) {
	var h Head
	if err := json.Unmarshal(raw, &h); err != nil {
		return h, fmt.Errorf("head is not JSON: %w", err)
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
