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

	callersWeight = 0.15 // smoothing factor; averages over a third of a second
	// enterCallers is the smoothed share of the link at which bursts begin to queue.
	enterCallers = 0.6
	exitCallers  = 0.35 // smoothed

	// minDuration is the minimum duration of an overload; callers move to other
	// instances within this time.
	minDuration = 3 * time.Second
	// weakDuration is the minimum where others have faster links: a busy workspace
	// needs several moves until it reaches one of them.
	weakDuration = 12 * time.Second
	maxDuration  = time.Minute

	minHosts = 4 // different hosts that do not answer before reach counts as lost
	// minSilence is how long all attempts must have failed. It is longer than a short
	// loss of packets lasts.
	minSilence    = 200 * time.Millisecond
	failureExpiry = 2 * time.Second        // without another failure, after which the earlier ones do not count
	probeInterval = 100 * time.Millisecond // between requests that try while reach is lost
)
