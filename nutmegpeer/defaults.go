package nutmegpeer

import "time"

const (
	// DefaultInterval is the time between two rounds of exchanges.
	DefaultInterval = time.Second
	// DefaultFanout is the number of peers that one round contacts.
	DefaultFanout = 2
	// DefaultCallTimeout is the time limit of one call to a peer.
	DefaultCallTimeout = time.Second
	// DefaultDeadAfter is how long a peer is suspected before it is considered dead.
	DefaultDeadAfter = 15 * time.Second
	// DefaultDeadRetention is how long a dead peer is remembered, so that old digests do not add it again.
	DefaultDeadRetention = 2 * time.Minute
	// DefaultIdleTimeout is how long a connection to a peer stays open without a call.
	DefaultIdleTimeout = 20 * time.Second

	maxDigestMembers   = 10                    // members in one digest besides its sender
	maxFullMembers     = 2048                  // members in a digest that answers a request for all members
	fullRoundGrowth    = 4                     // the number of the next round that asks for all members, divided by that of the last one
	maxDigestItems     = 8                     // gossip items in one digest
	maxDigestItemBytes = 4 << 10               // size of the keys and values of the gossip items in one digest
	maxReceivedItems   = 1024                  // gossip items that are accepted in one digest
	maxSyncBytes       = 16 << 10              // size of the items in a digest between peers that hold different ones
	syncInterval       = time.Second           // between two samples of all items
	announcePause      = 40 * time.Millisecond // between two announcements while urgent items are left
	itemInterval       = time.Second           // time between two rounds while there are items, if Config.Interval is longer
	maxMemberBytes     = 512                   // size of the incarnation, names and address of one member
	maxPeerConns       = 8                     // connections to one peer
	maxMessageBytes    = 4 << 20               // size of any message between peers
	maxChangesWait     = 5 * time.Second       // of a call that waits for changes of the store
	maxItemLifetime    = time.Hour             // until a gossip item expires
	retransmitFactor   = 3                     // a change is sent in this many digests times the bit length of the number of members
	announceFanout     = 6                     // peers contacted by one announcement, such as that of a new revision
	leaveFanout        = 8                     // peers contacted when this instance leaves
	seedRoundInterval  = 10                    // rounds after which a seed is contacted again
	serverIdleFactor   = 3                     // accepted connections time out after this many idle timeouts, later than their callers close them
)
