package nutmegbudget

import "time"

const (
	// DefaultCommitInterval is how often spend is settled into the store.
	DefaultCommitInterval = time.Second
	// DefaultHorizon is the span of spend that a lease covers while plenty is left.
	DefaultHorizon = 10 * time.Minute
	// DefaultMinLease is the smallest lease that the rate-proportional policy asks for, in tokens.
	DefaultMinLease = 2_000
	// DefaultAcquireTimeout bounds how long a request waits for tokens from the store.
	DefaultAcquireTimeout = 3 * time.Second

	maxTokens  = 1 << 53 // tokens; amounts stay exact in JSON numbers
	rateWeight = 0.2     // weight of the newest interval in the spend rate
)
