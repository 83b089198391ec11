package nutmegplace

import (
	"fmt"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Locations says where requests may run. It must be safe for concurrent use.
type Locations interface {
	// IsEvacuated reports whether no new request may be sent to a failure domain.
	IsEvacuated(d nutmegid.FailureDomain) bool
	// RegionOf returns the region of a failure domain, empty if it is unknown.
	RegionOf(d nutmegid.FailureDomain) nutmegid.Region
}

// anywhere lets requests run in all failure domains.
type anywhere struct{}

// IsEvacuated implements Locations.
func (anywhere) IsEvacuated(nutmegid.FailureDomain) bool {
	return false
}

// RegionOf implements Locations.
func (anywhere) RegionOf(nutmegid.FailureDomain) nutmegid.Region {
	return ""
}

// Admits reports whether a request may run where an upstream is, as of now.
func (p *Placer) Admits(u nutmegview.Upstream, info PickInfo) bool {
	return !p.cfg.Locations.IsEvacuated(u.FailureDomain) && info.Regions.Allows(p.cfg.Locations.RegionOf(u.FailureDomain))
}

// Closed returns a refusal if all upstreams of the request's service are where it may
// not run, and nil otherwise.
func (p *Placer) Closed(info PickInfo) *nutmegcall.Refusal {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.closed(info)
}

// closed is Closed for callers that hold mu.
func (p *Placer) closed(info PickInfo) *nutmegcall.Refusal {
	evacuated := false
	upstreams := p.byService[info.Service]
	for _, c := range upstreams {
		if p.Admits(c.Upstream, info) {
			return nil
		}
		evacuated = evacuated || info.Regions.Allows(p.cfg.Locations.RegionOf(c.FailureDomain))
	}
	switch {
	case evacuated:
		return &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonEvacuated, RetryAfter: p.spread(closedRetryAfter),
			Detail: "all upstreams of service " + string(info.Service) + " that may run the request are in evacuated failure domains",
		}
	case len(upstreams) > 0:
		return &nutmegcall.Refusal{
			Reason: nutmegcall.ReasonRegionUnavailable, RetryAfter: p.spread(closedRetryAfter),
			Detail: fmt.Sprintf("service %s has no upstream in a region in which the request may run: %s", info.Service, info.Regions),
		}
	}
	return nil
}

// Running returns the number of requests from this instance that run in a failure
// domain.
func (p *Placer) Running(d nutmegid.FailureDomain) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, c := range p.byID {
		if c.FailureDomain == d {
			n += c.outstanding
		}
	}
	return n
}
