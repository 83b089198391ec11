package nutmegnode

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// sharedCall is one call that all callers with its key wait for. The answer is
// readable once ended is closed.
type sharedCall struct {
	bodyHash string
	ended    chan struct{}
	answer   nutmegroute.Answer
	err      error
}

// sharedCalls are the running and kept calls with keys of one instance.
type sharedCalls struct {
	mu            sync.Mutex
	calls         map[answerKey]*sharedCall
	retainedBytes int // of kept answers
}

func newSharedCalls() *sharedCalls {
	return &sharedCalls{calls: make(map[answerKey]*sharedCall)}
}

// begin registers a call, or returns the one that its key names.
func (s *sharedCalls) register(key answerKey, bodyHash string) (*sharedCall, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if existing, ok := s.calls[key]; ok {
		if existing.bodyHash != bodyHash {
			return nil, false, keyReusedError(key.key)
		}
		return existing, false, nil
	}
	c := &sharedCall{bodyHash: bodyHash, ended: make(chan struct{})}
	s.calls[key] = c
	return c, true, nil
}

// finish gives the answer to all who wait, and keeps it for repeats if keep is
// set and there is room.
func (s *sharedCalls) finish(key answerKey, c *sharedCall, answer nutmegroute.Answer, err error, keep bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.answer, c.err = answer, err
	close(c.ended)
	if !keep || s.retainedBytes+len(answer.Body) > maxRetainedCallBytes {
		delete(s.calls, key)
		return
	}
	s.retainedBytes += len(answer.Body)
	time.AfterFunc(answerRetention, func() { s.expire(key, c) })
}

func (s *sharedCalls) expire(key answerKey, c *sharedCall) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.retainedBytes -= len(c.answer.Body)
	delete(s.calls, key)
}
