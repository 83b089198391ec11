package nutmegbudget

import "time"

const (
	// DefaultCommitInterval is how often spend is settled into the store.
	DefaultCommitInterval = time.Second
	// DefaultCommitTimeout bounds one commit.
	DefaultCommitTimeout = 5 * time.Second
	// DefaultMaxBackoff bounds the pause after failed commits.
	DefaultMaxBackoff = 10 * time.Second
	// DefaultHorizon is the span of spend that a lease covers while plenty is left.
	DefaultHorizon = 10 * time.Minute
	// DefaultMinLease is the smallest lease that the rate-proportional policy asks for, in tokens.
	DefaultMinLease = 2_000
	// DefaultAcquireTimeout bounds how long a request waits for tokens from the store.
	DefaultAcquireTimeout = 3 * time.Second
	// DefaultAskTimeout bounds how long a request waits for one peer's tokens.
	DefaultAskTimeout = 250 * time.Millisecond

	// DefaultDryTime is how long a fruitless search for tokens is not repeated.
	DefaultDryTime = 200 * time.Millisecond
	// DefaultRateWeight is the weight of the newest commit interval in the spend rate.
	DefaultRateWeight = 0.05

	// DefaultSilence is how long a witness waits for a holder that is not up.
	DefaultSilence = 10 * time.Second

	maxTokens          = 1 << 53     // tokens; amounts stay exact in JSON numbers
	idleRate           = 0.01        // tokens a second; below it an instance may be idle
	idleTicks          = 10          // commit intervals without use that make an instance idle
	leastSpread        = 0.33        // of the spread, that a fair lease holds however small the rate
	refillBelow        = 0.7         // share of its target below which a lease is refilled at once
	keepFactor         = 2           // times the target that is kept before tokens return
	maxReleasedHolders = 64          // of a shard; older ones become final write-offs
	maxAskedPeers      = 8           // peers that one request asks for tokens
	maxUnsettledIDs    = 4096        // transfers of one account; more are refused
	minSlice           = 1_000       // tokens; the least that witnesses acknowledge ahead
	recentLook         = time.Second // a store that was empty so lately is not asked on a request's path
	maxBackoffSteps    = 10          // doublings of the commit interval
	lookCommits        = 3           // commits that look for a transfer whose answer was lost
	stopAttempts       = 8
	searchRounds       = 8                      // of them, where peers may hold enough
	searchPause        = 100 * time.Millisecond // at most, between two of them
	acquireRounds      = 16                     // searches for tokens of one request
)
