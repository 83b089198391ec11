package nutmegview

import (
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

// ApplyEvacuation applies a change if it is newer than the latest one of its failure
// domain, and reports whether it did.
func (v *View) ApplyEvacuation(c EvacuationChange) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	before := v.evacuations.Load()
	if latest, known := (*before)[c.FailureDomain]; known && c.Version <= latest.Version {
		return false
	}
	after := make(map[nutmegid.FailureDomain]EvacuationChange, len(*before)+1)
	for domain, change := range *before {
		after[domain] = change
	}
	after[c.FailureDomain] = c
	v.evacuations.Store(&after)
	for _, fn := range v.onEvacuation {
		fn(c)
	}
	return true
}

// IsEvacuated reports whether no new request may be sent to the upstreams of a
// failure domain.
func (v *View) IsEvacuated(d nutmegid.FailureDomain) bool {
	return (*v.evacuations.Load())[d].Evacuated
}
