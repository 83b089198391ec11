// Package nutmegoverload tells whether an instance has too little processor time
// or bandwidth for what it is asked to do. Timers of a process without processor
// time fire late; packets of a link that is nearly full wait. Such an instance is
// to take no new callers until that is over.
//
// The package has no clock and no goroutine: samples and times come as arguments.
//
// # Usage
//
//	d := nutmegoverload.New()
//	changed := d.Sample(nutmegoverload.Sample{Lag: lag, Link: share, At: now}) // every SampleInterval
//	if d.Overloaded() { ... }
package nutmegoverload

import "time"

const (
	// SampleInterval is the time between two samples.
	SampleInterval = 50 * time.Millisecond

	lagWeight = 0.2                   // of the newest sample
	beginLag  = 60 * time.Millisecond // smoothed; an event of a stream may be late by twice that
	endLag    = 15 * time.Millisecond // smoothed
	// maxLag bounds one sample, so that a pause of the whole machine is soon forgotten.
	maxLag = 400 * time.Millisecond

	linkWeight = 0.05 // of the newest sample: about a second counts
	// beginLink is the smoothed share of the link at which bursts begin to wait.
	beginLink = 0.6
	endLink   = 0.35 // smoothed

	// leastTime is how long an overload lasts at least: callers move away within it.
	leastTime = 3 * time.Second
)

// Sample is what was measured since the one before.
type Sample struct {
	Lag  time.Duration // by which a timer fired late
	Link float64       // share of the link's bandwidth in the busier direction
	At   time.Duration // monotonic
}

// Detector judges samples of one process. It is not safe for concurrent use.
type Detector struct {
	lag        float64 // smoothed, in nanoseconds
	link       float64 // smoothed
	overloaded bool
	since      time.Duration // of the latest change
}

// New returns a detector that has seen no load.
func New() *Detector {
	return &Detector{}
}

// Sample takes a sample in and reports whether the judgement has changed.
func (d *Detector) Sample(s Sample) bool {
	d.lag += lagWeight * (float64(min(max(s.Lag, 0), maxLag)) - d.lag)
	d.link += linkWeight * (s.Link - d.link)
	switch {
	case !d.overloaded && (d.lag > float64(beginLag) || d.link > beginLink):
		d.overloaded = true
	case d.overloaded && d.lag < float64(endLag) && d.link < endLink && s.At-d.since >= leastTime:
		d.overloaded = false
	default:
		return false
	}
	d.since = s.At
	return true
}

// Overloaded says whether the instance has too little processor time or bandwidth.
func (d *Detector) Overloaded() bool {
	return d.overloaded
}

// Lag returns the smoothed delay of timers.
func (d *Detector) Lag() time.Duration {
	return time.Duration(d.lag)
}

// Link returns the smoothed share of the link's bandwidth.
func (d *Detector) Link() float64 {
	return d.link
}
