package nutmegpeer

import (
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// State is what an instance believes of a peer. It never frees tokens or orders.
type State string

// The states of a peer, each overriding the ones before at the same heartbeat.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect" // did not answer; may refute it by a higher heartbeat
	StateLeaving State = "leaving" // takes no new work, by its own word
	StateDead    State = "dead"    // suspected for long, or ended by its own word; forgotten after a while
)

var stateRank = map[State]int{StateAlive: 1, StateSuspect: 2, StateLeaving: 3, StateDead: 4}

// Member is one instance as its peers know it.
type Member struct {
	Instance      nutmegid.Instance      `json:"instance"`
	Incarnation   nutmegid.Incarnation   `json:"incarnation"`
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	Address       string                 `json:"address"`
	Heartbeat     uint64                 `json:"heartbeat"`
	State         State                  `json:"state"`
	Revision      nutmegid.Revision      `json:"revision"`
	Load          uint32                 `json:"load"` // requests in progress
	Ready         bool                   `json:"ready"`
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
		Load:          m.Load,
		Ready:         m.Ready,
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
		Load:          p.GetLoad(),
		Ready:         p.GetReady(),
	}
}

// valid reports whether a received member is complete.
func (m Member) valid() bool {
	return m.Incarnation != "" && m.Address != "" && stateRank[m.State] > 0 &&
		len(m.Incarnation)+len(m.Address)+len(m.Instance)+len(m.FailureDomain) <= maxMemberBytes
}

// overrides reports whether m is newer than what is known of the same incarnation.
func (m Member) overrides(known Member) bool {
	if m.Heartbeat != known.Heartbeat {
		return m.Heartbeat > known.Heartbeat
	}
	return stateRank[m.State] > stateRank[known.State]
}
