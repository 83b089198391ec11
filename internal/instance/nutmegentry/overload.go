package nutmegentry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegoverload"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
)

// overload watches whether this instance has processor time and bandwidth for
// its callers.
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

// loop samples the delay of its own timer and the use of the link until ctx ends.
func (o *overload) loop(ctx context.Context) {
	defer close(o.done)
	detector := nutmegoverload.New()
	timer := time.NewTimer(nutmegoverload.SampleInterval)
	defer timer.Stop()
	meter := linkMeter{traffic: o.entry.traffic, bandwidth: o.entry.cfg.Settings.Limits.LinkMbps * 1e6 / 8}
	for {
		due := o.entry.moment() + nutmegoverload.SampleInterval
		timer.Reset(nutmegoverload.SampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := o.entry.moment()
		if detector.Sample(nutmegoverload.Sample{Lag: now - due, Link: meter.share(now), At: now}) {
			o.changed(detector, now)
		}
	}
}

func (o *overload) changed(d *nutmegoverload.Detector, now time.Duration) {
	metrics.GetOrRegisterCounter("overload_changes", o.entry.metrics).Inc(1)
	fields := logrus.Fields{
		"lag_ms": d.Lag().Milliseconds(), "link_percent": int64(100 * d.Link()), "running": o.entry.running.Load(),
	}
	if d.Overloaded() {
		o.since.Store(int64(now))
		o.entry.event("overloaded").WithFields(fields).Warn("the processor or the link is too busy; new callers are sent elsewhere")
		return
	}
	o.since.Store(0)
	o.entry.event("overload_over").WithFields(fields).Info("the instance takes new callers again")
}

// linkMeter turns counted bytes into the share of the link that is in use.
type linkMeter struct {
	traffic   *nutmegconn.Traffic
	bandwidth float64 // bytes a second in each direction
	received  int64
	sent      int64
	at        time.Duration
}

// share returns the share since the latest call, of the busier direction.
func (m *linkMeter) share(now time.Duration) float64 {
	received, sent := m.traffic.Received(), m.traffic.Sent()
	bytes := max(received-m.received, sent-m.sent)
	span := (now - m.at).Seconds()
	m.received, m.sent, m.at = received, sent, now
	if span <= 0 {
		return 0
	}
	return float64(bytes) / span / m.bandwidth
}
