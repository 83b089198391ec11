package nutmegstore

import (
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ErrorKind classifies a failed call by what its caller can do about it.
type ErrorKind string

// Error kinds.
const (
	// KindNotFound means that the object does not exist.
	KindNotFound ErrorKind = "not_found"
	// KindConflict means that the object's version is not the expected one.
	KindConflict ErrorKind = "conflict"
	// KindUnavailable means that the call failed without effect.
	KindUnavailable ErrorKind = "unavailable"
	// KindUnknown means that a write may or may not have taken effect.
	KindUnknown ErrorKind = "unknown_outcome"
	// KindTooLarge means that the value exceeds MaxValueBytes.
	KindTooLarge ErrorKind = "too_large"
	// KindCompacted means that the platform no longer keeps the version from which a poll
	// continues, or has been restored to a state before it.
	KindCompacted ErrorKind = "compacted"
	// KindDamaged means that the object's value was not written by a Writer.
	KindDamaged ErrorKind = "damaged"
)

// Error is a failed call to the platform's object API.
type Error struct {
	Kind   ErrorKind
	Key    Key
	Remedy string
	Err    error
	// Current is the conflicting object; nil if the platform did not send it.
	Current *Object
}

// Error returns the object's key, the kind of failure, the remedy and the cause.
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

// conflictingObject returns the conflicting object of a conflict error, or nil
// if it is not known.
func conflictingObject(err error) *Object {
	var e *Error
	if errors.As(err, &e) && e.Kind == KindConflict {
		return e.Current
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

// Key identifies an object.
type Key struct {
	Kind string
	Name string
}

// String returns "kind/name".
func (k Key) String() string {
	return k.Kind + "/" + k.Name
}

// Object is a versioned value.
type Object struct {
	Key     Key
	Version nutmegid.Version
	Value   []byte
	Deleted bool // the object was deleted; Value is empty
}
