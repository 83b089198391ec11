package nutmegview

import (
	"fmt"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// SoftwareVersion is the version of an upstream's software, as it states it. What two
// versions generate does not fit together. It is empty if an upstream states none.
type SoftwareVersion string

// Upstream is a process that runs requests, as registered in the store.
type Upstream struct {
	ID            nutmegid.Upstream
	Service       Service
	Address       string // "ip:port"
	FailureDomain nutmegid.FailureDomain
	Slots         int
	Leaving       bool
	// WarmupRemaining is how long the upstream expected to stay slow at the time
	// it registered.
	WarmupRemaining time.Duration
	// StartedAt identifies the process: one that started later under the same id
	// has none of its predecessor's state.
	StartedAt time.Time
	Version   SoftwareVersion
}

// Process identifies one process of an upstream.
type Process string

// Process returns the process that the upstream's entry describes.
func (u Upstream) Process() Process {
	return Process(fmt.Sprintf("%s@%d", u.ID, u.StartedAt.UnixMilli()))
}

// Instance is an instance of this fleet, as registered in the store.
type Instance struct {
	Name          nutmegid.Instance      `json:"name"`
	Incarnation   nutmegid.Incarnation   `json:"incarnation"`
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	PeerAddress   string                 `json:"peer_address"`
	Cores         float64                `json:"cores,omitempty"`     // processor cores available to the instance
	LinkMbps      float64                `json:"link_mbps,omitempty"` // bandwidth of its network link
}
