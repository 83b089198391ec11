package nutmegconf

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// CompleterConfig configures a Completer.
type CompleterConfig struct {
	Planner *Planner
	Delay   time.Duration // minimum wait before another instance's effects are completed; DefaultCompleteDelay when zero
	OnError func(error)
	// Instances returns the number of instances. The wait grows with it, so that the
	// fleet as a whole checks for pending effects at a constant rate; 1 when nil.
	Instances func() int
}

// Completer applies effects that the confirming instance left pending. Every
// instance runs one; each waits a random time, so that usually only one acts.
type Completer struct {
	cfg    CompleterConfig
	wake   chan struct{}
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	pending nutmegid.Revision // oldest revision with pending effects, 0 for none
}

// NewCompleter returns a Completer. Start must be called to run it.
func NewCompleter(cfg CompleterConfig) *Completer {
	if cfg.Delay == 0 {
		cfg.Delay = DefaultCompleteDelay
	}
	if cfg.OnError == nil {
		cfg.OnError = func(error) {}
	}
	if cfg.Instances == nil {
		cfg.Instances = func() int { return 1 }
	}
	return &Completer{cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Start starts the goroutine that applies the effects reported through Observe.
func (c *Completer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.cancel = cancel
	go c.run(ctx)
}

// Stop cancels the goroutine and waits for it to return.
func (c *Completer) Stop() {
	c.cancel()
	<-c.done
}

// Observe records the pending effects of the stored head and wakes the completer.
func (c *Completer) Observe(head Head) {
	c.mu.Lock()
	c.pending = head.oldestPending()
	c.mu.Unlock()
	if head.oldestPending() == 0 {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Completer) oldestPending() nutmegid.Revision {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pending
}

func (c *Completer) run(ctx context.Context) {
	defer close(c.done)
	for {
		select {
		case <-ctx.Done():
			return
		case <-c.wake:
		}
		for c.oldestPending() != 0 && c.waitDelay(ctx) {
			c.complete(ctx)
		}
	}
}

func (c *Completer) waitDelay(ctx context.Context) bool {
	timer := time.NewTimer(c.cfg.Delay + rand.N(c.jitter()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// jitter returns the upper bound of the random delay that spreads the instances'
// checks.
func (c *Completer) jitter() time.Duration {
	return c.cfg.Delay * time.Duration(max(1, c.cfg.Instances()/completersPerDelay))
}

func (c *Completer) complete(ctx context.Context) {
	if c.oldestPending() == 0 {
		return
	}
	head, err := c.cfg.Planner.CompletePending(ctx)
	if err != nil {
		c.cfg.OnError(err)
		return
	}
	c.mu.Lock()
	c.pending = head.oldestPending()
	c.mu.Unlock()
}
