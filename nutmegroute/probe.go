package nutmegroute

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"
)

// probe polls one upstream periodically.
type probe struct {
	cfg       ProberConfig
	candidate *Candidate
	set       atomic.Pointer[CandidateSet]
	interval  atomic.Int64
	nextEvent uint64 // sequence of the next cache event
	ctx       context.Context
	cancel    context.CancelFunc
}

func newProbe(cfg ProberConfig, c *Candidate, set *CandidateSet, interval time.Duration) *probe {
	ctx, cancel := context.WithCancel(context.Background())
	p := &probe{cfg: cfg, candidate: c, ctx: ctx, cancel: cancel}
	p.set.Store(set)
	p.interval.Store(int64(interval))
	return p
}

// loop polls until the probe is cancelled. The first delay is random, so that instances that
// start at the same time do not poll in lockstep.
func (p *probe) loop() {
	wait := rand.N(time.Duration(p.interval.Load()))
	for {
		timer := time.NewTimer(wait)
		select {
		case <-p.ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		if err := p.poll(); !p.isStopped(err) {
			p.cfg.Pool.recordProbe(p.candidate, p.set.Load(), err == nil)
		}
		wait = time.Duration(p.interval.Load())
	}
}
