package nutmegentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegoverload"
)

// overload watches whether this instance has processor time for its callers.
type overload struct {
	entry *Entry
	done  chan struct{}
	// since is when the overload began, in monotonic time since the instance's
	// start; zero without one.
	since atomic.Int64
}

// active says whether new callers should go elsewhere.
func (o *overload) active() bool {
	return o.since.Load() != 0
}

// sheds says whether callers of open connections should go elsewhere, too: the
// balancer sends them to another instance by now.
func (o *overload) sheds() bool {
	since := time.Duration(o.since.Load())
	return since != 0 && o.entry.moment()-since > balancerTime
}

// loop samples the delay of its own timer until ctx ends.
func (o *overload) loop(ctx context.Context) {
	defer close(o.done)
	detector := nutmegoverload.New()
	timer := time.NewTimer(nutmegoverload.SampleInterval)
	defer timer.Stop()
	for {
		due := o.entry.moment() + nutmegoverload.SampleInterval
		timer.Reset(nutmegoverload.SampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := o.entry.moment()
		if detector.Sample(now-due, now) {
			o.changed(detector, now)
		}
	}
}

func (o *overload) changed(d *nutmegoverload.Detector, now time.Duration) {
	metrics.GetOrRegisterCounter("overload_changes", o.entry.metrics).Inc(1)
	fields := logrus.Fields{"lag_ms": d.Lag().Milliseconds(), "running": o.entry.running.Load()}
	if d.Overloaded() {
		o.since.Store(int64(now))
		o.entry.event("overloaded").WithFields(fields).Warn("timers fire late; new callers are sent elsewhere")
		return
	}
	o.since.Store(0)
	o.entry.event("overload_over").WithFields(fields).Info("timers fire in time again")
}
