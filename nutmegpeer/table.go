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

// record is what an instance keeps of one member.
type record struct {
	member    Member
	changedAt time.Time // of the state
	told      int       // digests that carried the latest change of state
}

// table holds the known members, one per incarnation.
type table struct {
	now       func() time.Time
	deadAfter time.Duration // of suspicion
	keepDead  time.Duration

	mu      sync.Mutex
	records map[nutmegid.Incarnation]*record
	order   []nutmegid.Incarnation // of the round robin through all records
	next    int
}

func newTable(now func() time.Time, deadAfter, keepDead time.Duration) *table {
	return &table{now: now, deadAfter: deadAfter, keepDead: keepDead, records: make(map[nutmegid.Incarnation]*record)}
}

// merge takes in a member if it is newer than the known one. A dead one that
// is not known stays unknown.
func (t *table) merge(m Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.records[m.Incarnation]
	if !ok {
		if m.State != StateDead {
			t.records[m.Incarnation] = &record{member: m, changedAt: t.now()}
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
		r.set(m.State, t.now())
	}
}

// suspect notes that the member at an address did not answer.
func (t *table) suspect(address string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, r := range t.records {
		if r.member.Address == address && r.member.State == StateAlive {
			r.set(StateSuspect, t.now())
		}
	}
}

func (r *record) set(s State, at time.Time) {
	r.member.State = s
	r.changedAt = at
	r.told = 0
}

// age turns long suspects into dead ones and forgets the long dead.
func (t *table) age() {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	forgotten := false
	for incarnation, r := range t.records {
		since := now.Sub(r.changedAt)
		switch {
		case r.member.State == StateSuspect && since > t.deadAfter:
			r.set(StateDead, now)
		case r.member.State == StateLeaving && since > t.keepDead:
			r.set(StateDead, now)
		case r.member.State == StateDead && since > t.keepDead:
			delete(t.records, incarnation)
			forgotten = true
		}
	}
	if forgotten {
		t.order = slices.DeleteFunc(t.order, func(i nutmegid.Incarnation) bool { return t.records[i] == nil })
	}
}

// pick returns up to n members for a digest: what the receiver is suspected
// of, then news that few digests have carried, then the next ones in turn.
func (t *table) pick(n int, receiver string) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	enough := newsFactor * bits.Len(uint(len(t.records)))
	var news []*record
	for _, r := range t.records {
		if r.told < enough || (r.member.Address == receiver && r.member.State != StateAlive) {
			news = append(news, r)
		}
	}
	slices.SortFunc(news, func(a, b *record) int {
		return cmp.Or(
			cmp.Compare(isAbout(b, receiver), isAbout(a, receiver)),
			cmp.Compare(a.told, b.told),
			cmp.Compare(a.member.Incarnation, b.member.Incarnation))
	})
	picked := make(map[nutmegid.Incarnation]Member, n)
	for _, r := range news[:min(n, len(news))] {
		r.told++
		picked[r.member.Incarnation] = r.member
	}
	for range t.order {
		if len(picked) >= n {
			break
		}
		t.next = (t.next + 1) % len(t.order)
		r := t.records[t.order[t.next]]
		picked[r.member.Incarnation] = r.member
	}
	return slices.Collect(maps.Values(picked))
}

func isAbout(r *record, receiver string) int {
	if r.member.Address == receiver {
		return 1
	}
	return 0
}

// members returns all known members, ordered by instance.
func (t *table) members() []Member {
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

func (t *table) size() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.records)
}
