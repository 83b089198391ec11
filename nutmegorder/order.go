// Package nutmegorder makes protected calls run at most once. A call is
// claimed by creating an object named by its key; only the creator sends it,
// once, and records the outcome. A claim without an outcome stays unknown.
//
// # Usage
//
//	desk := nutmegorder.NewDesk(writer, inc)
//	claim, err := desk.Claim(ctx, nutmegorder.Call{Workspace: "rack", Route: "orders", Key: key, Body: body})
//	if claim.Mine {
//		// send the call once
//		err = desk.Finish(ctx, claim, nutmegorder.Outcome{State: nutmegorder.StateDone, Status: 200})
//	}
//
// An error of Claim means that the call must not be sent.
package nutmegorder

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// ClaimKind is the object kind of order claims.
const ClaimKind = "order"

// State says how far a protected call has come.
type State string

// The states of a protected call.
const (
	// StateClaimed says that the call may be running; after its claimant's end it is unknown for good.
	StateClaimed State = "claimed"
	// StateDone says that the upstream answered.
	StateDone State = "done"
	// StateNotRun says that the call never reached the upstream.
	StateNotRun State = "not_run"
	// StateUnknown says that the call was sent and its answer lost.
	StateUnknown State = "unknown"
)

// Call identifies one protected call.
type Call struct {
	Workspace nutmegid.Workspace
	Route     nutmegid.Route
	Key       nutmegid.OrderKey
	Body      []byte
	Request   nutmegid.RequestID
}

// Outcome is what became of a call. Status and Answer are the upstream's.
type Outcome struct {
	State  State  `json:"state"`
	Status int    `json:"status,omitempty"`
	Answer []byte `json:"answer,omitempty"`
}

// Record is the body of a claim object.
type Record struct {
	Claimant nutmegid.Incarnation `json:"claimant"`
	Request  nutmegid.RequestID   `json:"request"`
	BodyHash string               `json:"body_hash"`
	Outcome  Outcome              `json:"outcome"`
}

// Claim is the result of claiming a call.
type Claim struct {
	Mine   bool // this desk created the claim and sends the call
	Record Record
	key    nutmegstore.Key
}

// BodyMismatchError says that a key was used before with another body.
type BodyMismatchError struct {
	Key nutmegid.OrderKey
}

// Error names the key and the remedy.
func (e *BodyMismatchError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another body; use a new key for another order", e.Key)
}

// Desk claims calls for one incarnation.
type Desk struct {
	store       *nutmegstore.Writer
	incarnation nutmegid.Incarnation
}

// NewDesk returns a desk that claims for the incarnation.
func NewDesk(store *nutmegstore.Writer, incarnation nutmegid.Incarnation) *Desk {
	return &Desk{store: store, incarnation: incarnation}
}

// Claim claims the call, or returns the claim that another sender made first.
func (d *Desk) Claim(ctx context.Context, call Call) (Claim, error) {
	key := claimKey(call)
	record := Record{
		Claimant: d.incarnation,
		Request:  call.Request,
		BodyHash: hash(string(call.Body)),
		Outcome:  Outcome{State: StateClaimed},
	}
	err := nutmegstore.Create(ctx, d.store, key, record)
	if err == nil {
		return Claim{Mine: true, Record: record, key: key}, nil
	}
	if !nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return Claim{}, err
	}
	doc, err := nutmegstore.Read[Record](ctx, d.store, key)
	if err != nil {
		return Claim{}, err
	}
	if doc.Body.BodyHash != record.BodyHash {
		return Claim{}, &BodyMismatchError{Key: call.Key}
	}
	return Claim{Record: doc.Body, key: key}, nil
}

// Finish records the outcome of a call that this desk claimed.
func (d *Desk) Finish(ctx context.Context, claim Claim, outcome Outcome) error {
	_, err := nutmegstore.Update(ctx, d.store, claim.key, func(r *Record) error {
		if r.Claimant != d.incarnation {
			return fmt.Errorf("order %q is claimed by %s; only its claimant records the outcome", claim.key.Name, r.Claimant)
		}
		r.Outcome = outcome
		return nil
	})
	return err
}

// Lookup reads the state of a call.
func (d *Desk) Lookup(ctx context.Context, call Call) (Record, error) {
	doc, err := nutmegstore.Read[Record](ctx, d.store, claimKey(call))
	return doc.Body, err
}

func claimKey(call Call) nutmegstore.Key {
	name := strings.Join([]string{string(call.Workspace), string(call.Route), string(call.Key)}, "\x00")
	return nutmegstore.Key{Kind: ClaimKind, Name: hash(name)}
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
