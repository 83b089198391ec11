// Package nutmegorder makes protected calls run at most once. A call is
// claimed by creating an object named by its key; only the creator sends it,
// once, and records the outcome. A claim without an outcome stays unknown.
//
// # Usage
//
//	desk := nutmegorder.NewDesk(nutmegorder.Config{Store: writer, Incarnation: inc})
//	desk.Start()
//	claim, err := desk.Claim(ctx, nutmegorder.Call{Workspace: "rack", Route: "orders", Key: key, Body: body})
//	if claim.Mine {
//		// send the call once
//		err = desk.Finish(ctx, claim, nutmegorder.Outcome{State: nutmegorder.StateDone, Status: 200})
//	}
//	desk.Stop(ctx) // records the outcomes that the store has not taken yet
//
// An error of Claim means that the call must not be sent, and was not. A call
// that provably did not run may be claimed again under its key by anyone: the
// compare and set on its record admits one. No clock takes a claim away.
package nutmegorder

import (
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
	// StateUnclaimed says that no claim of the call is known.
	StateUnclaimed State = "unclaimed"
	// StateClaimed says that the call may be running; after its claimant's end it is unknown for good.
	StateClaimed State = "claimed"
	// StateDone says that the upstream answered.
	StateDone State = "done"
	// StateNotRun says that the call did not run. It may be claimed again.
	StateNotRun State = "not_run"
	// StateUnknown says that the call was sent and its effect is not known.
	StateUnknown State = "unknown"
)

// Call identifies one protected call.
type Call struct {
	Workspace nutmegid.Workspace
	Route     nutmegid.Route
	Key       nutmegid.OrderKey
	Body      []byte
	Request   nutmegid.RequestID // of this sending; no two have the same
}

// Outcome is what became of a call. Status and Answer are the upstream's.
type Outcome struct {
	State       State             `json:"state"`
	Upstream    nutmegid.Upstream `json:"upstream,omitempty"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	Answer      []byte            `json:"answer,omitempty"`
	TooLarge    bool              `json:"too_large,omitempty"` // the answer was not kept
}

// stored is the outcome as the store can hold it.
func (o Outcome) stored() Outcome {
	if len(o.Answer) > maxStoredAnswer {
		o.Answer = nil
		o.TooLarge = true
	}
	return o
}

// Record is the body of a claim object.
type Record struct {
	Claimant nutmegid.Incarnation `json:"claimant"`
	Request  nutmegid.RequestID   `json:"request"`
	BodyHash string               `json:"body_hash"`
	Attempts int                  `json:"attempts"` // claims so far; all but the last did not run
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

// ClaimError is a call that was not sent, since the store did not take or show
// its claim. Claimed says that an earlier sending had the key; it may have run.
type ClaimError struct {
	Key     nutmegid.OrderKey
	Claimed bool
	Err     error
}

// Error names the key and the remedy.
func (e *ClaimError) Error() string {
	if e.Claimed {
		return fmt.Sprintf("order %q was sent before and its state cannot be read; ask for its state later: %v", e.Key, e.Err)
	}
	return fmt.Sprintf("order %q was not sent now; send it again under the same key: %v", e.Key, e.Err)
}

// Unwrap returns the cause.
func (e *ClaimError) Unwrap() error {
	return e.Err
}

func claimKey(call Call) nutmegstore.Key {
	name := strings.Join([]string{string(call.Workspace), string(call.Route), string(call.Key)}, "\x00")
	return nutmegstore.Key{Kind: ClaimKind, Name: hash(name)}
}

func hash(text string) string {
	sum := sha256.Sum256([]byte(text))
	return hex.EncodeToString(sum[:])
}
