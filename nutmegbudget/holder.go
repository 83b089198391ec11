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
	"sync"
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
	Policy         Policy
	CommitInterval time.Duration // DefaultCommitInterval when zero
	AcquireTimeout time.Duration // DefaultAcquireTimeout when zero
	// OnCommit is told of each settled commit of a budget.
	OnCommit func(id nutmegid.BudgetID, settled, granted nutmegid.Tokens)
}

// Holder holds one incarnation's leases.
type Holder struct {
	cfg        HolderConfig
	committers []*committer

	mu       sync.RWMutex
	accounts map[nutmegid.BudgetID]*account
}

// NewHolder returns a holder without leases.
func NewHolder(cfg HolderConfig) *Holder {
	if cfg.Shards == 0 {
		cfg.Shards = 1
	}
	if cfg.CommitInterval == 0 {
		cfg.CommitInterval = DefaultCommitInterval
	}
	if cfg.AcquireTimeout == 0 {
		cfg.AcquireTimeout = DefaultAcquireTimeout
	}
	if cfg.Policy == nil {
		cfg.Policy = RateProportional{Horizon: DefaultHorizon, MinLease: DefaultMinLease}
	}
	h := &Holder{cfg: cfg, accounts: make(map[nutmegid.BudgetID]*account)}
	for shard := range cfg.Shards {
		h.committers = append(h.committers, newCommitter(h, shard))
	}
	return h
}

// Start begins the commits.
func (h *Holder) Start() {
	for _, c := range h.committers {
		go c.loop()
	}
}

// Stop settles all spend and returns all free tokens to the store. Running
// reservations must have ended before.
func (h *Holder) Stop(ctx context.Context) error {
	var failed error
	for _, c := range h.committers {
		if err := c.stop(ctx); err != nil {
			failed = err
		}
	}
	return failed
}

// Abandon ends the commits without settling or returning anything.
func (h *Holder) Abandon() {
	for _, c := range h.committers {
		c.abandon()
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
	r.owner.settle(r.tokens, used)
}

// Reserve takes n tokens from the local leases on both levels, or none.
func (h *Holder) Reserve(workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) (Reservation, bool) {
	w := h.account(workspace)
	o := h.account(owner)
	if !w.take(n) {
		return Reservation{}, false
	}
	if !o.take(n) {
		w.give(n)
		return Reservation{}, false
	}
	return Reservation{workspace: w, owner: o, tokens: n}, true
}

// Acquire reserves n tokens on both levels, and asks the store for more where
// the local leases lack them.
func (h *Holder) Acquire(ctx context.Context, workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) (Reservation, error) {
	if r, ok := h.Reserve(workspace, owner, n); ok {
		return r, nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AcquireTimeout)
	defer cancel()
	for _, id := range []nutmegid.BudgetID{workspace, owner} {
		if err := h.refill(ctx, id, n); err != nil {
			return Reservation{}, err
		}
	}
	if r, ok := h.Reserve(workspace, owner, n); ok {
		return r, nil
	}
	return Reservation{}, h.shortage(workspace, owner, n)
}

// refill asks the store for tokens until the account could cover n, or one
// whole commit has gone by without enough.
func (h *Holder) refill(ctx context.Context, id nutmegid.BudgetID, n nutmegid.Tokens) error {
	a := h.account(id)
	a.mu.Lock()
	lacking := n - a.free
	a.mu.Unlock()
	if lacking <= 0 {
		return nil
	}
	a.addNeed(lacking)
	defer a.addNeed(-lacking)
	if err := h.committerOf(id).commitNow(ctx); err != nil {
		return &Error{
			Kind: KindUnreachable, Budget: id, Detail: "the store did not grant tokens: " + err.Error(),
			Remedy: "try again once the platform answers",
		}
	}
	return nil
}

func (h *Holder) shortage(workspace, owner nutmegid.BudgetID, n nutmegid.Tokens) error {
	for _, id := range []nutmegid.BudgetID{workspace, owner} {
		a := h.account(id)
		a.mu.Lock()
		known, free := a.known, a.free
		a.mu.Unlock()
		if !known {
			return &Error{Kind: KindUnknownBudget, Budget: id, Detail: "the budget does not exist", Remedy: "add it with an add_budget intent"}
		}
		if free < n {
			return &Error{Kind: KindExhausted, Budget: id, Detail: "too few tokens are left", Remedy: "top the budget up or lower max_tokens"}
		}
	}
	return &Error{Kind: KindExhausted, Budget: workspace, Detail: "other requests took the tokens", Remedy: "try again"}
}

func (h *Holder) account(id nutmegid.BudgetID) *account {
	h.mu.RLock()
	a, ok := h.accounts[id]
	h.mu.RUnlock()
	if ok {
		return a
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if a, ok = h.accounts[id]; ok {
		return a
	}
	a = &account{id: id}
	h.accounts[id] = a
	return a
}

func (h *Holder) committerOf(id nutmegid.BudgetID) *committer {
	return h.committers[ShardOf(id, h.cfg.Shards)]
}

func (h *Holder) accountsOf(shard int) []*account {
	h.mu.RLock()
	defer h.mu.RUnlock()
	var accounts []*account
	for id, a := range h.accounts {
		if ShardOf(id, h.cfg.Shards) == shard {
			accounts = append(accounts, a)
		}
	}
	return accounts
}

// Balance is one budget's local state.
type Balance struct {
	Budget   nutmegid.BudgetID `json:"budget"`
	Free     nutmegid.Tokens   `json:"free"`
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
		balances = append(balances, Balance{Budget: a.id, Free: a.free, Reserved: a.reserved, Spent: a.spent})
		a.mu.Unlock()
	}
	return balances
}
