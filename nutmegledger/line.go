package nutmegledger

import (
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Line is one billed request.
type Line struct {
	Request   nutmegid.RequestID `json:"request" cbor:"1,keyasint"`
	Workspace nutmegid.Workspace `json:"workspace" cbor:"2,keyasint"`
	Owner     nutmegid.Owner     `json:"owner" cbor:"3,keyasint"`
	Upstream  nutmegid.Upstream  `json:"upstream" cbor:"4,keyasint"`
	Model     nutmegid.Model     `json:"model,omitempty" cbor:"5,keyasint,omitempty"`
	Route     nutmegid.Route     `json:"route,omitempty" cbor:"6,keyasint,omitempty"`
	Tokens    nutmegid.Tokens    `json:"tokens" cbor:"7,keyasint"`
	Exact     bool               `json:"exact" cbor:"8,keyasint"` // counted by the upstream; an upper bound otherwise
	EndedAt   time.Time          `json:"ended_at" cbor:"9,keyasint"`
}

// better reports whether l replaces other as the line that bills a request:
// an exact count goes first, then the larger count, then the earlier end.
func (l Line) better(other Line) bool {
	if l.Exact != other.Exact {
		return l.Exact
	}
	if l.Tokens != other.Tokens {
		return l.Tokens > other.Tokens
	}
	return l.EndedAt.Before(other.EndedAt)
}

// Segment is the body of one ledger object.
type Segment struct {
	Incarnation nutmegid.Incarnation `json:"incarnation"`
	Sequence    uint64               `json:"sequence"`
	Lines       []Line               `json:"lines"`
}

// SegmentKey names a segment's object.
func SegmentKey(incarnation nutmegid.Incarnation, sequence uint64) nutmegstore.Key {
	return nutmegstore.Key{Kind: SegmentKind, Name: fmt.Sprintf("%s-%08d", incarnation, sequence)}
}
