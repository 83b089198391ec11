// Package nutmegoverload detects when the callers of an instance need more processor
// time or bandwidth than it has, and decides for how long it takes no new callers.
// Timers of a process without processor time fire late, and packets queue on a link
// that is nearly full.
//
// A load balancer that hashes callers by workspace sends all of one workspace's new
// connections to one instance. When that instance leaves, the next one gets them all.
// An instance with a slow link therefore stays away for longer where its failure
// domain has instances with faster links: the workspace moves on until it reaches one
// of these, and does not return to the first while it is as busy.
//
// The package has no clock and starts no goroutines: callers pass samples with
// their times.
//
// # Usage
//
//	d := nutmegoverload.New()
//	changed := d.Sample(nutmegoverload.Sample{Lag: lag, Callers: share, At: now}) // every SampleInterval
//	if d.Overloaded() { ... }
package nutmegoverload

import "time"

// Sample is a measurement since the previous sample.
type Sample struct {
	Lag time.Duration // delay by which a timer fired late
	// Callers is the share of the link's bandwidth that callers' connections use, in
	// the busier direction. Other traffic does not end when callers move away.
	Callers float64
	Weak    bool          // the failure domain has instances with much faster links
	At      time.Duration // monotonic
}

// Detector detects overload from the samples of one process. It is not safe for
// concurrent use.
type Detector struct {
	lag        float64 // smoothed, in nanoseconds
	callers    float64 // smoothed
	overloaded bool
	changedAt  time.Duration // of the latest change
	duration   time.Duration // least duration of the latest overload
}

// New returns a detector that reports no overload.
func New() *Detector {
	return &Detector{}
}

// Sample adds a sample and reports whether the overload state has changed.
func (d *Detector) Sample(s Sample) bool {
	d.lag += lagWeight * (float64(min(max(s.Lag, 0), maxLag)) - d.lag)
	d.callers += callersWeight * (s.Callers - d.callers)
	switch {
	case !d.overloaded && d.aboveEnter():
		d.duration = d.nextDuration(s)
		d.overloaded = true
	case d.overloaded && !d.Loaded() && s.At-d.changedAt >= d.duration:
		d.overloaded = false
	default:
		return false
	}
	d.changedAt = s.At
	return true
}

// nextDuration returns the least duration of an overload that begins now. It doubles
// if the load has come back soon after the previous overload.
func (d *Detector) nextDuration(s Sample) time.Duration {
	if !s.Weak || d.callers <= enterCallers {
		return minDuration
	}
	if d.duration >= weakDuration && s.At-d.changedAt < d.duration {
		return min(2*d.duration, maxDuration)
	}
	return weakDuration
}

func (d *Detector) aboveEnter() bool {
	return d.lag > float64(enterLag) || d.callers > enterCallers
}

// Overloaded reports whether the instance should take no new callers.
func (d *Detector) Overloaded() bool {
	return d.overloaded
}

// Loaded reports whether the instance is still short of processor time or bandwidth
// during an overload.
func (d *Detector) Loaded() bool {
	return d.overloaded && (d.lag >= float64(exitLag) || d.callers >= exitCallers)
}

// Lag returns the smoothed timer lag.
func (d *Detector) Lag() time.Duration {
	return time.Duration(d.lag)
}

// Callers returns the smoothed share of the link that callers use.
func (d *Detector) Callers() float64 {
	return d.callers
}

// Duration returns the least duration of the latest overload.
func (d *Detector) Duration() time.Duration {
	return d.duration
}
