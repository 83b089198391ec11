package nutmegnotice

import "time"

const (
	maxRecords = 16_384 // processes whose statements are kept
	// retention is how long the statement of a process is kept that is no longer
	// listed: its entry may only have lapsed.
	retention = time.Minute
	// maxRetryAfter limits the time for which an upstream may ask to be left alone. One
	// request after it shows whether it still wants that.
	maxRetryAfter = time.Hour
	// reportedChange is the least relative change of a rate that is reported.
	reportedChange = 0.1
)
