package nutmegnode

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// sharedCall is one call shared by all callers that sent its key. The answer may
// be read once ended is closed.
type sharedCall struct {
	bodyHash string
	ended    chan struct{}
	answer   nutmegroute.Answer
	err      error
}

// sharedCalls holds the running and retained keyed calls of one instance.
type sharedCalls struct {
	mu            sync.Mutex
	calls         map[answerKey]*sharedCall
	retainedBytes int // total size of retained answers
}

func newSharedCalls() *sharedCalls {
	return &sharedCalls{calls: make(map[answerKey]*sharedCall)}
}

// register adds a call, or returns the existing one with the same key. It reports
// whether the call was added.
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

// finish delivers the answer to all waiting callers. If keep is set and the size
// limit allows it, the answer is retained for repeated requests.
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
