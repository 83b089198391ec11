package nutmegplace

import "time"

const (
	reportHalfLife   = 500 * time.Millisecond // after which a load report counts half
	slowdownHalfLife = 200 * time.Millisecond // after which a reported slowdown counts half
	slowdownTTL      = time.Second            // after which it no longer counts
	// Bounds of a reported slowdown.
	minSlowdown = 0.25
	maxSlowdown = 8.0
	// An upstream with outstanding requests is silent after this time without a
	// response or an event.
	serviceSilence = 120 * time.Millisecond // upstreams that are not inference engines
	engineSilence  = 900 * time.Millisecond // inference engines

	failuresToAvoid = 3 // consecutive failures after which an upstream is avoided
	// The first period for which an upstream is avoided, by cause.
	failureAvoid     = 500 * time.Millisecond
	unreachableAvoid = 300 * time.Millisecond
	busyAvoid        = 100 * time.Millisecond
	misdirectedAvoid = 3 * time.Second
	maxAvoid         = 4 * time.Second
	maxAvoidSteps    = 4 // doublings of the first period

	prefillTokensPerMs = 50.0 // prompt tokens that an engine processes per millisecond
	runningDelayMs     = 1.5  // added to the time to first event by each running request
	waitingDelayMs     = 40.0 // added to the time to first event by each waiting request
	cacheMissFactor    = 1.5  // applied to the prefill time of a prefix that is not cached
	randomCandidates   = 2    // random engines compared with those that may have the prefix cached
	preferredEngines   = 2    // engines that rendezvous hashing assigns to a prefix

	prefixTTL     = 9 * time.Second // since the last use of a prefix
	maxPrefixes   = 20_000          // prefixes whose location is remembered
	remotePenalty = 0.1             // requests added to the load of an upstream in another failure domain

	engineQueueShare     = 1.0 // waiting requests allowed per slot of an engine
	serviceQueueShare    = 3.0 // waiting requests allowed per slot of another upstream
	overloadedRetryAfter = 250 * time.Millisecond
	noUpstreamRetryAfter = 500 * time.Millisecond
	minHeldRetryAfter    = 50 * time.Millisecond
	maxHeldSpread        = time.Second // by which callers return later than the end of a hold
)
