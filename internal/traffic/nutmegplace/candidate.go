package nutmegplace

import (
	"math"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// Load is an upstream's own count of its requests.
type Load struct {
	Running int
	Waiting int
	Slots   int
}

// candidate is one upstream with what this instance knows of its load.
type candidate struct {
	nutmegview.Upstream
	engine bool

	outstanding int   // requests of this instance
	pending     int64 // prompt tokens of this instance without a first event

	others     float64 // requests of other instances at the last report
	waiting    float64 // requests that waited at the last report
	reportedAt time.Duration

	avoidUntil   time.Duration
	failures     int           // in a row
	silentSince  time.Duration // when the oldest request went out since it was last heard of
	expectsWords bool          // silentSince is set
}

// begin notes a request that goes out.
func (c *candidate) begin(tokens int64, now time.Duration) {
	c.outstanding++
	c.pending += tokens
	if !c.expectsWords {
		c.expectsWords = true
		c.silentSince = now
	}
}

// heard notes a sign of life.
func (c *candidate) heard(now time.Duration) {
	c.silentSince = now
	c.expectsWords = c.outstanding > 0
}

// end notes a request that has ended.
func (c *candidate) end() {
	c.outstanding--
	if c.outstanding == 0 {
		c.expectsWords = false
	}
}

// report takes in the upstream's own count.
func (c *candidate) report(l Load, now time.Duration) {
	c.others = math.Max(0, float64(l.Running+l.Waiting-c.outstanding))
	c.waiting = float64(l.Waiting)
	c.reportedAt = now
	if l.Slots > 0 {
		c.Slots = l.Slots
	}
}

// load estimates the requests at the upstream: own ones as they are now, and
// those of others by the last report, which loses weight as it ages.
func (c *candidate) load(now time.Duration) float64 {
	return float64(c.outstanding) + c.others*c.freshness(now)
}

func (c *candidate) freshness(now time.Duration) float64 {
	age := float64(now-c.reportedAt) / float64(reportHalfLife)
	return math.Exp2(-age)
}

// silent says whether the upstream has left requests unanswered for longer
// than a sound one does.
func (c *candidate) silent(now time.Duration) bool {
	limit := serviceSilence
	if c.engine {
		limit = engineSilence
	}
	return c.expectsWords && now-c.silentSince > limit
}

// state orders candidates by how far they may be used: lower is better.
func (c *candidate) state(now time.Duration) int {
	switch {
	case now < c.avoidUntil:
		return stateAvoided
	case c.silent(now):
		return stateSilent
	}
	return stateSound
}

const (
	stateSound = iota
	stateSilent
	stateAvoided
)

// Result tells the placer how a request ended at an upstream.
type Result int

// How a request ended at an upstream.
const (
	// ResultAnswered means a whole answer that is no failure of the upstream.
	ResultAnswered Result = iota
	// ResultFailed means a failure status, a broken answer or no answer.
	ResultFailed
	// ResultUnreachable means that no connection could be made.
	ResultUnreachable
	// ResultBusy means that the upstream refused for want of room.
	ResultBusy
	// ResultGone means that another upstream has the address.
	ResultGone
	// ResultNeutral means that the caller or this instance ended the request.
	ResultNeutral
)

// judge takes in how a request ended.
func (c *candidate) judge(r Result, now time.Duration) {
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
	case ResultGone:
		c.avoid(now, goneAvoid, 0)
	case ResultNeutral:
	}
}

// avoid keeps new requests away for a time that doubles with each step.
func (c *candidate) avoid(now, span time.Duration, step int) {
	span = min(span<<min(step, maxAvoidSteps), maxAvoid)
	c.avoidUntil = max(c.avoidUntil, now+span)
}

// sameProcess says whether an entry is of the process that c stands for.
func (c *candidate) sameProcess(u nutmegview.Upstream) bool {
	return c.Address == u.Address && c.StartedAt.Equal(u.StartedAt) && c.Service == u.Service
}

// name tells candidates apart in rendezvous hashing.
func (c *candidate) name() string {
	return string(c.ID)
}

// full says whether the upstream has no room, waiting included.
func (c *candidate) full(queueShare float64, now time.Duration) bool {
	return c.Slots > 0 && c.load(now) >= float64(c.Slots)*(1+queueShare)
}
