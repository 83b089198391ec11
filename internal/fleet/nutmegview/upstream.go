package nutmegview

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Upstream is one process that runs requests, as it says of itself.
type Upstream struct {
	ID            nutmegid.Upstream
	Service       Service
	Address       string // "ip:port"
	FailureDomain nutmegid.FailureDomain
	Slots         int
	Leaving       bool
	// ColdFor is how long it remained slow when it said so.
	ColdFor time.Duration
	// Born is its start; a later start under the same id knows nothing of before.
	Born time.Time
}

// Instance is one process of this fleet, as it says of itself in the store.
type Instance struct {
	Name          nutmegid.Instance      `json:"name"`
	Incarnation   nutmegid.Incarnation   `json:"incarnation"`
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	PeerAddress   string                 `json:"peer_address"`
	Cores         float64                `json:"cores,omitempty"`     // of the processor that the instance may use
	LinkMbps      float64                `json:"link_mbps,omitempty"` // of its network link
}
