// Package nutmegbudget keeps spend within prepaid budgets without a remote call
// on the usual request path.
//
// Each instance obtains leases in advance: a compare-and-swap in the store
// assigns tokens of a budget to one incarnation of one instance. A request
// reserves an upper bound from the local leases of both its workspace and its
// owner, or from neither, and settles what it used. Spend is written to the
// store once per commit interval. Leases do not expire: the tokens of a dead
// holder are not freed by a timeout.
//
// # Usage
//
//	holder := nutmegbudget.NewHolder(nutmegbudget.HolderConfig{
//		Writer: writer, Incarnation: inc, Instance: "kaca-1", Shards: 1,
//		Policy: nutmegbudget.RateProportional{Horizon: time.Minute, MinLease: 2000},
//	})
//	holder.Start()
//	r, err := holder.Acquire(ctx, workspaceBudget, ownerBudget, 900)
//	// ... forward the request ...
//	r.Settle(used)
//	holder.Stop(ctx) // returns all leases
//
// Amounts are tokens. Errors are of type *Error; KindExhausted and
// KindUnreachable both mean that nothing was reserved.
package nutmegbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// ShardKind is the object kind of budget shards.
const ShardKind = "budget"

// HolderConfig configures a holder.
type HolderConfig struct {
	Writer         *nutmegstore.Writer
	Incarnation    nutmegid.Incarnation
	Instance       nutmegid.Instance
	Shards         int
	Policy         Policy                           // for all budgets if Terms is nil; RateProportional when nil
	Terms          func(id nutmegid.BudgetID) Terms // the terms of a budget; only Policy when nil
	Peers          Peers                            // other holders; without them nothing is shared or witnessed
	Witnesses      int                              // number of witnesses for a shard's leases
	CommitInterval time.Duration                    // DefaultCommitInterval when zero
	CommitTimeout  time.Duration                    // DefaultCommitTimeout when zero
	// SettleAfter is how long spend may stay unsettled while the leases are close
	// to the size that the policies want. When zero, each tick commits.
	SettleAfter    time.Duration
	MaxBackoff     time.Duration // between failed commits; DefaultMaxBackoff when zero
	AcquireTimeout time.Duration // DefaultAcquireTimeout when zero
	AttemptTimeout time.Duration // DefaultAttemptTimeout when zero
	SearchBackoff  time.Duration // after a failed search for tokens; DefaultSearchBackoff when zero
	RateWeight     float64       // of the latest interval in the spend rate; DefaultRateWeight when zero
	// StoreUp reports whether the store answers. While it does not, requests ask
	// only peers for tokens. A nil StoreUp means that it always does.
	StoreUp func() bool
	// StoreEra, if not nil, returns the era that the store has stated last. A holder
	// states its leases again in each new one.
	StoreEra func() nutmegstore.EraState
	// Prepare, if not nil, updates a shard before each commit, for example with
	// prepaid amounts from the configuration. It may run several times per commit.
	Prepare func(s *Shard, shard int)
	// OnCommit, if not nil, is called for each budget that a written commit
	// settled, granted or returned tokens of.
	OnCommit func(c BudgetCommit)
	// OnRestate, if not nil, is called when the leases of a shard have been stated again.
	OnRestate func(shard int, era nutmegid.Era)
	// OnTransfer, if not nil, is called when a peer's answer brings tokens.
	OnTransfer func(id nutmegid.BudgetID, t Transfer)
}

// BudgetCommit describes one budget's part in a written commit.
type BudgetCommit struct {
	Budget   nutmegid.BudgetID
	Settled  nutmegid.Tokens
	Granted  nutmegid.Tokens
	Returned nutmegid.Tokens
	Held     nutmegid.Tokens // after the commit, including running requests
	// Remaining is neither spent nor leased; Unspent also includes all leases.
	Remaining nutmegid.Tokens
	Unspent   nutmegid.Tokens
	Rate      float64 // tokens per second that this holder spends
}

// Holder holds the leases of one incarnation.
type Holder struct {
	cfg        HolderConfig
	committers []*committer

	storeTimedOut atomic.Bool // the store did not answer a waiting request in time, and no commit has succeeded since

	mu       sync.RWMutex
	started  bool
	accounts map[nutmegid.BudgetID]*account
	byShard  [][]*account
}

// NewHolder returns a holder without leases.
func NewHolder(cfg HolderConfig) *Holder {
	cfg = withDefaults(cfg)
	h := &Holder{cfg: cfg, accounts: make(map[nutmegid.BudgetID]*account), byShard: make([][]*account, cfg.Shards)}
	for shard := range cfg.Shards {
		h.committers = append(h.committers, newCommitter(h, shard))
	}
	return h
}

func withDefaults(cfg HolderConfig) HolderConfig {
	if cfg.Shards == 0 {
		cfg.Shards = 1
	}
	if cfg.CommitInterval == 0 {
		cfg.CommitInterval = DefaultCommitInterval
	}
	if cfg.CommitTimeout == 0 {
		cfg.CommitTimeout = DefaultCommitTimeout
	}
	if cfg.MaxBackoff == 0 {
		cfg.MaxBackoff = DefaultMaxBackoff
	}
	if cfg.AcquireTimeout == 0 {
		cfg.AcquireTimeout = DefaultAcquireTimeout
	}
	if cfg.AttemptTimeout == 0 {
		cfg.AttemptTimeout = DefaultAttemptTimeout
	}
	if cfg.SearchBackoff == 0 {
		cfg.SearchBackoff = DefaultSearchBackoff
	}
	if cfg.RateWeight == 0 {
		cfg.RateWeight = DefaultRateWeight
	}
	if cfg.StoreUp == nil {
		cfg.StoreUp = func() bool { return true }
	}
	if cfg.StoreEra == nil {
		cfg.StoreEra = func() nutmegstore.EraState { return nutmegstore.EraState{} }
	}
	if cfg.OnRestate == nil {
		cfg.OnRestate = func(int, nutmegid.Era) {}
	}
	if cfg.Prepare == nil {
		cfg.Prepare = func(*Shard, int) {}
	}
	if cfg.Policy == nil {
		cfg.Policy = RateProportional{Horizon: DefaultHorizon, MinLease: DefaultMinLease}
	}
	if cfg.Terms == nil {
		policy := cfg.Policy
		cfg.Terms = func(nutmegid.BudgetID) Terms { return Terms{Policy: policy} }
	}
	return cfg
}

// Start starts the periodic commits. A shard is committed from its first use on.
func (h *Holder) Start() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.started = true
	for _, c := range h.committers {
		if len(h.byShard[c.shard]) > 0 {
			c.start()
		}
	}
}

// Stop settles all spend and returns all free tokens to the store. All
// reservations must be settled before.
func (h *Holder) Stop(ctx context.Context) error {
	var failed error
	for _, c := range h.committers {
		failed = errors.Join(failed, c.stop(ctx))
	}
	return failed
}

// Abandon stops the periodic commits without settling spend or returning tokens.
func (h *Holder) Abandon() {
	for _, c := range h.committers {
		c.abandon()
	}
}

// Tick runs one commit interval of all shards, for programs that control the
// timing themselves instead of calling Start.
func (h *Holder) Tick(ctx context.Context) {
	for _, c := range h.committers {
		c.tick(ctx)
	}
}

// Reservation is an upper bound of tokens reserved in the workspace's budget
// and, if there is one, the owner's.
type Reservation struct {
	workspace *account
	owner     *account
	tokens    nutmegid.Tokens
}

// Tokens returns the reserved upper bound.
func (r Reservation) Tokens() nutmegid.Tokens {
	return r.tokens
}

// Settle records the used tokens as spent and frees the rest. Use above the
// reservation counts as the whole reservation. Settle must be called exactly
// once.
func (r Reservation) Settle(used nutmegid.Tokens) {
	used = max(0, min(used, r.tokens))
	r.workspace.settle(r.tokens, used)
	if r.owner != nil {
		r.owner.settle(r.tokens, used)
	}
}

// Reserve reserves n tokens from the local leases of the workspace and the
// owner, or none. With an empty owner only the workspace's lease is used.
func (h *Holder) Reserve(workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) (Reservation, bool) {
	return h.ReserveAbove(workspace, owner, n, 0)
}

// ReserveAbove is like Reserve but leaves at least floor tokens of the
// workspace's lease free for requests of higher priority.
func (h *Holder) ReserveAbove(workspace, owner nutmegid.BudgetID, n, floor nutmegid.Tokens) (Reservation, bool) {
	if n < 0 {
		return Reservation{}, false
	}
	w, o := h.account(workspace), h.ownerAccount(owner)
	if !w.reserve(n, floor) {
		return Reservation{}, false
	}
	if o != nil && !o.reserve(n, 0) {
		w.unreserve(n)
		return Reservation{}, false
	}
	return Reservation{workspace: w, owner: o, tokens: n}, true
}

// Acquire reserves n tokens like Reserve. If the local leases have too few, it
// asks witnesses, peers and the store for more. The errors are of kind
// KindBadAmount, KindExhausted, KindUnreachable, KindUnknownBudget or
// KindReleased; all mean that nothing is reserved.
func (h *Holder) Acquire(ctx context.Context, workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) (Reservation, error) {
	return h.AcquireAbove(ctx, workspace, owner, n, 0)
}

// AcquireAbove is like Acquire but leaves at least floor tokens of the
// workspace's lease free for requests of higher priority.
func (h *Holder) AcquireAbove(ctx context.Context, workspace, owner nutmegid.BudgetID, n, floor nutmegid.Tokens) (Reservation, error) {
	if r, ok := h.ReserveAbove(workspace, owner, n, floor); ok {
		return r, nil
	}
	if n < 0 || n > maxTokens {
		return Reservation{}, &Error{
			Kind: KindBadAmount, Budget: workspace, Detail: fmt.Sprintf("reservation of %d tokens", n),
			Remedy: fmt.Sprintf("reserve 0 to %d tokens", int64(maxTokens)),
		}
	}
	w, o := h.account(workspace), h.ownerAccount(owner)
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AcquireTimeout)
	defer cancel()
	withStore := !h.StoreUnreachable()
	var unreachable error // of the latest round
	for round := range acquireRounds {
		unreachable = errors.Join(h.refill(ctx, w, n, floor, withStore), h.refill(ctx, o, n, 0, withStore))
		if r, ok := h.ReserveAbove(workspace, owner, n, floor); ok {
			return r, nil
		}
		if unreachable != nil && (ctx.Err() != nil || !h.cfg.StoreUp()) {
			return Reservation{}, unreachable
		}
		// Another request may have reserved the granted tokens first, or two
		// concurrent searches may each have found a part of what they need.
		switch {
		case ctx.Err() != nil:
			return Reservation{}, h.shortageError(workspace, owner, n+floor)
		case (unreachable != nil || !withStore) && h.cfg.StoreUp():
			// A commit came too late for a request. It may end in time for this one.
			withStore = true
			h.pause(ctx)
		case w.searchMaySucceed(n+floor) && (o == nil || o.searchMaySucceed(n)):
		case round < peerSearchRounds && w.peersMayCover(n+floor) && (o == nil || o.peersMayCover(n)):
			withStore = false
			h.pause(ctx)
		default:
			return Reservation{}, h.shortageError(workspace, owner, n+floor)
		}
	}
	if unreachable != nil {
		return Reservation{}, unreachable
	}
	return Reservation{}, h.shortageError(workspace, owner, n+floor)
}

// pause waits for a random time, so that concurrent searches do not collide
// again.
func (h *Holder) pause(ctx context.Context) {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(maxSearchPause))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refill searches for tokens until the account can cover need and leave floor
// tokens free. The free tokens do not reduce the need, because other waiting
// requests may reserve them. The floor does not add to the need: all waiting
// requests share one floor.
func (h *Holder) refill(ctx context.Context, a *account, need, floor nutmegid.Tokens, withStore bool) error {
	n := need + floor
	if a == nil || a.shortfall(n) <= 0 || a.committer.released.Load() || a.searchBackedOff(n) {
		return nil
	}
	// The need also prevents commits from returning the tokens that are found.
	a.addNeed(need)
	defer a.addNeed(-need)
	a.committer.requestAcksFor(ctx, a, n)
	if !withStore || !a.storeCovers(n) {
		h.requestFromPeers(ctx, a, need, floor, !withStore)
	}
	if a.shortfall(n) <= 0 || !withStore || a.storeEmpty() {
		return nil
	}
	err := h.requestFromStore(ctx, a)
	if err == nil && a.shortfall(n) <= 0 {
		return nil
	}
	a.committer.requestAcksFor(ctx, a, n)
	h.requestFromPeers(ctx, a, need, floor, err != nil)
	if a.shortfall(n) <= 0 {
		return nil
	}
	return err
}

// requestFromStore commits the account's shard, so that the store grants the
// need.
func (h *Holder) requestFromStore(ctx context.Context, a *account) error {
	bounded, cancel := context.WithTimeout(ctx, h.cfg.AttemptTimeout)
	defer cancel()
	if err := a.committer.commitNow(bounded); err != nil {
		h.storeTimedOut.Store(true)
		return &Error{
			Kind: KindUnreachable, Budget: a.id, Detail: "the store did not grant tokens: " + err.Error(),
			Remedy: "try again once the platform answers",
		}
	}
	return nil
}

func (h *Holder) shortageError(workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) error {
	for _, id := range []nutmegid.BudgetID{workspace, owner} {
		if id == "" {
			continue
		}
		a := h.account(id)
		if a.committer.released.Load() {
			return &Error{Kind: KindReleased, Budget: id, Detail: "an operator has released this instance", Remedy: "send the request to another instance"}
		}
		a.mu.Lock()
		known, free, remaining := a.known, a.free, a.remaining
		a.mu.Unlock()
		a.backOffSearch(n)
		if !known && free < n {
			return unknownBudget(id)
		}
		if free < n && remaining >= n-free && h.StoreUnreachable() {
			return &Error{Kind: KindUnreachable, Budget: id, Detail: "the store does not grant the tokens that it has", Remedy: "try again once the platform answers"}
		}
		if free < n {
			return &Error{Kind: KindExhausted, Budget: id, Detail: "too few tokens are left", Remedy: "top the budget up or lower max_tokens"}
		}
	}
	return &Error{Kind: KindExhausted, Budget: workspace, Detail: "other requests took the tokens", Remedy: "try again"}
}

// existingAccount returns the account of a budget, or nil if this holder has not
// used the budget.
func (h *Holder) existingAccount(id nutmegid.BudgetID) *account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.accounts[id]
}

func (h *Holder) account(id nutmegid.BudgetID) *account {
	if a := h.existingAccount(id); a != nil {
		return a
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.accounts[id]; ok {
		return a
	}
	shard := ShardOf(id, h.cfg.Shards)
	a := &account{id: id, committer: h.committers[shard], terms: h.cfg.Terms(id), initialWeight: 1}
	h.accounts[id] = a
	h.byShard[shard] = append(h.byShard[shard], a)
	if h.started {
		h.committers[shard].start()
	}
	return a
}

// ownerAccount returns the account of an owner's budget, or nil for an empty id.
func (h *Holder) ownerAccount(id nutmegid.BudgetID) *account {
	if id == "" {
		return nil
	}
	return h.account(id)
}

func (h *Holder) policyOf(id nutmegid.BudgetID) Policy {
	return h.cfg.Terms(id).Policy
}

// accountsOf returns the accounts of a shard. Accounts are never removed, so the
// slice may be read without the lock.
func (h *Holder) accountsOf(shard int) []*account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byShard[shard]
}

// StoreCannotGrant reports whether the store cannot grant tokens of a budget
// now: it is unreachable or was empty a moment ago.
func (h *Holder) StoreCannotGrant(id nutmegid.BudgetID) bool {
	return h.StoreUnreachable() || h.account(id).storeEmpty()
}

// StoreUnreachable reports whether the store does not answer, or did not answer
// in time when a request last waited for it.
func (h *Holder) StoreUnreachable() bool {
	return !h.cfg.StoreUp() || h.storeTimedOut.Load()
}

// BudgetState is the state of a budget as of this holder's latest commit.
type BudgetState struct {
	Remaining nutmegid.Tokens // neither spent nor leased
	Live      nutmegid.Tokens // Remaining plus the leases of holders that may be up
	Unspent   nutmegid.Tokens // not settled as spent: Remaining plus all leases
	Age       time.Duration   // since the commit; zero before the first
}

// BudgetState returns the state of a budget as of this holder's latest commit.
func (h *Holder) BudgetState(id nutmegid.BudgetID) BudgetState {
	a := h.account(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	state := BudgetState{Remaining: a.remaining, Live: a.live.tokens, Unspent: a.unspent}
	if !a.seenAt.IsZero() {
		state.Age = time.Since(a.seenAt)
	}
	return state
}

// Balance is the local state of one budget.
type Balance struct {
	Budget   nutmegid.BudgetID `json:"budget"`
	Free     nutmegid.Tokens   `json:"free"`
	Unacked  nutmegid.Tokens   `json:"locked,omitempty"` // not acknowledged by a witness yet
	Reserved nutmegid.Tokens   `json:"reserved"`
	Spent    nutmegid.Tokens   `json:"spent_unsettled"`
}

// Balances returns the local state of all budgets that this holder has used.
func (h *Holder) Balances() []Balance {
	h.mu.RLock()
	defer h.mu.RUnlock()
	balances := make([]Balance, 0, len(h.accounts))
	for _, a := range h.accounts {
		a.mu.Lock()
		balances = append(balances, Balance{Budget: a.id, Free: a.free, Unacked: a.unacked(), Reserved: a.reserved, Spent: a.spent})
		a.mu.Unlock()
	}
	return balances
}
