package nutmegnode

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

var (
	errUnread    = errors.New("no caller has read the answer for a while")
	errShutdown  = errors.New("the instance's shutdown time is over")
	errAbandoned = errors.New("the instance has ended")
)

// answerKey is a caller's idempotency key with the scope in which it is unique.
type answerKey struct {
	workspace nutmegid.Workspace
	target    string // the route, or the chat path
	key       nutmegid.OrderKey
}

// answer is a running or retained answer of this instance. Callers attach to it
// and detach from it; its lifetime does not depend on any single caller.
type answer struct {
	key             answerKey // its key field is empty if the caller sent none
	bodyHash        string
	scope           string // within which the key is unique
	request         nutmegid.RequestID
	log             *nutmegroute.AnswerLog
	cancel          context.CancelCauseFunc
	releaseDeadline func()        // releases the timer of the caller's deadline
	ready           chan struct{} // closed once request and scope are set
	onUnread        func()        // called when no caller has been attached for the unread timeout

	mu          sync.Mutex
	readers     int
	unreadTimer *time.Timer
	ended       bool
}

// attach adds a reader and stops the unread timer.
func (a *answer) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.unreadTimer != nil {
		a.unreadTimer.Stop()
	}
}

// detach removes a reader. The last one starts the unread timer.
func (a *answer) detach(timeout time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 || a.ended {
		return
	}
	a.unreadTimer = time.AfterFunc(timeout, a.expireUnread)
}

func (a *answer) expireUnread() {
	a.mu.Lock()
	unread := a.unread()
	a.mu.Unlock()
	if unread {
		a.onUnread()
	}
}

// unread reports whether nobody reads a running answer. The caller must hold mu.
func (a *answer) unread() bool {
	return a.readers == 0 && !a.ended
}

// cancelUnread cancels the answer unless a reader has attached or it has ended. It
// reports whether it did.
func (a *answer) cancelUnread(cause error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.unread() {
		return false
	}
	a.cancel(cause)
	return true
}

func (a *answer) end() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ended = true
	a.releaseDeadline()
	if a.unreadTimer != nil {
		a.unreadTimer.Stop()
	}
}

// answerRegistry holds the running and retained answers of one instance.
type answerRegistry struct {
	mu        sync.Mutex
	byKey     map[answerKey]*answer
	byRequest map[nutmegid.RequestID]*answer
	retained  []*answer // ended answers with keys, oldest first
}

func newAnswerRegistry() *answerRegistry {
	return &answerRegistry{
		byKey:     make(map[answerKey]*answer),
		byRequest: make(map[nutmegid.RequestID]*answer),
	}
}

// register adds a new answer, or returns the existing one with the same key. It
// reports whether the answer was added. Reusing a key with a different body is an
// error.
func (r *answerRegistry) register(a *answer) (*answer, bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.key.key != "" {
		if existing, ok := r.byKey[a.key]; ok {
			if existing.bodyHash != a.bodyHash {
				return nil, false, keyReusedError(a.key.key)
			}
			return existing, false, nil
		}
		r.byKey[a.key] = a
	}
	r.byRequest[a.request] = a
	return a, true, nil
}

// joinStream adds an answer that is taken over from another instance, or returns
// the existing one that already reads the same stream. It reports whether there
// was one.
func (r *answerRegistry) joinStream(a *answer) (*answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.byRequest[a.request]; ok && existing.log.Stream() == a.log.Stream() {
		return existing, true
	}
	r.byRequest[a.request] = a
	return a, false
}

// setRequest changes an answer's request ID to the one recorded under its key.
func (r *answerRegistry) setRequest(a *answer, request nutmegid.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byRequest, a.request)
	a.request = request
	r.byRequest[request] = a
}

// find returns the running or retained answer of a request.
func (r *answerRegistry) find(request nutmegid.RequestID) (*answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.byRequest[request]
	return a, ok
}

// finish ends an answer. If keep is set, an answer with a key is retained for
// repeated requests.
func (r *answerRegistry) finish(a *answer, keep bool) {
	a.end()
	r.mu.Lock()
	defer r.mu.Unlock()
	if a.key.key == "" || !keep {
		r.remove(a)
		return
	}
	r.retained = append(r.retained, a)
	if len(r.retained) > maxRetainedAnswers {
		r.remove(r.retained[0])
		r.retained = r.retained[1:]
	}
	time.AfterFunc(answerRetention, func() { r.expire(a) })
}

func (r *answerRegistry) expire(a *answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.retained = slices.DeleteFunc(r.retained, func(kept *answer) bool { return kept == a })
	r.remove(a)
}

func (r *answerRegistry) remove(a *answer) {
	if r.byRequest[a.request] == a {
		delete(r.byRequest, a.request)
	}
	if r.byKey[a.key] == a {
		delete(r.byKey, a.key)
	}
}

// cancelAll cancels all running answers.
func (r *answerRegistry) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.byRequest {
		a.cancel(cause)
	}
}
