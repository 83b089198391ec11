package nutmegentry

import "time"

const (
	storeTimeout     = 1500 * time.Millisecond // of one call
	storeConnections = 4
	storeIdle        = time.Minute
	storeShare       = 0.5 // of the fleet's rates that one instance may use alone

	finishTime   = 900 * time.Millisecond  // for returning leases after the last request
	balancerTime = 2600 * time.Millisecond // until the balancer sends nothing new
	idlePoll     = 50 * time.Millisecond

	stoppingRetry   = 50 * time.Millisecond
	plainTime       = 700 * time.Millisecond // of a call without tokens
	outputTokenTime = 12 * time.Millisecond  // at a busy engine
	inputTokenTime  = 40 * time.Microsecond  // at a busy engine

	headerTimeout   = 6 * time.Second
	callerIdle      = 40 * time.Second
	writeTimeout    = 40 * time.Second
	maxHeaderBytes  = 32 << 10
	writeSlack      = time.Second      // after a request's deadline, for its last bytes
	defaultPatience = 30 * time.Second // of callers that state none
	bodyMemoryShare = 0.25             // of the memory, for the bodies of requests in progress
	noConfigRetry   = 300 * time.Millisecond

	storeSilent = 2800 * time.Millisecond // without a good answer, the store counts as away
	// budgetsPerShard is how many budgets share one object: more make each commit
	// larger and conflicts likelier, fewer make more commits.
	budgetsPerShard = 5
	askPeersPause   = 600 * time.Millisecond
)
