package nutmegbudget

import (
	"sync"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// account is this instance's share of one budget. Its lease in the store holds
// free + reserved + spent + returning tokens.
type account struct {
	id nutmegid.BudgetID

	mu        sync.Mutex
	known     bool            // the budget exists in the store
	free      nutmegid.Tokens // may be reserved
	reserved  nutmegid.Tokens // promised to running requests
	spent     nutmegid.Tokens // used, not settled yet
	returning nutmegid.Tokens // being given back by the commit under way
	need      nutmegid.Tokens // lacking for waiting requests
	interval  nutmegid.Tokens // used since the last commit
	rate      float64         // tokens a second
}

// take moves n free tokens to reserved.
func (a *account) take(n nutmegid.Tokens) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.free < n {
		return false
	}
	a.free -= n
	a.reserved += n
	return true
}

// give moves n reserved tokens back to free.
func (a *account) give(n nutmegid.Tokens) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.reserved -= n
	a.free += n
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
}

// assert panics when tokens appeared from nowhere: going on would overspend.
func (a *account) assert() {
	if a.free < 0 || a.reserved < 0 || a.spent < 0 || a.returning < 0 {
		panic("nutmegbudget: negative tokens in account " + string(a.id))
	}
}

func (a *account) held() nutmegid.Tokens {
	return a.free + a.reserved + a.spent + a.returning
}

func (a *account) idle() bool {
	return a.held() == 0 && a.need == 0
}
