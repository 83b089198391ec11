package nutmegstore

import (
	"context"
	"errors"
	"fmt"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// attempt is one write whose answer was lost.
type attempt struct {
	base  Object   // Version is zero for a creation
	from  envelope // of base
	value []byte
}

// update is one logical write over all of its attempts.
type update[T any] struct {
	w      *Writer
	key    Key
	id     nutmegid.WriteID
	change func(*T) error

	present *Object // that the last conflict was with; nil where it must be read

	first *attempt // the earliest attempt of unknown outcome
	last  *attempt // the latest attempt of unknown outcome
}

// Update reads the object, applies change to its body and writes it back on
// the version that was read, until that succeeds, ctx ends, or too many calls
// have failed. A missing object is created from the zero body. The change
// function may be called several times; it returns ErrUnchanged when there is
// nothing to write.
//
// The change is written at most once. A nil error says that it was written, or
// that there was nothing to write; KindUnknown that it may have been written,
// also later; any other error that it was not and will not be. This rests on
// two things: versions of one object never repeat, also after a deletion, and
// nobody deletes an object within the update that creates it.
func Update[T any](ctx context.Context, w *Writer, key Key, change func(*T) error) (Document[T], error) {
	u := &update[T]{w: w, key: key, id: nutmegid.NewWriteID(), change: change}
	var err error
	failures, conflicts := 0, 0
	for failures < maxAttempts && conflicts < maxConflicts {
		var doc Document[T]
		var done bool
		doc, done, err = u.try(ctx)
		if done {
			return doc, err
		}
		if IsKind(err, KindConflict) {
			conflicts++
		} else {
			failures++
		}
		if !w.pause(ctx, backoff(failures+conflicts/conflictsPerStep)) {
			break
		}
	}
	return Document[T]{}, u.unresolved(err)
}

// unresolved is the error of an update that gives up.
func (u *update[T]) unresolved(err error) error {
	if u.first != nil {
		return newError(KindUnknown, u.key, err)
	}
	return err
}

// try reads the object once and writes it at most once. It reports whether the
// outcome is final.
func (u *update[T]) try(ctx context.Context) (Document[T], bool, error) {
	object, err := u.read(ctx)
	if IsKind(err, KindNotFound) {
		return u.create(ctx)
	}
	if err != nil {
		return Document[T]{}, !IsKind(err, KindUnavailable), u.unresolved(err)
	}
	doc, from, err := decode[T](object)
	if err != nil {
		return doc, true, u.unresolved(err)
	}
	if from.has(u.id) || from.Origin == u.id {
		return doc, true, nil
	}
	if u.forgotten(from) {
		return doc, true, newError(KindUnknown, u.key, fmt.Errorf("write id %s may have been dropped", u.id))
	}
	return u.write(ctx, doc, object, from)
}

// read returns the present object, without a call where a conflict told it.
func (u *update[T]) read(ctx context.Context) (Object, error) {
	if object := u.present; object != nil {
		u.present = nil
		return *object, nil
	}
	return u.w.api.Get(ctx, u.key)
}

// create writes the object when there is none. An object that was there at an
// earlier attempt has been deleted, perhaps with our write in it.
func (u *update[T]) create(ctx context.Context) (Document[T], bool, error) {
	if u.first != nil && u.first.base.Version != 0 {
		return Document[T]{}, true, newError(KindUnknown, u.key, errors.New("object was deleted after a write without answer"))
	}
	return u.write(ctx, Document[T]{}, Object{Key: u.key}, envelope{})
}

// forgotten reports whether the object may have lost the id of a write of ours:
// it was created anew, or written too often since. A lost creation is told by
// the object's origin.
func (u *update[T]) forgotten(from envelope) bool {
	if u.first == nil || u.first.base.Version == 0 {
		return false
	}
	return from.Origin != u.first.from.Origin || from.Writes >= u.first.from.Writes+maxRecentWrites
}

// write sends the change on the version that was read. On the same version as
// a lost attempt it sends the same value again: whichever arrives first counts.
func (u *update[T]) write(ctx context.Context, doc Document[T], base Object, from envelope) (Document[T], bool, error) {
	next := u.last
	if next == nil || next.base.Version != base.Version {
		value, err := u.encode(&doc, from)
		if errors.Is(err, ErrUnchanged) {
			return doc, true, nil
		}
		if err != nil {
			return doc, true, err
		}
		next = &attempt{base: base, from: from, value: value}
	}
	version, err := u.send(ctx, next)
	u.present = presentOf(err)
	switch {
	case err == nil:
		doc, _, err = decode[T](Object{Key: u.key, Version: version, Value: next.value})
		return doc, true, err
	case IsKind(err, KindUnknown):
		u.last = next
		if u.first == nil {
			u.first = next
		}
	case !IsKind(err, KindConflict) && !IsKind(err, KindUnavailable):
		return doc, true, u.unresolved(err)
	}
	return doc, false, err
}

// encode applies the change. Its errors are final: an earlier attempt was made
// on another version, which cannot come back.
func (u *update[T]) encode(doc *Document[T], from envelope) ([]byte, error) {
	if err := u.change(&doc.Body); err != nil {
		return nil, err
	}
	value, err := u.w.encode(from, u.id, doc.Body)
	if err != nil {
		return nil, newError(KindDamaged, u.key, err)
	}
	return value, nil
}

func (u *update[T]) send(ctx context.Context, a *attempt) (nutmegid.Version, error) {
	if a.base.Version == 0 {
		return u.w.api.Create(ctx, u.key, a.value)
	}
	return u.w.api.Replace(ctx, u.key, a.value, a.base.Version)
}
