// Package nutmegoverload tells whether a process has too little processor time
// for what it is asked to do. Timers of such a process fire late; it is to take
// no new callers until they fire on time again.
//
// The package has no clock and no goroutine: delays and times come as arguments.
//
// # Usage
//
//	d := nutmegoverload.New()
//	changed := d.Sample(lag, now) // every SampleInterval
//	if d.Overloaded() { ... }
package nutmegoverload

import "time"

const (
	// SampleInterval is the time between two samples.
	SampleInterval = 50 * time.Millisecond

	lagWeight = 0.2                   // of the newest sample
	beginLag  = 60 * time.Millisecond // smoothed; an event of a stream may be late by twice that
	endLag    = 15 * time.Millisecond // smoothed
	// leastTime is how long an overload lasts at least: callers move away within it.
	leastTime = 3 * time.Second
	// maxLag bounds one sample, so that a pause of the whole machine is soon forgotten.
	maxLag = 400 * time.Millisecond
)

// Detector judges samples of one process. It is not safe for concurrent use.
type Detector struct {
	lag        float64 // smoothed, in nanoseconds
	overloaded bool
	since      time.Duration // of the latest change
}

// New returns a detector that has seen no delay.
func New() *Detector {
	return &Detector{}
}

// Sample takes in by how much a timer fired late, at a monotonic time, and
// reports whether the judgement has changed.
func (d *Detector) Sample(lag, now time.Duration) bool {
	d.lag += lagWeight * (float64(min(max(lag, 0), maxLag)) - d.lag)
	switch {
	case !d.overloaded && d.lag > float64(beginLag):
		d.overloaded = true
	case d.overloaded && d.lag < float64(endLag) && now-d.since >= leastTime:
		d.overloaded = false
	default:
		return false
	}
	d.since = now
	return true
}

// Overloaded says whether the process has too little processor time.
func (d *Detector) Overloaded() bool {
	return d.overloaded
}

// Lag returns the smoothed delay of timers.
func (d *Detector) Lag() time.Duration {
	return time.Duration(d.lag)
}
