package nutmegtrace

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Defaults of an embedded fleet.
const (
	DefaultModel               = nutmegid.Model("drafter")
	DefaultRoute               = nutmegid.Route("orders")
	DefaultLookUpRoute         = nutmegid.Route("stock")
	DefaultFleetCommitInterval = 100 * time.Millisecond
	DefaultFleetTokenTime      = time.Millisecond
)

// Defaults of callers.
const (
	DefaultRequestTimeout = 20 * time.Second // until a caller gives up a request
	DefaultIdleTimeout    = 3 * time.Second  // silence after which a caller reconnects
)

const (
	operatorKey   = "embedded-operator-key"
	peerKey       = "embedded-peer-key"
	readyTimeout  = 10 * time.Second
	finishTimeout = 3 * time.Second
	pollInterval  = 5 * time.Millisecond

	fleetName           = "embedded"
	embeddedDomain      = nutmegid.FailureDomain("loopback")
	loopback            = "127.0.0.1:0"
	maxIdleConnsPerHost = 64

	ledgerTimeout          = 45 * time.Second       // for the ledger to hold all answers; peers write the lines of a dead instance after 20s
	ledgerPollInterval     = 100 * time.Millisecond // between reads of the ledger
	revisionPollInterval   = 25 * time.Millisecond  // between reads of an instance's revision
	revisionPollTimeout    = 500 * time.Millisecond // of one read
	intentTimeout          = 30 * time.Second       // until an operator gives up an action
	operatorCallTimeout    = 6 * time.Second        // of one attempt
	minRetryDelay          = 50 * time.Millisecond  // before the second attempt of a caller or operator
	maxRetryDelay          = time.Second            // between attempts
	stopTimeout            = 30 * time.Second       // of a graceful stop
	leavingGracePeriod     = 3 * time.Second        // during which a leaving upstream may still receive new work
	earlyRefusalShare      = 0.01                   // of the prepaid tokens; without faults, a refusal may leave up to this much unused
	ownerChangeGracePeriod = 6 * time.Second        // during which a moved workspace may still be billed to its former owner
)
