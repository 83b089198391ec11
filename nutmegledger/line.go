package nutmegledger

import (
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Line is the ledger entry of one billed request.
type Line struct {
	Request   nutmegid.RequestID `json:"request" cbor:"1,keyasint"`
	Workspace nutmegid.Workspace `json:"workspace" cbor:"2,keyasint"`
	Owner     nutmegid.Owner     `json:"owner" cbor:"3,keyasint"`
	Upstream  nutmegid.Upstream  `json:"upstream" cbor:"4,keyasint"`
	Model     nutmegid.Model     `json:"model,omitempty" cbor:"5,keyasint,omitempty"`
	Route     nutmegid.Route     `json:"route,omitempty" cbor:"6,keyasint,omitempty"`
	Tokens    nutmegid.Tokens    `json:"tokens" cbor:"7,keyasint"`
	Exact     bool               `json:"exact" cbor:"8,keyasint"` // Tokens was counted by the upstream; otherwise it is an upper bound
	EndedAt   time.Time          `json:"ended_at" cbor:"9,keyasint"`
}

// supersedes reports whether l is billed instead of other for the same request:
// an exact count is preferred, then the larger count, then the earlier end time.
func (l Line) supersedes(other Line) bool {
	if l.Exact != other.Exact {
		return l.Exact
	}
	if l.Tokens != other.Tokens {
		return l.Tokens > other.Tokens
	}
	return l.EndedAt.Before(other.EndedAt)
}

// Segment is the body of a segment object.
type Segment struct {
	Incarnation nutmegid.Incarnation `json:"incarnation"`
	Sequence    uint64               `json:"sequence"`
	Lines       []Line               `json:"lines"`
}

// SegmentKey returns the key of a segment's object.
func SegmentKey(incarnation nutmegid.Incarnation, sequence uint64) nutmegstore.Key {
	return nutmegstore.Key{Kind: SegmentKind, Name: fmt.Sprintf("%s-%08d", incarnation, sequence)}
}
