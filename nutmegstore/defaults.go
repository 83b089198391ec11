package nutmegstore

import "time"

const (
	// MaxValueBytes is the size of the largest value that the platform stores.
	MaxValueBytes = 1 << 20
	// DefaultTimeout bounds one call to the platform.
	DefaultTimeout = 2 * time.Second
	// DefaultWritesPerSecond is one instance's share of the platform's writes.
	DefaultWritesPerSecond = 40
	// DefaultReadsPerSecond is one instance's share of the platform's reads.
	DefaultReadsPerSecond = 150
	// DefaultWatchHeartbeat is the interval at which the platform sends bookmarks on an idle watch.
	DefaultWatchHeartbeat = time.Second

	maxRecentWrites         = 64 // write ids stored with each object
	maxAttempts             = 8  // failed calls after which one logical write gives up
	maxConflicts            = 64 // conflicts after which one logical write gives up
	conflictsPerBackoffStep = 8  // conflicts that increase the backoff as much as one failed call
	minBackoff              = 10 * time.Millisecond
	maxBackoff              = time.Second
	outageThreshold         = 3 // consecutive failures that count as an outage
	maxMissedHeartbeats     = 3 // missed heartbeats after which a watch ends
	minRewatchDelay         = 50 * time.Millisecond
	maxRewatchDelay         = time.Second
	maxEnvelopeBytes        = 16 << 10                // size of a response beyond the value itself
	maxExcerptBytes         = 200                     // length of a response body quoted in an error
	pollTimeout             = 1200 * time.Millisecond // bounds the delay until a dead watch is noticed, which shows only as missing responses
	restoreGrace            = 2 * time.Second         // from a restore of the store until its writers have written again what was lost
	minPollMargin           = 500 * time.Millisecond  // added to a poll's wait until the poll counts as lost
	maxListBytes            = 256 << 20

	rateDecreaseFactor = 0.5  // factor on the current rate for each rate-limited call
	rateIncreaseFactor = 0.01 // share of the maximum rate regained with each admitted call
	minRateFactor      = 0.02 // lowest rate, as a share of the maximum rate
)
