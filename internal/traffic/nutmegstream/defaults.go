package nutmegstream

import "time"

const (
	// lifetimeMargin is added to the longest time of a request: its caller's clock and
	// an upstream that leaves may run on for a while.
	lifetimeMargin = 5 * time.Second
	// completedLifetime is how long a stream that has ended is remembered: its caller may
	// not have got the end.
	completedLifetime = time.Second
	minConsultPause   = 200 * time.Millisecond // between two reads of what other instances know
	consultTimeout    = 700 * time.Millisecond
	writeTimeout      = 1500 * time.Millisecond
	// statementDelay is how much later than its interval another instance's statement may
	// come.
	statementDelay = 150 * time.Millisecond
	minWritePause  = 50 * time.Millisecond  // between two rounds of writes
	retryInterval  = 300 * time.Millisecond // after a failed announcement
	retireSpread   = 3 * time.Second        // so that not all instances retire a version at once
)
