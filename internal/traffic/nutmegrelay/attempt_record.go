package nutmegrelay

import (
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
)

// AttemptRecord holds what is known of an attempt that did not end its call, and
// what was concluded from it.
type AttemptRecord struct {
	Process        nutmegview.Process // that the request was sent to
	KeptConnection bool               // the connection had served an earlier request
	Sent           nutmegconn.Sent
	Status         int // of the response; zero if there was none
	Conclusion     Conclusion
	Policy         Policy
}

// Conclusion is what an attempt shows about whether the request ran.
type Conclusion string

// The conclusions.
const (
	ConclusionNotSent    Conclusion = "not_sent"     // the upstream got no byte of the request
	ConclusionRefused    Conclusion = "refused"      // the upstream says that the request has not run
	ConclusionMayHaveRun Conclusion = "may_have_run" // neither is certain
)

// Policy says whether a request that may have run may be sent again.
type Policy string

// The policies.
const (
	PolicyOnce       Policy = "once"
	PolicyIdempotent Policy = "idempotent"
	PolicyResumable  Policy = "resumable"
)

// PolicyOf returns the policy of a route.
func PolicyOf(route *nutmegview.Route) Policy {
	switch {
	case route.RetryPolicy == nutmegview.Idempotent:
		return PolicyIdempotent
	case route.Stream && route.Resumable:
		return PolicyResumable
	}
	return PolicyOnce
}

// conclusion returns what the result of an attempt shows.
func conclusion(result attemptResult, sent nutmegconn.Sent) Conclusion {
	switch {
	case result == attemptUnknown:
		return ConclusionMayHaveRun
	case sent == nutmegconn.SentNothing:
		return ConclusionNotSent
	}
	return ConclusionRefused
}
