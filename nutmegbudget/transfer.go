package nutmegbudget

import (
	"context"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Ask is one holder's request for another's tokens.
type Ask struct {
	Transfer nutmegid.TransferID
	Budget   nutmegid.BudgetID
	Receiver nutmegid.Incarnation
	// Giver is the incarnation that is asked. A later one of the same instance
	// gives nothing: the receiver would name the earlier one's lease.
	Giver nutmegid.Incarnation
	// Need is the least that helps; Want is what the receiver can use.
	Need nutmegid.Tokens
	Want nutmegid.Tokens
	// Fetch says that the receiver does not reach the store, so that the giver
	// may take tokens from there for it.
	Fetch bool
}

// Peers reaches the other holders of the fleet.
type Peers interface {
	// Live lists the other holders that are believed to be up.
	Live() []nutmegid.Incarnation
	// Holders lists those of them that may have tokens of a budget.
	Holders(id nutmegid.BudgetID) []nutmegid.Incarnation
	// Witnesses lists live holders in other failure domains, the best first.
	Witnesses() []nutmegid.Incarnation
	// Ask asks one holder to give tokens.
	Ask(ctx context.Context, to nutmegid.Incarnation, ask Ask) (nutmegid.Tokens, error)
	// Acknowledge asks one witness to acknowledge slices; false means closed.
	Acknowledge(ctx context.Context, to nutmegid.Incarnation, slices Slices) (bool, error)
}

// Give answers a peer's request for tokens: it debits first and returns the
// amount. The same transfer id gets the same amount again. A lost answer
// strands the tokens until the receiver sees the transfer in the store.
func (h *Holder) Give(ctx context.Context, ask Ask) nutmegid.Tokens {
	if ask.Need <= 0 || ask.Receiver == h.cfg.Incarnation || ask.Giver != h.cfg.Incarnation || ask.Transfer == "" {
		return 0
	}
	a := h.known(ask.Budget)
	if a == nil && ask.Fetch {
		a = h.account(ask.Budget)
	}
	if a == nil || !a.terms.Share || a.committer.closed.Load() {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AskTimeout*3/4)
	defer cancel()
	a.committer.acknowledgeFor(ctx, a, ask.Need)
	if ask.Fetch {
		h.fetchFor(ctx, a, max(ask.Need, ask.Want))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.committer.closed.Load() {
		return 0 // the leases may have been returned meanwhile
	}
	if m, ok := a.transfers[ask.Transfer]; ok {
		return m.Tokens
	}
	n := max(ask.Need, min(ask.Want, a.free/2))
	n = min(n, a.free, a.backing())
	if n <= 0 || len(a.transfers) >= maxUnsettledIDs {
		return 0
	}
	a.free -= n
	a.remember(ask.Transfer, &move{Transfer: Transfer{
		ID: ask.Transfer, Giver: h.cfg.Incarnation, Receiver: ask.Receiver, Tokens: n,
	}})
	a.assert()
	return n
}

// fetchFor takes tokens from the store for a peer that may not reach it.
func (h *Holder) fetchFor(ctx context.Context, a *account, need nutmegid.Tokens) {
	if a.lacking(need) <= 0 || a.dry(need) || h.CutOff() || a.storeEmpty() {
		return
	}
	a.addNeed(need)
	defer a.addNeed(-need)
	// Without the store, the peer gets what there is.
	_ = a.committer.commitNow(ctx)
}

// askPeers asks other holders, the richest first, until the account has n
// free tokens. With fetch, they may take them from the store.
func (h *Holder) askPeers(ctx context.Context, a *account, n nutmegid.Tokens, fetch bool) {
	if h.cfg.Peers == nil || !a.terms.Share {
		return
	}
	for _, peer := range h.candidates(a) {
		lacking := a.lacking(n)
		if lacking <= 0 || ctx.Err() != nil {
			return
		}
		h.askPeer(ctx, a, peer, lacking, fetch)
	}
}

// candidates are the live peers, those with known leases first.
func (h *Holder) candidates(a *account) []nutmegid.Incarnation {
	live := h.cfg.Peers.Holders(a.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []nutmegid.Incarnation
	for _, peer := range a.rich {
		if slices.Contains(live, peer) {
			list = append(list, peer)
		}
	}
	for _, peer := range live {
		if !slices.Contains(list, peer) {
			list = append(list, peer)
		}
	}
	return list[:min(len(list), maxAskedPeers)]
}

func (h *Holder) askPeer(ctx context.Context, a *account, peer nutmegid.Incarnation, lacking nutmegid.Tokens, fetch bool) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AskTimeout)
	defer cancel()
	id := nutmegid.NewTransferID()
	m := &move{asking: true}
	m.Transfer = Transfer{ID: id, Giver: peer, Receiver: h.cfg.Incarnation}
	a.mu.Lock()
	want := a.wanted()
	m.want = max(lacking, want)
	a.remember(id, m)
	a.mu.Unlock()
	given, err := h.cfg.Peers.Ask(ctx, peer, Ask{
		Transfer: id, Budget: a.id, Receiver: h.cfg.Incarnation, Giver: peer, Need: lacking, Want: max(lacking, want), Fetch: fetch,
	})
	h.answered(a, m, given, err)
}

// answered credits what a peer has given, unless the store told first.
func (h *Holder) answered(a *account, m *move, given nutmegid.Tokens, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	m.asking = false
	if a.transfers[m.ID] != m {
		return
	}
	if m.credited {
		return
	}
	if err != nil || given <= 0 {
		delete(a.transfers, m.ID)
		if err != nil {
			a.look = lookCommits
		}
		return
	}
	t := m.Transfer
	t.Tokens = given
	a.credit(t)
	if h.cfg.OnTransfer != nil {
		h.cfg.OnTransfer(a.id, t)
	}
}
