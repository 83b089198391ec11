package nutmegentry

import "time"

const (
	storeTimeout     = 1500 * time.Millisecond // per call
	storeMinTimeout  = 400 * time.Millisecond  // per call while the store answers quickly
	storeConnections = 4
	storeIdleTimeout = time.Minute
	storeRateShare   = 0.5 // share of the fleet's store rate limits that one instance may use

	finishTimeout    = 700 * time.Millisecond  // for returning the leases after the last request
	exitTimeout      = 500 * time.Millisecond  // for closing connections to peers and writing the last log lines
	balancerDelay    = 2600 * time.Millisecond // until the load balancer sends no new requests
	idlePollInterval = 50 * time.Millisecond

	drainRetryAfter = 50 * time.Millisecond
	answerMargin    = 100 * time.Millisecond // from a request's time limit until its response has left
	// maxClosingDivisor limits the part of the grace time that is kept for finishTimeout
	// and exitTimeout: running requests have the rest.
	maxClosingDivisor = 6

	headerTimeout         = 6 * time.Second
	callerIdleTimeout     = 40 * time.Second
	writeTimeout          = 40 * time.Second // for writing a whole response
	maxHeaderBytes        = 32 << 10
	writeGrace            = time.Second      // added to a request's deadline for writing the last bytes
	defaultRequestTimeout = 30 * time.Second // for callers that do not send a timeout
	bodyMemoryShare       = 0.25             // share of the memory limit for bodies of requests in progress
	refusalRetryAfter     = 300 * time.Millisecond
	refusalRetrySpread    = 700 * time.Millisecond // added at random, so that refused callers do not return together
	refusalLogInterval    = time.Second
	firstBodyBytes        = 1 << 10                // buffered for a body before any of it has come
	bodyGrowth            = 1                      // by which a body's buffer grows, times its size
	unreadBodyTimeout     = 200 * time.Millisecond // for the rest of a body that is not read

	// Shares of the instance's descriptors and memory. The rest is for the store, upstreams
	// and the instance itself.
	callerDescriptorShare = 0.45
	callerMemoryShare     = 0.45 // with the bodies of requests
	peerDescriptorShare   = 0.2
	peerMemoryShare       = 0.08
	// Of each of the servers for readiness and metrics.
	probeConnections = 16
	probeMemory      = 2 << 20 // bytes

	requestLineBytes = 1 << 10     // of a head beyond the configuration's limit, which need not count the request line
	networkDelay     = time.Second // of bytes that a caller has sent in time

	// cutOffRetryAfter is the least wait of callers that should try another instance. As
	// much again is random, so that they do not come there together.
	cutOffRetryAfter = 30 * time.Millisecond

	// The time between two writes of an instance's statement on its streams.
	statementIntervalPerInstance = 6 * time.Millisecond
	minStatementInterval         = 150 * time.Millisecond
	maxStatementInterval         = 3 * time.Second

	storeOutageAfter = 2800 * time.Millisecond // an outage starts this long after the last successful response
	// budgetsPerShard is the number of budgets per store object. More budgets make
	// commits larger and conflicts likelier; fewer require more commits.
	budgetsPerShard        = 5
	fetchConfigInterval    = 600 * time.Millisecond
	maxCrashReports        = 512
	maxAcquittals          = 512
	maxSuspectItemBytes    = 3 << 10                 // of a gossip item about suspects
	suspectsStoreTimeout   = 1200 * time.Millisecond // for one read or write of the suspects
	suspectsRetryInterval  = time.Second
	maxQueuedRates         = 256 // changed rate limits that homes are not told of yet
	maxNoticeItems         = 2048
	maxNoticeItemBytes     = 512              // of a gossip item about what an upstream states
	noticeLifetime         = 10 * time.Minute // of such an item
	maxEvacuationItems     = 256
	maxEvacuationItemBytes = 1 << 10          // of a gossip item about an evacuation
	evacuationLifetime     = 30 * time.Minute // of such an item
	// evacuationResendInterval is how often the items of evacuations that last are sent again.
	evacuationResendInterval = time.Minute
	// evacuationWaitDivisor divides the bound of evacuations: a poll for changes waits that
	// long. A connection that has fallen silent shows only after it.
	evacuationWaitDivisor = 3
	// evacuationAgeDivisor divides that bound, too: a feeder's answer is used up to this age.
	// A feeder with little processor time needs longer than its wait.
	evacuationAgeDivisor = 2
	permitTimeout        = 120 * time.Millisecond // of a question to the home of a rate limit
	permitRetryInterval  = 500 * time.Millisecond // until a home that has not answered is asked again
	feedMargin           = 400 * time.Millisecond // of a feeder's answer beyond its own waits, before it counts as stale
)
