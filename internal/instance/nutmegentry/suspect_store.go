package nutmegentry

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// suspectsKey is the key of the object with the suspects that are held back. An
// instance reads it once, at its start; later it learns of suspects from peers.
var suspectsKey = nutmegstore.Key{Kind: "nutmegwind_suspects", Name: "held"}

// suspectStore keeps the suspects that are held back in the store, for the case
// that all instances end.
type suspectStore struct {
	entry *Entry
	wake  chan struct{} // signals that the suspects have changed
	done  chan struct{}
}

func newSuspectStore(e *Entry) *suspectStore {
	return &suspectStore{entry: e, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// changed makes the loop write the suspects.
func (s *suspectStore) changed() {
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// run writes the suspects after each change until ctx ends. A failed write is
// repeated.
func (s *suspectStore) run(ctx context.Context) {
	defer close(s.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-s.wake:
		}
		if err := s.write(ctx); err != nil && ctx.Err() == nil {
			s.entry.count("suspects_not_stored")
			s.entry.event("suspects_not_stored").WithError(err).Warn("cannot write the suspects to the store; retrying")
			time.AfterFunc(suspectsRetryInterval, s.changed)
		}
	}
}

func (s *suspectStore) write(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, suspectsStoreTimeout)
	defer cancel()
	_, err := nutmegstore.Update(ctx, s.entry.writer, suspectsKey, func(body *[]nutmegsuspect.Conviction) error {
		merged := s.entry.suspects.MergeSnapshot(*body)
		if slices.EqualFunc(merged, *body, equalConvictions) {
			return nutmegstore.ErrUnchanged
		}
		*body = merged
		return nil
	})
	return err
}

func equalConvictions(a, b nutmegsuspect.Conviction) bool {
	return a.Suspect == b.Suspect && maps.EqualFunc(a.Crashes, b.Crashes, time.Time.Equal)
}

// read restores the suspects that the store holds.
func (s *suspectStore) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, suspectsStoreTimeout)
	defer cancel()
	doc, err := nutmegstore.Read[[]nutmegsuspect.Conviction](ctx, s.entry.writer, suspectsKey)
	if nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return
	}
	if err != nil {
		s.entry.count("suspects_unknown")
		s.entry.event("suspects_unknown").WithError(err).Warn("cannot read the suspects from the store; learning them from peers only")
		return
	}
	s.entry.event("suspects_restored").WithField("suspects", len(doc.Body)).Info("read the suspects from the store")
	s.entry.suspects.Restore(doc.Body)
}
