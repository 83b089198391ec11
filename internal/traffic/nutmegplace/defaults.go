package nutmegplace

import "time"

const (
	reportHalfLife = 500 * time.Millisecond
	serviceSilence = 120 * time.Millisecond // of a plain service with requests
	engineSilence  = 900 * time.Millisecond // of an engine with requests

	failuresToAvoid  = 3
	failureAvoid     = 500 * time.Millisecond
	unreachableAvoid = 300 * time.Millisecond
	busyAvoid        = 100 * time.Millisecond
	goneAvoid        = 3 * time.Second
	maxAvoid         = 4 * time.Second
	maxAvoidSteps    = 4

	prefillRate  = 50.0 // prompt tokens that an engine reads in a millisecond
	streamWeight = 1.5  // milliseconds that each running stream adds to the first event
	waitWeight   = 40.0 // milliseconds that each waiting request adds
	missWeight   = 1.5  // of the time to read a prompt part that is kept elsewhere
	randomPicks  = 2    // engines that are compared beside those that may keep the prompt
	homes        = 2    // engines that a prompt part belongs to

	keptFor     = 9 * time.Second // since a part's last use
	maxKept     = 20_000          // parts remembered
	remoteExtra = 0.1             // load that a service in another failure domain counts more

	engineQueueShare  = 1.0 // of an engine's slots that may wait
	serviceQueueShare = 3.0 // of a service's slots that may wait
	fullRetryAfter    = 250 * time.Millisecond
	goneRetryAfter    = 500 * time.Millisecond
)
