package nutmegbudget

import (
	"fmt"
	"hash/fnv"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Shard is the body of one object in the store. It groups budgets that are
// committed together.
type Shard struct {
	Budgets map[nutmegid.BudgetID]*Budget `json:"budgets"`
	// Holders are the incarnations that have leases or may still commit.
	Holders map[nutmegid.Incarnation]*HolderRecord `json:"holders"`
	// Releases counts releases and leaves; it orders the records of such holders for
	// pruning.
	Releases uint64 `json:"releases,omitempty"`
	// AmountsRevision is the configuration revision that set the prepaid amounts,
	// or 0 if they come from top-ups.
	AmountsRevision nutmegid.Revision `json:"amounts,omitempty"`
	// Era is the store's era of the latest commit; 0 if the store states none.
	Era nutmegid.Era `json:"era,omitempty"`
	// Recovering is true from a restore of the store until the leases that the copy may
	// lack are known again. Nothing is granted meanwhile.
	Recovering bool `json:"recovering,omitempty"`
}

// HolderRecord is what a shard stores about one holder.
type HolderRecord struct {
	Instance nutmegid.Instance `json:"instance"`
	// LastCommit is the number of the holder's latest commit.
	LastCommit uint64 `json:"commit"`
	// ReleaseNumber is the sequence number of the release, or 0 if the holder is
	// not released.
	ReleaseNumber uint64 `json:"released,omitempty"`
	// Era is the store's era in which the holder has stated its leases.
	Era nutmegid.Era `json:"era,omitempty"`
	// Final is true if no statement is waited for in this era: the holder had been
	// superseded before, or has stated nothing in time.
	Final bool `json:"final,omitempty"`
	// LeaveNumber is the sequence number of the holder's leave, or 0. In a store that
	// states eras the record stays for some time, so that a copy from before the leave
	// can be corrected.
	LeaveNumber uint64 `json:"left,omitempty"`
	// Superseded is true if a later incarnation of the instance has joined: this
	// one is dead, and its tokens stay leased to it.
	Superseded bool `json:"superseded,omitempty"`
	// Witnesses acknowledge the tokens that the holder may use. Epoch increases
	// with each change of them.
	Witnesses []nutmegid.Incarnation `json:"witnesses,omitempty"`
	Epoch     uint64                 `json:"epoch,omitempty"`
}

// Budget is a prepaid amount of tokens with its spend, leases and transfers.
type Budget struct {
	Prepaid nutmegid.Tokens `json:"prepaid"`
	// Spent is the settled spend plus WrittenOff.
	Spent nutmegid.Tokens `json:"spent"`
	// WrittenOff is the part of Spent that no holder has settled: leases of
	// released holders, whose actual use is unknown.
	WrittenOff nutmegid.Tokens                      `json:"written_off,omitempty"`
	Removed    bool                                 `json:"removed,omitempty"`
	TopUps     map[nutmegid.TopUpID]nutmegid.Tokens `json:"top_ups"`
	Leases     map[nutmegid.Incarnation]*Lease      `json:"leases"`
	Transfers  map[nutmegid.TransferID]*Transfer    `json:"transfers,omitempty"`
}

// Lease is the unsettled share of a budget that one incarnation may spend.
type Lease struct {
	// Tokens is the unsettled share. For a released holder it is the part of the
	// write-off that the holder may still settle or return.
	Tokens nutmegid.Tokens `json:"tokens"`
	// Presumed are tokens that the holder may have as well, of which the store has lost
	// the record. They count as leased until the holder states its lease.
	Presumed nutmegid.Tokens `json:"presumed,omitempty"`
	Released bool            `json:"released,omitempty"`
	// Settled, Granted, Reclaimed and Acked count tokens since the lease began: settled
	// and granted by commits, reclaimed by closing the lease, and acknowledged for use.
	Settled   nutmegid.Tokens `json:"settled,omitempty"`
	Granted   nutmegid.Tokens `json:"granted"`
	Reclaimed nutmegid.Tokens `json:"taken,omitempty"`
	Acked     nutmegid.Tokens `json:"acked"`
	// Rate is the holder's spend rate in tokens per second at its latest commit.
	Rate float64 `json:"rate,omitempty"`
	// Closed holds the tokens that each witness that closed the lease had
	// acknowledged.
	Closed map[nutmegid.Incarnation]nutmegid.Tokens `json:"closed,omitempty"`
}

// Transfer is a transfer of tokens between two holders. It takes effect in the
// store when the first of them reports it and is removed when both have.
type Transfer struct {
	ID       nutmegid.TransferID  `json:"id"`
	Giver    nutmegid.Incarnation `json:"giver"`
	Receiver nutmegid.Incarnation `json:"receiver"`
	Tokens   nutmegid.Tokens      `json:"tokens"`
	// ReportedByGiver and ReportedByReceiver tell which sides have reported
	// the transfer.
	ReportedByGiver    bool `json:"named_by_giver,omitempty"`
	ReportedByReceiver bool `json:"named_by_receiver,omitempty"`
}

// ShardOf returns the index of the shard that holds a budget.
func ShardOf(id nutmegid.BudgetID, shards int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(id))
	return int(h.Sum32() % uint32(shards))
}

// ShardName returns the object name of a shard.
func ShardName(shard int) string {
	return fmt.Sprintf("shard-%04d", shard)
}

// SetAmounts sets the prepaid amounts of a configuration revision, unless the
// shard has applied a newer one. An amount below the spent and leased tokens
// takes effect as leases are returned.
func (s *Shard) SetAmounts(revision nutmegid.Revision, amounts map[nutmegid.BudgetID]nutmegid.Tokens) {
	if revision < s.AmountsRevision {
		return
	}
	s.AmountsRevision = revision
	if s.Budgets == nil {
		s.Budgets = make(map[nutmegid.BudgetID]*Budget, len(amounts))
	}
	for id, amount := range amounts {
		b := s.Budgets[id]
		if b == nil {
			b = &Budget{}
			b.initMaps()
			s.Budgets[id] = b
		}
		b.Prepaid = max(amount, b.Spent+b.Leased())
	}
}

// Remaining returns the tokens that are neither spent nor leased.
func (b *Budget) Remaining() nutmegid.Tokens {
	return b.Prepaid - b.Spent - b.Leased()
}

// Leased returns the unsettled tokens of all leases that are not released.
func (b *Budget) Leased() nutmegid.Tokens {
	var sum nutmegid.Tokens
	for _, lease := range b.Leases {
		if !lease.Released {
			sum += lease.Tokens + lease.Presumed
		}
	}
	return sum
}

// Check returns an error of KindInvariant unless all amounts are non-negative
// and the prepaid amount covers the spent and leased tokens.
func (b *Budget) Check(id nutmegid.BudgetID) error {
	if b.Prepaid < 0 || b.Spent < 0 || b.Prepaid > maxTokens {
		return invariantError(id, fmt.Sprintf("prepaid %d and spent %d are out of range", b.Prepaid, b.Spent))
	}
	if b.WrittenOff < 0 || b.WrittenOff > b.Spent {
		return invariantError(id, fmt.Sprintf("written off %d is not within spent %d", b.WrittenOff, b.Spent))
	}
	for incarnation, lease := range b.Leases {
		if lease == nil || lease.Tokens < 0 || lease.Reclaimed < 0 || lease.Acked > lease.Granted {
			return invariantError(id, fmt.Sprintf("lease of %s is out of range", incarnation))
		}
	}
	if b.Remaining() < 0 {
		return invariantError(id, fmt.Sprintf("prepaid %d is below spent %d and leased %d", b.Prepaid, b.Spent, b.Leased()))
	}
	return nil
}

// checkRecords returns an error of KindInvariant if a budget, a lease or the record of a
// holder is empty: what the store holds may be damaged.
func (s *Shard) checkRecords() error {
	for inc, record := range s.Holders {
		if record == nil {
			return invariantError("", fmt.Sprintf("the record of holder %s is empty", inc))
		}
	}
	for id, b := range s.Budgets {
		if b == nil {
			return invariantError(id, "the stored budget is empty")
		}
		for inc, lease := range b.Leases {
			if lease == nil {
				return invariantError(id, fmt.Sprintf("the lease of %s is empty", inc))
			}
		}
	}
	return nil
}

func invariantError(id nutmegid.BudgetID, detail string) error {
	return &Error{Kind: KindInvariant, Budget: id, Detail: detail, Remedy: "report this as a defect; the change was not written"}
}

// find returns a budget, or nil if it does not exist or is removed. A damaged
// entry is an error.
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
	b.initMaps()
	return b, nil
}

func (b *Budget) initMaps() {
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

// ensureLease returns the lease of an incarnation and creates it if absent.
func (b *Budget) ensureLease(inc nutmegid.Incarnation) *Lease {
	l, ok := b.Leases[inc]
	if !ok {
		l = &Lease{}
		b.Leases[inc] = l
	}
	return l
}

// leaseOf returns the lease of an incarnation, or nil if there is none.
func (b *Budget) leaseOf(inc nutmegid.Incarnation) *Lease {
	if b == nil {
		return nil
	}
	return b.Leases[inc]
}

// adjustLease adds n tokens, which may be negative, to the lease of a holder.
// The lease of a released holder is part of the write-off.
func (b *Budget) adjustLease(inc nutmegid.Incarnation, n nutmegid.Tokens) {
	l, ok := b.Leases[inc]
	if !ok && n < 0 {
		b.writeOff(n)
		return
	}
	if !ok {
		l = b.ensureLease(inc)
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

// applyTransfer applies a transfer that one of its sides reports. The first
// report moves the tokens, the second removes the transfer.
func (b *Budget) applyTransfer(t Transfer, reporter nutmegid.Incarnation) {
	known, ok := b.Transfers[t.ID]
	if !ok {
		b.adjustLease(t.Giver, -t.Tokens)
		b.adjustLease(t.Receiver, t.Tokens)
		known = &Transfer{ID: t.ID, Giver: t.Giver, Receiver: t.Receiver, Tokens: t.Tokens}
		b.Transfers[t.ID] = known
	}
	known.ReportedByGiver = known.ReportedByGiver || reporter == t.Giver
	known.ReportedByReceiver = known.ReportedByReceiver || reporter == t.Receiver
	if known.ReportedByGiver && known.ReportedByReceiver {
		delete(b.Transfers, t.ID)
	}
}
