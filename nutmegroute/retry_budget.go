package nutmegroute

import (
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// RetryBudget limits retries to a share of the first attempts, so that retries cannot multiply
// the load on failing upstreams. Budgets are kept per route, model and upstream.
type RetryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRetryBudget returns a budget with a small initial balance for each key.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: make(map[string]float64)}
}

func upstreamKey(u nutmegid.Upstream) string { return "upstream/" + string(u) }
func routeKey(r nutmegid.Route) string       { return "route/" + string(r) }
func modelKey(m nutmegid.Model) string       { return "model/" + string(m) }

// Deposit credits a first attempt to each key.
func (b *RetryBudget) Deposit(keys ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		b.tokens[key] = min(b.balance(key)+retryShare, maxRetryTokens)
	}
}

// Take takes one retry from each key if all of them have one left.
func (b *RetryBudget) Take(keys ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, key := range keys {
		if b.balance(key) < 1 {
			return false
		}
	}
	for _, key := range keys {
		b.tokens[key] = b.balance(key) - 1
	}
	return true
}

func (b *RetryBudget) balance(key string) float64 {
	balance, ok := b.tokens[key]
	if !ok {
		return retryReserve
	}
	return balance
}

func retryBudgetError(u nutmegid.Upstream) error {
	return &Error{Kind: KindOverloaded, Ran: RanNo, Upstream: u, Remedy: "too many requests are being sent again; try again later"}
}
