package nutmegpeer

import (
	"cmp"
	"maps"
	"math/bits"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// memberRecord is a known member and how often its state has been sent.
type memberRecord struct {
	member    Member
	changedAt time.Time // time of the latest change of state
	sent      int       // digests that carried the latest change of state
}

// memberTable holds the known members, one per incarnation.
type memberTable struct {
	now           func() time.Time
	deadAfter     time.Duration // time from suspected to dead
	deadRetention time.Duration // time from leaving to dead, and from dead to forgotten

	mu      sync.Mutex
	records map[nutmegid.Incarnation]*memberRecord
	order   []nutmegid.Incarnation // round-robin order of selectMembers over all records
	next    int                    // index in order of the record selected last
}

func newMemberTable(now func() time.Time, deadAfter, deadRetention time.Duration) *memberTable {
	return &memberTable{now: now, deadAfter: deadAfter, deadRetention: deadRetention, records: make(map[nutmegid.Incarnation]*memberRecord)}
}

// merge adds an unknown member, or updates a known one if m overrides it. An
// unknown member that is reported dead is not added.
func (t *memberTable) merge(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[m.Incarnation]
	if !ok {
		if m.State != StateDead {
			t.records[m.Incarnation] = &memberRecord{member: m, changedAt: t.now()}
			t.order = append(t.order, m.Incarnation)
		}
		return
	}
	if !m.overrides(r.member) {
		return
	}
	changed := r.member.State != m.State
	r.member = m
	if changed {
		r.setState(m.State, t.now())
	}
}

// suspect marks the alive members at an address as suspected, because an exchange
// with that address failed.
func (t *memberTable) suspect(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.member.Address == address && r.member.State == StateAlive {
			r.setState(StateSuspect, t.now())
		}
	}
}

// setState changes the state, which is then sent again as a recent change.
func (r *memberRecord) setState(s State, at time.Time) {
	r.member.State = s
	r.changedAt = at
	r.sent = 0
}

// expire marks members as dead that have been suspected longer than deadAfter or
// leaving longer than deadRetention, and forgets those dead longer than deadRetention.
func (t *memberTable) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	forgotten := false
	for incarnation, r := range t.records {
		since := now.Sub(r.changedAt)
		switch {
		case r.member.State == StateSuspect && since > t.deadAfter:
			r.setState(StateDead, now)
		case r.member.State == StateLeaving && since > t.deadRetention:
			r.setState(StateDead, now)
		case r.member.State == StateDead && since > t.deadRetention:
			delete(t.records, incarnation)
			forgotten = true
		}
	}
	if forgotten {
		t.order = slices.DeleteFunc(t.order, func(i nutmegid.Incarnation) bool { return t.records[i] == nil })
	}
}

// selectMembers returns up to n members for a digest: first the receiver itself,
// if it is not known as alive, so that it can refute that; then recent changes
// that few digests have carried; then members in round-robin order.
func (t *memberTable) selectMembers(n int, receiver string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	maxSends := retransmitFactor * bits.Len(uint(len(t.records)))
	var changed []*memberRecord
	for _, r := range t.records {
		if r.sent < maxSends || (r.member.Address == receiver && r.member.State != StateAlive) {
			changed = append(changed, r)
		}
	}
	slices.SortFunc(changed, func(a, b *memberRecord) int {
		return cmp.Or(
			cmp.Compare(receiverRank(b, receiver), receiverRank(a, receiver)),
			cmp.Compare(a.sent, b.sent),
			cmp.Compare(a.member.Incarnation, b.member.Incarnation))
	})
	selected := make(map[nutmegid.Incarnation]Member, n)
	for _, r := range changed[:min(n, len(changed))] {
		r.sent++
		selected[r.member.Incarnation] = r.member
	}
	for range t.order {
		if len(selected) >= n {
			break
		}
		t.next = (t.next + 1) % len(t.order)
		r := t.records[t.order[t.next]]
		selected[r.member.Incarnation] = r.member
	}
	return slices.Collect(maps.Values(selected))
}

// receiverRank returns 1 for a record of the receiver and 0 for any other.
func receiverRank(r *memberRecord, receiver string) int {
	if r.member.Address == receiver {
		return 1
	}
	return 0
}

// members returns all known members, ordered by instance and incarnation.
func (t *memberTable) members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		members = append(members, r.member)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return members
}

// size returns the number of known members.
func (t *memberTable) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
