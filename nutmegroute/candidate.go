package nutmegroute

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// moment is a monotonic time since the start of a pool.
type moment time.Duration

// Candidate is a target with what this instance knows of its load and health.
type Candidate struct {
	Target

	inFlight atomic.Int64 // requests of this instance
	pending  atomic.Int64 // prompt tokens of this instance without a first token

	slots         atomic.Int64 // streams that run at once; 0 when not reported
	reported      atomic.Int64 // streams, running and waiting, of the last report
	others        atomic.Int64 // streams of other instances at the last report
	othersPending atomic.Int64 // prompt tokens of other instances at the last report
	reportedAt    atomic.Int64 // moment when the report was taken; 0 before the first

	speed speed

	leaving      atomic.Bool
	ejectedUntil atomic.Int64 // moment
	warmFrom     atomic.Int64 // moment when a slow start began; 0 without one

	mu        sync.Mutex
	history   history
	failures  int // in a row
	ejections int // in a row
	probes    int // failed probes in a row
}

// InFlight returns the requests that this instance has at the upstream.
func (c *Candidate) InFlight() int64 {
	return c.inFlight.Load()
}

// Slots returns how many streams the upstream runs at once.
func (c *Candidate) Slots() int64 {
	if slots := c.slots.Load(); slots > 0 {
		return slots
	}
	if len(c.Models) == 0 {
		return DefaultServiceSlots
	}
	return DefaultEngineSlots
}

func (c *Candidate) begin(promptTokens int64, now moment) {
	own := c.inFlight.Add(1)
	pending := c.pending.Add(promptTokens)
	c.mu.Lock()
	c.history.note(sample{at: now, inFlight: own, pending: pending})
	c.mu.Unlock()
}

func (c *Candidate) answered(promptTokens int64) {
	c.pending.Add(-promptTokens)
}

func (c *Candidate) end() {
	c.inFlight.Add(-1)
}

// usable says whether the candidate takes new work.
func (c *Candidate) usable(now moment) bool {
	return !c.leaving.Load() && c.ejectedUntil.Load() <= int64(now)
}

// warmth grows from a small share to 1 during a slow start.
func (c *Candidate) warmth(now moment) float64 {
	from := c.warmFrom.Load()
	if from == 0 {
		return 1
	}
	share := float64(int64(now)-from) / float64(slowStart)
	if share >= 1 {
		c.warmFrom.CompareAndSwap(from, 0)
		return 1
	}
	return max(share, slowStartShare)
}

// load estimates the streams at the candidate: own ones as they are now, and
// those of others by the last report, which loses weight as it ages.
func (c *Candidate) load(now moment) float64 {
	return float64(c.inFlight.Load()) + c.aged(c.others.Load(), now)
}

// pendingTokens estimates the prompt tokens that wait at the candidate.
func (c *Candidate) pendingTokens(now moment) float64 {
	return float64(c.pending.Load()) + c.aged(c.othersPending.Load(), now)
}

// work estimates what comes before the first token of ask, in prompt tokens:
// prompts that wait, the part of its own that is not cached, the streams that
// lengthen each step, and those beyond the upstream's slots.
func (c *Candidate) work(ask *Ask, cached int64, now moment) float64 {
	load := c.load(now)
	own := float64(max(ask.PromptTokens-cached, 0))
	queued := max(load+1-float64(c.Slots()), 0)
	return c.pendingTokens(now) + own + load*streamWeight + queued*queuedWeight
}

func (c *Candidate) aged(reported int64, now moment) float64 {
	if reported == 0 {
		return 0
	}
	age := int64(now) - c.reportedAt.Load() - int64(reportFresh)
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

// sample is the instance's own load at one moment.
type sample struct {
	at       moment
	inFlight int64
	pending  int64
}

// history keeps recent samples, so that a late report can be compared with the
// own load of its time.
type history struct {
	samples [historySize]sample
	next    int
}

func (h *history) note(s sample) {
	last := &h.samples[(h.next+historySize-1)%historySize]
	if last.at != 0 && s.at-last.at < moment(historyStep) {
		last.inFlight = s.inFlight
		last.pending = s.pending
		return
	}
	h.samples[h.next] = s
	h.next = (h.next + 1) % historySize
}

// at returns the newest sample that is not younger than t.
func (h *history) at(t moment) sample {
	var best sample
	for _, s := range h.samples {
		if s.at <= t && s.at >= best.at {
			best = s
		}
	}
	return best
}
