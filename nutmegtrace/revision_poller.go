package nutmegtrace

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// revisionPoller periodically reads the revision of each instance.
type revisionPoller struct {
	replayer *replayer
	quit     chan struct{}
	done     sync.WaitGroup

	mu      sync.Mutex
	samples []revisionSample
}

func newRevisionPoller(r *replayer) *revisionPoller {
	return &revisionPoller{replayer: r, quit: make(chan struct{})}
}

func (p *revisionPoller) start() {
	for instance := range p.replayer.target.Instances() {
		p.done.Go(func() { p.loop(instance) })
	}
}

func (p *revisionPoller) stop() {
	close(p.quit)
	p.done.Wait()
}

// loop records a sample when one instance's state changes, and at least one a
// second.
func (p *revisionPoller) loop(instance int) {
	ticker := time.NewTicker(revisionPollInterval)
	defer ticker.Stop()
	var last revisionSample
	for {
		select {
		case <-p.quit:
			p.add(p.sample(instance))
			return
		case <-ticker.C:
		}
		s := p.sample(instance)
		if s.revision != last.revision || s.incarnation != last.incarnation || s.serving != last.serving ||
			s.reachable != last.reachable || s.at.Sub(last.at) > time.Second {
			p.add(s)
			last = s
		}
	}
}

func (p *revisionPoller) add(s revisionSample) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.samples = append(p.samples, s)
}

func (p *revisionPoller) sample(instance int) revisionSample {
	ctx, cancel := context.WithTimeout(context.Background(), revisionPollTimeout)
	defer cancel()
	s := revisionSample{instance: instance, at: time.Now()}
	if _, up := p.replayer.target.Address(instance); !up {
		return s
	}
	status, err := p.replayer.target.Status(ctx, instance)
	s.at = time.Now()
	if err != nil {
		return s
	}
	s.incarnation, s.revision = status.Incarnation, status.Revision
	s.serving = status.NotReady == ""
	s.reachable = p.replayer.fleet == nil || p.replayer.control.reachable(instance)
	return s
}

// liveIncarnations returns the incarnations that are running now.
func (p *revisionPoller) liveIncarnations(ctx context.Context) map[nutmegid.Incarnation]bool {
	live := make(map[nutmegid.Incarnation]bool)
	for instance := range p.replayer.target.Instances() {
		if _, up := p.replayer.target.Address(instance); !up {
			continue
		}
		if status, err := p.replayer.target.Status(ctx, instance); err == nil {
			live[status.Incarnation] = true
		}
	}
	return live
}

// progressReporter reports the progress of a replay once a second.
type progressReporter struct {
	replayer *replayer
	started  time.Time
	total    time.Duration
	quit     chan struct{}
	done     chan struct{}
}

func newProgressReporter(r *replayer, started time.Time, total time.Duration) *progressReporter {
	return &progressReporter{replayer: r, started: started, total: total, quit: make(chan struct{}), done: make(chan struct{})}
}

func (p *progressReporter) start() {
	go p.loop()
}

func (p *progressReporter) stop() {
	close(p.quit)
	<-p.done
}

func (p *progressReporter) loop() {
	defer close(p.done)
	if p.replayer.cfg.OnProgress == nil {
		return
	}
	ticker := time.NewTicker(time.Second)
	defer ticker.Stop()
	for {
		select {
		case <-p.quit:
			return
		case <-ticker.C:
			r := p.replayer
			r.cfg.OnProgress(Progress{
				Elapsed: time.Since(p.started), Total: p.total, Sent: r.sent.Load(),
				Answered: r.answered.Load(), Refused: r.refused.Load(), SendDelay: time.Duration(r.sendDelay.Load()),
			})
		}
	}
}
