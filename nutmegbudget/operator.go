package nutmegbudget

import (
	"fmt"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// TopUp adds tokens to a budget and creates the budget if it does not exist.
// Repeating it with the same id and amount has no effect.
func (s *Shard) TopUp(id nutmegid.BudgetID, topUp nutmegid.TopUpID, amount nutmegid.Tokens) error {
	if amount <= 0 || amount > maxTokens {
		return &Error{
			Kind: KindBadAmount, Budget: id, Detail: fmt.Sprintf("top-up of %d tokens", amount),
			Remedy: fmt.Sprintf("give an amount from 1 to %d", int64(maxTokens)),
		}
	}
	b, err := s.findOrCreate(id)
	if err != nil {
		return err
	}
	if applied, ok := b.TopUps[topUp]; ok {
		return repeatedTopUp(id, topUp, applied, amount)
	}
	if b.Prepaid+amount > maxTokens {
		return &Error{
			Kind: KindBadAmount, Budget: id, Detail: fmt.Sprintf("top-up of %d tokens overflows", amount),
			Remedy: fmt.Sprintf("keep the budget under %d", int64(maxTokens)),
		}
	}
	b.TopUps[topUp] = amount
	b.Prepaid += amount
	b.Removed = false
	return b.Check(id)
}

// repeatedTopUp returns nil for a repeat of the same amount and an error for a
// different one.
func repeatedTopUp(id nutmegid.BudgetID, topUp nutmegid.TopUpID, applied, amount nutmegid.Tokens) error {
	if applied == amount {
		return nil
	}
	return &Error{
		Kind: KindTopUpReused, Budget: id, Detail: fmt.Sprintf("top-up %q was applied with %d tokens", topUp, applied),
		Remedy: "use a new top-up id for another amount",
	}
}

// findOrCreate returns a budget, which may be removed, and creates it if absent.
func (s *Shard) findOrCreate(id nutmegid.BudgetID) (*Budget, error) {
	if s.Budgets == nil {
		s.Budgets = make(map[nutmegid.BudgetID]*Budget)
	}
	b, ok := s.Budgets[id]
	if !ok {
		b = &Budget{}
		s.Budgets[id] = b
	}
	if b == nil {
		return nil, invariantError(id, "the stored budget is empty")
	}
	b.initMaps()
	return b, b.Check(id)
}

func (s *Shard) findExisting(id nutmegid.BudgetID) (*Budget, error) {
	b, err := s.find(id)
	if err == nil && b == nil {
		err = unknownBudget(id)
	}
	return b, err
}

func unknownBudget(id nutmegid.BudgetID) error {
	return &Error{Kind: KindUnknownBudget, Budget: id, Detail: "the budget does not exist", Remedy: "add it with an add_budget intent"}
}

// Lower lowers the prepaid amount of a budget to the given tokens, but not
// below its spent and leased tokens.
func (s *Shard) Lower(id nutmegid.BudgetID, tokens nutmegid.Tokens) error {
	b, err := s.findExisting(id)
	if err != nil {
		return err
	}
	if tokens < 0 || tokens > b.Prepaid {
		return &Error{
			Kind: KindBadAmount, Budget: id, Detail: fmt.Sprintf("%d tokens is not between 0 and the prepaid %d", tokens, b.Prepaid),
			Remedy: "use a top_up intent to raise a budget",
		}
	}
	used := b.Spent + b.Leased()
	if tokens < used {
		return &Error{
			Kind: KindBelowUse, Budget: id,
			Detail: fmt.Sprintf("%d tokens is below spent %d and leased %d", tokens, b.Spent, b.Leased()),
			Remedy: fmt.Sprintf("lower it to %d at least, or wait until leases return", used),
		}
	}
	b.Prepaid = tokens
	return b.Check(id)
}

// Remove removes a budget and discards its remaining tokens. Its top-up ids
// stay, so that a repeated top-up does not restore it.
func (s *Shard) Remove(id nutmegid.BudgetID) error {
	b, err := s.findExisting(id)
	if err != nil {
		return err
	}
	if leased := b.Leased(); leased > 0 || len(b.Transfers) > 0 {
		return &Error{
			Kind: KindBelowUse, Budget: id, Detail: fmt.Sprintf("%d tokens are leased and %d transfers are open", leased, len(b.Transfers)),
			Remedy: "stop its callers and wait until leases return, or release dead instances",
		}
	}
	b.Prepaid = b.Spent
	b.Removed = true
	return b.Check(id)
}

// ReleasedLease is the effect of a holder's release on one budget.
type ReleasedLease struct {
	Budget nutmegid.BudgetID `json:"budget"`
	// WrittenOff tokens count as spent: the holder may have used them.
	WrittenOff nutmegid.Tokens `json:"written_off"`
}

// Release releases the leases of an incarnation that an operator declares dead.
// Its unsettled tokens count as spent, because it may have used them before it
// died; only tokens that the witnesses prove unused are reclaimed, by
// CloseLease. A holder that resumes after all settles and returns tokens
// against the write-off. A repeat has no further effect and returns the same
// amounts.
func (s *Shard) Release(inc nutmegid.Incarnation) ([]ReleasedLease, error) {
	record, err := s.releasable(inc)
	if err != nil {
		return nil, err
	}
	if record.ReleaseNumber == 0 {
		s.Releases++
		record.ReleaseNumber = s.Releases
	}
	var released []ReleasedLease
	for id, b := range s.Budgets {
		l := b.leaseOf(inc)
		if l == nil {
			continue
		}
		if !l.Released {
			l.Released = true
			b.writeOff(l.Tokens)
		}
		released = append(released, ReleasedLease{Budget: id, WrittenOff: l.Tokens})
		if err := b.Check(id); err != nil {
			return nil, err
		}
	}
	s.prune()
	return released, nil
}

// releasable returns the record of a holder. It creates the record for a holder
// that has only received transfers.
func (s *Shard) releasable(inc nutmegid.Incarnation) (*HolderRecord, error) {
	if record := s.Holders[inc]; record != nil {
		return record, nil
	}
	for _, b := range s.Budgets {
		if b.leaseOf(inc) != nil {
			return s.addHolder(Batch{Incarnation: inc}), nil
		}
	}
	return nil, &Error{
		Kind: KindUnknownHolder, Detail: fmt.Sprintf("incarnation %q has no lease", inc),
		Remedy: "name an incarnation that status shows with stranded tokens",
	}
}

// prune removes the oldest released holders above maxReleasedHolders. Their
// write-offs become final.
func (s *Shard) prune() {
	released := 0
	for _, r := range s.Holders {
		if r.ReleaseNumber != 0 {
			released++
		}
	}
	for ; released > maxReleasedHolders; released-- {
		s.forget(s.oldestReleased())
	}
}

func (s *Shard) oldestReleased() nutmegid.Incarnation {
	var oldest nutmegid.Incarnation
	for inc, r := range s.Holders {
		if r.ReleaseNumber != 0 && (oldest == "" || r.ReleaseNumber < s.Holders[oldest].ReleaseNumber) {
			oldest = inc
		}
	}
	return oldest
}

func (s *Shard) forget(inc nutmegid.Incarnation) {
	s.dropLeases(inc)
	delete(s.Holders, inc)
}

// CloseLease records that a witness has closed a holder's leases. Once all of
// the holder's witnesses have, it reclaims the tokens that none of them has
// acknowledged. It reports false if the witness is not one of the holder's
// witnesses for that epoch.
func (s *Shard) CloseLease(holder, witness nutmegid.Incarnation, epoch uint64, acked map[nutmegid.BudgetID]nutmegid.Tokens) (bool, error) {
	record := s.Holders[holder]
	if record == nil || record.Epoch != epoch || !slices.Contains(record.Witnesses, witness) {
		return false, nil
	}
	complete := true
	for id, b := range s.Budgets {
		l := b.leaseOf(holder)
		if l == nil {
			continue
		}
		if l.Closed == nil {
			l.Closed = make(map[nutmegid.Incarnation]nutmegid.Tokens)
		}
		l.Closed[witness] = acked[id]
		if len(l.Closed) < len(record.Witnesses) {
			complete = false
			continue
		}
		b.reclaimUnacked(holder, l)
		if err := b.Check(id); err != nil {
			return false, err
		}
	}
	if complete {
		record.Witnesses = nil
		record.Epoch++
	}
	return true, nil
}

// reclaimUnacked takes back the tokens of a closed lease that were never
// available for use.
func (b *Budget) reclaimUnacked(holder nutmegid.Incarnation, l *Lease) {
	usable := l.Acked
	for _, acked := range l.Closed {
		usable = max(usable, acked)
	}
	unacked := max(0, l.Granted-l.Reclaimed-usable)
	b.adjustLease(holder, -unacked)
	l.Reclaimed += unacked
	l.Acked = l.Granted - l.Reclaimed
	l.Closed = nil
}
