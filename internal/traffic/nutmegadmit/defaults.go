package nutmegadmit

import "time"

const (
	reportHalfLife = time.Second // after which a load report counts half
	maxReports     = 8.0         // weight of all reports together
	minReports     = 3.0         // weight of the reports below which the room is not known
	maxWaiting     = 2.0         // waiting requests per slot that count in one report

	fullLoad = 1.0  // target load: running and waiting requests per slot
	calmLoad = 0.75 // requests per slot below which nothing is refused
	// The share of the demand that is refused follows from the load above fullLoad:
	promptShare     = 0.5         // at once, for each request per slot
	settleRate      = 0.3         // per second, for each request per slot
	releaseRate     = 0.6         // per second, for each request per slot below fullLoad
	maxSettlePeriod = time.Second // for which one decision settles the share

	demandHalfLife = 3 * time.Second     // after which a request counts half in the demand
	maxDemandAge   = 10 * demandHalfLife // after which new requests weigh 1 again
	minDemand      = 1.0                 // tokens below which there is no demand

	largeFactor = 2.0 // a workspace is large above this multiple of an even share of the demand
	// minAdmitted is the share of the requests of a priority, and of a workspace in it,
	// that is admitted however little room there is.
	minAdmitted = 0.1

	initialServiceTime = time.Second // for which a request is at its engine, until some have ended
	serviceTimeWeight  = 0.05        // of one request in the mean service time

	minRetryAfter = 200 * time.Millisecond
	maxRetryAfter = 3 * time.Second
)
