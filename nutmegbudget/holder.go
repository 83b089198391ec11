// Package nutmegbudget keeps spend inside prepaid budgets without asking
// anyone on a request's path.
//
// Each instance buys leases in advance: a compare and set moves tokens of a
// budget to one incarnation of one instance. Requests reserve an upper bound
// from the local leases of their workspace and their owner, both or neither,
// and settle what they used. Spend is written back once per commit interval.
// No clock frees the tokens of a dead holder.
//
// # Usage
//
//	holder := nutmegbudget.NewHolder(nutmegbudget.HolderConfig{
//		Writer: writer, Incarnation: inc, Instance: "kaca-1", Shards: 1,
//		Policy: nutmegbudget.RateProportional{Horizon: time.Minute, MinLease: 2000},
//	})
//	holder.Start()
//	r, err := holder.Acquire(ctx, workspaceBudget, ownerBudget, 900)
//	// ... send the request ...
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
	Policy         Policy                           // of budgets without terms; RateProportional when nil
	Terms          func(id nutmegid.BudgetID) Terms // the owner's terms for a budget; Policy alone when nil
	Peers          Peers                            // none when nil: nothing is shared or witnessed
	Witnesses      int                              // witnesses that a shard's leases should have
	CommitInterval time.Duration                    // DefaultCommitInterval when zero
	CommitTimeout  time.Duration                    // DefaultCommitTimeout when zero
	// SettleAfter is how long spend may stay unsettled while the leases are
	// about as large as the policies want them; at once when zero.
	SettleAfter    time.Duration
	MaxBackoff     time.Duration // between failed commits; DefaultMaxBackoff when zero
	AcquireTimeout time.Duration // DefaultAcquireTimeout when zero
	AskTimeout     time.Duration // DefaultAskTimeout when zero
	DryTime        time.Duration // after a fruitless search for tokens; DefaultDryTime when zero
	RateWeight     float64       // of the newest interval in the spend rate; DefaultRateWeight when zero
	// StoreUp says whether the store answers; while it does not, only peers are
	// asked for tokens. Always when nil.
	StoreUp func() bool
	// Prepare brings a shard up to date before each commit, for amounts that
	// are configured elsewhere; nil for none. It may run several times.
	Prepare func(s *Shard, shard int)
	// OnCommit is told of each budget's part in a written commit.
	OnCommit func(c Committed)
	// OnTransfer is told of tokens received from a peer.
	OnTransfer func(id nutmegid.BudgetID, t Transfer)
}

// Committed is one budget's part in a written commit.
type Committed struct {
	Budget   nutmegid.BudgetID
	Settled  nutmegid.Tokens
	Granted  nutmegid.Tokens
	Returned nutmegid.Tokens
	Held     nutmegid.Tokens // after the commit, running requests included
	// Remaining is what no holder has, Unspent what was not settled by any.
	Remaining nutmegid.Tokens
	Unspent   nutmegid.Tokens
	Rate      float64 // tokens a second that this holder spends
}

// Holder holds one incarnation's leases.
type Holder struct {
	cfg        HolderConfig
	committers []*committer

	doubtful atomic.Bool // the store did not answer a request in time, and has not since

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
	if cfg.AskTimeout == 0 {
		cfg.AskTimeout = DefaultAskTimeout
	}
	if cfg.DryTime == 0 {
		cfg.DryTime = DefaultDryTime
	}
	if cfg.RateWeight == 0 {
		cfg.RateWeight = DefaultRateWeight
	}
	if cfg.StoreUp == nil {
		cfg.StoreUp = func() bool { return true }
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

// Start begins the commits. A shard is committed from its first use on.
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

// Stop settles all spend and returns all free tokens to the store. Running
// reservations must have ended before.
func (h *Holder) Stop(ctx context.Context) error {
	var failed error
	for _, c := range h.committers {
		failed = errors.Join(failed, c.stop(ctx))
	}
	return failed
}

// Abandon ends the commits without settling or returning anything.
func (h *Holder) Abandon() {
	for _, c := range h.committers {
		c.abandon()
	}
}

// Tick commits all shards once, for programs that drive the time themselves
// in place of Start.
func (h *Holder) Tick(ctx context.Context) {
	for _, c := range h.committers {
		c.tick(ctx)
	}
}

// Reservation is an upper bound of tokens taken from both levels.
type Reservation struct {
	workspace *account
	owner     *account
	tokens    nutmegid.Tokens
}

// Tokens returns the reserved upper bound.
func (r Reservation) Tokens() nutmegid.Tokens {
	return r.tokens
}

// Settle records the tokens that were used and frees the rest. More than the
// reservation counts as the whole reservation. It is called once.
func (r Reservation) Settle(used nutmegid.Tokens) {
	used = max(0, min(used, r.tokens))
	r.workspace.settle(r.tokens, used)
	if r.owner != nil {
		r.owner.settle(r.tokens, used)
	}
}

// Reserve takes n tokens from the local leases on both levels, or none. An
// empty owner leaves that level out.
func (h *Holder) Reserve(workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) (Reservation, bool) {
	return h.ReserveAbove(workspace, owner, n, 0)
}

// ReserveAbove is Reserve that leaves at least floor tokens of the workspace's
// lease free, for requests that go first.
func (h *Holder) ReserveAbove(workspace, owner nutmegid.BudgetID, n, floor nutmegid.Tokens) (Reservation, bool) {
	if n < 0 {
		return Reservation{}, false
	}
	w, o := h.account(workspace), h.ownerAccount(owner)
	if !w.take(n, floor) {
		return Reservation{}, false
	}
	if o != nil && !o.take(n, 0) {
		w.give(n)
		return Reservation{}, false
	}
	return Reservation{workspace: w, owner: o, tokens: n}, true
}

// Acquire reserves n tokens on both levels. Where the local leases lack them
// it asks witnesses, peers and the store for more. The errors are of kind
// KindBadAmount, KindExhausted, KindUnreachable, KindUnknownBudget or
// KindReleased; all mean that nothing is reserved.
func (h *Holder) Acquire(ctx context.Context, workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) (Reservation, error) {
	return h.AcquireAbove(ctx, workspace, owner, n, 0)
}

// AcquireAbove is Acquire that leaves at least floor tokens of the workspace's
// lease free, for requests that go first.
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
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AcquireTimeout)
	defer cancel()
	w, o := h.account(workspace), h.ownerAccount(owner)
	withStore := !h.CutOff()
	for round := range acquireRounds {
		unreachable := errors.Join(h.refill(ctx, w, n+floor, withStore), h.refill(ctx, o, n, withStore))
		if r, ok := h.ReserveAbove(workspace, owner, n, floor); ok {
			return r, nil
		}
		if unreachable != nil {
			return Reservation{}, unreachable
		}
		// Another request may have been faster to take what was granted, or two
		// that searched at once may each have found a part.
		switch {
		case ctx.Err() != nil:
			return Reservation{}, h.shortage(workspace, owner, n+floor)
		case w.hopeful(n+floor) && (o == nil || o.hopeful(n)):
		case round < searchRounds && w.scattered(n+floor) && (o == nil || o.scattered(n)):
			withStore = false
			h.pause(ctx)
		default:
			return Reservation{}, h.shortage(workspace, owner, n+floor)
		}
	}
	return Reservation{}, h.shortage(workspace, owner, n+floor)
}

// pause waits a random moment, so that searches do not collide again.
func (h *Holder) pause(ctx context.Context) {
	timer := time.NewTimer(time.Duration(rand.Int64N(int64(searchPause))))
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}

// refill searches for tokens until the account could cover n. What is free
// does not lower the need, as others that wait may take it.
func (h *Holder) refill(ctx context.Context, a *account, n nutmegid.Tokens, withStore bool) error {
	if a == nil || a.lacking(n) <= 0 || a.committer.closed.Load() || a.dry(n) {
		return nil
	}
	// The need also keeps what is found from being given back as idle.
	a.addNeed(n)
	defer a.addNeed(-n)
	a.committer.acknowledgeFor(ctx, a, n)
	if !withStore || !a.storeCovers(n) {
		h.askPeers(ctx, a, n, !withStore)
	}
	if a.lacking(n) <= 0 || !withStore || a.storeEmpty() {
		return nil
	}
	err := h.askStore(ctx, a)
	if err == nil && a.lacking(n) <= 0 {
		return nil
	}
	a.committer.acknowledgeFor(ctx, a, n)
	h.askPeers(ctx, a, n, err != nil)
	if a.lacking(n) <= 0 {
		return nil
	}
	return err
}

// askStore commits with the account's need.
func (h *Holder) askStore(ctx context.Context, a *account) error {
	bounded, cancel := context.WithTimeout(ctx, h.cfg.AskTimeout)
	defer cancel()
	if err := a.committer.commitNow(bounded); err != nil {
		h.doubtful.Store(true)
		return &Error{
			Kind: KindUnreachable, Budget: a.id, Detail: "the store did not grant tokens: " + err.Error(),
			Remedy: "try again once the platform answers",
		}
	}
	return nil
}

func (h *Holder) shortage(workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) error {
	for _, id := range []nutmegid.BudgetID{workspace, owner} {
		if id == "" {
			continue
		}
		a := h.account(id)
		if a.committer.closed.Load() {
			return &Error{Kind: KindReleased, Budget: id, Detail: "an operator has released this instance", Remedy: "send the request to another instance"}
		}
		a.mu.Lock()
		known, free := a.known, a.free
		a.mu.Unlock()
		a.noteDry(n)
		if !known && free < n {
			return unknownBudget(id)
		}
		if free < n {
			return &Error{Kind: KindExhausted, Budget: id, Detail: "too few tokens are left", Remedy: "top the budget up or lower max_tokens"}
		}
	}
	return &Error{Kind: KindExhausted, Budget: workspace, Detail: "other requests took the tokens", Remedy: "try again"}
}

// known returns the account of a budget that this holder has used.
func (h *Holder) known(id nutmegid.BudgetID) *account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.accounts[id]
}

func (h *Holder) account(id nutmegid.BudgetID) *account {
	if a := h.known(id); a != nil {
		return a
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok := h.accounts[id]; ok {
		return a
	}
	shard := ShardOf(id, h.cfg.Shards)
	a := &account{id: id, committer: h.committers[shard], terms: h.cfg.Terms(id), unseen: 1}
	h.accounts[id] = a
	h.byShard[shard] = append(h.byShard[shard], a)
	if h.started {
		h.committers[shard].start()
	}
	return a
}

// ownerAccount returns the account of an owner's budget, nil where that level
// is left out.
func (h *Holder) ownerAccount(id nutmegid.BudgetID) *account {
	if id == "" {
		return nil
	}
	return h.account(id)
}

func (h *Holder) policyOf(id nutmegid.BudgetID) Policy {
	return h.cfg.Terms(id).Policy
}

// accountsOf returns the accounts of a shard. Accounts are only ever added.
func (h *Holder) accountsOf(shard int) []*account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	return h.byShard[shard]
}

// Short reports whether nothing can be had of the store for a budget now.
func (h *Holder) Short(id nutmegid.BudgetID) bool {
	return h.CutOff() || h.account(id).storeEmpty()
}

// CutOff reports whether the store does not answer, or did not in time when a
// request last waited for it.
func (h *Holder) CutOff() bool {
	return !h.cfg.StoreUp() || h.doubtful.Load()
}

// Seen is what this holder's latest commit told of a budget.
type Seen struct {
	Remaining nutmegid.Tokens // that no holder has
	Live      nutmegid.Tokens // Remaining and the leases of holders that may be up
	Unspent   nutmegid.Tokens // not known to be spent: Remaining and all leases
	Age       time.Duration   // since the commit; zero before the first
}

// Seen returns what was seen of a budget.
func (h *Holder) Seen(id nutmegid.BudgetID) Seen {
	a := h.account(id)
	a.mu.Lock()
	defer a.mu.Unlock()
	seen := Seen{Remaining: a.remaining, Live: a.live.tokens, Unspent: a.unspent}
	if !a.seenAt.IsZero() {
		seen.Age = time.Since(a.seenAt)
	}
	return seen
}

// Balance is one budget's local state.
type Balance struct {
	Budget   nutmegid.BudgetID `json:"budget"`
	Free     nutmegid.Tokens   `json:"free"`
	Locked   nutmegid.Tokens   `json:"locked,omitempty"` // not acknowledged by a witness yet
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
		balances = append(balances, Balance{Budget: a.id, Free: a.free, Locked: a.locked(), Reserved: a.reserved, Spent: a.spent})
		a.mu.Unlock()
	}
	return balances
}
