package nutmegconf

import "time"

// Default settings.
const (
	// DefaultPlatformTimeout is the timeout of one call to the platform.
	DefaultPlatformTimeout = 2 * time.Second
	// DefaultWritesPerSecond is one instance's share of the platform's writes.
	DefaultWritesPerSecond = 40
	// DefaultReadsPerSecond is one instance's share of the platform's reads.
	DefaultReadsPerSecond = 150
	// DefaultDeadAfter is how long a peer may be suspected before it is declared dead.
	DefaultDeadAfter = 15 * time.Second
	// DefaultBudgetShards is the number of store objects that the budgets are split into.
	DefaultBudgetShards = 1
	// DefaultSlice is the span of spend that witnesses acknowledge in advance.
	DefaultSlice = 30 * time.Second
	// DefaultWitnesses is how many instances witness a lease.
	DefaultWitnesses = 2

	maxWitnesses = 3
	// DefaultHorizon is the span of spend that a lease covers while the budget is far
	// from exhausted.
	DefaultHorizon = 10 * time.Minute
	// DefaultMinLeaseTokens is the smallest lease that an instance requests.
	DefaultMinLeaseTokens = 2000
	// DefaultCommitInterval is how often spend is settled into the store.
	DefaultCommitInterval = time.Second
	// DefaultMaxBodyBytes is the largest body that a caller may send.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxHeaderBytes is the largest header that a caller may send.
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultMaxConnections is the maximum number of open caller connections of an instance.
	DefaultMaxConnections = 4096
	// DefaultKeepUnread is how long an answer continues after its caller disconnected.
	DefaultKeepUnread = 30 * time.Second
	// DefaultUpstreamIdle is how long a connection to an upstream may be idle before it is replaced.
	DefaultUpstreamIdle = 10 * time.Second
	// DefaultHeaderTimeout is how long a caller may take to send its header.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultBodyTimeout is how long a caller may take to send its body.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultWriteTimeout is how long a caller may take to read one event.
	DefaultWriteTimeout = 30 * time.Second
	// DefaultIdleTimeout is how long an idle caller connection stays open.
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultDrainDelay is how long a stopping instance keeps answering new requests
	// with a refusal.
	DefaultDrainDelay = 2 * time.Second
	// DefaultShutdownTimeout is how long a graceful shutdown waits for running requests.
	DefaultShutdownTimeout = 2 * time.Minute
	// DefaultFinishTimeout is the timeout for returning leases and writing the ledger
	// after the last request.
	DefaultFinishTimeout = 15 * time.Second
)

const (
	// DefaultCompleteDelay is the minimum wait before an instance completes effects that another one left pending.
	DefaultCompleteDelay = 3 * time.Second

	maxTokens            = 1 << 53 // tokens of a budget; amounts stay exact in JSON numbers
	maxIntents           = 1000    // of one plan
	maxRecentEntries     = 16      // history entries kept in the head
	maxEntryChanges      = 8       // changes shown in one history entry
	maxRollbackRevisions = 500     // how far back a rollback can go
	maxHeadReads         = 3       // reads of the head before giving up while newer revisions are applied
	maxHistoryPage       = 100     // history entries on one page
	completersPerDelay   = 7       // expected number of instances that check for pending effects per delay
	keyHashBytes         = 32
	minPeerKeyLength     = 16   // characters
	maxBudgetShards      = 4096 // objects
	keyHashDigits        = 64   // hexadecimal digits of a SHA-256
	maxStoreRate         = 1e6  // calls per second
	minMemoryMB          = 32
	maxMemoryMB          = 1 << 20
	minDescriptors       = 256
	minCores             = 0.01
	maxCores             = 1024
	minLinkMbps          = 0.1
	maxLinkMbps          = 1e6
	maxHomesPerDomain    = 1000 // instances in a failure domain that lease one budget
	maxHomeDomains       = 1000
	minEvacuationBound   = time.Second
	maxEvacuationBound   = time.Minute
	maxDescriptors       = 1 << 20
	maxCallerShare       = 0.6 // of an instance's descriptors and memory, for its callers
)
