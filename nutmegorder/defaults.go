package nutmegorder

import "time"

const (
	// DefaultRetryInterval is the time between two tries to record outcomes that the store did not take.
	DefaultRetryInterval = 500 * time.Millisecond
	// DefaultRecordTimeout bounds the first try to record an outcome.
	DefaultRecordTimeout = time.Second

	maxStoredAnswer = 256 << 10 // bytes; larger answers are not repeated
	abandonedKept   = time.Minute
	firstPoll       = 50 * time.Millisecond
	maxPoll         = 400 * time.Millisecond
)
