// Package nutmegnotice keeps what upstreams state about themselves in their
// answers. A statement holds for one process of an upstream, until a later answer
// of that process replaces it.
//
// The package does no I/O and starts no goroutines; callers pass the monotonic time
// since an arbitrary start.
//
// # Usage
//
//	tracker := nutmegnotice.NewTracker(nutmegnotice.Config{OnChange: log})
//	tracker.Record(upstream, request, nutmegnotice.Notice{RateLimit: &rate, Success: true}, now)
//	if limit, ok := tracker.RateLimit(upstream); ok {
//		// send at most limit.Rate requests per second, over all instances
//	}
//	tracker.Merge(statement, age, now) // from another instance
package nutmegnotice

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Rate is a number of requests per second.
type Rate float64

// Notice is what the header of one answer states about the upstream that sent it.
type Notice struct {
	// RateLimit is the rate of requests that the upstream takes from all instances
	// together; nil if the answer states none.
	RateLimit *Rate
	// Leaving says that the upstream is about to end and takes no new requests.
	Leaving bool
	// RetryAfter is how long the upstream wants no requests from this instance; zero if
	// the answer does not say so.
	RetryAfter time.Duration
	// Unclear says that the answer states a rate limit that cannot be read.
	Unclear bool
	// Success says that the answer is not an error. Errors may be sent without what
	// other answers state.
	Success bool
}

// Limit is the rate limit of one process of an upstream.
type Limit struct {
	Rate    Rate
	HeardAt time.Duration // when the latest answer that states it arrived
}

// Change is a change in what a process states.
type Change struct {
	Kind    ChangeKind
	Process nutmegview.Process
	Before  Rate               // zero if there was no limit
	After   Rate               // zero if the limit has ended
	Wait    time.Duration      // of a ChangeWait
	Request nutmegid.RequestID // whose answer states it; empty if another instance said so
}

// Statement tells other instances that a process has begun to state a rate limit,
// states none any more, or leaves.
type Statement struct {
	Upstream nutmegid.Upstream  `json:"upstream"`
	Process  nutmegview.Process `json:"process"`
	Rate     Rate               `json:"rate"`
	Ended    bool               `json:"ended"`
	Leaving  bool               `json:"leaving"`
}

// ChangeKind is the kind of a Change.
type ChangeKind string

// The kinds of changes.
const (
	ChangeStated ChangeKind = "stated"
	ChangeMoved  ChangeKind = "changed"
	ChangeEnded  ChangeKind = "ended"
	// ChangeLeaving means that the process takes no new requests until it ends.
	ChangeLeaving ChangeKind = "leaving"
	// ChangeWait means that the process wants no requests from this instance for a time.
	ChangeWait ChangeKind = "wait"
)
