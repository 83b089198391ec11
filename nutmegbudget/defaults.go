package nutmegbudget

import "time"

const (
	// DefaultCommitInterval is how often spend is settled into the store.
	DefaultCommitInterval = time.Second
	// DefaultCommitTimeout bounds one commit.
	DefaultCommitTimeout = 5 * time.Second
	// DefaultMaxBackoff bounds the pause after failed commits.
	DefaultMaxBackoff = 10 * time.Second
	// DefaultHorizon is how long a lease covers its holder's spend while the
	// budget has plenty of tokens left.
	DefaultHorizon = 10 * time.Minute
	// DefaultMinLease is the smallest lease, in tokens, that the
	// rate-proportional policy targets.
	DefaultMinLease = 2_000
	// DefaultAcquireTimeout bounds how long a request waits for tokens.
	DefaultAcquireTimeout = 3 * time.Second
	// DefaultAttemptTimeout bounds one attempt to get tokens from a peer or the
	// store, or acknowledgements from the witnesses.
	DefaultAttemptTimeout = 250 * time.Millisecond

	// DefaultSearchBackoff is how long a failed search for tokens is not repeated.
	DefaultSearchBackoff = 200 * time.Millisecond
	// DefaultRateWeight is the weight of the newest commit interval in the spend
	// rate.
	DefaultRateWeight = 0.05

	// DefaultSilenceTimeout is how long a witness waits after the last request of
	// a holder that is not up before it closes the holder's leases.
	DefaultSilenceTimeout = 10 * time.Second

	maxTokens               = 1 << 53     // tokens; larger amounts are not exact in JSON numbers
	idleRate                = 0.01        // tokens per second below which an instance may be idle
	idleAfterTicks          = 10          // commit intervals without use after which an instance is idle
	minSpreadFraction       = 0.33        // part of the spread that a fair-share lease adds at any rate
	refillBelow             = 0.7         // fraction of its target below which a lease is refilled at once
	keepFactor              = 2           // multiple of the target above which tokens are returned
	maxReleasedHolders      = 64          // per shard; the write-offs of older ones become final
	maxAskedPeers           = 8           // peers that one search asks for tokens
	maxTransfers            = 4096        // open transfers of one account; more are refused
	minSlice                = 1_000       // tokens; smallest amount that witnesses acknowledge in advance
	storeEmptyTTL           = time.Second // requests do not ask a store that was empty within this time
	maxBackoffSteps         = 10          // doublings of the commit interval after failed commits
	transferRecoveryCommits = 3           // commits that check for a transfer whose answer was lost
	stopAttempts            = 8           // commits that a stopping holder tries
	peerSearchRounds        = 8           // searches of one request while peers may hold enough tokens
	// minStatementTime and maxStatementTime bound the time from a restore of the store
	// until tokens are granted again: holders state their leases meanwhile.
	minStatementTime = time.Second
	maxStatementTime = 5 * time.Second
	maxLeaves        = 16                     // records of holders that have left, per shard
	withheldInterval = 500 * time.Millisecond // between commits that ask whether tokens are granted again
	maxSearchPause   = 100 * time.Millisecond // longest random pause between two such searches
	acquireRounds    = 16                     // searches of one request in total
)
