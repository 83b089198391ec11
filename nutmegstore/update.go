package nutmegstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// writeAttempt is one write of an update, kept while its outcome is unknown.
type writeAttempt struct {
	base         Object   // object that the write replaces; its version is zero for a creation
	baseEnvelope envelope // envelope of base
	value        []byte
}

// update is one logical write with all of its attempts.
type update[T any] struct {
	w      *Writer
	key    Key
	id     nutmegid.WriteID
	change func(*T) error

	conflicting *Object // object returned with the last conflict; nil if it must be read
	remembers   bool    // the first attempt uses the object that the writer last saw
	remembered  bool    // the current attempt uses that object, which may be out of date

	firstUnknown *writeAttempt // the earliest attempt of unknown outcome
	lastUnknown  *writeAttempt // the latest attempt of unknown outcome
}

// Update reads the object, applies change to its body and writes it back if the
// version is still the one that was read. It retries until the write succeeds,
// ctx ends, or too many calls have failed. A missing object is created from the
// zero body. The change function may be called several times; it returns
// ErrUnchanged when there is nothing to write.
//
// The change is written at most once. A nil error means that it was written or
// that there was nothing to write; KindUnknown that it may have been written or
// may still be; any other error that it was not and will not be written. This
// relies on two properties: versions of one object never repeat, not even after
// a deletion, and no object is deleted while the update that creates it runs. A
// store that is restored from an older copy begins a new era, so that its versions
// do not repeat either; what it then lacks counts as not written, and a write whose
// condition was meant for the era before as one of unknown outcome.
func Update[T any](ctx context.Context, w *Writer, key Key, change func(*T) error) (Document[T], error) {
	u := &update[T]{w: w, key: key, id: nutmegid.NewWriteID(), change: change}
	return u.run(ctx)
}

// UpdateLatest is like Update, but its first attempt replaces the object as this
// writer last wrote it, without a call that reads it. It suits objects with few
// writers. A conflict, or a change function that returns an error, makes it read
// the object.
func UpdateLatest[T any](ctx context.Context, w *Writer, key Key, change func(*T) error) (Document[T], error) {
	u := &update[T]{w: w, key: key, id: nutmegid.NewWriteID(), change: change, remembers: true}
	return u.run(ctx)
}

func (u *update[T]) run(ctx context.Context) (Document[T], error) {
	w := u.w
	var err error
	failures, conflicts := 0, 0
	for failures < maxAttempts && conflicts < maxConflicts {
		var doc Document[T]
		var done bool
		doc, done, err = u.tryOnce(ctx)
		if done {
			return doc, err
		}
		if errors.Is(err, errRemembered) {
			continue
		}
		if IsKind(err, KindConflict) {
			conflicts++
		} else {
			failures++
		}
		if !w.pause(ctx, backoff(failures+conflicts/conflictsPerBackoffStep)) {
			break
		}
	}
	return Document[T]{}, u.finalError(err)
}

// errRemembered means that a change could not be applied to the object that the
// writer last saw, which may be out of date.
var errRemembered = errors.New("the object that was last seen may be out of date")

// finalError returns the error of an update that gives up: KindUnknown if the
// outcome of an attempt is unknown, err otherwise.
func (u *update[T]) finalError(err error) error {
	if u.firstUnknown != nil {
		return newError(KindUnknown, u.key, err)
	}
	return err
}

// tryOnce reads the object once and writes it at most once. It reports whether the
// update is finished.
func (u *update[T]) tryOnce(ctx context.Context) (Document[T], bool, error) {
	object, err := u.read(ctx)
	if IsKind(err, KindNotFound) {
		return u.create(ctx)
	}
	if err != nil {
		return Document[T]{}, !IsKind(err, KindUnavailable), u.finalError(err)
	}
	doc, env, err := decode[T](object)
	if err != nil {
		return doc, true, u.finalError(err)
	}
	if env.hasWrite(u.id) || env.Origin == u.id {
		return doc, true, nil
	}
	if u.mayHaveDroppedID(env) {
		return doc, true, newError(KindUnknown, u.key, fmt.Errorf("object may no longer store write id %s", u.id))
	}
	return u.write(ctx, doc, object, env)
}

// read returns the current object, without a call if the last conflict returned it.
func (u *update[T]) read(ctx context.Context) (Object, error) {
	u.remembered = false
	if object := u.conflicting; object != nil && !u.w.isOutdated(*object) {
		u.conflicting = nil
		return *object, nil
	}
	u.conflicting = nil
	if u.remembers {
		u.remembers = false
		if object, ok := u.w.latest.get(u.key); ok && !u.w.isOutdated(object) {
			u.remembered = true
			return object, nil
		}
	}
	return u.w.api.Get(ctx, u.key)
}

// create writes an object that does not exist. If it existed at an earlier
// attempt, it has been deleted since, possibly with this update's write in it.
func (u *update[T]) create(ctx context.Context) (Document[T], bool, error) {
	if u.firstUnknown != nil && u.firstUnknown.base.Version != 0 {
		return Document[T]{}, true, newError(KindUnknown, u.key, errors.New("object was deleted after a write that got no response"))
	}
	return u.write(ctx, Document[T]{}, Object{Key: u.key}, envelope{})
}

// mayHaveDroppedID reports whether the object may have dropped this update's
// write id: it was deleted and created again, or has had too many writes since.
// A creation without a response is recognized by the object's origin.
func (u *update[T]) mayHaveDroppedID(env envelope) bool {
	if u.firstUnknown == nil || u.firstUnknown.base.Version == 0 {
		return false
	}
	return env.Origin != u.firstUnknown.baseEnvelope.Origin || env.Writes >= u.firstUnknown.baseEnvelope.Writes+maxRecentWrites
}

// write sends the change, conditional on the version that was read. If that is
// the base version of the last attempt without a response, it sends the same
// value again: only the first of the two to arrive takes effect.
func (u *update[T]) write(ctx context.Context, doc Document[T], base Object, env envelope) (Document[T], bool, error) {
	next := u.lastUnknown
	if next == nil || next.base.Version != base.Version {
		value, err := u.encode(&doc, env)
		if err != nil && u.remembered {
			return doc, false, errRemembered
		}
		if errors.Is(err, ErrUnchanged) {
			return doc, true, nil
		}
		if err != nil {
			return doc, true, err
		}
		next = &writeAttempt{base: base, baseEnvelope: env, value: value}
	}
	version, err := u.send(ctx, next)
	if err == nil && base.Version != 0 && version.Era() != base.Version.Era() {
		// The condition named a version that the store has given out twice.
		err = newError(KindUnknown, u.key, errOtherEra)
	}
	u.conflicting = conflictingObject(err)
	u.w.latest.put(u.key, u.conflicting)
	switch {
	case err == nil:
		u.w.latest.put(u.key, &Object{Key: u.key, Version: version, Value: next.value})
		doc, _, err = decode[T](Object{Key: u.key, Version: version, Value: next.value})
		return doc, true, err
	case IsKind(err, KindUnknown):
		u.lastUnknown = next
		if u.firstUnknown == nil {
			u.firstUnknown = next
		}
	case !IsKind(err, KindConflict) && !IsKind(err, KindUnavailable):
		return doc, true, u.finalError(err)
	}
	return doc, false, err
}

// encode applies the change and returns the encoded value. Its errors are final:
// earlier attempts were made on other versions, which cannot recur.
func (u *update[T]) encode(doc *Document[T], env envelope) ([]byte, error) {
	if err := u.change(&doc.Body); err != nil {
		return nil, err
	}
	value, err := u.w.encode(env, u.id, doc.Body)
	if err != nil {
		return nil, newError(KindDamaged, u.key, err)
	}
	return value, nil
}

func (u *update[T]) send(ctx context.Context, a *writeAttempt) (nutmegid.Version, error) {
	if a.base.Version == 0 {
		return u.w.api.Create(ctx, u.key, a.value)
	}
	return u.w.api.Replace(ctx, u.key, a.value, a.base.Version)
}
