// Package nutmegorder ensures that protected calls run at most once. A call is
// claimed by creating an object whose name is derived from the call's key. Only
// the creator sends the call, once, and records the outcome. The outcome of a
// call stays unknown if its claimant ends without recording it.
//
// # Usage
//
//	claimer := nutmegorder.NewClaimer(nutmegorder.Config{Store: writer, Incarnation: inc})
//	claimer.Start()
//	claim, err := claimer.Claim(ctx, nutmegorder.Call{Workspace: "rack", Route: "orders", Key: key, Body: body})
//	if claim.Owned {
//		// send the call once
//		err = claimer.Finish(ctx, claim, nutmegorder.Outcome{State: nutmegorder.StateDone, Status: 200})
//	}
//	claimer.Stop(ctx) // records the remaining outcomes
//
// An error of Claim means that the call was not sent by this sender and must not
// be. A call that provably did not run may be claimed again under its key by any
// sender; the compare-and-swap on its record lets one succeed. Claims do not
// expire.
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

// State is the state of a protected call.
type State string

// The states of a protected call.
const (
	// StateUnclaimed means that no claim of the call is known.
	StateUnclaimed State = "unclaimed"
	// StateClaimed means that the call may be running. If its claimant has ended, its outcome stays unknown.
	StateClaimed State = "claimed"
	// StateDone means that the upstream responded.
	StateDone State = "done"
	// StateNotRun means that the call did not run. It may be claimed again.
	StateNotRun State = "not_run"
	// StateUnknown means that the call was sent and its effect is not known.
	StateUnknown State = "unknown"
)

// Call identifies one protected call.
type Call struct {
	Workspace nutmegid.Workspace
	Route     nutmegid.Route
	Key       nutmegid.OrderKey
	Body      []byte
	Request   nutmegid.RequestID // unique to each attempt to send the call
}

// Outcome is the result of a call. Status, ContentType and Body are taken from
// the upstream's response.
type Outcome struct {
	State       State             `json:"state"`
	Upstream    nutmegid.Upstream `json:"upstream,omitempty"`
	Status      int               `json:"status,omitempty"`
	ContentType string            `json:"content_type,omitempty"`
	Body        []byte            `json:"answer,omitempty"`
	TooLarge    bool              `json:"too_large,omitempty"` // the response body was too large to be stored
}

// withinLimit returns the outcome without a response body that is too large to
// be stored.
func (o Outcome) withinLimit() Outcome {
	if len(o.Body) > maxStoredResponseBytes {
		o.Body = nil
		o.TooLarge = true
	}
	return o
}

// Record is the body of a claim object.
type Record struct {
	Claimant nutmegid.Incarnation `json:"claimant"`
	Request  nutmegid.RequestID   `json:"request"`
	BodyHash string               `json:"body_hash"`
	Attempts int                  `json:"attempts"` // number of claims; only the last one may have run
	Outcome  Outcome              `json:"outcome"`
}

// Claim is the result of claiming a call.
type Claim struct {
	Owned  bool // the claim was made by this caller, which sends the call
	Record Record
	key    nutmegstore.Key
}

// BodyMismatchError means that a key was used before with a different body.
type BodyMismatchError struct {
	Key nutmegid.OrderKey
}

// Error returns a message with the key and the remedy.
func (e *BodyMismatchError) Error() string {
	return fmt.Sprintf("idempotency key %q was used with another body; use a new key for another order", e.Key)
}

// ClaimError means that a call was not sent because its claim could not be
// written or read. Claimed reports whether the key was already claimed, in which
// case an earlier attempt may have run.
type ClaimError struct {
	Key     nutmegid.OrderKey
	Claimed bool
	Err     error
}

// Error returns a message with the key and the remedy.
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
