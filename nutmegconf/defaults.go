package nutmegconf

import "time"

const (
	// DefaultShutdownTimeout bounds how long a graceful shutdown waits for running requests.
	DefaultShutdownTimeout = 2 * time.Minute
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
	// DefaultBudgetShards is the number of objects that hold budgets.
	DefaultBudgetShards = 1
	// DefaultCompleteDelay is the shortest wait before effects that another instance left behind are completed.
	DefaultCompleteDelay = 3 * time.Second

	maxTokens        = 1 << 53 // tokens of a budget; amounts stay exact in JSON numbers
	maxIntents       = 1000    // of one plan
	maxRecentEntries = 16      // of history kept in the head
	maxEntryChanges  = 8       // shown in one entry of history
	maxRollBack      = 500     // revisions that a roll back may go back
	maxLoads         = 3       // reads of the head while newer revisions come into force
	maxHistory       = 100     // entries of one page of history
	keyHashBytes     = 32
)
