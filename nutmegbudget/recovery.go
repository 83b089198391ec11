package nutmegbudget

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// enterEra begins a new era of the shard, whose content may be from an older copy. All
// holders state their leases again, which includes the tokens of transfers. restored
// means that the store may even lack the whole shard.
func (s *Shard) enterEra(era nutmegid.Era, restored bool) {
	if s.Era >= era {
		return
	}
	s.Recovering = s.Recovering || restored || len(s.Holders) > 0
	s.Era = era
	for _, record := range s.Holders {
		// A later incarnation had joined: this one has written nothing since.
		record.Final = record.Superseded
	}
	for _, b := range s.Budgets {
		if b != nil {
			b.Transfers = nil
		}
	}
}

// merge takes over what another state of the shard, seen before the restore, knows of
// holders that have not stated their leases since. Where both know a lease, the larger
// numbers count: a holder that states nothing any more may have used that much.
func (s *Shard) merge(seen *Shard) {
	if s.Holders == nil {
		s.Holders = make(map[nutmegid.Incarnation]*HolderRecord)
	}
	for inc, other := range seen.Holders {
		s.mergeRecord(inc, other)
	}
	for id, other := range seen.Budgets {
		if other != nil {
			s.mergeBudget(id, other, seen.Holders)
		}
	}
	s.pruneLeaves()
}

func (s *Shard) mergeRecord(inc nutmegid.Incarnation, other *HolderRecord) {
	record := s.Holders[inc]
	if record == nil {
		record = &HolderRecord{Instance: other.Instance}
		s.Holders[inc] = record
	}
	if record.Era >= s.Era {
		return
	}
	record.LastCommit = max(record.LastCommit, other.LastCommit)
	record.Superseded = record.Superseded || other.Superseded
	record.Final = record.Final || other.Superseded
	if other.LeaveNumber != 0 && record.LeaveNumber == 0 {
		s.setLeft(record)
	}
}

func (s *Shard) mergeBudget(id nutmegid.BudgetID, other *Budget, known map[nutmegid.Incarnation]*HolderRecord) {
	b := s.Budgets[id]
	if b == nil {
		b = &Budget{Prepaid: other.Prepaid, Removed: other.Removed}
		if s.Budgets == nil {
			s.Budgets = make(map[nutmegid.BudgetID]*Budget)
		}
		s.Budgets[id] = b
	}
	b.initMaps()
	for inc, lease := range other.Leases {
		record := s.Holders[inc]
		if known[inc] == nil || record.Era >= s.Era {
			continue
		}
		b.mergeLease(inc, lease)
		if record.LeaveNumber != 0 {
			b.Leases[inc].Tokens = 0
		}
	}
	b.coverUse()
}

func (b *Budget) mergeLease(inc nutmegid.Incarnation, other *Lease) {
	l := b.ensureLease(inc)
	b.Spent += max(0, other.Settled-l.Settled)
	l.Settled = max(l.Settled, other.Settled)
	l.Tokens = max(l.Tokens, other.Tokens)
	l.Presumed = max(l.Presumed, other.Presumed)
	l.Granted = max(l.Granted, other.Granted)
	l.Reclaimed = max(l.Reclaimed, other.Reclaimed)
	l.Acked = max(l.Acked, other.Acked)
	l.Rate = other.Rate
}

// mayGrant reports whether the rest of the budgets is known well enough to grant from
// it. known is how long the caller has known the era.
func (s *Shard) mayGrant(known time.Duration) bool {
	if !s.Recovering {
		return true
	}
	if known < minStatementTime || s.awaitsStatements() && known < maxStatementTime {
		return false
	}
	s.finishLost()
	s.Recovering = false
	return true
}

// awaitsStatements reports whether a holder that may be up has not stated its leases.
func (s *Shard) awaitsStatements() bool {
	for _, record := range s.Holders {
		if s.isUnstated(record) && !record.Superseded {
			return true
		}
	}
	return false
}

// isUnstated reports whether the shard knows the leases of a holder only from a copy or
// from other holders.
func (s *Shard) isUnstated(record *HolderRecord) bool {
	return record.Era < s.Era && !record.Final && record.LeaveNumber == 0 && record.ReleaseNumber == 0
}

// finishLost ends the wait for holders that have stated nothing. Their last commits may
// have been seen by nobody else: as much again as their known leases counts as leased to
// them. A holder that is up after all corrects it with its statement.
func (s *Shard) finishLost() {
	for inc, record := range s.Holders {
		if !s.isUnstated(record) {
			continue
		}
		record.Final = true
		for _, b := range s.Budgets {
			if l := b.leaseOf(inc); l != nil {
				l.Presumed += l.Tokens
				b.coverUse()
			}
		}
	}
}

// setLeft records that a holder has left.
func (s *Shard) setLeft(record *HolderRecord) {
	s.Releases++
	record.LeaveNumber = s.Releases
}

// pruneLeaves drops the oldest records of holders that have left.
func (s *Shard) pruneLeaves() {
	for inc, other := range s.Holders {
		if other.LeaveNumber != 0 && other.LeaveNumber+maxLeaves <= s.Releases {
			s.dropLeases(inc)
			delete(s.Holders, inc)
		}
	}
}

// holders returns the number of holders with a lease of the budget that have not left.
func (s *Shard) holders(b *Budget) int {
	n := 0
	for inc := range b.Leases {
		if record := s.Holders[inc]; record == nil || record.LeaveNumber == 0 {
			n++
		}
	}
	return n
}

// enterEra brings the shard up to the era of a batch with what this holder knows, and
// decides whether the batch may be granted tokens.
func (c *committer) enterEra(s *Shard, p *pendingBatch) {
	if p.Era == 0 {
		return
	}
	state := c.holder.cfg.StoreEra()
	s.enterEra(p.Era, state.Restored)
	if p.Restates && c.seen != nil {
		s.merge(c.seen)
	}
	p.Withhold = !s.mayGrant(time.Since(state.Since))
}

// recordWithheld records whether the latest batch was granted nothing because the shard
// recovers.
func (c *committer) recordWithheld(withheld bool) {
	c.withheldUntil = time.Time{}
	if withheld {
		c.withheldUntil = time.Now().Add(withheldInterval)
	}
}

// asksAgain reports whether it is time to ask again for tokens that were withheld.
func (c *committer) asksAgain() bool {
	return !c.withheldUntil.IsZero() && time.Now().After(c.withheldUntil)
}
