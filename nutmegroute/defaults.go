package nutmegroute

import "time"

const (
	// DefaultIdleTimeout is the silence after which a connection to an upstream is replaced.
	DefaultIdleTimeout = 10 * time.Second
	// DefaultConnectTimeout bounds the wait for a connection and for a stream's answer headers.
	DefaultConnectTimeout = 5 * time.Second
	// DefaultCallTimeout bounds one call of a plain service.
	DefaultCallTimeout = 30 * time.Second
	// DefaultResumeWindow is how long an engine may be unreachable before its stream is given up.
	DefaultResumeWindow = 20 * time.Second
	// DefaultSilenceLimit is how long an engine may hold a stream without a new event.
	DefaultSilenceLimit = 5 * time.Minute
	// DefaultHedgeDelay is the wait for a look-up's answer before it is sent a second time.
	DefaultHedgeDelay = 100 * time.Millisecond
	// DefaultMaxAttempts bounds how often one request is sent.
	DefaultMaxAttempts = 3

	maxEventBytes  = 1 << 20
	maxAnswerBytes = 16 << 20 // of a plain service's answer

	eventIDPurpose  = "nutmegwind event id v1"
	signatureBytes  = 16
	maxEventIDBytes = 4096

	idleConnections     = 256 // kept to each upstream
	idleConnectionLimit = 30 * time.Second

	firstResumeDelay     = 20 * time.Millisecond
	maxResumeDelay       = time.Second
	maxBarrenConnections = 5               // connections in a row that break without a new event
	cancelTimeout        = 2 * time.Second // of one order to cancel a stream
	cancelAttempts       = 3
	maxErrorBytes        = 4096 // of an upstream's error text

	retryShare     = 0.2  // retries that each first attempt pays for
	retryReserve   = 10.0 // retries that may be made without first attempts
	maxRetryTokens = 50.0

	maxSuspects         = 1024 // entries that instances remember and share
	maxAccusedUpstreams = 4    // that an entry names
	trialTimeout        = 2 * time.Minute
	trialPollInterval   = 50 * time.Millisecond
	suspectStoreTimeout = 2 * time.Second
	maxTwinWait         = 2 * time.Second // for the first event of a request with the same content
)

// PrefixBlockBytes is the length of a block of a prompt that engines cache as a whole.
const PrefixBlockBytes = 1024

const (
	blockTokens      = PrefixBlockBytes / 4
	maxPrefixBlocks  = 16
	maxHolders       = 6
	maxPrefixEntries = 16384 // of one model
)

const (
	// DefaultSubset is the number of upstreams of one model at an instance.
	DefaultSubset = 32
	// DefaultEngineSlots are the streams of an engine that reports none.
	DefaultEngineSlots = 64
	// DefaultServiceSlots are the calls that a plain service takes at once.
	DefaultServiceSlots = 256

	quietShare  = 0.4 // of the upstreams of a model take no batch plans
	fullShare   = 0.9 // of its slots above which a quiet upstream is compared with others
	minOwners   = 2   // instances that use an upstream, at least
	rankMix     = 0x9e3779b97f4a7c15
	randomTries = 4

	streamWeight = 16.0   // prompt tokens
	queuedWeight = 4096.0 // prompt tokens
	speedMemory  = 0.99   // weight of past first tokens at a new one
	maxSlowness  = 4.0
)

const (
	reportFresh    = time.Second // age up to which a report counts in full
	reportHalfLife = 2 * time.Second
	historySize    = 32
	historyStep    = 50 * time.Millisecond
	liveListTrust  = time.Minute // after which the platform's list overrules a note
	retiredKept    = time.Hour   // of the address of a retired upstream
	slowStart      = 10 * time.Second
	slowStartShare = 0.1 // of the full weight at the begin of a slow start
)

const (
	// DefaultMaxWaiting is the number of requests of one priority that wait for one model.
	DefaultMaxWaiting = 1024

	fairQuantum = 2048 // tokens of a workspace's turn
	paceWindow  = 16   // ends that the mean time between ends covers
)

const (
	// DefaultFailures is the number of failures in a row that eject an upstream.
	DefaultFailures = 3
	// DefaultEjection is the time of a first ejection.
	DefaultEjection = 5 * time.Second
	// DefaultMaxEjected is the share of upstreams that may be ejected at once.
	DefaultMaxEjected = 0.5

	maxEjectionDoublings = 4
	failedProbes         = 2 // in a row
)

const (
	// DefaultProbeInterval is the time between two probes of one upstream.
	DefaultProbeInterval = 250 * time.Millisecond
	// DefaultProbeRate bounds the probes of an instance, in one second.
	DefaultProbeRate = 100

	probeTimeout   = 2 * time.Second
	maxReportBytes = 1 << 20
)

const (
	// DefaultWeightRate is the rate of the weight store, in bytes a second.
	DefaultWeightRate = 1 << 30
	// DefaultOrderPoll is the time between two readings of an engine's state.
	DefaultOrderPoll = 500 * time.Millisecond
	// DefaultOrderSettle is the time after which an order's effect is read again.
	DefaultOrderSettle = 2 * time.Second
	// DefaultOrderAttempts is how often an order is sent until its effect stays.
	DefaultOrderAttempts = 5

	orderTimeout     = 30 * time.Second // for an order's effect, besides the load
	orderCallTimeout = 10 * time.Second
	minMovedUses     = 2 // of a prefix, by this instance
	maxMovedBlocks   = 256
)
