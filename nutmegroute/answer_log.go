package nutmegroute

import (
	"context"
	"errors"
	"sync"
)

// ErrEvicted means that the log no longer holds the requested events. They can still be read
// from the engine by resuming the stream.
var ErrEvicted = errors.New("events are no longer buffered; resume the stream at the engine")

// AnswerLog buffers the latest events of an answer in progress, for callers that read it from
// any offset. The oldest events are dropped once the buffer exceeds a size in bytes.
type AnswerLog struct {
	maxBytes int

	mu      sync.Mutex
	changed *sync.Cond
	ref     StreamRef
	base    Offset // offset of the last dropped event
	events  []Event
	bytes   int
	ended   bool
	err     error
}

// NewAnswerLog returns a log whose first event has offset base+1.
func NewAnswerLog(base Offset, maxBytes int) *AnswerLog {
	l := &AnswerLog{maxBytes: maxBytes, base: base}
	l.changed = sync.NewCond(&l.mu)
	return l
}

// SetStream sets the stream that subsequent events come from.
func (l *AnswerLog) SetStream(ref StreamRef) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ref = ref
}

// Stream returns the stream of the answer, or the zero value before the stream has started.
func (l *AnswerLog) Stream() StreamRef {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ref
}

// Append adds the next event. It always returns nil; the signature matches that of a sink.
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
	l.changed.Broadcast()
	return nil
}

// Finish ends the log; err is nil for a complete answer.
func (l *AnswerLog) Finish(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	l.err = err
	l.changed.Broadcast()
}

// Follow passes the events after an offset to fn, in batches as they arrive. It returns nil at
// the end of a complete answer, the error of the answer or of fn, ErrEvicted, or the cause of
// the context's end.
func (l *AnswerLog) Follow(ctx context.Context, after Offset, fn func(StreamRef, []Event) error) error {
	stop := context.AfterFunc(ctx, l.wake)
	defer stop()
	for {
		ref, events, err := l.next(ctx, after)
		if err != nil || len(events) == 0 {
			return err
		}
		if err := fn(ref, events); err != nil {
			return err
		}
		after += Offset(len(events))
	}
}

func (l *AnswerLog) wake() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.changed.Broadcast()
}

// next waits for events after an offset. It returns no events at the end of a complete answer.
func (l *AnswerLog) next(ctx context.Context, after Offset) (StreamRef, []Event, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for {
		if ctx.Err() != nil {
			return l.ref, nil, context.Cause(ctx)
		}
		if after < l.base {
			return l.ref, nil, ErrEvicted
		}
		if index := after - l.base; index < Offset(len(l.events)) {
			return l.ref, l.events[index:len(l.events):len(l.events)], nil
		}
		if l.ended {
			return l.ref, nil, l.err
		}
		l.changed.Wait()
	}
}
