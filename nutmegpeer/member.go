package nutmegpeer

import (
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// State is the state of a peer as seen by an instance. It never releases tokens
// or orders.
type State string

// The states of a peer. At the same heartbeat, each overrides those before it.
const (
	StateAlive   State = "alive"
	StateSuspect State = "suspect" // did not answer; may refute the suspicion with a higher heartbeat
	StateLeaving State = "leaving" // has announced that it takes no new work
	StateDead    State = "dead"    // was suspected or leaving for too long; forgotten after a while
)

// stateRank orders the states at the same heartbeat; an unknown state has rank 0.
var stateRank = map[State]int{StateAlive: 1, StateSuspect: 2, StateLeaving: 3, StateDead: 4}

// Member is what peers know of one incarnation of an instance.
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

func (m Member) toProto() *peerpb.Member {
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

func memberFromProto(p *peerpb.Member) Member {
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

// valid reports whether a received member has all required fields, a known state
// and an acceptable size.
func (m Member) valid() bool {
	return m.Incarnation != "" && m.Address != "" && stateRank[m.State] > 0 &&
		len(m.Incarnation)+len(m.Address)+len(m.Instance)+len(m.FailureDomain) <= maxMemberBytes
}

// overrides reports whether m is newer than the known entry of the same
// incarnation: it has a higher heartbeat, or the same one and a higher state.
func (m Member) overrides(known Member) bool {
	if m.Heartbeat != known.Heartbeat {
		return m.Heartbeat > known.Heartbeat
	}
	return stateRank[m.State] > stateRank[known.State]
}
