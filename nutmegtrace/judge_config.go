package nutmegtrace

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// acceptance is a confirmed plan.
type acceptance struct {
	revision nutmegid.Revision
	at       time.Time
}

// sighting is one reading of an instance's revision. Reachable says that the
// instance had a way to the platform or to peers since the sighting before.
type sighting struct {
	instance    int
	incarnation nutmegid.Incarnation
	revision    nutmegid.Revision
	serving     bool
	reachable   bool
	at          time.Time
}

// countConfig counts revisions that fell at an instance, also from one
// incarnation to the next, and the longest time until an accepted revision was
// in force at an instance that could learn of it.
func (j *judge) countConfig() {
	highest := make(map[int]nutmegid.Revision)
	waiting := make(map[int]map[nutmegid.Revision]time.Time)
	next := make(map[int]int)
	for _, s := range j.sightings {
		if s.serving && s.revision < highest[s.instance] {
			j.m.ConfigReverts++
			j.detail("instance %d fell from revision %d to %d", s.instance, highest[s.instance], s.revision)
			highest[s.instance] = s.revision // one fall counts once
		}
		if waiting[s.instance] == nil {
			waiting[s.instance] = make(map[nutmegid.Revision]time.Time)
		}
		j.await(s, highest[s.instance], waiting[s.instance], next)
		highest[s.instance] = max(highest[s.instance], s.revision)
	}
}

// await takes one sighting into the times that revisions wait for an instance.
// Those that the instance had before they were answered did not wait.
func (j *judge) await(s sighting, had nutmegid.Revision, waiting map[nutmegid.Revision]time.Time, next map[int]int) {
	for n := next[s.instance]; n < len(j.accepted) && !j.accepted[n].at.After(s.at); n++ {
		if j.accepted[n].revision > had {
			waiting[j.accepted[n].revision] = j.accepted[n].at
		}
		next[s.instance] = n + 1
	}
	for revision, since := range waiting {
		if !s.reachable || !s.serving {
			waiting[revision] = s.at // the wait begins when the instance is back
			continue
		}
		j.m.ConfigInForceMSMax = max(j.m.ConfigInForceMSMax, s.at.Sub(since).Milliseconds())
		if s.revision >= revision {
			delete(waiting, revision)
		}
	}
}
