package nutmegsuspect

import (
	"math/bits"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// trial is a call that is sent after a hold to see whether its suspect is guilty.
// Other calls with the suspect wait for its result: they would crash upstreams, too,
// before the first crash is known.
type trial struct {
	call  nutmegid.RequestID
	until time.Time // when another call is tried, if this one has no result
}

// trialDelay returns how much later than the first an instance tries a suspect. The
// number of instances that may doubles with each slot: the first may have no such
// request, or may not be there.
func trialDelay(rank int) time.Duration {
	return trialSlot * time.Duration(bits.Len(uint(max(rank, 0))))
}

// rank returns the position of this instance for a suspect, as it was when the suspect
// was first judged. The caller holds mu.
func (t *Tracker) rank(k Key) int {
	rank, ok := t.ranks[k]
	if ok {
		return rank
	}
	if len(t.ranks) >= maxRecords {
		clear(t.ranks)
	}
	rank = t.cfg.Rank(k)
	t.ranks[k] = rank
	return rank
}

// waitForTrial extends a hold that is over while another call is on trial. The caller
// holds mu.
func (t *Tracker) waitForTrial(hold Hold, c *nutmegcall.Call) Hold {
	if on, ok := t.trials[hold.Key]; ok && on.call != c.ID && on.until.After(hold.Until) {
		hold.Until = on.until
	}
	return hold
}

// beginTrials puts a call on trial for those of its suspects whose hold is over. The
// caller holds mu.
func (t *Tracker) beginTrials(c *nutmegcall.Call, suspects []Suspect, now time.Time) {
	for _, s := range suspects {
		if hold, ok := t.holds[s.Key]; ok && !hold.Until.After(now) {
			t.trials[s.Key] = trial{call: c.ID, until: now.Add(trialTime)}
		}
	}
}
