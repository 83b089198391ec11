package nutmegpeer

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// State is what an instance believes of a peer. It never frees tokens or orders.
type State string

// The states of a peer.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect"
	StateLeaving State = "leaving"
)

// Member is one instance as its peers know it.
type Member struct {
	Instance      nutmegid.Instance      `json:"instance"`
	Incarnation   nutmegid.Incarnation   `json:"incarnation"`
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	Address       string                 `json:"address"`
	Heartbeat     uint64                 `json:"heartbeat"`
	State         State                  `json:"state"`
	Revision      nutmegid.Revision      `json:"revision"`
}

func (m Member) proto() *peerpb.Member {
	return &peerpb.Member{
		Instance:      string(m.Instance),
		Incarnation:   string(m.Incarnation),
		FailureDomain: string(m.FailureDomain),
		Address:       m.Address,
		Heartbeat:     m.Heartbeat,
		State:         string(m.State),
		Revision:      uint64(m.Revision),
	}
}

func memberOf(p *peerpb.Member) Member {
	return Member{
		Instance:      nutmegid.Instance(p.GetInstance()),
		Incarnation:   nutmegid.Incarnation(p.GetIncarnation()),
		FailureDomain: nutmegid.FailureDomain(p.GetFailureDomain()),
		Address:       p.GetAddress(),
		Heartbeat:     p.GetHeartbeat(),
		State:         State(p.GetState()),
		Revision:      nutmegid.Revision(p.GetRevision()),
	}
}

type record struct {
	member  Member
	heardAt time.Time
}

// table holds the known members, one per incarnation.
type table struct {
	now          func() time.Time
	suspectAfter time.Duration

	mu      sync.Mutex
	records map[nutmegid.Incarnation]record
}

func newTable(now func() time.Time, suspectAfter time.Duration) *table {
	return &table{now: now, suspectAfter: suspectAfter, records: make(map[nutmegid.Incarnation]record)}
}

// merge takes in a member if its heartbeat is newer than the known one.
func (t *table) merge(m Member) {
	if m.Incarnation == "" {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	known, ok := t.records[m.Incarnation]
	if ok && known.member.Heartbeat >= m.Heartbeat {
		return
	}
	t.records[m.Incarnation] = record{member: m, heardAt: t.now()}
}

// members returns all known members, ordered by instance.
func (t *table) members() []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	members := make([]Member, 0, len(t.records))
	for _, r := range t.records {
		m := r.member
		if m.State == StateAlive && t.now().Sub(r.heardAt) > t.suspectAfter {
			m.State = StateSuspect
		}
		members = append(members, m)
	}
	slices.SortFunc(members, func(a, b Member) int {
		return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
	})
	return members
}
