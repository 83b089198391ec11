package nutmegview

import (
	"cmp"
	"maps"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// EvacuationChange states that the evacuation of a failure domain has begun or
// ended. No new request may be sent to the upstreams of an evacuated domain.
type EvacuationChange struct {
	FailureDomain nutmegid.FailureDomain
	Evacuated     bool
	Version       nutmegid.Version // of the store, at the change
}

// OnEvacuation registers fn to be called in order with each applied change. It must
// be called before the view is used.
func (v *View) OnEvacuation(fn func(EvacuationChange)) {
	v.onEvacuation = append(v.onEvacuation, fn)
}

// maxEvacuations limits the failure domains whose latest change is kept: any name may
// be evacuated.
const maxEvacuations = 256

// ApplyEvacuation applies a change if it is newer than the latest one of its failure
// domain, and reports whether it did. It ignores a change if too many domains are
// evacuated.
func (v *View) ApplyEvacuation(c EvacuationChange) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.evacuations.Load()
	if latest, known := (*before)[c.FailureDomain]; known && c.Version <= latest.Version {
		return false
	}
	after := make(map[nutmegid.FailureDomain]EvacuationChange, len(*before)+1)
	maps.Copy(after, *before)
	after[c.FailureDomain] = c
	if len(after) > maxEvacuations && !forgetEnded(after) {
		return false
	}
	if _, kept := after[c.FailureDomain]; !kept { // the oldest end itself
		return false
	}
	// First, so that what an end of the evacuation calls for is in place before requests
	// go there.
	for _, fn := range v.onEvacuation {
		fn(c)
	}
	v.evacuations.Store(&after)
	return true
}

// IsEvacuated reports whether no new request may be sent to the upstreams of a
// failure domain.
func (v *View) IsEvacuated(d nutmegid.FailureDomain) bool {
	return (*v.evacuations.Load())[d].Evacuated
}

// Evacuations returns the latest change of each failure domain, in order of the
// domains' names.
func (v *View) Evacuations() []EvacuationChange {
	return slices.SortedFunc(maps.Values(*v.evacuations.Load()), func(a, b EvacuationChange) int {
		return cmp.Compare(a.FailureDomain, b.FailureDomain)
	})
}

// forgetEnded removes the oldest change that ends an evacuation, and reports whether
// there was one.
func forgetEnded(changes map[nutmegid.FailureDomain]EvacuationChange) bool {
	var oldest *EvacuationChange
	for _, c := range changes {
		if !c.Evacuated && (oldest == nil || c.Version < oldest.Version) {
			oldest = &c
		}
	}
	if oldest == nil {
		return false
	}
	delete(changes, oldest.FailureDomain)
	return true
}
