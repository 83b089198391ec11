package nutmegroute

import (
	"context"
	"errors"
	"sync"
)

// ErrEvicted says that the log no longer holds the asked events; they come from
// the engine's resume instead.
var ErrEvicted = errors.New("events are no longer held; resume the stream at the engine")

// AnswerLog holds the latest events of one answer while it grows, for callers
// that follow it from any offset. Old events are dropped past a size in bytes.
type AnswerLog struct {
	maxBytes int

	mu     sync.Mutex
	grown  *sync.Cond
	place  Place
	base   Offset // events up to base are dropped
	events []Event
	bytes  int
	ended  bool
	err    error
}

// NewAnswerLog returns a log whose first event follows base.
func NewAnswerLog(base Offset, maxBytes int) *AnswerLog {
	l := &AnswerLog{maxBytes: maxBytes, base: base}
	l.grown = sync.NewCond(&l.mu)
	return l
}

// SetPlace names the stream that the following events come from.
func (l *AnswerLog) SetPlace(p Place) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.place = p
}

// Place returns the stream of the answer, without one before it started.
func (l *AnswerLog) Place() Place {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.place
}

// Append adds the next event. It never fails; the result fits a sink.
func (l *AnswerLog) Append(e Event) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.events = append(l.events, e)
	l.bytes += len(e.Data)
	for l.bytes > l.maxBytes && len(l.events) > 1 {
		l.bytes -= len(l.events[0].Data)
		l.events = l.events[1:]
		l.base++
	}
	l.grown.Broadcast()
	return nil
}

// Finish ends the log; err is nil for a whole answer.
func (l *AnswerLog) Finish(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.err = err
	l.grown.Broadcast()
}

// Follow passes the events after an offset to fn, in batches as they arrive. It
// returns nil at the end of a whole answer, the answer's error, the error of
// fn, ErrEvicted, or the cause of ctx's end.
func (l *AnswerLog) Follow(ctx context.Context, after Offset, fn func(Place, []Event) error) error {
	stop := context.AfterFunc(ctx, l.wake)
	defer stop()
	for {
		place, events, err := l.next(ctx, after)
		if err != nil || len(events) == 0 {
			return err
		}
		if err := fn(place, events); err != nil {
			return err
		}
		after += Offset(len(events))
	}
}

func (l *AnswerLog) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.grown.Broadcast()
}

// next waits for events after an offset. It returns none at the end of a whole
// answer.
func (l *AnswerLog) next(ctx context.Context, after Offset) (Place, []Event, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if ctx.Err() != nil {
			return l.place, nil, context.Cause(ctx)
		}
		if after < l.base {
			return l.place, nil, ErrEvicted
		}
		if held := after - l.base; held < Offset(len(l.events)) {
			return l.place, l.events[held:len(l.events):len(l.events)], nil
		}
		if l.ended {
			return l.place, nil, l.err
		}
		l.grown.Wait()
	}
}
