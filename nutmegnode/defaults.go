package nutmegnode

import "time"

const (
	compactInterval          = time.Minute     // between looks at the number of ledger segments
	ledgerWritesPerSecond    = 50              // segments of the whole fleet
	adoptSuspectAfter        = 2 * time.Second // silence of a suspected writer; a wrong guess only repeats lines
	adoptInterval            = time.Second     // between looks for writers that are gone
	certificateCheckInterval = time.Second
	maxIdleStoreConnections  = 16              // idle connections kept to the platform
	defaultMaxTokens         = 1024            // tokens of an answer whose request states no bound
	maxAnswerTokens          = 1 << 20         // tokens that a request may ask for
	promptOverheadTokens     = 16              // tokens reserved for what an engine adds to a prompt
	maxBufferedAnswerBytes   = 128 << 10       // of one answer's latest events
	answerRetention          = 2 * time.Minute // an ended answer is repeated to callers with its key
	maxRetainedAnswers       = 1000
	streamStoreTimeout       = 5 * time.Second // of the write that moves or closes a stream
)

// Bounds of bringing revisions into force and of showing them.
const (
	defaultHistoryEntries = 20              // entries
	followTimeout         = 4 * time.Second // of one try to bring a revision into force
	followRetryDelay      = 200 * time.Millisecond
	peerDiscoveryTime     = 1500 * time.Millisecond // in which a new instance hears of the highest revision among peers
	maxConfigSources      = 4                       // that are asked for a segment
	gossipInterval        = 250 * time.Millisecond
	gossipLifetime        = 10 * time.Minute
	maxGossipItems        = 512 // of one kind
	maxGossipItemBytes    = 1 << 10
)

const (
	liveInterval       = time.Second // between two reads of the platform's live list
	liveReadsPerSecond = 50          // of the live list by the whole fleet
	liveTimeout        = 2 * time.Second
	maxLiveBytes       = 8 << 20
	maxLeavingQueue    = 256             // upstreams whose cache is still to be moved
	defaultLoadBytes   = 1 << 30         // of a load whose size is not known
	probeIdleTimeout   = 5 * time.Second // of connections to upstreams that are kept for probes
)

// Bounds of the life of one request.
const (
	orderWaitTimeout       = 2 * time.Second // of a repeated order for the outcome of the running one
	maxKeyBytes            = 255             // of an idempotency key
	maxRetainedCallBytes   = 16 << 20        // of answers kept for repeats
	maxListedSuspects      = 1024
	writesPerChatKey       = 3  // of the store for one chat with a key
	chatKeyWritesPerSecond = 12 // writes a second of this instance for keys of chats
	chatKeyWriteBurst      = 60 // writes
	streamClaimsPerSecond  = 10 // writes a second of this instance for streams that it takes over
	streamClaimBurst       = 20
	chatKeyTimeout         = 2 * time.Second
	chatKeyPollInterval    = 100 * time.Millisecond
	unknownClaimantTimeout = 10 * time.Second // after which a claimant that no peer knows counts as gone
	sweepInterval          = 2 * time.Second  // of the whole fleet
	sweepShards            = 256
	recordRetention        = time.Hour // of moved streams and chat keys
)
