package nutmegnode

import (
	"context"
	"errors"
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

// answerKey is the scope of a caller's idempotency key.
type answerKey struct {
	workspace nutmegid.Workspace
	target    string // the route, or the chat path
	key       nutmegid.OrderKey
}

// answer is one running or kept answer of this instance. Callers attach to it
// and leave; it ends by itself.
type answer struct {
	key             answerKey // without a key when the caller sent none
	bodyHash        string
	scope           string // how far the key holds
	request         nutmegid.RequestID
	log             *nutmegroute.AnswerLog
	cancel          context.CancelCauseFunc
	releaseDeadline func()        // frees the timer of the caller's deadline
	ready           chan struct{} // closed when request and scope are set
	onUnread        func()        // called when no caller has read for a while

	mu          sync.Mutex
	readers     int
	unreadTimer *time.Timer
	ended       bool
}

// attach counts a caller that reads the answer.
func (a *answer) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.unreadTimer != nil {
		a.unreadTimer.Stop()
	}
}

// detach starts the time after which an answer without callers is given up.
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
	idle := a.readers == 0 && !a.ended
	a.mu.Unlock()
	if idle {
		a.onUnread()
	}
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

// answers are the running and kept answers of one instance.
type answerRegistry struct {
	mu        sync.Mutex
	byKey     map[answerKey]*answer
	byRequest map[nutmegid.RequestID]*answer
	retained  []*answer // ended answers with keys, the oldest first
}

func newAnswerRegistry() *answerRegistry {
	return &answerRegistry{
		byKey:     make(map[answerKey]*answer),
		byRequest: make(map[nutmegid.RequestID]*answer),
	}
}

// begin registers a new answer, or returns the one that its key names. A key
// that was used with another body is an error.
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

// join registers an answer that is taken over, or returns the one that reads
// the same stream already.
func (r *answerRegistry) joinStream(a *answer) (*answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if existing, ok := r.byRequest[a.request]; ok && existing.log.Place() == a.log.Place() {
		return existing, true
	}
	r.byRequest[a.request] = a
	return a, false
}

// rename gives an answer the request id under which its key is held.
func (r *answerRegistry) setRequest(a *answer, request nutmegid.RequestID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.byRequest, a.request)
	a.request = request
	r.byRequest[request] = a
}

// find returns the running or kept answer of a request.
func (r *answerRegistry) find(request nutmegid.RequestID) (*answer, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a, ok := r.byRequest[request]
	return a, ok
}

// finish ends an answer. One with a key is kept for repeats if keep is set.
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

// cancelAll ends all running answers.
func (r *answerRegistry) cancelAll(cause error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range r.byRequest {
		a.cancel(cause)
	}
}
