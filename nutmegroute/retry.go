package nutmegroute

import (
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// RetryBudget bounds retries to a share of the first attempts, so that retries
// cannot multiply the load of upstreams that fail. It counts for each route or
// model, and for each upstream.
type RetryBudget struct {
	mu     sync.Mutex
	tokens map[string]float64
}

// NewRetryBudget returns a budget with a small reserve for each name.
func NewRetryBudget() *RetryBudget {
	return &RetryBudget{tokens: make(map[string]float64)}
}

func upstreamName(u nutmegid.Upstream) string { return "upstream/" + string(u) }
func routeName(r nutmegid.Route) string       { return "route/" + string(r) }
func modelName(m nutmegid.Model) string       { return "model/" + string(m) }

// Deposit counts a first attempt under each name.
func (b *RetryBudget) Deposit(names ...string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		b.tokens[name] = min(b.level(name)+retryShare, maxRetryTokens)
	}
}

// Take allows one retry if each name still has one to give.
func (b *RetryBudget) Take(names ...string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, name := range names {
		if b.level(name) < 1 {
			return false
		}
	}
	for _, name := range names {
		b.tokens[name] = b.level(name) - 1
	}
	return true
}

func (b *RetryBudget) level(name string) float64 {
	level, ok := b.tokens[name]
	if !ok {
		return retryReserve
	}
	return level
}

func noRetryError(u nutmegid.Upstream) error {
	return &Error{Kind: KindOverloaded, Ran: RanNo, Upstream: u, Remedy: "too many requests are being sent again; try again later"}
}
