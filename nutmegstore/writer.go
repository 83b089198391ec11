package nutmegstore

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// API is the part of the platform's object API that a Writer needs.
type API interface {
	Get(ctx context.Context, key Key) (Object, error)
	Create(ctx context.Context, key Key, value []byte) (nutmegid.Version, error)
	Replace(ctx context.Context, key Key, value []byte, version nutmegid.Version) (nutmegid.Version, error)
}

// ErrUnchanged is returned by a change function that has nothing to write.
var ErrUnchanged = errors.New("object is unchanged")

// envelope wraps each value with the ids of the latest writes to it.
type envelope struct {
	Writer nutmegid.Incarnation `json:"writer"`
	Writes uint64               `json:"writes"`
	Recent []nutmegid.WriteID   `json:"recent_writes"`
	Body   json.RawMessage      `json:"body"`
}

func (e envelope) has(id nutmegid.WriteID) bool {
	return slices.Contains(e.Recent, id)
}

// Writer changes objects by compare and set and resolves lost answers.
type Writer struct {
	api         API
	incarnation nutmegid.Incarnation
}

// NewWriter returns a writer that marks its writes with the incarnation.
func NewWriter(api API, incarnation nutmegid.Incarnation) *Writer {
	return &Writer{api: api, incarnation: incarnation}
}

// Document is an object's decoded body.
type Document[T any] struct {
	Version nutmegid.Version
	Writer  nutmegid.Incarnation
	Body    T
}

// Decode reads the body of an object that a Writer wrote. Any other value
// gives an error of KindDamaged.
func Decode[T any](object Object) (Document[T], error) {
	doc, _, err := decode[T](object)
	return doc, err
}

func decode[T any](object Object) (Document[T], envelope, error) {
	var wrapped envelope
	doc := Document[T]{Version: object.Version}
	if err := json.Unmarshal(object.Value, &wrapped); err != nil {
		return doc, wrapped, newError(KindDamaged, object.Key, err)
	}
	if wrapped.Writer == "" || len(wrapped.Recent) == 0 {
		return doc, wrapped, newError(KindDamaged, object.Key, errors.New("value has no writer or write id"))
	}
	if err := json.Unmarshal(wrapped.Body, &doc.Body); err != nil {
		return doc, wrapped, newError(KindDamaged, object.Key, err)
	}
	doc.Writer = wrapped.Writer
	return doc, wrapped, nil
}

// Read gets and decodes an object.
func Read[T any](ctx context.Context, w *Writer, key Key) (Document[T], error) {
	object, err := w.api.Get(ctx, key)
	if err != nil {
		return Document[T]{}, err
	}
	return Decode[T](object)
}

// Create writes a new object. A conflict means that another writer made it
// first; a write of ours whose answer was lost counts as made.
func Create[T any](ctx context.Context, w *Writer, key Key, body T) error {
	id := nutmegid.NewWriteID()
	value, err := w.encode(envelope{}, id, body)
	if err != nil {
		return newError(KindDamaged, key, err)
	}
	attempted := false
	for attempt := range maxAttempts {
		_, err = w.api.Create(ctx, key, value)
		switch {
		case err == nil:
			return nil
		case IsKind(err, KindConflict) && attempted:
			return w.ownCreate(ctx, key, id, err)
		case IsKind(err, KindUnknown):
			attempted = true
		case IsKind(err, KindConflict), IsKind(err, KindTooLarge):
			return err
		}
		if !sleep(ctx, backoff(attempt)) {
			break
		}
	}
	if attempted {
		return newError(KindUnknown, key, err)
	}
	return err
}

// ownCreate tells whether the object that stands in the way is our own write.
func (w *Writer) ownCreate(ctx context.Context, key Key, id nutmegid.WriteID, conflict error) error {
	object, err := w.api.Get(ctx, key)
	if err != nil {
		return newError(KindUnknown, key, err)
	}
	_, wrapped, err := decode[json.RawMessage](object)
	if err != nil {
		return err
	}
	if wrapped.has(id) {
		return nil
	}
	return conflict
}

// Update reads the object, applies change to its body and writes it back on
// the version that was read, until that succeeds or ctx ends. A missing object
// is created from the zero body. The change function may be called several
// times; it returns ErrUnchanged when there is nothing to write.
func Update[T any](ctx context.Context, w *Writer, key Key, change func(*T) error) (Document[T], error) {
	id := nutmegid.NewWriteID()
	var attemptedAt uint64 // writes counter of the earliest base of an unresolved attempt
	attempted := false
	var last error
	for attempt := range maxAttempts {
		doc, wrapped, err := load[T](ctx, w, key)
		if err != nil && !IsKind(err, KindUnavailable) {
			return doc, err
		}
		if err == nil {
			if wrapped.has(id) {
				return doc, nil
			}
			if attempted && wrapped.Writes >= attemptedAt+maxRecentWrites {
				return doc, newError(KindUnknown, key, fmt.Errorf("write id %s may have been dropped", id))
			}
			if !attempted {
				attemptedAt = wrapped.Writes
			}
			var unknown bool
			doc, unknown, err = tryWrite(ctx, w, key, doc, wrapped, id, change)
			attempted = attempted || unknown
			if err == nil || isFinal(err) {
				return doc, err
			}
		}
		last = err
		if !sleep(ctx, backoff(attempt)) {
			break
		}
	}
	if attempted {
		return Document[T]{}, newError(KindUnknown, key, last)
	}
	return Document[T]{}, last
}

func isFinal(err error) bool {
	return !IsKind(err, KindConflict) && !IsKind(err, KindUnavailable) && !IsKind(err, KindUnknown)
}

func load[T any](ctx context.Context, w *Writer, key Key) (Document[T], envelope, error) {
	object, err := w.api.Get(ctx, key)
	if IsKind(err, KindNotFound) {
		return Document[T]{}, envelope{}, nil
	}
	if err != nil {
		return Document[T]{}, envelope{}, err
	}
	return decode[T](object)
}

// tryWrite applies change and writes the result on the version of doc. It
// reports whether the write's outcome is unknown.
func tryWrite[T any](ctx context.Context, w *Writer, key Key, doc Document[T], base envelope, id nutmegid.WriteID, change func(*T) error) (Document[T], bool, error) {
	err := change(&doc.Body)
	if errors.Is(err, ErrUnchanged) {
		return doc, false, nil
	}
	if err != nil {
		return doc, false, err
	}
	value, err := w.encode(base, id, doc.Body)
	if err != nil {
		return doc, false, newError(KindDamaged, key, err)
	}
	if base.Writes == 0 {
		doc.Version, err = w.api.Create(ctx, key, value)
	} else {
		doc.Version, err = w.api.Replace(ctx, key, value, doc.Version)
	}
	doc.Writer = w.incarnation
	return doc, IsKind(err, KindUnknown), err
}

func (w *Writer) encode(base envelope, id nutmegid.WriteID, body any) ([]byte, error) {
	raw, err := json.Marshal(body)
	if err != nil {
		return nil, err
	}
	recent := append(slices.Clone(base.Recent), id)
	if len(recent) > maxRecentWrites {
		recent = recent[len(recent)-maxRecentWrites:]
	}
	return json.Marshal(envelope{Writer: w.incarnation, Writes: base.Writes + 1, Recent: recent, Body: raw})
}

func backoff(attempt int) time.Duration {
	limit := min(firstBackoff<<attempt, maxBackoff)
	return time.Duration(rand.Int64N(int64(limit))) + time.Millisecond
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
