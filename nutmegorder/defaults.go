package nutmegorder

import "time"

const (
	// DefaultRetryInterval is the interval at which outcomes that the store did not accept are retried.
	DefaultRetryInterval = 500 * time.Millisecond
	// DefaultRecordTimeout limits the first attempt to record an outcome.
	DefaultRecordTimeout = time.Second

	maxStoredResponseBytes  = 256 << 10   // bytes; larger responses are not stored or replayed
	unknownClaimRetryPeriod = time.Minute // retry period for a claim that may not exist
	minPollInterval         = 50 * time.Millisecond
	maxPollInterval         = 400 * time.Millisecond
)
