// Package nutmegmeter enforces the prepaid token budgets of workspaces. It leases
// tokens through nutmegbudget and applies the configured amounts.
//
// # Usage
//
//	meter := nutmegmeter.New(nutmegmeter.Config{Writer: writer, View: view, Incarnation: inc, Instance: name})
//	meter.Open(shards)
//	reservation, refusal := meter.Reserve(ctx, call)
//	reservation.Settle(1212)
//	err := meter.Stop(ctx) // returns the leases
package nutmegmeter

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	rateWeight        = 0.15            // of the latest commit interval in the smoothed spend rate
	settleAfter       = 4 * time.Second // how long spend may stay unsettled while the lease is large enough
	commitInterval    = 1000 * time.Millisecond
	searchBackoff     = 250 * time.Millisecond // pause after an unsuccessful search for tokens
	acquireTimeout    = 110 * time.Millisecond // a later refusal leaves the caller too little time to try another instance
	commitTimeout     = 1500 * time.Millisecond
	transferTimeout   = 50 * time.Millisecond // for a token transfer from one peer
	maxBackoff        = 700 * time.Millisecond
	urgentWindow      = 8 * time.Second        // forecast window for the tokens kept for more urgent requests
	defaultRetryAfter = 400 * time.Millisecond // used while other holders may soon return tokens
	minOutage         = 2 * time.Second        // assumed for a store that does not answer
	minSilence        = time.Second            // of a store that counts as down; a shorter one is a lost answer
	outageFactor      = 2                      // how much longer an outage is expected to last than it has lasted
	maxRetryAfter     = 5 * time.Second        // callers told to wait longer try another instance first
)

// Config configures a meter. Horizon, LeasedFraction, EvenFraction and Spread are
// passed to nutmegbudget.FairShare; their defaults are set in nutmegconf.
type Config struct {
	Writer  *nutmegstore.Writer
	StoreUp func() bool
	// TimeSinceStoreSuccess returns the time since the last successful store response.
	TimeSinceStoreSuccess func() time.Duration
	View                  *nutmegview.View
	Incarnation           nutmegid.Incarnation
	Instance              nutmegid.Instance
	Horizon               time.Duration // period of spend that a lease covers
	LeasedFraction        float64
	EvenFraction          float64
	Spread                nutmegid.Tokens
	Peers                 nutmegbudget.Peers                                  // asked for token transfers; nil disables transfers
	Homes                 Homes                                               // reserve tokens for this instance; nil disables homes
	OnCommit              func(c nutmegbudget.BudgetCommit)                   // may be nil
	OnTransfer            func(id nutmegid.BudgetID, t nutmegbudget.Transfer) // may be nil
	// StoreEra returns the era that the store has stated last; nil if it states none.
	StoreEra func() nutmegstore.EraState
	// OnRestate, if not nil, is called when the leases of a shard have been stated again
	// in a new era.
	OnRestate func(shard int, era nutmegid.Era)
	// OnHomeUnreachable is called when a home does not answer a reservation
	// request, OnReservationsExpired when peers have not settled reservations in
	// time, and OnSettlementsDropped when a home has not accepted settlements in
	// time. Each may be nil.
	OnHomeUnreachable     func(home nutmegview.Instance, call *nutmegcall.Call, err error)
	OnReservationsExpired func(reservations int)
	OnSettlementsDropped  func(home nutmegview.Instance, settlements int)
}

// Meter reserves and settles the tokens of workspaces.
type Meter struct {
	cfg      Config
	demand   *demand
	holder   atomic.Pointer[nutmegbudget.Holder] // nil until the meter is open
	reserved *peerReservations
	outbox   *outbox
	quit     chan struct{}
	done     chan struct{}
}

// New returns a meter without leases.
func New(cfg Config) *Meter {
	cfg = withDefaults(cfg)
	m := &Meter{cfg: cfg, demand: newDemand(), reserved: newPeerReservations(), quit: make(chan struct{}), done: make(chan struct{})}
	if cfg.Homes != nil {
		m.outbox = newOutbox(cfg.Homes.Settle, cfg.OnSettlementsDropped)
	}
	return m
}

func withDefaults(cfg Config) Config {
	if cfg.StoreUp == nil {
		cfg.StoreUp = func() bool { return true }
	}
	if cfg.TimeSinceStoreSuccess == nil {
		cfg.TimeSinceStoreSuccess = func() time.Duration { return 0 }
	}
	if cfg.OnHomeUnreachable == nil {
		cfg.OnHomeUnreachable = func(nutmegview.Instance, *nutmegcall.Call, error) {}
	}
	if cfg.OnReservationsExpired == nil {
		cfg.OnReservationsExpired = func(int) {}
	}
	if cfg.OnSettlementsDropped == nil {
		cfg.OnSettlementsDropped = func(nutmegview.Instance, int) {}
	}
	return cfg
}

// Open starts leasing tokens. Budgets are sharded over the given number of store
// objects, which must be the same on all instances.
func (m *Meter) Open(shards int) {
	cfg := m.cfg
	terms := nutmegbudget.Terms{
		Policy: nutmegbudget.FairShare{Horizon: cfg.Horizon, LeasedFraction: cfg.LeasedFraction, EvenFraction: cfg.EvenFraction, Spread: cfg.Spread},
		Share:  cfg.Peers != nil,
	}
	holder := nutmegbudget.NewHolder(nutmegbudget.HolderConfig{
		Writer:         cfg.Writer,
		Incarnation:    cfg.Incarnation,
		Instance:       cfg.Instance,
		Shards:         shards,
		Terms:          func(nutmegid.BudgetID) nutmegbudget.Terms { return terms },
		Peers:          cfg.Peers,
		StoreUp:        cfg.StoreUp,
		AttemptTimeout: transferTimeout,
		SearchBackoff:  searchBackoff,
		CommitInterval: commitInterval,
		SettleAfter:    settleAfter,
		RateWeight:     rateWeight,
		CommitTimeout:  commitTimeout,
		MaxBackoff:     maxBackoff,
		AcquireTimeout: acquireTimeout,
		Prepare:        func(s *nutmegbudget.Shard, shard int) { m.setAmounts(s, shard, shards) },
		OnCommit:       cfg.OnCommit,
		OnTransfer:     cfg.OnTransfer,
		StoreEra:       cfg.StoreEra,
		OnRestate:      cfg.OnRestate,
	})
	holder.Start()
	m.holder.Store(holder)
	if cfg.Homes != nil {
		go m.loop()
	}
}

// IsOpen reports whether tokens can be reserved.
func (m *Meter) IsOpen() bool {
	return m.holder.Load() != nil
}

// setAmounts applies the configured amounts to the budgets of a shard.
func (m *Meter) setAmounts(s *nutmegbudget.Shard, shard, shards int) {
	c := m.cfg.View.Config()
	if c == nil {
		return
	}
	amounts := make(map[nutmegid.BudgetID]nutmegid.Tokens)
	for name, tokens := range c.Prepaid() {
		if id := nutmegid.WorkspaceBudget(name); nutmegbudget.ShardOf(id, shards) == shard {
			amounts[id] = tokens
		}
	}
	s.SetAmounts(c.Revision, amounts)
}

// Stop settles all spend and returns the leases to the store, within ctx.
// Reservations that peers have not settled are settled at their full size.
func (m *Meter) Stop(ctx context.Context) error {
	holder := m.holder.Load()
	if holder == nil {
		return nil
	}
	if m.cfg.Homes != nil {
		close(m.quit)
		select {
		case <-m.done:
			m.flush(ctx, time.Now())
		case <-ctx.Done():
		}
	}
	if left := m.reserved.expireAll(); left > 0 {
		m.cfg.OnReservationsExpired(left)
	}
	return holder.Stop(ctx)
}

// tokenRequest describes the tokens that a request needs.
type tokenRequest struct {
	workspace nutmegid.Workspace
	tokens    nutmegid.Tokens // upper bound
	priority  int             // 0 is the most urgent
	at        time.Time
}

// Reserve implements nutmegrelay.Budget.
func (m *Meter) Reserve(ctx context.Context, call *nutmegcall.Call) (nutmegrelay.Reservation, *nutmegcall.Refusal) {
	if m.cfg.Homes != nil {
		if homes := m.cfg.Homes.Homes(call.Workspace); len(homes) > 0 {
			return m.reserveAtHome(ctx, homes, call)
		}
	}
	r, refusal := m.reserveLocally(ctx, tokenRequest{
		workspace: call.Workspace, tokens: call.Prompt.MaxTokens(), priority: call.Route.Priority, at: call.Arrived,
	})
	if refusal != nil {
		return nil, refusal
	}
	return r, nil
}

// reserveLocally reserves tokens from this instance's leases. During an outage of
// the store, or when it has no tokens of the workspace left, requests do not use
// what more urgent ones are expected to ask for, so that the least urgent are
// refused first.
func (m *Meter) reserveLocally(ctx context.Context, req tokenRequest) (nutmegbudget.Reservation, *nutmegcall.Refusal) {
	id := nutmegid.WorkspaceBudget(req.workspace)
	m.demand.record(req)
	holder := m.holder.Load()
	if holder == nil {
		return nutmegbudget.Reservation{}, budgetUnreachable("this instance has not joined the fleet yet", defaultRetryAfter)
	}
	var floor nutmegid.Tokens
	if holder.StoreCannotGrant(id) && !m.onlyAnswerLost(holder) {
		floor = m.demand.moreUrgent(req, urgentWindow)
	}
	r, err := holder.AcquireAbove(ctx, id, "", req.tokens, floor)
	if err == nil {
		return r, nil
	}
	state := holder.BudgetState(id)
	detail := m.describe(err, state)
	if nutmegbudget.IsKind(err, nutmegbudget.KindExhausted) && state.Unspent < req.tokens {
		return nutmegbudget.Reservation{}, &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudgetExhausted, Detail: detail}
	}
	return nutmegbudget.Reservation{}, budgetUnreachable(detail, m.retryDelay(holder.StoreUnreachable(), state.Live < req.tokens))
}

// onlyAnswerLost reports whether the store did not answer this instance's latest
// commit in time but has answered other calls since.
func (m *Meter) onlyAnswerLost(holder *nutmegbudget.Holder) bool {
	return holder.StoreUnreachable() && m.cfg.StoreUp() && m.cfg.TimeSinceStoreSuccess() <= minSilence
}

// describe formats err with the budget state it is based on and the age of that
// state.
func (m *Meter) describe(err error, state nutmegbudget.BudgetState) string {
	return fmt.Sprintf("%v; %d remaining, %d with live holders, %d unspent, seen %d ms ago; the store was silent for %d ms",
		err, state.Remaining, state.Live, state.Unspent, state.Age.Milliseconds(), m.cfg.TimeSinceStoreSuccess().Milliseconds())
}

// retryDelay returns how long a refused caller should wait. A store outage is
// expected to last outageFactor times as long again as it has lasted so far: a
// caller that returns too early is refused once more, and few return twice. A
// store that was silent for less than minSilence has only lost an answer. Tokens
// held only by dead holders do not return on their own. Jitter adds up to half of
// the delay so that callers do not retry at the same time.
func (m *Meter) retryDelay(storeDown, onlyDeadHolders bool) time.Duration {
	delay := defaultRetryAfter
	silence := m.cfg.TimeSinceStoreSuccess()
	switch {
	case storeDown && silence > minSilence:
		delay = min(max(outageFactor*silence, minOutage), maxRetryAfter)
	case onlyDeadHolders:
		delay = maxRetryAfter
	}
	return delay + rand.N(delay/2)
}

// GrantTokens handles a peer's request for a token transfer.
func (m *Meter) GrantTokens(ctx context.Context, req nutmegbudget.TransferRequest) nutmegid.Tokens {
	if holder := m.holder.Load(); holder != nil {
		return holder.GrantTokens(ctx, req)
	}
	return 0
}

func budgetUnreachable(detail string, after time.Duration) *nutmegcall.Refusal {
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudgetUnreachable, RetryAfter: after, Detail: detail}
}
