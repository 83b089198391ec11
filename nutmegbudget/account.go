package nutmegbudget

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// account is this instance's share of one budget. What it holds, with the
// transfers that the store does not know yet, is its lease in the store.
type account struct {
	id        nutmegid.BudgetID
	committer *committer
	terms     Terms

	mu        sync.Mutex
	known     bool            // the budget exists in the store
	free      nutmegid.Tokens // may be reserved
	reserved  nutmegid.Tokens // promised to running requests
	spent     nutmegid.Tokens // used, not settled yet
	settling  nutmegid.Tokens // part of spent in the commit under way
	returning nutmegid.Tokens // being given back by the commit under way
	need      nutmegid.Tokens // lacking for waiting requests
	interval  nutmegid.Tokens // used since the last tick
	asked     nutmegid.Tokens // asked for since the last tick
	rate      float64         // tokens a second
	smoothed  float64         // of the rate, as if there had been no spend before the first tick
	unseen    float64         // weight in smoothed of the time before the first tick
	quiet     int             // ticks since the last use or need

	granted nutmegid.Tokens // since the lease began, as in the store
	taken   nutmegid.Tokens // by witnesses since the lease began
	acked   nutmegid.Tokens // of granted, free for use
	stored  nutmegid.Tokens // acked as in the store

	remaining nutmegid.Tokens // of the budget, when last seen
	unspent   nutmegid.Tokens // of the budget, when last seen; leases included
	live      liveLeases      // when last seen
	seenAt    time.Time
	grant     nutmegid.Tokens // of the latest commit with a need
	holders   int
	rich      []nutmegid.Incarnation
	transfers map[nutmegid.TransferID]*move
	dryUntil  time.Time       // no tokens are searched for before
	drySize   nutmegid.Tokens // smallest amount that was not found
	look      int             // commits that still look for a transfer whose answer was lost
}

// move is one side's memory of a transfer.
type move struct {
	Transfer
	credited bool            // of a receiver: the tokens are in free
	named    bool            // the store knows this side's naming
	asking   bool            // of a receiver: the giver's answer is awaited
	want     nutmegid.Tokens // of a receiver: asked for
}

// take moves n free tokens to reserved and leaves at least floor free.
func (a *account) take(n, floor nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.free < n+floor || a.committer.closed.Load() {
		return false
	}
	a.free -= n
	a.reserved += n
	a.asked += n
	return true
}

// give moves n reserved tokens back to free.
func (a *account) give(n nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= n
	a.free += n
	a.asked -= n
	a.assert()
}

// settle turns used of n reserved tokens into spend and frees the rest.
func (a *account) settle(n, used nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= n
	a.free += n - used
	a.spent += used
	a.interval += used
	a.assert()
}

func (a *account) addNeed(n nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.need += n
	a.quiet = 0
}

// lacking returns the tokens that free lacks to cover n.
func (a *account) lacking(n nutmegid.Tokens) nutmegid.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	return n - a.free
}

// storeCovers reports whether the store was last seen to have what n lacks.
func (a *account) storeCovers(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.remaining >= n-a.free
}

// storeEmpty reports whether the store was seen without tokens of the budget a
// moment ago.
func (a *account) storeEmpty() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known && a.remaining <= 0 && time.Since(a.seenAt) < recentLook
}

// hopeful reports whether another search for n tokens may succeed.
func (a *account) hopeful(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.known && !a.committer.closed.Load() && (a.free >= n || a.grant > 0 && a.free+a.remaining >= n)
}

// scattered reports whether peers may hold n tokens among them, though one
// search did not find them.
func (a *account) scattered(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.terms.Share && (a.free >= n || time.Now().After(a.dryUntil))
}

// dry reports whether n tokens were searched for in vain a moment ago.
func (a *account) dry(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return n >= a.drySize && time.Now().Before(a.dryUntil)
}

// noteDry remembers a search that found too little.
func (a *account) noteDry(n nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.free >= n || a.remaining >= n-a.free {
		return
	}
	if now := time.Now(); now.After(a.dryUntil) || n < a.drySize {
		a.drySize = n
		a.dryUntil = now.Add(a.committer.holder.cfg.DryTime)
	}
}

// assert panics when tokens appeared from nowhere: going on would overspend.
func (a *account) assert() {
	if a.free < 0 || a.reserved < 0 || a.spent < a.settling || a.returning < 0 || a.locked() < 0 {
		panic("nutmegbudget: negative tokens in account " + string(a.id))
	}
}

// locked tokens wait for a witness's acknowledgement.
func (a *account) locked() nutmegid.Tokens {
	return a.granted - a.taken - a.acked
}

func (a *account) held() nutmegid.Tokens {
	return a.free + a.reserved + a.spent + a.returning + a.locked()
}

// backing is the part of the holdings that the lease in the store covers
// whatever becomes of the commit under way. Only so much may be given to
// peers, so that no order of namings makes the lease negative.
func (a *account) backing() nutmegid.Tokens {
	n := a.free + a.reserved + a.spent - a.settling
	for _, m := range a.transfers {
		if m.Receiver == a.committer.holder.cfg.Incarnation && m.credited && !m.named {
			n -= m.Tokens
		}
	}
	return n
}

// snapshot prepares the account's entry of a batch. It reports false where
// nothing needs to be written.
func (a *account) snapshot(returnAll, mayReturn bool) (Entry, bool) {
	a.settling = a.spent
	if returnAll {
		a.returning = a.free
	} else if mayReturn {
		a.returning = a.excess()
	}
	a.free -= a.returning
	e := Entry{
		Budget: a.id, Settle: a.settling, GiveBack: a.returning, Need: a.need, Rate: a.pace(), Acked: a.acked,
		Plain: a.terms.Slice == 0, Idle: a.idle(),
	}
	for _, m := range a.transfers {
		if !m.named && (m.credited || m.Giver == a.committer.holder.cfg.Incarnation) {
			e.Named = append(e.Named, m.Transfer)
		}
	}
	changed := e.Settle > 0 || e.GiveBack > 0 || e.Need > 0 || len(e.Named) > 0 || a.look > 0 || a.acked != a.stored
	return e, changed || returnAll && a.held() > 0
}

// due reports whether the account is worth a commit: it lacks tokens, holds far
// more or less than it should, names transfers, or has not settled for long.
func (a *account) due(settleAfter time.Duration) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.need > 0 || a.look > 0 || !a.known {
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

// view is what the holder knows of the budget, for its policy.
func (a *account) view(held nutmegid.Tokens) View {
	return View{
		Rate: a.pace(), Held: held, Granted: a.granted, Prepaid: maxTokens, Remaining: a.remaining, Holders: a.holders, Idle: a.idle(),
		Live: a.live.tokens, TotalRate: a.live.rate, LiveHolders: a.live.holders,
	}
}

// excess is what the policy does not want to keep.
func (a *account) excess() nutmegid.Tokens {
	if a.need > 0 {
		return 0
	}
	held := a.free + a.reserved + a.locked()
	keep := a.terms.Policy.Keep(a.view(held))
	return max(0, min(a.free, held-keep))
}

// tick updates the spend rate, once per commit interval.
func (a *account) tick(interval time.Duration) {
	weight := a.committer.holder.cfg.RateWeight
	a.smoothed += weight * (float64(a.interval)/interval.Seconds() - a.smoothed)
	a.unseen *= 1 - weight
	a.rate = a.smoothed / (1 - a.unseen)
	a.quiet++
	if a.interval > 0 || a.need > 0 {
		a.quiet = 0
	}
	a.interval = 0
	a.asked = 0
}

// pace returns the tokens a second that are spent, at least what is asked for
// since the last tick: requests settle late, and a sudden rush must not wait
// for the next tick.
func (a *account) pace() float64 {
	return max(a.rate, float64(a.asked+a.need)/a.committer.holder.cfg.CommitInterval.Seconds())
}

func (a *account) idle() bool {
	return a.quiet > idleTicks && a.need == 0 && a.rate < idleRate
}

// undo takes back an entry that was not written.
func (a *account) undo() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.settling = 0
	a.free += a.returning
	a.returning = 0
}

// finish takes the written state of the budget in and returns what was granted.
func (a *account) finish(e Entry, s Share, r Result) nutmegid.Tokens {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.known = s.Known
	a.seenAt = time.Now()
	if !s.Known {
		a.look = 0
		a.settling = 0
		a.free += a.returning
		a.returning = 0
		return 0
	}
	a.spent -= e.Settle
	a.settling = 0
	a.returning = 0
	a.look = max(0, a.look-1)
	granted := s.Granted - a.granted
	if e.Need > 0 {
		a.grant = granted
	}
	a.granted, a.taken, a.stored = s.Granted, s.Taken, e.Acked
	if len(r.Witnesses) == 0 || e.Plain {
		a.unlock(a.locked())
		a.stored = a.acked
	}
	a.live = liveLeases{tokens: s.Live, rate: s.TotalRate, holders: s.LiveHolders}
	a.remaining, a.unspent, a.holders, a.rich = s.Remaining, s.Unspent, s.Holders, s.Rich
	a.finishTransfers(e, s, r.Released)
	a.assert()
	return granted
}

// wanted returns the tokens to ask a peer for, so that the account holds what
// its policy wants of the tokens last seen. Answers that are awaited count as held.
func (a *account) wanted() nutmegid.Tokens {
	live := a.live
	if !a.known {
		live.tokens = maxTokens
	}
	held := a.held()
	for _, m := range a.transfers {
		if m.asking {
			held += m.want
		}
	}
	return a.terms.Policy.Target(View{
		Rate: a.rate, Held: held, Remaining: maxTokens, Prepaid: maxTokens, Holders: 1,
		Live: live.tokens, TotalRate: live.rate, LiveHolders: live.holders,
	}) - held
}

// committed describes the account's part in a written commit.
func (a *account) committed(e Entry, granted nutmegid.Tokens) Committed {
	a.mu.Lock()
	defer a.mu.Unlock()
	return Committed{
		Budget: a.id, Settled: e.Settle, Granted: granted, Returned: e.GiveBack,
		Held: a.free + a.reserved, Remaining: a.remaining, Unspent: a.unspent, Rate: a.rate,
	}
}

// unlock frees n locked tokens.
func (a *account) unlock(n nutmegid.Tokens) {
	a.acked += n
	a.free += n
}

// finishTransfers forgets transfers that both sides have named, and credits
// those whose tokens the giver named but whose answer was lost.
func (a *account) finishTransfers(e Entry, s Share, released bool) {
	for _, t := range e.Named {
		a.transfers[t.ID].named = true
	}
	open := make(map[nutmegid.TransferID]bool, len(s.Transfers))
	for _, t := range s.Transfers {
		open[t.ID] = true
		if t.Receiver == a.committer.holder.cfg.Incarnation && !t.NamedByReceiver && !released {
			a.credit(t)
		}
	}
	for id, m := range a.transfers {
		if m.named && !m.asking && !open[id] {
			delete(a.transfers, id)
		}
	}
}

// credit takes a transfer's tokens in, once per id.
func (a *account) credit(t Transfer) {
	m, ok := a.transfers[t.ID]
	if ok && m.credited {
		return
	}
	if !ok {
		m = &move{}
		a.remember(t.ID, m)
	}
	m.Transfer = Transfer{ID: t.ID, Giver: t.Giver, Receiver: t.Receiver, Tokens: t.Tokens}
	m.credited = true
	a.free += t.Tokens
}

func (a *account) remember(id nutmegid.TransferID, m *move) {
	if a.transfers == nil {
		a.transfers = make(map[nutmegid.TransferID]*move)
	}
	a.transfers[id] = m
}

// reset forgets a lease that the store does not know any more. All of it is
// counted as spent there.
func (a *account) reset() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.free, a.spent, a.settling, a.returning = 0, 0, 0, 0
	a.granted, a.taken, a.acked, a.stored = 0, 0, 0, 0
	a.transfers = nil
}
