// Package nutmegoverload detects when an instance is short of processor time or
// bandwidth. Timers of a process without processor time fire late, and packets
// queue on a link that is nearly full. An overloaded instance should take no new
// callers until the overload is over.
//
// The package has no clock and starts no goroutines: callers pass samples with
// their times.
//
// # Usage
//
//	d := nutmegoverload.New()
//	changed := d.Sample(nutmegoverload.Sample{Lag: lag, Link: share, At: now}) // every SampleInterval
//	if d.Overloaded() { ... }
package nutmegoverload

import "time"

const (
	// SampleInterval is the interval at which to call Sample.
	SampleInterval = 50 * time.Millisecond

	lagWeight = 0.2                   // smoothing factor
	enterLag  = 60 * time.Millisecond // smoothed; stream events may be late by twice that
	exitLag   = 15 * time.Millisecond // smoothed
	// maxLag caps a single sample, so that the effect of a machine-wide pause fades
	// quickly.
	maxLag = 400 * time.Millisecond

	linkWeight = 0.05 // smoothing factor; averages over about a second
	// enterLink is the smoothed link usage at which bursts begin to queue.
	enterLink = 0.6
	exitLink  = 0.35 // smoothed

	// minDuration is the minimum duration of an overload; callers move to other
	// instances within this time.
	minDuration = 3 * time.Second
)

// Sample is a measurement since the previous sample.
type Sample struct {
	Lag  time.Duration // delay by which a timer fired late
	Link float64       // used share of the link's bandwidth in the busier direction
	At   time.Duration // monotonic
}

// Detector detects overload from the samples of one process. It is not safe for
// concurrent use.
type Detector struct {
	lag        float64 // smoothed, in nanoseconds
	link       float64 // smoothed
	overloaded bool
	changedAt  time.Duration // of the latest change
}

// New returns a detector that reports no overload.
func New() *Detector {
	return &Detector{}
}

// Sample adds a sample and reports whether the overload state has changed.
func (d *Detector) Sample(s Sample) bool {
	d.lag += lagWeight * (float64(min(max(s.Lag, 0), maxLag)) - d.lag)
	d.link += linkWeight * (s.Link - d.link)
	switch {
	case !d.overloaded && (d.lag > float64(enterLag) || d.link > enterLink):
		d.overloaded = true
	case d.overloaded && d.lag < float64(exitLag) && d.link < exitLink && s.At-d.changedAt >= minDuration:
		d.overloaded = false
	default:
		return false
	}
	d.changedAt = s.At
	return true
}

// Overloaded reports whether the instance is short of processor time or bandwidth.
func (d *Detector) Overloaded() bool {
	return d.overloaded
}

// Lag returns the smoothed timer lag.
func (d *Detector) Lag() time.Duration {
	return time.Duration(d.lag)
}

// Link returns the smoothed link usage.
func (d *Detector) Link() float64 {
	return d.link
}
