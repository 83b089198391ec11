package nutmegstore

import (
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ErrorKind tells what a caller can do about a failed call.
type ErrorKind string

// The kinds of errors.
const (
	// KindNotFound says that the object does not exist.
	KindNotFound ErrorKind = "not_found"
	// KindConflict says that the object's version is not the expected one.
	KindConflict ErrorKind = "conflict"
	// KindUnavailable says that the call failed and had no effect.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown says that a write may or may not have taken effect.
	KindUnknown ErrorKind = "unknown_outcome"
	// KindTooLarge says that the value is over MaxValueBytes.
	KindTooLarge ErrorKind = "too_large"
	// KindCompacted says that the platform has forgotten the version that a poll goes on from.
	KindCompacted ErrorKind = "compacted"
	// KindDamaged says that the object's value is not one of ours.
	KindDamaged ErrorKind = "damaged"
)

// Error is a failed call to the platform's object API.
type Error struct {
	Kind   ErrorKind
	Key    Key
	Remedy string
	Err    error
	// Present is the object that a conflict is with, nil where it was not told.
	Present *Object
}

// Error names the object, what failed and the remedy.
func (e *Error) Error() string {
	text := fmt.Sprintf("object %q: %s: %s", e.Key, e.Kind, e.Remedy)
	if e.Err == nil {
		return text
	}
	return text + ": " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// IsKind reports whether err is a store error of the given kind.
func IsKind(err error, kind ErrorKind) bool {
	var e *Error
	return errors.As(err, &e) && e.Kind == kind
}

// presentOf returns the object that a conflict is with, nil where it is not known.
func presentOf(err error) *Object {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindConflict {
		return e.Present
	}
	return nil
}

func newError(kind ErrorKind, key Key, err error) *Error {
	return &Error{Kind: kind, Key: key, Remedy: remedies[kind], Err: err}
}

var remedies = map[ErrorKind]string{
	KindNotFound:    "create the object first",
	KindConflict:    "read the object again and apply the change to its present version",
	KindUnavailable: "try again once the platform answers",
	KindUnknown:     "read the object to learn whether the write took effect",
	KindTooLarge:    fmt.Sprintf("split the value; the platform holds at most %d bytes", MaxValueBytes),
	KindCompacted:   "list the objects again",
	KindDamaged:     "have an operator inspect the object; it is never overwritten",
}

// Key names an object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string {
	return k.Kind + "/" + k.Name
}

// Object is one versioned value.
type Object struct {
	Key     Key
	Version nutmegid.Version
	Value   []byte
	Deleted bool // the object is gone; Value is empty
}
