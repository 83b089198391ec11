package nutmegbudget

import (
	"fmt"
	"hash/fnv"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Shard is the body of one object in the store: many budgets that are
// committed together.
type Shard struct {
	Budgets map[nutmegid.BudgetID]*Budget `json:"budgets"`
	// Holders are the incarnations that have leases or may still commit.
	Holders map[nutmegid.Incarnation]*Record `json:"holders"`
	// Releases counts releases; it orders released holders for pruning.
	Releases uint64 `json:"releases,omitempty"`
	// Amounts is the revision of the configuration that the prepaid amounts
	// come from, 0 where they come from top-ups.
	Amounts nutmegid.Revision `json:"amounts,omitempty"`
}

// Record is what a shard knows of one holder.
type Record struct {
	Instance nutmegid.Instance `json:"instance"`
	// Commit is the number of the holder's latest commit.
	Commit uint64 `json:"commit"`
	// Released is the order number of the release, 0 while the holder is in force.
	Released uint64 `json:"released,omitempty"`
	// Superseded says that a later incarnation of the instance has joined: this
	// one is dead, and what it held stays leased to it.
	Superseded bool `json:"superseded,omitempty"`
	// Witnesses acknowledge the holder's slices. Epoch rises with each change of them.
	Witnesses []nutmegid.Incarnation `json:"witnesses,omitempty"`
	Epoch     uint64                 `json:"epoch,omitempty"`
}

// Budget is one prepaid amount and where its tokens are.
type Budget struct {
	Prepaid nutmegid.Tokens `json:"prepaid"`
	// Spent counts settled spend and what was written off.
	Spent nutmegid.Tokens `json:"spent"`
	// WrittenOff is the part of Spent that no holder has settled: leases of
	// released holders, whose true use is not known.
	WrittenOff nutmegid.Tokens                      `json:"written_off,omitempty"`
	Removed    bool                                 `json:"removed,omitempty"`
	TopUps     map[nutmegid.TopUpID]nutmegid.Tokens `json:"top_ups"`
	Leases     map[nutmegid.Incarnation]*Lease      `json:"leases"`
	Transfers  map[nutmegid.TransferID]*Transfer    `json:"transfers,omitempty"`
}

// Lease is the unsettled share of a budget that one incarnation may spend.
type Lease struct {
	// Tokens is the unsettled share. Of a released holder it is the part of
	// the write-off that the holder may still settle or give back.
	Tokens   nutmegid.Tokens `json:"tokens"`
	Released bool            `json:"released,omitempty"`
	// Granted, Taken and Acked count tokens since the lease began: granted by
	// commits, taken back by witnesses, and free for use.
	Granted nutmegid.Tokens `json:"granted"`
	Taken   nutmegid.Tokens `json:"taken,omitempty"`
	Acked   nutmegid.Tokens `json:"acked"`
	// Rate is what the holder spent in a second before its latest commit.
	Rate float64 `json:"rate,omitempty"`
	// Closed holds what each witness that closed the lease had acknowledged.
	Closed map[nutmegid.Incarnation]nutmegid.Tokens `json:"closed,omitempty"`
}

// Transfer is a move of tokens between two holders. It takes effect when the
// first of them names it, and is forgotten when both have.
type Transfer struct {
	ID       nutmegid.TransferID  `json:"id"`
	Giver    nutmegid.Incarnation `json:"giver"`
	Receiver nutmegid.Incarnation `json:"receiver"`
	Tokens   nutmegid.Tokens      `json:"tokens"`
	// NamedByGiver and NamedByReceiver tell which sides have named it.
	NamedByGiver    bool `json:"named_by_giver,omitempty"`
	NamedByReceiver bool `json:"named_by_receiver,omitempty"`
}

// ShardOf returns the number of the shard that holds a budget.
func ShardOf(id nutmegid.BudgetID, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(shards))
}

// ShardName returns the object name of a shard.
func ShardName(shard int) string {
	return fmt.Sprintf("shard-%04d", shard)
}

// SetAmounts makes the prepaid amounts those of a configuration, unless the
// shard has seen a newer one. An amount below what is spent and leased takes
// effect as leases return.
func (s *Shard) SetAmounts(revision nutmegid.Revision, amounts map[nutmegid.BudgetID]nutmegid.Tokens) {
	if revision < s.Amounts {
		return
	}
	s.Amounts = revision
	if s.Budgets == nil {
		s.Budgets = make(map[nutmegid.BudgetID]*Budget, len(amounts))
	}
	for id, amount := range amounts {
		b := s.Budgets[id]
		if b == nil {
			b = &Budget{}
			b.makeMaps()
			s.Budgets[id] = b
		}
		b.Prepaid = max(amount, b.Spent+b.Leased())
	}
}

// Remaining returns the tokens that are neither spent nor leased.
func (b *Budget) Remaining() nutmegid.Tokens {
	return b.Prepaid - b.Spent - b.Leased()
}

// Leased returns the unsettled tokens of all leases in force.
func (b *Budget) Leased() nutmegid.Tokens {
	var sum nutmegid.Tokens
	for _, lease := range b.Leases {
		if !lease.Released {
			sum += lease.Tokens
		}
	}
	return sum
}

// Check returns an error of KindInvariant unless every term is non-negative
// and prepaid covers what is spent and leased.
func (b *Budget) Check(id nutmegid.BudgetID) error {
	if b.Prepaid < 0 || b.Spent < 0 || b.Prepaid > maxTokens {
		return invariantError(id, fmt.Sprintf("prepaid %d and spent %d are out of range", b.Prepaid, b.Spent))
	}
	if b.WrittenOff < 0 || b.WrittenOff > b.Spent {
		return invariantError(id, fmt.Sprintf("written off %d is not within spent %d", b.WrittenOff, b.Spent))
	}
	for incarnation, lease := range b.Leases {
		if lease == nil || lease.Tokens < 0 || lease.Taken < 0 || lease.Acked > lease.Granted {
			return invariantError(id, fmt.Sprintf("lease of %s is out of range", incarnation))
		}
	}
	if b.Remaining() < 0 {
		return invariantError(id, fmt.Sprintf("prepaid %d is below spent %d and leased %d", b.Prepaid, b.Spent, b.Leased()))
	}
	return nil
}

func invariantError(id nutmegid.BudgetID, detail string) error {
	return &Error{Kind: KindInvariant, Budget: id, Detail: detail, Remedy: "report this as a defect; the change was not written"}
}

// find returns a budget in force, nil where there is none. A damaged entry is
// an error.
func (s *Shard) find(id nutmegid.BudgetID) (*Budget, error) {
	b, ok := s.Budgets[id]
	if !ok {
		return nil, nil
	}
	if b == nil {
		return nil, invariantError(id, "the stored budget is empty")
	}
	if err := b.Check(id); err != nil {
		return nil, err
	}
	if b.Removed {
		return nil, nil
	}
	b.makeMaps()
	return b, nil
}

func (b *Budget) makeMaps() {
	if b.TopUps == nil {
		b.TopUps = make(map[nutmegid.TopUpID]nutmegid.Tokens)
	}
	if b.Leases == nil {
		b.Leases = make(map[nutmegid.Incarnation]*Lease)
	}
	if b.Transfers == nil {
		b.Transfers = make(map[nutmegid.TransferID]*Transfer)
	}
}

// lease returns the lease of an incarnation, made when absent.
func (b *Budget) lease(inc nutmegid.Incarnation) *Lease {
	l, ok := b.Leases[inc]
	if !ok {
		l = &Lease{}
		b.Leases[inc] = l
	}
	return l
}

// leaseOf returns the lease of an incarnation, nil where there is none.
func (b *Budget) leaseOf(inc nutmegid.Incarnation) *Lease {
	if b == nil {
		return nil
	}
	return b.Leases[inc]
}

// shift adds n tokens, which may be negative, to the share of a holder. The
// share of a released holder is part of the write-off.
func (b *Budget) shift(inc nutmegid.Incarnation, n nutmegid.Tokens) {
	l, ok := b.Leases[inc]
	if !ok && n < 0 {
		b.writeOff(n)
		return
	}
	if !ok {
		l = b.lease(inc)
	}
	l.Tokens += n
	if l.Released {
		b.writeOff(n)
	}
}

func (b *Budget) writeOff(n nutmegid.Tokens) {
	b.Spent += n
	b.WrittenOff += n
}

// name applies a transfer for one of its sides. The first naming moves the
// tokens, the second forgets the transfer.
func (b *Budget) name(t Transfer, by nutmegid.Incarnation) {
	known, ok := b.Transfers[t.ID]
	if !ok {
		b.shift(t.Giver, -t.Tokens)
		b.shift(t.Receiver, t.Tokens)
		known = &Transfer{ID: t.ID, Giver: t.Giver, Receiver: t.Receiver, Tokens: t.Tokens}
		b.Transfers[t.ID] = known
	}
	known.NamedByGiver = known.NamedByGiver || by == t.Giver
	known.NamedByReceiver = known.NamedByReceiver || by == t.Receiver
	if known.NamedByGiver && known.NamedByReceiver {
		delete(b.Transfers, t.ID)
	}
}
