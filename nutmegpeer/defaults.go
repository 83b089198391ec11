package nutmegpeer

import "time"

const (
	// DefaultInterval is the time between two rounds of exchanges.
	DefaultInterval = 500 * time.Millisecond
	// DefaultFanout is the number of peers that one round talks to.
	DefaultFanout = 2
	// DefaultCallTimeout bounds one call to a peer.
	DefaultCallTimeout = time.Second
	// DefaultSuspectAfter is the silence after which a peer is suspected.
	DefaultSuspectAfter = 3 * time.Second
)
