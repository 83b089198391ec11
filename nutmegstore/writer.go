package nutmegstore

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// API is the part of the platform's object API that a Writer needs.
type API interface {
	Get(ctx context.Context, key Key) (Object, error)
	Create(ctx context.Context, key Key, value []byte) (nutmegid.Version, error)
	Replace(ctx context.Context, key Key, value []byte, version nutmegid.Version) (nutmegid.Version, error)
}

// eraSource is an API that knows the era of the store.
type eraSource interface {
	Era() EraState
}

// ErrUnchanged is returned by a change function when there is nothing to write.
var ErrUnchanged = errors.New("object is unchanged")

// envelope wraps each value with the ids of its latest writes. Origin is the
// write that created the object; it distinguishes an object that was deleted and
// created again from the original one.
type envelope struct {
	Origin nutmegid.WriteID     `json:"origin"`
	Writer nutmegid.Incarnation `json:"writer"`
	Writes uint64               `json:"writes"`
	Recent []nutmegid.WriteID   `json:"recent_writes"`
	Body   json.RawMessage      `json:"body"`
}

func (e envelope) hasWrite(id nutmegid.WriteID) bool {
	return slices.Contains(e.Recent, id)
}

// Writer changes objects by compare-and-swap and determines the outcome of
// writes whose response was lost.
type Writer struct {
	api         API
	incarnation nutmegid.Incarnation
	pause       func(ctx context.Context, d time.Duration) bool
	latest      latestObjects
}

// NewWriter returns a writer that records the incarnation with its writes.
func NewWriter(api API, incarnation nutmegid.Incarnation) *Writer {
	return &Writer{api: api, incarnation: incarnation, pause: sleep}
}

// isOutdated reports whether an object is from before the latest restore of the store.
func (w *Writer) isOutdated(o Object) bool {
	source, ok := w.api.(eraSource)
	return ok && o.Version.Era() < source.Era().Era
}

// latestObjects holds the objects as an instance last saw them.
type latestObjects struct {
	mu    sync.Mutex
	byKey map[Key]Object
}

// get returns the object that was last put for a key.
func (l *latestObjects) get(key Key) (Object, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	o, ok := l.byKey[key]
	return o, ok
}

// put stores an object, or forgets it if it is nil.
func (l *latestObjects) put(key Key, o *Object) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if o == nil {
		delete(l.byKey, key)
		return
	}
	if l.byKey == nil {
		l.byKey = make(map[Key]Object)
	}
	l.byKey[key] = *o
}

// Document is an object's decoded body.
type Document[T any] struct {
	Version nutmegid.Version
	Writer  nutmegid.Incarnation
	Body    T
}

// Decode returns the body of an object that a Writer wrote. For any other value
// it returns an error of KindDamaged.
func Decode[T any](object Object) (Document[T], error) {
	doc, _, err := decode[T](object)
	return doc, err
}

func decode[T any](object Object) (Document[T], envelope, error) {
	var env envelope
	doc := Document[T]{Version: object.Version}
	if err := json.Unmarshal(object.Value, &env); err != nil {
		return doc, env, newError(KindDamaged, object.Key, err)
	}
	if env.Writer == "" || len(env.Recent) == 0 {
		return doc, env, newError(KindDamaged, object.Key, errors.New("value has no writer or no write ids"))
	}
	if err := json.Unmarshal(env.Body, &doc.Body); err != nil {
		return doc, env, newError(KindDamaged, object.Key, err)
	}
	doc.Writer = env.Writer
	return doc, env, nil
}

// Read gets and decodes an object.
func Read[T any](ctx context.Context, w *Writer, key Key) (Document[T], error) {
	object, err := w.api.Get(ctx, key)
	if err != nil {
		return Document[T]{}, err
	}
	return Decode[T](object)
}

// Create writes a new object. A conflict means that another writer created it
// first. If the response to an own write was lost but the write took effect,
// Create succeeds.
func Create[T any](ctx context.Context, w *Writer, key Key, body T) error {
	id := nutmegid.NewWriteID()
	value, err := w.encode(envelope{}, id, body)
	if err != nil {
		return newError(KindDamaged, key, err)
	}
	outcomeUnknown := false
	for attempt := range maxAttempts {
		_, err = w.api.Create(ctx, key, value)
		switch {
		case err == nil:
			return nil
		case IsKind(err, KindConflict) && outcomeUnknown:
			return w.resolveConflict(ctx, key, id, err)
		case IsKind(err, KindUnknown):
			outcomeUnknown = true
		case !IsKind(err, KindUnavailable) && !outcomeUnknown:
			return err
		}
		if !w.pause(ctx, backoff(attempt)) {
			break
		}
	}
	if outcomeUnknown {
		return newError(KindUnknown, key, err)
	}
	return err
}

// resolveConflict determines whether the existing object was created by the
// write with the given id. It returns nil if it was, conflict if another write
// created it, and KindUnknown if the object cannot be read or decoded.
func (w *Writer) resolveConflict(ctx context.Context, key Key, id nutmegid.WriteID, conflict error) error {
	object, err := w.api.Get(ctx, key)
	if err != nil {
		return newError(KindUnknown, key, err)
	}
	_, env, err := decode[json.RawMessage](object)
	switch {
	case err != nil:
		return newError(KindUnknown, key, err)
	case env.Origin == id:
		return nil
	}
	return conflict
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
	origin := base.Origin
	if base.Writes == 0 {
		origin = id
	}
	return json.Marshal(envelope{Origin: origin, Writer: w.incarnation, Writes: base.Writes + 1, Recent: recent, Body: raw})
}

func backoff(attempt int) time.Duration {
	limit := min(minBackoff<<attempt, maxBackoff)
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
