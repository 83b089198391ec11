package nutmegnode

import "time"

const (
	compactInterval          = time.Minute     // between attempts to compact the ledger
	ledgerWritesPerSecond    = 50              // ledger segments written by the whole fleet
	adoptSuspectAfter        = 2 * time.Second // silence before a suspected writer's lines are adopted; a false suspicion only duplicates lines
	adoptInterval            = time.Second     // between checks for dead ledger writers
	certificateCheckInterval = time.Second     // between checks of the certificate files for changes
	maxIdleStoreConnections  = 16              // idle connections to the platform
	defaultMaxTokens         = 1024            // answer limit of a request that sets none
	maxAnswerTokens          = 1 << 20         // highest max_tokens that a request may set
	promptOverheadTokens     = 16              // reserved for the tokens that an engine adds to a prompt
	maxBufferedAnswerBytes   = 128 << 10       // latest events of one answer
	answerRetention          = 2 * time.Minute // how long an ended answer is repeated to callers with its key
	maxRetainedAnswers       = 1000
	streamStoreTimeout       = 5 * time.Second // for store writes about streams and chat keys
)

// Limits of the configuration rollout, the history and the gossip.
const (
	defaultHistoryEntries = 20
	followTimeout         = 4 * time.Second // of one attempt to apply a revision
	followRetryDelay      = 200 * time.Millisecond
	peerDiscoveryTime     = 1500 * time.Millisecond // for a new instance to learn the highest revision among its peers
	maxConfigSources      = 4                       // sources asked for a segment
	gossipInterval        = 250 * time.Millisecond
	gossipLifetime        = 10 * time.Minute
	maxGossipItems        = 512 // per kind
	maxGossipItemBytes    = 1 << 10
)

const (
	liveInterval       = time.Second // minimum time between reads of the platform's live list
	liveReadsPerSecond = 50          // reads of the live list by the whole fleet
	liveTimeout        = 2 * time.Second
	maxLiveBytes       = 8 << 20
	maxLeavingQueue    = 256             // upstreams whose cache is waiting to be moved
	defaultLoadBytes   = 1 << 30         // assumed size of a load, which is not known in advance
	probeIdleTimeout   = 5 * time.Second // of connections for probes, the live list and engine orders
)

// Limits of idempotency keys, retained answers and take-overs.
const (
	orderWaitTimeout       = 2 * time.Second // how long a repeated order waits for the outcome of the running one
	maxKeyBytes            = 255             // length of an idempotency key
	maxRetainedCallBytes   = 16 << 20        // total size of service answers retained for repeats
	maxListedSuspects      = 1024
	writesPerChatKey       = 3  // store writes for one chat with an idempotency key
	chatKeyWritesPerSecond = 12 // by this instance
	chatKeyWriteBurst      = 60
	streamClaimsPerSecond  = 10 // store writes by this instance for streams that it takes over
	streamClaimBurst       = 20
	chatKeyTimeout         = 2 * time.Second
	chatKeyPollInterval    = 100 * time.Millisecond
	unknownClaimantTimeout = 10 * time.Second // age of a record after which a claimant that is no known member counts as gone
	sweepInterval          = 2 * time.Second  // between sweeps by the whole fleet
	sweepShards            = 256
	recordRetention        = time.Hour // how long stream and chat key records are kept
)
