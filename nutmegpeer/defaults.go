package nutmegpeer

import "time"

const (
	// DefaultInterval is the time between two rounds of exchanges.
	DefaultInterval = time.Second
	// DefaultFanout is the number of peers that one round talks to.
	DefaultFanout = 2
	// DefaultCallTimeout bounds one call to a peer.
	DefaultCallTimeout = time.Second
	// DefaultDeadAfter is the time of suspicion after which a peer is dead.
	DefaultDeadAfter = 15 * time.Second
	// DefaultKeepDead is how long a dead peer is remembered, so that old digests do not bring it back.
	DefaultKeepDead = 2 * time.Minute
	// DefaultIdleTimeout is how long a connection to a peer is kept without a call.
	DefaultIdleTimeout = 20 * time.Second

	maxDigestMembers   = 10      // entries of one digest besides its sender
	maxFullMembers     = 2048    // entries of a digest that was asked for all members
	fullGrowth         = 4       // each round that asks for all members comes so many times later than the last
	maxDigestItems     = 8       // pieces of gossip in one digest
	maxDigestItemBytes = 4 << 10 // keys and values of gossip in one digest
	maxMemberBytes     = 512     // names and address of one member
	maxPeerConns       = 8       // to one peer
	maxMessageBytes    = 4 << 20 // of any message between peers
	maxItemLife        = time.Hour
	newsFactor         = 3 // digests that carry a piece of news, times the bits of the number of members
	newsFanout         = 6 // peers that are told of a new revision at once
	leaveFanout        = 8 // peers that are told of leaving at once
	seedRounds         = 10
	serverIdleFactor   = 3 // accepted connections stay longer than their callers keep them
)
