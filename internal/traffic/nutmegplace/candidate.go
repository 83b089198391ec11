package nutmegplace

import (
	"math"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// Load holds the request counts that an upstream reports about itself.
type Load struct {
	Running int
	Waiting int
	Slots   int // concurrent requests that it can run; zero if not reported
	// Slowdown is how long work takes at the upstream's machine now, relative to
	// its usual time; zero if not reported.
	Slowdown float64
}

// candidate is an upstream with its load and health as seen by this instance.
type candidate struct {
	nutmegview.Upstream
	engine bool // the upstream is an inference engine

	outstanding int   // requests from this instance
	pending     int64 // prompt tokens of those requests that await their first event

	otherRequests   float64 // requests from other instances, as of the last report
	waitingRequests float64 // queued requests, as of the last report
	reportedAt      time.Duration
	slowdown        float64 // of the last report, within bounds; 1 if it stated none, 0 before the first

	saidLeaving      bool          // the process has said that it leaves
	heldUntil        time.Duration // no request may be sent before, as the upstream has stated
	avoidUntil       time.Duration
	failures         int           // consecutive
	silentSince      time.Duration // last response, or first request since the upstream was idle
	awaitingResponse bool          // silentSince is valid
}

// startRequest records that a request is being sent.
func (c *candidate) startRequest(tokens int64, now time.Duration) {
	c.outstanding++
	c.pending += tokens
	if !c.awaitingResponse {
		c.awaitingResponse = true
		c.silentSince = now
	}
}

// recordResponse records that the upstream sent a response or an event.
func (c *candidate) recordResponse(now time.Duration) {
	c.silentSince = now
	c.awaitingResponse = c.outstanding > 0
}

// endRequest records that a request has ended.
func (c *candidate) endRequest() {
	c.outstanding--
	if c.outstanding == 0 {
		c.awaitingResponse = false
	}
}

// updateLoad stores the load that the upstream reported.
func (c *candidate) updateLoad(l Load, now time.Duration) {
	c.otherRequests = math.Max(0, float64(l.Running+l.Waiting-c.outstanding))
	c.waitingRequests = float64(l.Waiting)
	c.reportedAt = now
	c.slowdown = boundSlowdown(l.Slowdown)
	if l.Slots > 0 {
		c.Slots = l.Slots
	}
}

// boundSlowdown limits what an upstream states, so that an odd value neither draws all
// requests nor shuts the upstream out.
func boundSlowdown(stated float64) float64 {
	if !(stated > 0) { // not stated, or not a number
		return 1
	}
	return min(max(stated, minSlowdown), maxSlowdown)
}

// currentSlowdown estimates how long work takes at the upstream now, relative to its
// usual time. What was reported fades quickly: neighbours on the upstream's machine
// come and go within a second.
func (c *candidate) currentSlowdown(now time.Duration) float64 {
	age := now - c.reportedAt
	if c.slowdown == 0 || age > slowdownTTL {
		return 1
	}
	return 1 + (c.slowdown-1)*math.Exp2(-float64(age)/float64(slowdownHalfLife))
}

// load estimates the number of requests at the upstream: the current ones from
// this instance plus the reported ones from other instances, whose weight decays
// with the age of the report.
func (c *candidate) load(now time.Duration) float64 {
	return float64(c.outstanding) + c.otherRequests*c.reportWeight(now)
}

// reportWeight returns the weight of the last report, which halves every
// reportHalfLife.
func (c *candidate) reportWeight(now time.Duration) float64 {
	age := float64(now-c.reportedAt) / float64(reportHalfLife)
	return math.Exp2(-age)
}

// isSilent reports whether the upstream has outstanding requests and has sent
// nothing for longer than a healthy one would.
func (c *candidate) isSilent(now time.Duration) bool {
	limit := serviceSilence
	if c.engine {
		limit = engineSilence
	}
	return c.awaitingResponse && now-c.silentSince > limit
}

// state returns the health of the upstream. Lower values are preferred.
func (c *candidate) state(now time.Duration) int {
	switch {
	case now < c.avoidUntil:
		return stateAvoided
	case c.isSilent(now):
		return stateSilent
	}
	return stateHealthy
}

// The states of a candidate, in order of preference.
const (
	stateHealthy = iota
	stateSpared  // healthy, but this request avoids it while its share rises
	stateSilent
	stateAvoided
)

// Result is the outcome of a request at an upstream, for its health.
type Result int

// The outcomes of a request at an upstream.
const (
	// ResultAnswered means a complete response that is not a failure.
	ResultAnswered Result = iota
	// ResultFailed means a server error, an incomplete response or none at all.
	ResultFailed
	// ResultUnreachable means that no connection could be established.
	ResultUnreachable
	// ResultBusy means that the upstream refused the request for lack of capacity.
	ResultBusy
	// ResultMisdirected means that another upstream now uses the address.
	ResultMisdirected
	// ResultNeutral means that the request says nothing about the upstream, as
	// when the caller or this instance ended it.
	ResultNeutral
)

// recordResult updates the health of the upstream after a request.
func (c *candidate) recordResult(r Result, now time.Duration) {
	switch r {
	case ResultAnswered:
		c.failures = 0
		c.avoidUntil = 0
	case ResultFailed:
		c.failures++
		if c.failures >= failuresToAvoid {
			c.avoid(now, failureAvoid, c.failures-failuresToAvoid)
		}
	case ResultUnreachable:
		c.failures++
		c.avoid(now, unreachableAvoid, c.failures-1)
	case ResultBusy:
		c.avoid(now, busyAvoid, 0)
	case ResultMisdirected:
		c.avoid(now, misdirectedAvoid, 0)
	case ResultNeutral:
	}
}

// avoid keeps new requests away for a period that starts at span and doubles
// with each step, up to maxAvoid.
func (c *candidate) avoid(now, span time.Duration, step int) {
	span = min(span<<min(step, maxAvoidSteps), maxAvoid)
	c.avoidUntil = max(c.avoidUntil, now+span)
}

// sameProcess reports whether u is the same process as c.
func (c *candidate) sameProcess(u nutmegview.Upstream) bool {
	return c.Process() == u.Process() && c.Address == u.Address && c.Service == u.Service
}

// name returns the key for rendezvous hashing.
func (c *candidate) name() string {
	return string(c.ID)
}

// isFull reports whether all slots and the allowed queue of the upstream are
// taken. The queue is shorter while the upstream is slow, so that the wait in it is
// not longer.
func (c *candidate) isFull(queueShare float64, now time.Duration) bool {
	queueShare /= max(c.currentSlowdown(now), 1)
	return c.Slots > 0 && c.load(now) >= float64(c.Slots)*(1+queueShare)
}
