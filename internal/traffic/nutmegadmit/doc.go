// Package nutmegadmit decides which requests may be sent while the engines of a service
// have too little room for all of them.
//
// Room is estimated for the service as a whole, from the load reports that engines send
// with their answers: an instance hears from a single engine too rarely. All instances
// refuse the same share of their own requests without asking each other, since that
// share depends on the load per slot alone. It grows with the load, so that
// late reports do not make the fleet refuse all and admit all in turn.
//
// Workspaces that ask for much more than an even share of the tokens are cut down first,
// and of each its less urgent requests. What must be refused beyond that is taken
// from all, less urgent requests first. Requests that would probably wait for longer than
// their latency target are refused as well, the more the longer that is. Some of each
// priority and workspace are always admitted. Nothing waits here: admitted requests
// wait at their engines, which admit more urgent ones first.
//
// The package has no clock, network access or goroutines; callers pass the monotonic
// time since an arbitrary start.
//
// # Usage
//
//	c := nutmegadmit.New(nutmegadmit.Config{Seed: 1})
//	c.RecordReport("drafter", nutmegadmit.Report{Running: 12, Waiting: 3, Slots: 12}, now)
//	if d := c.Decide(request, now); !d.Admitted {
//		// refuse the request, which has not run, for d.RetryAfter
//	}
//	c.RecordServiceTime("drafter", took) // when an admitted request has ended
package nutmegadmit
