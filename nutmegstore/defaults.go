package nutmegstore

import "time"

const (
	// MaxValueBytes is the largest value that the platform holds.
	MaxValueBytes = 1 << 20
	// DefaultTimeout bounds one call to the platform.
	DefaultTimeout = 2 * time.Second
	// DefaultWritesPerSecond is one instance's share of the platform's writes.
	DefaultWritesPerSecond = 40
	// DefaultReadsPerSecond is one instance's share of the platform's reads.
	DefaultReadsPerSecond = 150
	// DefaultWatchHeartbeat is how often the platform sends a bookmark on an idle watch.
	DefaultWatchHeartbeat = time.Second

	maxRecentWrites  = 64 // write ids that an object remembers
	maxAttempts      = 8  // failed calls that end one logical write
	maxConflicts     = 64 // lost races that end one logical write
	conflictsPerStep = 8  // lost races that lengthen the pause as one failure does
	firstBackoff     = 10 * time.Millisecond
	maxBackoff       = time.Second
	outageAfterFails = 3 // failures in a row that make an outage
	watchSilence     = 3 // heartbeats without a message that end a watch
	firstRewatch     = 50 * time.Millisecond
	maxRewatch       = time.Second
	maxEnvelopeBytes = 16 << 10                // around a value in an answer
	maxExcerptBytes  = 200                     // of an answer's text in an error
	pollWait         = 1800 * time.Millisecond // a watch that has gone deaf is heard of by its silence only
	maxListBytes     = 256 << 20

	slowDownFactor     = 0.5  // of the allowance, at each refusal for too many calls
	speedUpFactor      = 0.01 // of the full allowance, at each accepted call
	minAllowanceFactor = 0.02 // of the full allowance
)
