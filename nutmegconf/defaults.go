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
)
