package nutmegtrace

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Defaults of an embedded fleet.
const (
	DefaultModel          = nutmegid.Model("drafter")
	DefaultRoute          = nutmegid.Route("orders")
	DefaultLookUp         = nutmegid.Route("stock")
	DefaultFleetInterval  = 100 * time.Millisecond
	DefaultFleetTokenTime = time.Millisecond
)

// Defaults of callers.
const (
	DefaultPatience = 20 * time.Second // until a caller gives a request up
	DefaultIdle     = 3 * time.Second  // silence after which a caller connects again
)

const (
	operatorKey   = "embedded-operator-key"
	peerKey       = "embedded-peer-key"
	readyTimeout  = 10 * time.Second
	finishTimeout = 3 * time.Second
	pollInterval  = 5 * time.Millisecond

	fleetName                    = "embedded"
	embeddedDomain               = nutmegid.FailureDomain("loopback")
	loopback                     = "127.0.0.1:0"
	embeddedPlatformConnsPerHost = 64

	settleWait       = 45 * time.Second       // for the ledger to hold all answers; peers write the lines of a dead instance after 20 s
	settlePoll       = 100 * time.Millisecond // between two readings of the ledger
	revisionPoll     = 25 * time.Millisecond  // between two readings of an instance's revision
	revisionDeadline = 500 * time.Millisecond // of one reading
	operatorPatience = 30 * time.Second       // until an operator gives an intent up
	operatorTimeout  = 6 * time.Second        // of one try
	retryFirst       = 50 * time.Millisecond  // before a caller's or operator's second attempt
	retryMost        = time.Second            // between two attempts
	stopTimeout      = 30 * time.Second       // of a graceful stop
	leavingGrace     = 3 * time.Second        // in which a leaving upstream may still get new work
	earlyShare       = 0.01                   // of what was prepaid, that a refusal without faults may leave
	ownerChangeGrace = 6 * time.Second        // in which a moved workspace may still be billed to its former owner
)
