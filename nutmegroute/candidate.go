package nutmegroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// monotime is a monotonic time, measured from the start of a pool.
type monotime time.Duration

// Candidate is a target together with this instance's view of its load and health.
type Candidate struct {
	Target

	inFlight atomic.Int64 // requests of this instance
	pending  atomic.Int64 // prompt tokens of this instance's requests that wait for a first token

	slots              atomic.Int64 // concurrent streams; 0 if not reported
	reportedStreams    atomic.Int64 // running and waiting streams in the last report
	otherStreams       atomic.Int64 // streams of other instances at the time of the last report
	otherPendingTokens atomic.Int64 // prompt tokens of other instances at the time of the last report
	reportedAt         atomic.Int64 // monotime at which the report was taken; 0 before the first

	speed speed

	leaving      atomic.Bool
	ejectedUntil atomic.Int64 // monotime
	slowStartAt  atomic.Int64 // monotime at which the slow start began; 0 if there is none

	mu                   sync.Mutex
	history              history
	consecutiveFailures  int
	consecutiveEjections int
	probeFailures        int // consecutive failed probes
}

// InFlight returns the number of requests that this instance has at the upstream.
func (c *Candidate) InFlight() int64 {
	return c.inFlight.Load()
}

// Slots returns the number of streams that the upstream runs concurrently.
func (c *Candidate) Slots() int64 {
	if slots := c.slots.Load(); slots > 0 {
		return slots
	}
	if len(c.Models) == 0 {
		return DefaultServiceSlots
	}
	return DefaultEngineSlots
}

func (c *Candidate) begin(promptTokens int64, now monotime) {
	own := c.inFlight.Add(1)
	pending := c.pending.Add(promptTokens)
	c.mu.Lock()
	c.history.add(sample{at: now, inFlight: own, pending: pending})
	c.mu.Unlock()
}

func (c *Candidate) firstToken(promptTokens int64) {
	c.pending.Add(-promptTokens)
}

func (c *Candidate) end() {
	c.inFlight.Add(-1)
}

// usable reports whether the candidate accepts new requests.
func (c *Candidate) usable(now monotime) bool {
	return !c.leaving.Load() && c.ejectedUntil.Load() <= int64(now)
}

// slowStartFactor rises from slowStartShare to 1 during a slow start.
func (c *Candidate) slowStartFactor(now monotime) float64 {
	from := c.slowStartAt.Load()
	if from == 0 {
		return 1
	}
	share := float64(int64(now)-from) / float64(slowStart)
	if share >= 1 {
		c.slowStartAt.CompareAndSwap(from, 0)
		return 1
	}
	return max(share, slowStartShare)
}

// load estimates the streams at the candidate: the current ones of this instance, plus those
// of other instances from the last report, decayed by the age of the report.
func (c *Candidate) load(now monotime) float64 {
	return float64(c.inFlight.Load()) + c.decayed(c.otherStreams.Load(), now)
}

// pendingTokens estimates the prompt tokens queued at the candidate.
func (c *Candidate) pendingTokens(now monotime) float64 {
	return float64(c.pending.Load()) + c.decayed(c.otherPendingTokens.Load(), now)
}

// estimateWork estimates, in prompt tokens, the work ahead of the first token of a request:
// queued prompts, the uncached part of its own prompt, the running streams that lengthen each
// step, and the streams beyond the upstream's slots.
func (c *Candidate) estimateWork(req *PickRequest, cached int64, now monotime) float64 {
	load := c.load(now)
	own := float64(max(req.PromptTokens-cached, 0))
	queued := max(load+1-float64(c.Slots()), 0)
	return c.pendingTokens(now) + own + load*streamWeight + queued*queuedWeight
}

func (c *Candidate) decayed(reported int64, now monotime) float64 {
	if reported == 0 {
		return 0
	}
	age := int64(now) - c.reportedAt.Load() - int64(reportFreshAge)
	if age <= 0 {
		return float64(reported)
	}
	return float64(reported) * math.Exp2(-float64(age)/float64(reportHalfLife))
}

func avoided(u nutmegid.Upstream, avoid []nutmegid.Upstream) bool {
	for _, a := range avoid {
		if a == u {
			return true
		}
	}
	return false
}

// sample is the load of this instance at one time.
type sample struct {
	at       monotime
	inFlight int64
	pending  int64
}

// history keeps recent samples. A report is compared with the load of this instance at the
// time the report was taken.
type history struct {
	samples [historySize]sample
	next    int
}

func (h *history) add(s sample) {
	last := &h.samples[(h.next+historySize-1)%historySize]
	if last.at != 0 && s.at-last.at < monotime(historyInterval) {
		last.inFlight = s.inFlight
		last.pending = s.pending
		return
	}
	h.samples[h.next] = s
	h.next = (h.next + 1) % historySize
}

// at returns the latest sample taken at or before t.
func (h *history) at(t monotime) sample {
	var best sample
	for _, s := range h.samples {
		if s.at <= t && s.at >= best.at {
			best = s
		}
	}
	return best
}
