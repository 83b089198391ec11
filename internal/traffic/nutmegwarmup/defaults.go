package nutmegwarmup

import "time"

const (
	// maxRemaining limits the time for which an entry may say that its upstream stays
	// cold.
	maxRemaining = time.Minute
	// retention is how long an upstream is remembered whose entry is gone.
	retention = time.Minute
	// firstShare is the share of its usual requests that an upstream gets right after
	// its cold time, or when it is listed again. It rises to 1 within the service's WarmupTime.
	firstShare = 0.4
)
