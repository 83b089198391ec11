package nutmegroute

import (
	"context"
	"sync"
	"time"
)

// duplicateGuard delays a request while an identical one is pending, that is, running without
// any event so far. A request that crashes upstreams therefore reaches only one upstream at a
// time from this instance.
type duplicateGuard struct {
	mu      sync.Mutex
	pending map[Fingerprint]chan struct{}
}

func newDuplicateGuard() *duplicateGuard {
	return &duplicateGuard{pending: make(map[Fingerprint]chan struct{})}
}

// acquire waits for a pending identical request, up to maxDuplicateWait. The returned function
// marks this request as no longer pending; it may be called more than once.
func (t *duplicateGuard) acquire(ctx context.Context, f Fingerprint) func() {
	for {
		t.mu.Lock()
		other, ok := t.pending[f]
		if !ok {
			own := make(chan struct{})
			t.pending[f] = own
			t.mu.Unlock()
			return sync.OnceFunc(func() { t.release(f, own) })
		}
		t.mu.Unlock()
		if !t.wait(ctx, other) {
			return func() {}
		}
	}
}

func (t *duplicateGuard) wait(ctx context.Context, other <-chan struct{}) bool {
	timer := time.NewTimer(maxDuplicateWait)
	defer timer.Stop()
	select {
	case <-other:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (t *duplicateGuard) release(f Fingerprint, own chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.pending, f)
	close(own)
}
