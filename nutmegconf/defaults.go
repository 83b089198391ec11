package nutmegconf

import "time"

// Defaults of the settings.
const (
	// DefaultPlatformTimeout bounds one call to the platform.
	DefaultPlatformTimeout = 2 * time.Second
	// DefaultWritesPerSecond is one instance's share of the platform's writes.
	DefaultWritesPerSecond = 40
	// DefaultReadsPerSecond is one instance's share of the platform's reads.
	DefaultReadsPerSecond = 150
	// DefaultDeadAfter is how long a suspected peer is waited for.
	DefaultDeadAfter = 15 * time.Second
	// DefaultBudgetShards is the number of objects that hold budgets.
	DefaultBudgetShards = 1
	// DefaultSlice is the span of spend that witnesses acknowledge ahead.
	DefaultSlice = 30 * time.Second
	// DefaultWitnesses is how many instances witness a lease.
	DefaultWitnesses = 2

	maxWitnesses = 3
	// DefaultHorizon is the span of spend that a lease covers while plenty is left.
	DefaultHorizon = 10 * time.Minute
	// DefaultMinLeaseTokens is the smallest lease that is asked for.
	DefaultMinLeaseTokens = 2000
	// DefaultCommitInterval is how often spend is settled into the store.
	DefaultCommitInterval = time.Second
	// DefaultMaxBodyBytes is the largest body that a caller may send.
	DefaultMaxBodyBytes = 4 << 20
	// DefaultMaxHeaderBytes is the largest header that a caller may send.
	DefaultMaxHeaderBytes = 32 << 10
	// DefaultMaxConnections is the number of callers' connections that an instance keeps open.
	DefaultMaxConnections = 4096
	// DefaultKeepUnread is how long an answer goes on after its caller went away.
	DefaultKeepUnread = 30 * time.Second
	// DefaultUpstreamIdle is the silence after which a connection to an upstream is replaced.
	DefaultUpstreamIdle = 10 * time.Second
	// DefaultHeaderTimeout bounds how long a caller may take for its header.
	DefaultHeaderTimeout = 10 * time.Second
	// DefaultBodyTimeout bounds how long a caller may take for its body.
	DefaultBodyTimeout = 30 * time.Second
	// DefaultWriteTimeout bounds how long a caller may take to read one event.
	DefaultWriteTimeout = 30 * time.Second
	// DefaultIdleTimeout is how long an idle connection of a caller stays open.
	DefaultIdleTimeout = 2 * time.Minute
	// DefaultDrainDelay is how long a stopping instance still answers refusals.
	DefaultDrainDelay = 2 * time.Second
	// DefaultShutdownTimeout bounds how long a graceful shutdown waits for running requests.
	DefaultShutdownTimeout = 2 * time.Minute
	// DefaultFinishTimeout bounds returning leases and writing the ledger after the last request.
	DefaultFinishTimeout = 15 * time.Second
)

const (
	// DefaultCompleteDelay is the shortest wait before effects that another instance left behind are completed.
	DefaultCompleteDelay = 3 * time.Second

	maxTokens        = 1 << 53 // tokens of a budget; amounts stay exact in JSON numbers
	maxIntents       = 1000    // of one plan
	maxRecentEntries = 16      // of history kept in the head
	maxEntryChanges  = 8       // shown in one entry of history
	maxRollBack      = 500     // revisions that a roll back may go back
	maxLoads         = 3       // reads of the head while newer revisions come into force
	maxHistory       = 100     // entries of one page of history
	completersAtOnce = 7       // instances that look at pending effects in one delay
	keyHashBytes     = 32
	minPeerKeyLength = 16   // characters
	maxBudgetShards  = 4096 // objects
	keyHashLength    = 64   // hexadecimal digits of a SHA-256
	maxStoreRate     = 1e6  // calls a second
	minMemoryMB      = 32
	maxMemoryMB      = 1 << 20
	minDescriptors   = 256
	minCores         = 0.01
	maxCores         = 1024
	minLinkMbps      = 0.1
	maxLinkMbps      = 1e6
	maxHomes         = 1000 // instances of a failure domain that lease one budget
	maxDescriptors   = 1 << 20
)
