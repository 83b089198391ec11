package nutmegview

import (
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// SetRegions sets the region of each failure domain. It must be called before the
// view is used.
func (v *View) SetRegions(regions map[nutmegid.FailureDomain]nutmegid.Region) {
	v.regions = regions
}

// RegionOf returns the region of a failure domain, empty if it is unknown.
func (v *View) RegionOf(d nutmegid.FailureDomain) nutmegid.Region {
	return v.regions[d]
}

// RegionLimit names the regions in which a request may run. The zero value allows
// all.
type RegionLimit struct {
	limited bool
	allowed []nutmegid.Region
}

// LimitRegions returns the limit of a route's requests from a workspace, which is nil
// if none is required. Where both name regions, only common ones are allowed.
func LimitRegions(r *Route, w *Workspace) RegionLimit {
	switch {
	case w == nil || len(w.Regions) == 0:
		return RegionLimit{limited: len(r.Regions) > 0, allowed: r.Regions}
	case len(r.Regions) == 0:
		return RegionLimit{limited: true, allowed: w.Regions}
	}
	common := RegionLimit{limited: true}
	for _, region := range r.Regions {
		if slices.Contains(w.Regions, region) {
			common.allowed = append(common.allowed, region)
		}
	}
	return common
}

// Allows reports whether requests may run in a region. An unknown region, which is
// empty, is allowed only if all are.
func (l RegionLimit) Allows(r nutmegid.Region) bool {
	return !l.limited || r != "" && slices.Contains(l.allowed, r)
}

// String lists the allowed regions, for logs.
func (l RegionLimit) String() string {
	if !l.limited {
		return "all"
	}
	return fmt.Sprintf("%q", l.allowed)
}
