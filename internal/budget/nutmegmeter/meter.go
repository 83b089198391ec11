// Package nutmegmeter keeps workspaces within their prepaid totals: it joins
// the leases of nutmegbudget with the configured amounts.
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
	rateWeight     = 0.15            // of the newest commit interval
	settleAfter    = 4 * time.Second // of spend while the lease is large enough
	commitInterval = 1000 * time.Millisecond
	dryTime        = 250 * time.Millisecond
	acquireTimeout = 110 * time.Millisecond // a refusal later than that keeps a caller from trying elsewhere
	commitTimeout  = 1500 * time.Millisecond
	askTimeout     = 50 * time.Millisecond // for one peer's tokens
	maxBackoff     = 700 * time.Millisecond
	mostUrgent     = 0                      // priority of routes whose requests go first
	urgentSpan     = 8 * time.Second        // of urgent requests that tokens are kept for
	retryAfter     = 400 * time.Millisecond // while others may soon return tokens
	leastOutage    = 2 * time.Second        // that is expected of a store which has not answered
	maxRetryAfter  = 5 * time.Second        // callers that wait longer try elsewhere first
)

// Config configures a meter. Horizon, Leased, Even and Spread are those of
// nutmegbudget.FairShare; their defaults stand with the settings.
type Config struct {
	Writer  *nutmegstore.Writer
	StoreUp func() bool
	// StoreSilence is how long ago the store gave the latest good answer.
	StoreSilence func() time.Duration
	View         *nutmegview.View
	Incarnation  nutmegid.Incarnation
	Instance     nutmegid.Instance
	Horizon      time.Duration // of spend that a lease covers
	Leased       float64
	Even         float64
	Spread       nutmegid.Tokens
	Peers        nutmegbudget.Peers                                  // that tokens are asked of; nil for none
	Homes        Homes                                               // that hold tokens for this instance; nil for none
	OnCommit     func(c nutmegbudget.BudgetCommit)                   // nil for none
	OnTransfer   func(id nutmegid.BudgetID, t nutmegbudget.Transfer) // nil for none
	// OnHomeLost is told of homes that gave a request no answer, OnExpired of
	// reservations that peers have not settled, OnUnsettled of settlements that
	// a home has not taken in time; nil for none.
	OnHomeLost  func(home nutmegview.Instance, call *nutmegcall.Call, err error)
	OnExpired   func(reservations int)
	OnUnsettled func(home nutmegview.Instance, settlements int)
}

// Meter reserves and settles the tokens of workspaces.
type Meter struct {
	cfg    Config
	demand *demand
	holder atomic.Pointer[nutmegbudget.Holder] // nil until the meter is open
	lent   *lent
	outbox *outbox
	quit   chan struct{}
	done   chan struct{}
}

// New returns a meter without leases.
func New(cfg Config) *Meter {
	cfg = withDefaults(cfg)
	m := &Meter{cfg: cfg, demand: newDemand(), lent: newLent(), quit: make(chan struct{}), done: make(chan struct{})}
	if cfg.Homes != nil {
		m.outbox = newOutbox(cfg.Homes.Settle, cfg.OnUnsettled)
	}
	return m
}

func withDefaults(cfg Config) Config {
	if cfg.StoreUp == nil {
		cfg.StoreUp = func() bool { return true }
	}
	if cfg.StoreSilence == nil {
		cfg.StoreSilence = func() time.Duration { return 0 }
	}
	if cfg.OnHomeLost == nil {
		cfg.OnHomeLost = func(nutmegview.Instance, *nutmegcall.Call, error) {}
	}
	if cfg.OnExpired == nil {
		cfg.OnExpired = func(int) {}
	}
	if cfg.OnUnsettled == nil {
		cfg.OnUnsettled = func(nutmegview.Instance, int) {}
	}
	return cfg
}

// Open begins to lease tokens of budgets that are spread over a number of
// objects, on which all instances agree.
func (m *Meter) Open(shards int) {
	cfg := m.cfg
	terms := nutmegbudget.Terms{
		Policy: nutmegbudget.FairShare{Horizon: cfg.Horizon, LeasedFraction: cfg.Leased, EvenFraction: cfg.Even, Spread: cfg.Spread},
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
		AttemptTimeout: askTimeout,
		SearchBackoff:  dryTime,
		CommitInterval: commitInterval,
		SettleAfter:    settleAfter,
		RateWeight:     rateWeight,
		CommitTimeout:  commitTimeout,
		MaxBackoff:     maxBackoff,
		AcquireTimeout: acquireTimeout,
		Prepare:        func(s *nutmegbudget.Shard, shard int) { m.prepare(s, shard, shards) },
		OnCommit:       cfg.OnCommit,
		OnTransfer:     cfg.OnTransfer,
	})
	holder.Start()
	m.holder.Store(holder)
	if cfg.Homes != nil {
		go m.loop()
	}
}

// IsOpen says whether tokens can be reserved.
func (m *Meter) IsOpen() bool {
	return m.holder.Load() != nil
}

// prepare brings the configured amounts of a shard's budgets into it.
func (m *Meter) prepare(s *nutmegbudget.Shard, shard, shards int) {
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

// Stop settles all spend and returns the leases to the store. What peers have
// not settled counts as used.
func (m *Meter) Stop(ctx context.Context) error {
	holder := m.holder.Load()
	if holder == nil {
		return nil
	}
	if m.cfg.Homes != nil {
		close(m.quit)
		<-m.done
		m.flush(time.Now())
	}
	if left := m.lent.expireAll(); left > 0 {
		m.cfg.OnExpired(left)
	}
	return holder.Stop(ctx)
}

// want is what a request needs of a workspace's tokens.
type want struct {
	workspace nutmegid.Workspace
	tokens    nutmegid.Tokens // at most
	urgent    bool            // goes before others
	at        time.Time
}

// Reserve implements nutmegrelay.Budget.
func (m *Meter) Reserve(ctx context.Context, call *nutmegcall.Call) (nutmegrelay.Reservation, *nutmegcall.Refusal) {
	if m.cfg.Homes != nil {
		if homes := m.cfg.Homes.Homes(call.Workspace); len(homes) > 0 {
			return m.reserveAtHome(ctx, homes, call)
		}
	}
	r, refusal := m.reserveHere(ctx, want{
		workspace: call.Workspace, tokens: call.Prompt.Bound(), urgent: call.Route.Priority == mostUrgent, at: call.Arrived,
	})
	if refusal != nil {
		return nil, refusal
	}
	return r, nil
}

// reserveHere takes tokens of this instance's leases. While the store has
// nothing to give, what urgent requests will need is kept from the others.
func (m *Meter) reserveHere(ctx context.Context, w want) (nutmegbudget.Reservation, *nutmegcall.Refusal) {
	id := nutmegid.WorkspaceBudget(w.workspace)
	if w.urgent {
		m.demand.note(w.workspace, w.tokens, w.at)
	}
	holder := m.holder.Load()
	if holder == nil {
		return nutmegbudget.Reservation{}, unreachable("this instance has not joined the fleet yet", retryAfter)
	}
	var floor nutmegid.Tokens
	if !w.urgent && holder.StoreCannotGrant(id) {
		floor = m.demand.expect(w.workspace, urgentSpan, w.at)
	}
	r, err := holder.AcquireAbove(ctx, id, "", w.tokens, floor)
	if err == nil {
		return r, nil
	}
	seen := holder.BudgetState(id)
	detail := m.describe(err, seen)
	if nutmegbudget.IsKind(err, nutmegbudget.KindExhausted) && seen.Unspent < w.tokens {
		return nutmegbudget.Reservation{}, &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudget, Detail: detail}
	}
	return nutmegbudget.Reservation{}, unreachable(detail, m.returnAfter(holder.StoreUnreachable(), seen.Live < w.tokens))
}

// describe tells what a refusal rests on and how old that is.
func (m *Meter) describe(err error, seen nutmegbudget.BudgetState) string {
	return fmt.Sprintf("%v; %d remaining, %d with live holders, %d unspent, seen %d ms ago; the store was silent for %d ms",
		err, seen.Remaining, seen.Live, seen.Unspent, seen.Age.Milliseconds(), m.cfg.StoreSilence().Milliseconds())
}

// returnAfter is when a request may find the tokens that it was refused. An
// outage of the store is taken to last about as long again as it has lasted.
// Tokens that only dead holders have do not come back by themselves. Callers are
// spread over half of the time, so that they do not return together.
func (m *Meter) returnAfter(cutOff, onlyDead bool) time.Duration {
	after := retryAfter
	switch {
	case cutOff:
		after = min(max(m.cfg.StoreSilence(), leastOutage), maxRetryAfter)
	case onlyDead:
		after = maxRetryAfter
	}
	return after + rand.N(after/2)
}

// Give answers a peer's request for tokens.
func (m *Meter) Give(ctx context.Context, ask nutmegbudget.TransferRequest) nutmegid.Tokens {
	if holder := m.holder.Load(); holder != nil {
		return holder.Give(ctx, ask)
	}
	return 0
}

func unreachable(detail string, after time.Duration) *nutmegcall.Refusal {
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBudgetUnknown, RetryAfter: after, Detail: detail}
}
