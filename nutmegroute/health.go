package nutmegroute

import (
	"context"
	"errors"
	"math"
	"time"
)

// HealthConfig sets when an upstream is ejected from the choice for a while.
type HealthConfig struct {
	Failures   int           // in a row; DefaultFailures when zero
	BaseTime   time.Duration // of the first ejection, doubled by each further one; DefaultEjection when zero
	MaxEjected float64       // share of an instance's upstreams of a model; DefaultMaxEjected when zero
}

func (h HealthConfig) withDefaults() HealthConfig {
	if h.Failures == 0 {
		h.Failures = DefaultFailures
	}
	if h.BaseTime == 0 {
		h.BaseTime = DefaultEjection
	}
	if h.MaxEjected == 0 {
		h.MaxEjected = DefaultMaxEjected
	}
	return h
}

// verdict is what the end of an attempt tells of the upstream.
type verdict int

const (
	verdictNone verdict = iota
	verdictGood
	verdictBad
)

// upstreamFault are the kinds of errors that speak against an upstream.
var upstreamFault = map[ErrorKind]bool{
	KindBroken:       true,
	KindLost:         true,
	KindSilent:       true,
	KindOverran:      true,
	KindUnreachable:  true,
	KindUpstreamCode: true,
}

// verdictOf judges by the error of an attempt. A refusal and a caller that
// went away say nothing against the upstream.
func verdictOf(err error) verdict {
	var e *Error
	switch {
	case err == nil:
		return verdictGood
	case !errors.As(err, &e) || errors.Is(err, context.Canceled):
		return verdictNone
	case upstreamFault[e.Kind]:
		return verdictBad
	}
	return verdictNone
}

// judge counts failures in a row and ejects the upstream after too many.
func (p *Pool) judge(c *Candidate, set *Set, err error) {
	switch verdictOf(err) {
	case verdictGood:
		c.mu.Lock()
		c.failures = 0
		c.ejections = 0
		c.mu.Unlock()
	case verdictBad:
		c.mu.Lock()
		defer c.mu.Unlock()
		c.failures++
		if c.failures >= p.cfg.Health.Failures {
			p.eject(c, set)
		}
	case verdictNone:
	}
}

// eject takes a candidate out of the choice for a while, as long as enough
// others are left. Callers hold c.mu.
func (p *Pool) eject(c *Candidate, set *Set) {
	now := p.now()
	if !c.usable(now) || !p.mayEject(set, now) {
		return
	}
	span := p.cfg.Health.BaseTime << min(c.ejections, maxEjectionDoublings)
	c.ejections++
	c.failures = 0
	until := now + moment(span)
	c.ejectedUntil.Store(int64(until))
	c.warmFrom.Store(int64(until))
}

// mayEject keeps the ejected below their share, and the last one in.
func (p *Pool) mayEject(set *Set, now moment) bool {
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

// probed takes in the result of one active check of a candidate.
func (p *Pool) probed(c *Candidate, set *Set, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ok {
		c.probes = 0
		return
	}
	c.probes++
	now := p.now()
	if !c.usable(now) && !c.leaving.Load() {
		c.extend(now + moment(probeTimeout))
		return
	}
	if c.probes >= failedProbes {
		c.probes = 0
		p.eject(c, set)
	}
}

// extend keeps an ejected candidate out while its probes fail.
func (c *Candidate) extend(until moment) {
	if int64(until) > c.ejectedUntil.Load() {
		c.ejectedUntil.Store(int64(until))
		c.warmFrom.Store(int64(until))
	}
}
