package nutmegconf

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// CompleterConfig configures a completer.
type CompleterConfig struct {
	Book    *Book
	Delay   time.Duration // before another instance's effects are completed; DefaultCompleteDelay when zero
	OnError func(error)
	// Instances returns the size of the fleet, so that the fleet as a whole looks
	// at pending effects at the same rate whatever its size; 1 when nil.
	Instances func() int
}

// Completer carries out effects that their confirmer has left behind. All
// instances run one; each waits a random time so that mostly one acts.
type Completer struct {
	cfg  CompleterConfig
	wake chan struct{}
	quit context.CancelFunc
	done chan struct{}

	mu      sync.Mutex
	pending nutmegid.Revision // the oldest with pending effects, 0 for none
}

// NewCompleter returns a completer; Start begins its work.
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

// Start begins to complete what Notice reports.
func (c *Completer) Start() {
	ctx, cancel := context.WithCancel(context.Background())
	c.quit = cancel
	go c.run(ctx)
}

// Stop ends the work and waits for it.
func (c *Completer) Stop() {
	c.quit()
	<-c.done
}

// Notice takes in a head as the store holds it.
func (c *Completer) Notice(head Head) {
	c.mu.Lock()
	c.pending = head.nextPending()
	c.mu.Unlock()
	if head.nextPending() == 0 {
		return
	}
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

func (c *Completer) oldest() nutmegid.Revision {
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
		for c.oldest() != 0 && c.pause(ctx) {
			c.complete(ctx)
		}
	}
}

func (c *Completer) pause(ctx context.Context) bool {
	timer := time.NewTimer(c.cfg.Delay + rand.N(c.spread()))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// spread is the span over which the instances' looks are spread.
func (c *Completer) spread() time.Duration {
	return c.cfg.Delay * time.Duration(max(1, c.cfg.Instances()/completersAtOnce))
}

func (c *Completer) complete(ctx context.Context) {
	if c.oldest() == 0 {
		return
	}
	head, err := c.cfg.Book.CompletePending(ctx)
	if err != nil {
		c.cfg.OnError(err)
		return
	}
	c.mu.Lock()
	c.pending = head.nextPending()
	c.mu.Unlock()
}
