package nutmegroute

import (
	"context"
	"sync"
	"time"
)

// twins holds requests back while one with the same content is unproved: it is
// under way and has given no event yet. A request that crashes upstreams so
// reaches one upstream of an instance at a time.
type twins struct {
	mu       sync.Mutex
	unproved map[Fingerprint]chan struct{}
}

func newTwins() *twins {
	return &twins{unproved: make(map[Fingerprint]chan struct{})}
}

// enter waits for an unproved twin, for a bounded time. It returns the function
// that declares this request proved or ended; it may be called repeatedly.
func (t *twins) enter(ctx context.Context, f Fingerprint) func() {
	for {
		t.mu.Lock()
		other, ok := t.unproved[f]
		if !ok {
			own := make(chan struct{})
			t.unproved[f] = own
			t.mu.Unlock()
			return sync.OnceFunc(func() { t.leave(f, own) })
		}
		t.mu.Unlock()
		if !t.wait(ctx, other) {
			return func() {}
		}
	}
}

func (t *twins) wait(ctx context.Context, other <-chan struct{}) bool {
	timer := time.NewTimer(maxTwinWait)
	defer timer.Stop()
	select {
	case <-other:
		return true
	case <-timer.C:
	case <-ctx.Done():
	}
	return false
}

func (t *twins) leave(f Fingerprint, own chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.unproved, f)
	close(own)
}
