package nutmegbudget

import (
	"cmp"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Batch is one commit of one holder to one shard. Its number makes it
// idempotent: it applies once, however often it is written.
type Batch struct {
	Incarnation nutmegid.Incarnation
	Instance    nutmegid.Instance
	Number      uint64
	// Era is the store's era for which the batch was made.
	Era nutmegid.Era
	// Restates is true if the entries state the holder's leases as a whole, because
	// the store may have lost what earlier batches have written.
	Restates bool
	// Withhold is true if nothing may be granted now.
	Withhold bool
	// Joined is true if an earlier batch has created the holder's record.
	Joined bool
	// Drained is true if a released holder has no tokens or reservations left.
	Drained bool
	// Leave removes the holder; nothing is granted.
	Leave bool
	// ReplaceWitnesses replaces the holder's witnesses with Witnesses.
	ReplaceWitnesses bool
	Witnesses        []nutmegid.Incarnation
	Entries          []Entry
}

// Entry is one budget's part of a batch.
type Entry struct {
	Budget nutmegid.BudgetID
	Settle nutmegid.Tokens
	Return nutmegid.Tokens
	Need   nutmegid.Tokens
	Rate   float64
	Idle   bool
	Acked  nutmegid.Tokens
	// Unwitnessed makes all granted tokens usable without acknowledgement, even
	// if the holder has witnesses.
	Unwitnessed bool
	Transfers   []Transfer
	// Lease is the holder's lease before the batch, if the batch restates.
	Lease LeaseStatement
}

// Result is the part of a shard's state after a batch that its holder needs.
type Result struct {
	// Forgotten is true if the shard has no record of the holder any more.
	Forgotten bool
	Released  bool
	Epoch     uint64
	Witnesses []nutmegid.Incarnation
	Entries   []EntryResult
}

// EntryResult is the state of one entry's budget after a batch.
type EntryResult struct {
	Known     bool
	Granted   nutmegid.Tokens
	Reclaimed nutmegid.Tokens
	Remaining nutmegid.Tokens // 0 while nothing may be granted
	Unspent   nutmegid.Tokens // not settled as spent, leases included
	// Live, TotalRate and LiveHolders are as in View.
	Live         nutmegid.Tokens
	TotalRate    float64
	LiveHolders  int
	Holders      int
	RichestPeers []nutmegid.Incarnation
	Transfers    []Transfer
}

// Apply applies a batch to the shard once. It returns ErrUnchanged if an earlier
// attempt has written the batch or the shard has no record of the holder any
// more.
//
// In a store that states eras, a batch that relies on what earlier batches have
// written is refused with an error of KindNotStated if the store has lost that.
func (s *Shard) Apply(batch Batch, policy func(nutmegid.BudgetID) Policy) error {
	record := s.Holders[batch.Incarnation]
	switch {
	case s.lacksStatement(batch, record):
		return notStated(batch)
	case record == nil && batch.Joined && !batch.Restates:
		return nutmegstore.ErrUnchanged
	case record == nil:
		record = s.addHolder(batch)
	case record.LastCommit >= batch.Number:
		return nutmegstore.ErrUnchanged
	}
	s.setStated(batch, record)
	if batch.ReplaceWitnesses && record.ReleaseNumber == 0 {
		record.Witnesses = batch.Witnesses
		record.Epoch++
		s.clearClosed(batch.Incarnation)
	}
	for _, e := range batch.Entries {
		if err := s.applyEntry(batch, record, e, policy); err != nil {
			return err
		}
	}
	record.LastCommit = batch.Number
	s.removeEndedHolder(batch, record)
	return nil
}

func (s *Shard) addHolder(batch Batch) *HolderRecord {
	if s.Holders == nil {
		s.Holders = make(map[nutmegid.Incarnation]*HolderRecord)
	}
	for _, other := range s.Holders {
		if other.Instance == batch.Instance {
			other.Superseded = true
		}
	}
	r := &HolderRecord{Instance: batch.Instance}
	s.Holders[batch.Incarnation] = r
	return r
}

func (s *Shard) clearClosed(inc nutmegid.Incarnation) {
	for _, b := range s.Budgets {
		if l := b.leaseOf(inc); l != nil {
			l.Closed = nil
		}
	}
}

func (s *Shard) applyEntry(batch Batch, record *HolderRecord, e Entry, policy func(nutmegid.BudgetID) Policy) error {
	b, err := s.find(e.Budget)
	if err != nil || b == nil {
		return err
	}
	inc := batch.Incarnation
	for _, t := range e.Transfers {
		b.applyTransfer(t, inc)
	}
	l := b.ensureLease(inc)
	if batch.Restates {
		s.restate(b, l, e.Lease)
	}
	l.Acked = max(l.Acked, e.Acked)
	if record.ReleaseNumber != 0 && !l.Released {
		l.Released = true
		b.writeOff(l.Tokens)
	}
	if l.Released {
		b.settleReleased(l, e)
		return b.Check(e.Budget)
	}
	b.Spent += e.Settle
	l.Settled += e.Settle
	l.Tokens -= e.Settle + e.Return
	l.Rate = e.Rate
	if !batch.Leave && !batch.Withhold {
		grant := policy(e.Budget).Target(s.view(b, l, e)) - l.Tokens
		grant = max(0, min(grant, b.Remaining()))
		l.Tokens += grant
		l.Granted += grant
	}
	if len(record.Witnesses) == 0 || e.Unwitnessed {
		l.Acked = l.Granted - l.Reclaimed
	}
	return b.Check(e.Budget)
}

func (s *Shard) view(b *Budget, l *Lease, e Entry) View {
	live := s.live(b)
	return View{
		Rate: e.Rate, Held: l.Tokens, Need: e.Need, Granted: l.Granted,
		Remaining: b.Remaining(), Prepaid: b.Prepaid, Holders: s.holders(b), Idle: e.Idle,
		Live: live.tokens, TotalRate: live.rate, LiveHolders: live.holders,
	}
}

// liveLeases sums up the leases of the holders of a budget that may still be up.
type liveLeases struct {
	tokens  nutmegid.Tokens // of these leases, plus the remaining tokens of the budget
	rate    float64
	holders int
}

func (s *Shard) live(b *Budget) liveLeases {
	sum := liveLeases{tokens: b.Remaining()}
	for inc, l := range b.Leases {
		record := s.Holders[inc]
		if l.Released || record == nil || record.Superseded || record.LeaveNumber != 0 {
			continue
		}
		sum.tokens += l.Tokens
		sum.rate += l.Rate
		sum.holders++
	}
	return sum
}

// settleReleased deducts the actual spend and the returned tokens of a released
// holder from the write-off.
func (b *Budget) settleReleased(l *Lease, e Entry) {
	l.Tokens -= e.Settle + e.Return
	b.WrittenOff -= e.Settle
	b.writeOff(-e.Return)
}

// removeEndedHolder drops the leases of a drained holder, and the leases and
// the record of a leaving holder that has no tokens left.
func (s *Shard) removeEndedHolder(batch Batch, record *HolderRecord) {
	inc := batch.Incarnation
	if batch.Drained && record.ReleaseNumber != 0 {
		s.dropLeases(inc)
		record.ReleaseNumber = 0
	}
	if !batch.Leave || s.holdsTokens(inc) {
		return
	}
	if s.Era != 0 {
		s.setLeft(record)
		s.pruneLeaves()
		return
	}
	s.dropLeases(inc)
	delete(s.Holders, inc)
}

// holdsTokens reports whether any lease of the holder has unsettled tokens.
func (s *Shard) holdsTokens(inc nutmegid.Incarnation) bool {
	for _, b := range s.Budgets {
		if l := b.leaseOf(inc); l != nil && l.Tokens != 0 {
			return true
		}
	}
	return false
}

// dropLeases removes a holder's leases and the transfers that it has not
// reported yet. The unsettled tokens of a released holder stay written off.
func (s *Shard) dropLeases(inc nutmegid.Incarnation) {
	for _, b := range s.Budgets {
		if b == nil {
			continue
		}
		delete(b.Leases, inc)
		for id, t := range b.Transfers {
			if (t.Giver == inc && !t.ReportedByGiver) || (t.Receiver == inc && !t.ReportedByReceiver) {
				delete(b.Transfers, id)
			}
		}
	}
}

// result returns the shard's state for the holder of a batch.
func (s *Shard) result(batch Batch) Result {
	record := s.Holders[batch.Incarnation]
	if record == nil || record.LeaveNumber != 0 {
		return Result{Forgotten: true, Entries: make([]EntryResult, len(batch.Entries))}
	}
	r := Result{Released: record.ReleaseNumber != 0, Epoch: record.Epoch, Witnesses: record.Witnesses}
	for _, e := range batch.Entries {
		result := s.entryResult(batch.Incarnation, e.Budget)
		if batch.Withhold {
			result.Remaining = 0
		}
		r.Entries = append(r.Entries, result)
	}
	return r
}

func (s *Shard) entryResult(inc nutmegid.Incarnation, id nutmegid.BudgetID) EntryResult {
	b := s.Budgets[id]
	if b == nil || b.Removed {
		return EntryResult{}
	}
	result := EntryResult{Known: true, Remaining: b.Remaining(), Unspent: b.Prepaid - b.Spent, Holders: s.holders(b), RichestPeers: b.richest(inc)}
	live := s.live(b)
	result.Live, result.TotalRate, result.LiveHolders = live.tokens, live.rate, live.holders
	if l := b.Leases[inc]; l != nil {
		result.Granted, result.Reclaimed = l.Granted, l.Reclaimed
	}
	for _, t := range b.Transfers {
		if t.Giver == inc || t.Receiver == inc {
			result.Transfers = append(result.Transfers, *t)
		}
	}
	return result
}

// richest returns the other holders with the most tokens in descending order.
func (b *Budget) richest(self nutmegid.Incarnation) []nutmegid.Incarnation {
	var others []nutmegid.Incarnation
	for inc, l := range b.Leases {
		if inc != self && !l.Released && l.Tokens > 0 {
			others = append(others, inc)
		}
	}
	slices.SortFunc(others, func(x, y nutmegid.Incarnation) int {
		return cmp.Or(cmp.Compare(b.Leases[y].Tokens, b.Leases[x].Tokens), cmp.Compare(x, y))
	})
	return others[:min(len(others), maxAskedPeers)]
}
