package nutmegtrace

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// revisionWatch reads each instance's revision over and over.
type revisionWatch struct {
	replayer *replayer
	quit     chan struct{}
	done     sync.WaitGroup

	mu        sync.Mutex
	sightings []sighting
}

func newRevisionWatch(r *replayer) *revisionWatch {
	return &revisionWatch{replayer: r, quit: make(chan struct{})}
}

func (w *revisionWatch) start() {
	for instance := range w.replayer.target.Instances() {
		w.done.Go(func() { w.loop(instance) })
	}
}

func (w *revisionWatch) stop() {
	close(w.quit)
	w.done.Wait()
}

// loop notes the changes of one instance's state.
func (w *revisionWatch) loop(instance int) {
	ticker := time.NewTicker(revisionPoll)
	defer ticker.Stop()
	var last sighting
	for {
		select {
		case <-w.quit:
			w.add(w.look(instance))
			return
		case <-ticker.C:
		}
		s := w.look(instance)
		if s.revision != last.revision || s.incarnation != last.incarnation || s.serving != last.serving ||
			s.reachable != last.reachable || s.at.Sub(last.at) > time.Second {
			w.add(s)
			last = s
		}
	}
}

func (w *revisionWatch) add(s sighting) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.sightings = append(w.sightings, s)
}

func (w *revisionWatch) look(instance int) sighting {
	ctx, cancel := context.WithTimeout(context.Background(), revisionDeadline)
	defer cancel()
	s := sighting{instance: instance, at: time.Now()}
	if _, up := w.replayer.target.Address(instance); !up {
		return s
	}
	status, err := w.replayer.target.Status(ctx, instance)
	s.at = time.Now()
	if err != nil {
		return s
	}
	s.incarnation, s.revision = status.Incarnation, status.Revision
	s.serving = status.NotReady == ""
	s.reachable = w.replayer.fleet == nil || w.replayer.control.reachable(instance)
	return s
}

// liveNow are the incarnations that run at the end.
func (w *revisionWatch) liveNow(ctx context.Context) map[nutmegid.Incarnation]bool {
	live := make(map[nutmegid.Incarnation]bool)
	for instance := range w.replayer.target.Instances() {
		if _, up := w.replayer.target.Address(instance); !up {
			continue
		}
		if status, err := w.replayer.target.Status(ctx, instance); err == nil {
			live[status.Incarnation] = true
		}
	}
	return live
}

// progressLoop tells of a replay's progress once a second.
type progressLoop struct {
	replayer *replayer
	began    time.Time
	total    time.Duration
	quit     chan struct{}
	done     chan struct{}
}

func newProgressLoop(r *replayer, began time.Time, total time.Duration) *progressLoop {
	return &progressLoop{replayer: r, began: began, total: total, quit: make(chan struct{}), done: make(chan struct{})}
}

func (p *progressLoop) start() {
	go p.loop()
}

func (p *progressLoop) stop() {
	close(p.quit)
	<-p.done
}

func (p *progressLoop) loop() {
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
				Elapsed: time.Since(p.began), Total: p.total, Sent: r.sent.Load(),
				Answered: r.answered.Load(), Refused: r.refused.Load(), Late: time.Duration(r.late.Load()),
			})
		}
	}
}
