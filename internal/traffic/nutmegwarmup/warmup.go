// Package nutmegwarmup decides which upstreams are cold: slow after their start, and
// harmed by more requests than their service's configuration states for that time.
//
// An upstream's entry says how long it stays cold. Where an entry cannot say so yet,
// the upstream counts as cold for the service's WarmupTime, unless a later entry says
// otherwise: as a new process under a known id, and after the evacuation of its failure
// domain. A cold time ends by itself. Afterwards, and after its entry was gone, the
// share of requests that the upstream may get rises by degrees.
//
// Services whose WarmupRate is zero have no cold upstreams.
//
// The package does no I/O and starts no goroutines; callers pass the monotonic time
// since an arbitrary start.
//
// # Usage
//
//	tracker := nutmegwarmup.NewTracker(nutmegwarmup.Config{OnChange: log})
//	tracker.SetConfig(config)
//	tracker.SetUpstreams(upstreams, now)
//	if limit, cold := tracker.Limit(upstream, now); cold {
//		// send at most limit.Rate requests per second, over all instances
//	}
package nutmegwarmup

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Source is the reason for which an upstream counts as cold.
type Source string

// The sources.
const (
	SourceEntry      Source = "entry"            // its entry says so
	SourceNewProcess Source = "new_process"      // another process has its id now
	SourceEvacuation Source = "evacuation_ended" // of its failure domain
)

// Limit is the limit on requests to a cold upstream.
type Limit struct {
	Rate    float64 // requests per second from all instances together
	Source  Source
	HeardAt time.Duration // when this instance learned that the upstream is cold
	Until   time.Duration // end of the cold time
}

// State is what a placer has to know of an upstream.
type State struct {
	Cold  bool    // each request needs a permit
	Share float64 // of its usual requests that it may get; below 1 after a cold time
}

// Change says that an upstream has become cold, or is no longer cold.
type Change struct {
	Upstream nutmegid.Upstream
	Process  nutmegview.Process
	Cold     bool
	Limit    Limit
	Ended    Source // what ended the cold time: an entry, or empty for its own end
}
