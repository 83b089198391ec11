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
	key      answerKey // without a key when the caller sent none
	bodyHash string
	scope    string // how far the key holds
	request  nutmegid.RequestID
	log      *nutmegroute.AnswerLog
	cancel   context.CancelCauseFunc
	release  func()        // frees the timer of the caller's deadline
	ready    chan struct{} // closed when request and scope are set
	onUnread func()        // called when no caller has read for a while

	mu      sync.Mutex
	readers int
	unread  *time.Timer
	ended   bool
}

// attach counts a caller that reads the answer.
func (a *answer) attach() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers++
	if a.unread != nil {
		a.unread.Stop()
	}
}

// detach starts the time after which an answer without callers is given up.
func (a *answer) detach(keep time.Duration) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.readers--
	if a.readers > 0 || a.ended {
		return
	}
	a.unread = time.AfterFunc(keep, a.giveUp)
}

func (a *answer) giveUp() {
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
	a.release()
	if a.unread != nil {
		a.unread.Stop()
	}
}

// answers are the running and kept answers of one instance.
type answers struct {
	mu      sync.Mutex
	keyed   map[answerKey]*answer
	running map[nutmegid.RequestID]*answer
	kept    []*answer // ended answers with keys, the oldest first
}

func newAnswers() *answers {
	return &answers{
		keyed:   make(map[answerKey]*answer),
		running: make(map[nutmegid.RequestID]*answer),
	}
}

// begin registers a new answer, or returns the one that its key names. A key
// that was used with another body is an error.
func (t *answers) begin(a *answer) (*answer, bool, error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.key.key != "" {
		if known, ok := t.keyed[a.key]; ok {
			if known.bodyHash != a.bodyHash {
				return nil, false, keyReusedError(a.key.key)
			}
			return known, false, nil
		}
		t.keyed[a.key] = a
	}
	t.running[a.request] = a
	return a, true, nil
}

// join registers an answer that is taken over, or returns the one that reads
// the same stream already.
func (t *answers) join(a *answer) (*answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if known, ok := t.running[a.request]; ok && known.log.Stream() == a.log.Stream() {
		return known, true
	}
	t.running[a.request] = a
	return a, false
}

// rename gives an answer the request id under which its key is held.
func (t *answers) rename(a *answer, request nutmegid.RequestID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.running, a.request)
	a.request = request
	t.running[request] = a
}

// find returns the running or kept answer of a request.
func (t *answers) find(request nutmegid.RequestID) (*answer, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.running[request]
	return a, ok
}

// finish ends an answer. One with a key is kept for repeats if keep is set.
func (t *answers) finish(a *answer, keep bool) {
	a.end()
	t.mu.Lock()
	defer t.mu.Unlock()
	if a.key.key == "" || !keep {
		t.drop(a)
		return
	}
	t.kept = append(t.kept, a)
	if len(t.kept) > maxKeptAnswers {
		t.drop(t.kept[0])
		t.kept = t.kept[1:]
	}
	time.AfterFunc(keepAnswer, func() { t.expire(a) })
}

func (t *answers) expire(a *answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.drop(a)
}

func (t *answers) drop(a *answer) {
	if t.running[a.request] == a {
		delete(t.running, a.request)
	}
	if t.keyed[a.key] == a {
		delete(t.keyed, a.key)
	}
}

// cancelAll ends all running answers.
func (t *answers) cancelAll(cause error) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, a := range t.running {
		a.cancel(cause)
	}
}
