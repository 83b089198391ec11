package nutmegbudget

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// account is this instance's local state of one budget. The tokens it holds,
// adjusted by transfers that are not in the store yet, equal its lease in the
// store.
type account struct {
	id        nutmegid.BudgetID
	committer *committer
	terms     Terms

	mu               sync.Mutex
	known            bool            // the budget exists in the store
	free             nutmegid.Tokens // available for reservations
	reserved         nutmegid.Tokens // held by running requests
	spent            nutmegid.Tokens // used but not settled yet
	settling         nutmegid.Tokens // part of spent that the current commit settles
	returning        nutmegid.Tokens // returned to the store by the current commit
	need             nutmegid.Tokens // missing for waiting requests
	intervalSpend    nutmegid.Tokens // used since the last rate update
	intervalReserved nutmegid.Tokens // reserved since the last rate update
	rate             float64         // spend in tokens per second
	smoothedRate     float64         // moving average that starts at zero and is biased towards it
	initialWeight    float64         // weight of that initial zero in smoothedRate
	quietTicks       int             // rate updates since the last use or need

	settled     nutmegid.Tokens // by commits since the lease began, as in the store
	granted     nutmegid.Tokens // by commits since the lease began, as in the store
	reclaimed   nutmegid.Tokens // by closing the lease, since it began
	acked       nutmegid.Tokens // part of granted that may be used
	storedAcked nutmegid.Tokens // acked as recorded in the store

	remaining           nutmegid.Tokens // neither spent nor leased, as of the latest commit
	unspent             nutmegid.Tokens // not settled as spent, leases included, as of the latest commit
	live                liveLeases      // as of the latest commit
	seenAt              time.Time       // time of the latest commit
	lastGrant           nutmegid.Tokens // granted by the latest commit with a need
	holders             int
	richestPeers        []nutmegid.Incarnation
	transfers           map[nutmegid.TransferID]*transferState
	searchBackoffUntil  time.Time       // a failed search is not repeated before
	searchBackoffAmount nutmegid.Tokens // smallest amount that a search failed to find
	recoveryCommits     int             // remaining commits that check for a transfer whose answer was lost
	// given are transfers to peers that the store may have lost; the next batch that
	// restates the lease names them.
	given []Transfer
}

// transferState is one side's local record of a transfer.
type transferState struct {
	Transfer
	credited  bool            // at the receiver: the tokens were added to free
	reported  bool            // this side's report of the transfer is in the store
	pending   bool            // at the receiver: the giver has not answered yet
	requested nutmegid.Tokens // at the receiver: tokens requested
}

// reserve moves n free tokens to reserved if at least floor tokens stay free.
func (a *account) reserve(n, floor nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.free < n+floor || a.committer.released.Load() {
		return false
	}
	a.free -= n
	a.reserved += n
	a.intervalReserved += n
	return true
}

// unreserve moves n reserved tokens back to free.
func (a *account) unreserve(n nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= n
	a.free += n
	a.intervalReserved -= n
	a.checkInvariants()
}

// settle ends a reservation of n tokens: it counts used tokens as spent and
// frees the rest.
func (a *account) settle(n, used nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= n
	a.free += n - used
	a.spent += used
	a.intervalSpend += used
	a.checkInvariants()
}

func (a *account) addNeed(n nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.need += n
	a.quietTicks = 0
}

// shortfall returns how many more free tokens are needed to cover n.
func (a *account) shortfall(n nutmegid.Tokens) nutmegid.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return n - a.free
}

// storeCovers reports whether the tokens last seen in the store cover the
// shortfall for n.
func (a *account) storeCovers(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remaining >= n-a.free
}

// storeEmpty reports whether the store had no tokens of the budget left within
// the last storeEmptyTTL.
func (a *account) storeEmpty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known && a.remaining <= 0 && time.Since(a.seenAt) < storeEmptyTTL
}

// searchMaySucceed reports whether another search may find n tokens.
func (a *account) searchMaySucceed(n nutmegid.Tokens) bool {
	storeMayGrant := a.committer.holder.cfg.StoreUp()
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.known || a.committer.released.Load() {
		return false
	}
	return a.free >= n || storeMayGrant && a.lastGrant > 0 && a.free+a.remaining >= n
}

// peersMayCover reports whether peers together may hold n tokens although one
// search did not find them.
func (a *account) peersMayCover(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.terms.Share && (a.free >= n || time.Now().After(a.searchBackoffUntil))
}

// searchBackedOff reports whether a recent search failed to find n tokens or
// fewer.
func (a *account) searchBackedOff(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return n >= a.searchBackoffAmount && time.Now().Before(a.searchBackoffUntil)
}

// backOffSearch records that a search did not find n tokens, so that it is not
// repeated at once. Tokens that the store holds count unless it is down; a commit
// that came too late for a request does not show that it is.
func (a *account) backOffSearch(n nutmegid.Tokens) {
	storeUp := a.committer.holder.cfg.StoreUp()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.free >= n || storeUp && a.remaining >= n-a.free {
		return
	}
	if now := time.Now(); now.After(a.searchBackoffUntil) || n < a.searchBackoffAmount {
		a.searchBackoffAmount = n
		a.searchBackoffUntil = now.Add(a.committer.holder.cfg.SearchBackoff)
	}
}

// checkInvariants panics on negative amounts: continuing with an inconsistent
// account would overspend the budget.
func (a *account) checkInvariants() {
	if a.free < 0 || a.reserved < 0 || a.spent < a.settling || a.returning < 0 || a.unacked() < 0 {
		panic("nutmegbudget: negative tokens in account " + string(a.id))
	}
}

// unacked returns the granted tokens that no witness has acknowledged yet.
func (a *account) unacked() nutmegid.Tokens {
	return a.granted - a.reclaimed - a.acked
}

func (a *account) held() nutmegid.Tokens {
	return a.free + a.reserved + a.spent + a.returning + a.unacked()
}

// storeBacked returns the part of the held tokens that the lease in the store
// covers whether or not the current commit succeeds. Transfers to peers are
// limited to it, so that the lease cannot become negative in whatever order the
// two sides report their transfers.
func (a *account) storeBacked() nutmegid.Tokens {
	n := a.free + a.reserved + a.spent - a.settling
	for _, ts := range a.transfers {
		if ts.Receiver == a.committer.holder.cfg.Incarnation && ts.credited && !ts.reported {
			n -= ts.Tokens
		}
	}
	return n
}

// snapshot prepares the account's entry of a batch. It reports false if nothing
// needs to be written.
func (a *account) snapshot(returnAll, mayReturn bool) (Entry, bool) {
	lease := a.statement()
	a.settling = a.spent
	if returnAll {
		a.returning = a.free
	} else if mayReturn {
		a.returning = a.excess()
	}
	a.free -= a.returning
	e := Entry{
		Budget: a.id, Settle: a.settling, Return: a.returning, Need: a.need, Rate: a.demandRate(), Acked: a.acked,
		Unwitnessed: a.terms.Slice == 0, Idle: a.idle(), Lease: lease,
	}
	for _, ts := range a.transfers {
		if !ts.reported && (ts.credited || ts.Giver == a.committer.holder.cfg.Incarnation) {
			e.Transfers = append(e.Transfers, ts.Transfer)
		}
	}
	changed := e.Settle > 0 || e.Return > 0 || e.Need > 0 || len(e.Transfers) > 0 || a.recoveryCommits > 0 || a.acked != a.storedAcked
	return e, changed || returnAll && a.held() > 0
}

// statement returns the lease as this holder knows it, without transfers that the
// store does not know yet.
func (a *account) statement() LeaseStatement {
	return LeaseStatement{
		Tokens: a.held(), Settled: a.settled, Granted: a.granted, Reclaimed: a.reclaimed, Acked: a.acked, Given: a.given,
	}
}

// forgetTransfers ends the transfers of before a restore of the store. Tokens received
// are part of the lease that is stated next, and tokens given are named with it. An
// answer that is still to come finds no transfer and credits nothing.
func (a *account) forgetTransfers() {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, ts := range a.transfers {
		if ts.Giver == a.committer.holder.cfg.Incarnation {
			a.given = append(a.given, ts.Transfer)
		}
	}
	a.transfers = nil
	a.recoveryCommits = 0
}

// hasTokens reports whether the account holds tokens, or gave some away that the store
// may not know of.
func (a *account) hasTokens() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.held() != 0 || len(a.given) > 0
}

func (a *account) forgetGiven() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.given = nil
}

// agreesWith reports whether a result holds at least what this holder knows of its
// lease.
func (a *account) agreesWith(r EntryResult) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return !r.Known || r.Granted >= a.granted && r.Reclaimed >= a.reclaimed
}

// due reports whether the account needs a commit: it lacks tokens, holds far
// more or less than its policy wants, or has had spend, transfers or excess
// tokens pending for settleAfter.
func (a *account) due(settleAfter time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.need > 0 || a.recoveryCommits > 0 || !a.known {
		return true
	}
	waited := time.Since(a.seenAt)
	if waited >= settleAfter {
		return a.spent > 0 || len(a.transfers) > 0 || a.excess() > 0
	}
	held := a.free + a.reserved
	if a.excess() > held/4 {
		return true
	}
	target := a.terms.Policy.Target(a.view(0))
	return a.remaining > 0 && float64(held) < refillBelow*float64(target)
}

// view returns what the holder knows of the budget, as input to its policy.
func (a *account) view(held nutmegid.Tokens) View {
	return View{
		Rate: a.demandRate(), Held: held, Granted: a.granted, Prepaid: maxTokens, Remaining: a.remaining, Holders: a.holders, Idle: a.idle(),
		Live: a.live.tokens, TotalRate: a.live.rate, LiveHolders: a.live.holders,
	}
}

// excess returns the free tokens above what the policy keeps.
func (a *account) excess() nutmegid.Tokens {
	if a.need > 0 {
		return 0
	}
	held := a.free + a.reserved + a.unacked()
	keep := a.terms.Policy.Keep(a.view(held))
	return max(0, min(a.free, held-keep))
}

// updateRate updates the spend rate once per commit interval. Dividing by
// 1 - initialWeight corrects the average's bias towards its initial zero.
func (a *account) updateRate(interval time.Duration) {
	weight := a.committer.holder.cfg.RateWeight
	a.smoothedRate += weight * (float64(a.intervalSpend)/interval.Seconds() - a.smoothedRate)
	a.initialWeight *= 1 - weight
	a.rate = a.smoothedRate / (1 - a.initialWeight)
	a.quietTicks++
	if a.intervalSpend > 0 || a.need > 0 {
		a.quietTicks = 0
	}
	a.intervalSpend = 0
	a.intervalReserved = 0
}

// demandRate returns the spend rate, or the rate of reservations and needs since
// the last rate update if that is higher: requests settle late, and a sudden
// burst must raise the lease before the next update.
func (a *account) demandRate() float64 {
	return max(a.rate, float64(a.intervalReserved+a.need)/a.committer.holder.cfg.CommitInterval.Seconds())
}

func (a *account) idle() bool {
	return a.quietTicks > idleAfterTicks && a.need == 0 && a.rate < idleRate
}

// rollBack reverts a snapshot whose batch was not written.
func (a *account) rollBack() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settling = 0
	a.free += a.returning
	a.returning = 0
}

// applyResult updates the account from the written state of the budget and
// returns the tokens granted.
func (a *account) applyResult(e Entry, entryResult EntryResult, r Result) nutmegid.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = entryResult.Known
	a.seenAt = time.Now()
	if !entryResult.Known {
		a.recoveryCommits = 0
		a.settling = 0
		a.free += a.returning
		a.returning = 0
		return 0
	}
	a.spent -= e.Settle
	a.settled += e.Settle
	a.settling = 0
	a.returning = 0
	a.recoveryCommits = max(0, a.recoveryCommits-1)
	granted := entryResult.Granted - a.granted
	if e.Need > 0 {
		a.lastGrant = granted
	}
	a.granted, a.reclaimed, a.storedAcked = entryResult.Granted, entryResult.Reclaimed, e.Acked
	if len(r.Witnesses) == 0 || e.Unwitnessed {
		a.addAcked(a.unacked())
		a.storedAcked = a.acked
	}
	a.live = liveLeases{tokens: entryResult.Live, rate: entryResult.TotalRate, holders: entryResult.LiveHolders}
	a.remaining, a.unspent, a.holders, a.richestPeers = entryResult.Remaining, entryResult.Unspent, entryResult.Holders, entryResult.RichestPeers
	a.applyTransfers(e, entryResult, r.Released)
	a.checkInvariants()
	return granted
}

// peerRequestAmount returns the tokens to request from a peer, so that the
// account reaches its policy's target for the tokens last seen. Tokens of
// pending requests count as held, so that concurrent requests do not each ask
// for the whole target.
func (a *account) peerRequestAmount() nutmegid.Tokens {
	live := a.live
	if !a.known {
		live.tokens = maxTokens
	}
	held := a.held()
	for _, ts := range a.transfers {
		if ts.pending {
			held += ts.requested
		}
	}
	return a.terms.Policy.Target(View{
		Rate: a.rate, Held: held, Remaining: maxTokens, Prepaid: maxTokens, Holders: 1,
		Live: live.tokens, TotalRate: live.rate, LiveHolders: live.holders,
	}) - held
}

// budgetCommit describes the account's part in a written commit, for OnCommit.
func (a *account) budgetCommit(e Entry, granted nutmegid.Tokens) BudgetCommit {
	a.mu.Lock()
	defer a.mu.Unlock()
	return BudgetCommit{
		Budget: a.id, Settled: e.Settle, Granted: granted, Returned: e.Return,
		Held: a.free + a.reserved, Remaining: a.remaining, Unspent: a.unspent, Rate: a.rate,
	}
}

// addAcked makes n unacknowledged tokens available for use.
func (a *account) addAcked(n nutmegid.Tokens) {
	a.acked += n
	a.free += n
}

// applyTransfers removes transfers that both sides have reported, and credits
// transfers that the giver has reported but whose answer was lost.
func (a *account) applyTransfers(e Entry, entryResult EntryResult, released bool) {
	for _, t := range e.Transfers {
		a.transfers[t.ID].reported = true
	}
	open := make(map[nutmegid.TransferID]bool, len(entryResult.Transfers))
	for _, t := range entryResult.Transfers {
		open[t.ID] = true
		if t.Receiver == a.committer.holder.cfg.Incarnation && !t.ReportedByReceiver && !released {
			a.credit(t)
		}
	}
	for id, ts := range a.transfers {
		if ts.reported && !ts.pending && !open[id] {
			delete(a.transfers, id)
		}
	}
}

// credit adds a received transfer's tokens to free, once per transfer id.
func (a *account) credit(t Transfer) {
	ts, ok := a.transfers[t.ID]
	if ok && ts.credited {
		return
	}
	if !ok {
		ts = &transferState{}
		a.addTransfer(t.ID, ts)
	}
	ts.Transfer = Transfer{ID: t.ID, Giver: t.Giver, Receiver: t.Receiver, Tokens: t.Tokens}
	ts.credited = true
	a.free += t.Tokens
}

func (a *account) addTransfer(id nutmegid.TransferID, ts *transferState) {
	if a.transfers == nil {
		a.transfers = make(map[nutmegid.TransferID]*transferState)
	}
	a.transfers[id] = ts
}

// reset clears a lease that the store no longer has. The store counts all of it
// as spent.
func (a *account) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.free, a.spent, a.settling, a.returning = 0, 0, 0, 0
	a.settled, a.given = 0, nil
	a.granted, a.reclaimed, a.acked, a.storedAcked = 0, 0, 0, 0
	a.transfers = nil
}
