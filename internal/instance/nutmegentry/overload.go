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

// overload monitors whether this instance has enough processor time and bandwidth
// for its callers.
type overload struct {
	entry *Entry
	done  chan struct{}
	// since is the start of the overload in nanoseconds of uptime, or 0 if there is
	// none.
	since atomic.Int64
	// loaded is Detector.Loaded at the latest sample: the load is still above the
	// thresholds at which an overload ends.
	loaded atomic.Bool
}

// active reports whether new callers should use another instance.
func (o *overload) active() bool {
	return o.since.Load() != 0
}

// closesConnections reports whether callers with open connections should also use
// another instance. By then, the load balancer sends their new connections
// elsewhere. Connections stay open if that is enough: each one closed is a new one
// for the next instance.
func (o *overload) closesConnections() bool {
	since := time.Duration(o.since.Load())
	return since != 0 && o.entry.uptime()-since > balancerDelay && o.loaded.Load()
}

// loop samples the lag of its own timer and the link usage until ctx ends.
func (o *overload) loop(ctx context.Context) {
	defer close(o.done)
	detector := nutmegoverload.New()
	timer := time.NewTimer(nutmegoverload.SampleInterval)
	defer timer.Stop()
	callers := linkMeter{traffic: o.entry.callerTraffic, bandwidth: o.entry.linkBandwidth()}
	for {
		due := o.entry.uptime() + nutmegoverload.SampleInterval
		timer.Reset(nutmegoverload.SampleInterval)
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		now := o.entry.uptime()
		sample := nutmegoverload.Sample{Lag: now - due, Callers: callers.usage(now), Weak: o.entry.roster.IsWeak(), At: now}
		if detector.Sample(sample) {
			o.changed(detector, now)
		}
		o.loaded.Store(detector.Loaded())
	}
}

func (o *overload) changed(d *nutmegoverload.Detector, now time.Duration) {
	metrics.GetOrRegisterCounter("overload_changes", o.entry.metrics).Inc(1)
	fields := logrus.Fields{
		"lag_ms": d.Lag().Milliseconds(), "callers_link_percent": int64(100 * d.Callers()), "running": o.entry.running.Load(),
	}
	if d.Overloaded() {
		o.since.Store(int64(now))
		fields["least_ms"] = d.Duration().Milliseconds()
		o.entry.event("overloaded").WithFields(fields).Warn("processor or link is overloaded; not ready for new callers")
		return
	}
	o.since.Store(0)
	o.entry.event("overload_over").WithFields(fields).Info("overload is over; ready for new callers")
}

// linkMeter computes link usage from byte counters.
type linkMeter struct {
	traffic   *nutmegconn.Traffic
	bandwidth float64 // bytes per second in each direction
	received  int64
	sent      int64
	at        time.Duration
}

// usage returns the share of the link in use since the previous call, for the
// busier direction.
func (m *linkMeter) usage(now time.Duration) float64 {
	received, sent := m.traffic.Received(), m.traffic.Sent()
	bytes := max(received-m.received, sent-m.sent)
	span := (now - m.at).Seconds()
	m.received, m.sent, m.at = received, sent, now
	if span <= 0 {
		return 0
	}
	return float64(bytes) / span / m.bandwidth
}

// linkBandwidth returns the bandwidth of the link in bytes per second and direction.
func (e *Entry) linkBandwidth() float64 {
	return e.cfg.Settings.Limits.LinkMbps * 1e6 / 8
}
