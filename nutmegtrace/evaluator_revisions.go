package nutmegtrace

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// confirmedRevision is the revision of a plan and the time of its confirmation.
type confirmedRevision struct {
	revision nutmegid.Revision
	at       time.Time
}

// revisionSample is one reading of an instance's revision. The field reachable
// tells whether the instance could reach the platform, directly or through peers,
// when it was read.
type revisionSample struct {
	instance    int
	incarnation nutmegid.Incarnation
	revision    nutmegid.Revision
	serving     bool
	reachable   bool
	at          time.Time
}

// countRevisions counts how often an instance went back to an older revision,
// also from one incarnation to the next, and the longest time until a confirmed
// revision was in force at an instance that could learn of it.
func (ev *evaluator) countRevisions() {
	highest := make(map[int]nutmegid.Revision)
	waiting := make(map[int]map[nutmegid.Revision]time.Time)
	nextConfirmed := make(map[int]int)
	for _, s := range ev.samples {
		if s.serving && s.revision < highest[s.instance] {
			ev.measures.ConfigReverts++
			ev.addDetail("instance %d went back from revision %d to %d", s.instance, highest[s.instance], s.revision)
			highest[s.instance] = s.revision // counts each step back once
		}
		if waiting[s.instance] == nil {
			waiting[s.instance] = make(map[nutmegid.Revision]time.Time)
		}
		ev.updatePropagation(s, highest[s.instance], waiting[s.instance], nextConfirmed)
		highest[s.instance] = max(highest[s.instance], s.revision)
	}
}

// updatePropagation updates the propagation times of confirmed revisions with
// one sample of an instance. Revisions that the instance had in force before
// their confirmation was answered are left out.
func (ev *evaluator) updatePropagation(s revisionSample, previous nutmegid.Revision, waiting map[nutmegid.Revision]time.Time, nextConfirmed map[int]int) {
	for n := nextConfirmed[s.instance]; n < len(ev.confirmed) && !ev.confirmed[n].at.After(s.at); n++ {
		if ev.confirmed[n].revision > previous {
			waiting[ev.confirmed[n].revision] = ev.confirmed[n].at
		}
		nextConfirmed[s.instance] = n + 1
	}
	for revision, since := range waiting {
		if !s.reachable || !s.serving {
			waiting[revision] = s.at // time counts again once the instance is back
			continue
		}
		ev.measures.ConfigInForceMSMax = max(ev.measures.ConfigInForceMSMax, s.at.Sub(since).Milliseconds())
		if s.revision >= revision {
			delete(waiting, revision)
		}
	}
}
