package nutmegroute

import "time"

const (
	// DefaultIdleTimeout is the time without data after which a connection to an upstream is
	// replaced.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultConnectTimeout bounds dialing an upstream and waiting for a stream's response
	// headers.
	DefaultConnectTimeout = 5 * time.Second
	// DefaultCallTimeout bounds one call to a plain service.
	DefaultCallTimeout = 30 * time.Second
	// DefaultResumeWindow is how long reconnecting to an unreachable engine is attempted
	// before its stream fails.
	DefaultResumeWindow = 20 * time.Second
	// DefaultSilenceLimit is how long a stream may stay open without a new event.
	DefaultSilenceLimit = 5 * time.Minute
	// DefaultHedgeDelay is how long to wait for the response to a read before sending it to a
	// second upstream.
	DefaultHedgeDelay = 100 * time.Millisecond
	// DefaultMaxAttempts is the maximum number of attempts for one request.
	DefaultMaxAttempts = 3

	maxEventBytes  = 1 << 20
	maxAnswerBytes = 16 << 20 // limit for the response of a plain service

	eventIDPurpose  = "nutmegwind event id v1"
	signatureBytes  = 16
	maxEventIDBytes = 4096

	idleConnections     = 256 // per upstream
	idleConnectionLimit = 30 * time.Second

	firstResumeDelay    = 20 * time.Millisecond
	maxResumeDelay      = time.Second
	maxEmptyConnections = 5               // consecutive connections that break without a new event
	cancelTimeout       = 2 * time.Second // per cancel request
	cancelAttempts      = 3
	maxErrorBytes       = 4096 // limit for the text of an upstream's error response

	retryShare     = 0.2  // retries earned by each first attempt
	retryReserve   = 10.0 // initial balance, available without any first attempt
	maxRetryTokens = 50.0

	maxSuspects         = 1024 // entries kept by instances and shared through the store
	maxCrashedUpstreams = 4    // upstreams listed in one entry
	trialTimeout        = 2 * time.Minute
	trialPollInterval   = 50 * time.Millisecond
	suspectStoreTimeout = 2 * time.Second
	maxDuplicateWait    = 2 * time.Second // for the first event of an identical request
)

// PrefixBlockBytes is the size of a prompt block, the unit in which engines cache prefixes.
const PrefixBlockBytes = 1024

const (
	blockTokens      = PrefixBlockBytes / 4
	maxPrefixBlocks  = 16
	maxHolders       = 6
	maxPrefixEntries = 16384 // per model
)

const (
	// DefaultSubset is the number of upstreams of one model that an instance uses.
	DefaultSubset = 32
	// DefaultEngineSlots is the number of concurrent streams assumed for an engine that
	// reports none.
	DefaultEngineSlots = 64
	// DefaultServiceSlots is the number of concurrent calls assumed for a plain service.
	DefaultServiceSlots = 256

	interactiveShare        = 0.4 // share of a model's upstreams that take no batch requests
	nearlyFullShare         = 0.9 // slot usage from which an interactive upstream is compared with all others
	minInstancesPerUpstream = 2   // lower bound on the instances that use an upstream
	hashMultiplier          = 0x9e3779b97f4a7c15
	randomTries             = 4

	streamWeight = 16.0   // cost of a running stream in prompt tokens
	queuedWeight = 4096.0 // cost of a queued stream in prompt tokens
	speedDecay   = 0.99   // factor applied to past samples for each new one
	maxSlowness  = 4.0
)

const (
	reportFreshAge   = time.Second // age up to which a report counts in full
	reportHalfLife   = 2 * time.Second
	historySize      = 32
	historyInterval  = 50 * time.Millisecond
	liveListTrustAge = time.Minute // age from which the platform's list overrides a leaving record
	retiredRetention = time.Hour   // how long the address of a retired upstream is kept
	slowStart        = 10 * time.Second
	slowStartShare   = 0.1 // share of the full weight at the beginning of a slow start
)

const (
	// DefaultMaxWaiting is the maximum number of queued requests per priority of one model.
	DefaultMaxWaiting = 1024

	drrQuantum       = 2048 // deficit round robin quantum of a workspace, in tokens
	completionWindow = 16   // completions over which the mean interval is taken
)

const (
	// DefaultConsecutiveFailures is the number of consecutive failures after which an upstream is
	// ejected.
	DefaultConsecutiveFailures = 3
	// DefaultBaseEjectionTime is the duration of a first ejection.
	DefaultBaseEjectionTime = 5 * time.Second
	// DefaultMaxEjected is the share of upstreams that may be ejected at the same time.
	DefaultMaxEjected = 0.5

	maxEjectionDoublings = 4
	maxProbeFailures     = 2 // consecutive
)

const (
	// DefaultProbeInterval is the time between two probes of one upstream.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultProbeRate is the maximum number of probes per second that an instance sends.
	DefaultProbeRate = 100

	probeTimeout   = 2 * time.Second
	maxReportBytes = 1 << 20
)

const (
	// DefaultWeightRate is the rate of the weight store, in bytes per second.
	DefaultWeightRate = 1 << 30
	// DefaultOrderPoll is the interval at which an engine's state is polled.
	DefaultOrderPoll = 500 * time.Millisecond
	// DefaultOrderSettle is the delay before the effect of an order is verified again.
	DefaultOrderSettle = 2 * time.Second
	// DefaultOrderAttempts is the maximum number of attempts to apply an order.
	DefaultOrderAttempts = 5

	orderTimeout     = 30 * time.Second // for the effect of an order, not counting the time to load weights
	orderCallTimeout = 10 * time.Second
	minMovedUses     = 2 // requests of this instance with a prefix before it is worth moving
	maxMovedBlocks   = 256
)
