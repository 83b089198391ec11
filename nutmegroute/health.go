package nutmegroute

import (
	"context"
	"errors"
	"math"
	"time"
)

// HealthConfig configures the ejection of failing upstreams.
type HealthConfig struct {
	ConsecutiveFailures int           // consecutive failures before an ejection; DefaultConsecutiveFailures if zero
	BaseEjectionTime    time.Duration // duration of the first ejection, doubled for each consecutive one; DefaultBaseEjectionTime if zero
	MaxEjected          float64       // share of an instance's upstreams of a model; DefaultMaxEjected if zero
}

func (h HealthConfig) withDefaults() HealthConfig {
	if h.ConsecutiveFailures == 0 {
		h.ConsecutiveFailures = DefaultConsecutiveFailures
	}
	if h.BaseEjectionTime == 0 {
		h.BaseEjectionTime = DefaultBaseEjectionTime
	}
	if h.MaxEjected == 0 {
		h.MaxEjected = DefaultMaxEjected
	}
	return h
}

// outcome is what the result of an attempt says about the health of the upstream.
type outcome int

const (
	outcomeNeutral outcome = iota
	outcomeSuccess
	outcomeFailure
)

// upstreamFaults are the error kinds that count as failures of the upstream.
var upstreamFaults = map[ErrorKind]bool{
	KindBroken:       true,
	KindLost:         true,
	KindSilent:       true,
	KindOverran:      true,
	KindUnreachable:  true,
	KindUpstreamCode: true,
}

// outcomeOf classifies the error of an attempt. A refusal and a caller that went away do not
// count against the upstream.
func outcomeOf(err error) outcome {
	var e *Error
	switch {
	case err == nil:
		return outcomeSuccess
	case !errors.As(err, &e) || errors.Is(err, context.Canceled):
		return outcomeNeutral
	case upstreamFaults[e.Kind]:
		return outcomeFailure
	}
	return outcomeNeutral
}

// recordOutcome counts consecutive failures and ejects the upstream after too many.
func (p *Pool) recordOutcome(c *Candidate, set *CandidateSet, err error) {
	switch outcomeOf(err) {
	case outcomeSuccess:
		c.mu.Lock()
		c.consecutiveFailures = 0
		c.consecutiveEjections = 0
		c.mu.Unlock()
	case outcomeFailure:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.consecutiveFailures++
		if c.consecutiveFailures >= p.cfg.Health.ConsecutiveFailures {
			p.eject(c, set)
		}
	case outcomeNeutral:
	}
}

// eject excludes a candidate for a while, provided that enough others remain. The caller must
// hold c.mu.
func (p *Pool) eject(c *Candidate, set *CandidateSet) {
	now := p.now()
	if !c.usable(now) || !p.mayEject(set, now) {
		return
	}
	duration := p.cfg.Health.BaseEjectionTime << min(c.consecutiveEjections, maxEjectionDoublings)
	c.consecutiveEjections++
	c.consecutiveFailures = 0
	until := now + monotime(duration)
	c.ejectedUntil.Store(int64(until))
	c.slowStartAt.Store(int64(until))
}

// mayEject keeps the ejected upstreams below their maximum share and never allows the last
// usable one to be ejected.
func (p *Pool) mayEject(set *CandidateSet, now monotime) bool {
	usable, ejected := 0, 0
	for _, c := range set.Members {
		switch {
		case c.leaving.Load():
		case c.usable(now):
			usable++
		default:
			ejected++
		}
	}
	limit := math.Ceil(p.cfg.Health.MaxEjected * float64(usable+ejected))
	return usable > 1 && float64(ejected) < limit
}

// recordProbe records the result of one health probe of a candidate.
func (p *Pool) recordProbe(c *Candidate, set *CandidateSet, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.probeFailures = 0
		return
	}
	c.probeFailures++
	now := p.now()
	if !c.usable(now) && !c.leaving.Load() {
		c.extendEjection(now + monotime(probeTimeout))
		return
	}
	if c.probeFailures >= maxProbeFailures {
		c.probeFailures = 0
		p.eject(c, set)
	}
}

// extendEjection keeps an ejected candidate out while its probes fail.
func (c *Candidate) extendEjection(until monotime) {
	if int64(until) > c.ejectedUntil.Load() {
		c.ejectedUntil.Store(int64(until))
		c.slowStartAt.Store(int64(until))
	}
}
