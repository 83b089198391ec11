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
func (g *duplicateGuard) acquire(ctx context.Context, f Fingerprint) func() {
	for {
		g.mu.Lock()
		other, ok := g.pending[f]
		if !ok {
			own := make(chan struct{})
			g.pending[f] = own
			g.mu.Unlock()
			return sync.OnceFunc(func() { g.release(f, own) })
		}
		g.mu.Unlock()
		if !g.wait(ctx, other) {
			return func() {}
		}
	}
}

func (g *duplicateGuard) wait(ctx context.Context, other <-chan struct{}) bool {
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

func (g *duplicateGuard) release(f Fingerprint, own chan struct{}) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.pending, f)
	close(own)
}
