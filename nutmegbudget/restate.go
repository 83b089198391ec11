package nutmegbudget

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// LeaseStatement is a lease as its holder knows it. After the store has been restored
// from an older copy, it replaces what the copy says of the lease: the holder is the
// only one who writes it.
type LeaseStatement struct {
	Tokens    nutmegid.Tokens // unsettled
	Settled   nutmegid.Tokens
	Granted   nutmegid.Tokens
	Reclaimed nutmegid.Tokens
	Acked     nutmegid.Tokens
	// Given are transfers from the lease that the store may have lost. They count for
	// receivers that have not stated their leases themselves.
	Given []Transfer
}

// lacksStatement reports whether a batch relies on leases that the holder has not
// stated in this era.
func (s *Shard) lacksStatement(batch Batch, record *HolderRecord) bool {
	if s.Era == 0 || batch.Restates || !batch.Joined {
		return false
	}
	return record == nil || record.Era < s.Era
}

// setStated records that a holder has stated its leases, or joins without any.
func (s *Shard) setStated(batch Batch, record *HolderRecord) {
	record.Instance = batch.Instance
	record.Era, record.Final, record.LeaveNumber = batch.Era, false, 0
	for _, b := range s.Budgets {
		if l := b.leaseOf(batch.Incarnation); l != nil {
			l.Presumed = 0
		}
	}
}

// restate replaces a lease by its holder's statement.
func (s *Shard) restate(b *Budget, l *Lease, stated LeaseStatement) {
	b.Spent += stated.Settled - l.Settled
	l.Tokens, l.Settled = stated.Tokens, stated.Settled
	l.Granted, l.Reclaimed, l.Acked = stated.Granted, stated.Reclaimed, stated.Acked
	for _, t := range stated.Given {
		s.addGiven(b, t)
	}
	b.coverUse()
}

// addGiven counts a transfer for a receiver that has not stated its leases: it may have
// used the tokens.
func (s *Shard) addGiven(b *Budget, t Transfer) {
	record := s.Holders[t.Receiver]
	if record == nil {
		record = &HolderRecord{}
		s.Holders[t.Receiver] = record
	}
	if record.Era < s.Era {
		b.ensureLease(t.Receiver).Presumed += t.Tokens
	}
}

// coverUse raises the prepaid amount to what is spent and leased, so that nothing is
// granted until the excess has been returned. SetAmounts lowers it again.
func (b *Budget) coverUse() {
	b.Prepaid = max(b.Prepaid, b.Spent+b.Leased())
}

// statedEra returns the store's era in which the store knows the leases. It returns
// false while they are still to be stated.
func (c *committer) statedEra() (nutmegid.Era, bool) {
	return nutmegid.Era(c.era.Load()), !c.restating.Load()
}

// followEra makes the next batch state the leases if the store has begun a new era.
func (c *committer) followEra() {
	era := c.holder.cfg.StoreEra().Era
	if era == nutmegid.Era(c.era.Load()) {
		return
	}
	c.beginRestating()
	c.era.Store(uint32(era))
	if c.lastBatch == 0 && !c.hasTokens() {
		c.restating.Store(false) // there is nothing to state
	}
}

// beginRestating gives up a pending batch, which may have taken effect or not, and
// makes the next one state the leases.
func (c *committer) beginRestating() {
	if p := c.pending; p != nil {
		c.lastBatch = p.Number
		for _, a := range p.accounts {
			a.rollBack()
		}
		c.pending = nil
		c.witnessSet.cancelChange()
	}
	// First, so that no transfer begins meanwhile.
	c.restating.Store(true)
	for _, a := range c.holder.accountsOf(c.shard) {
		a.forgetTransfers()
	}
	c.failures = 0
	c.retryAt = time.Time{}
}

// hasTokens reports whether the holder has tokens of the shard, or gave some away.
func (c *committer) hasTokens() bool {
	for _, a := range c.holder.accountsOf(c.shard) {
		if a.hasTokens() {
			return true
		}
	}
	return false
}

// endRestating records that a batch has stated the leases.
func (c *committer) endRestating(p *pendingBatch) {
	for _, a := range p.accounts {
		a.forgetGiven()
	}
	c.restating.Store(false)
	c.holder.cfg.OnRestate(c.shard, p.Era)
}

// contradictedBy reports whether a result lacks grants that its holder knows of: the
// store has gone back to a state before them.
func (p *pendingBatch) contradictedBy(r Result) bool {
	if r.Forgotten || p.Drained || p.Leave {
		return false // the batch has ended the leases
	}
	for i, a := range p.accounts {
		if !a.agreesWith(r.Entries[i]) {
			return true
		}
	}
	return false
}
