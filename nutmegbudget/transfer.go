package nutmegbudget

import (
	"context"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// TransferRequest is a request of one holder for tokens of another.
type TransferRequest struct {
	Transfer nutmegid.TransferID
	Budget   nutmegid.BudgetID
	Receiver nutmegid.Incarnation
	// Giver is the incarnation that is asked. A later incarnation of the same
	// instance gives nothing, because the receiver would report a transfer from
	// the earlier incarnation's lease.
	Giver nutmegid.Incarnation
	// Need is the receiver's shortfall for a waiting request; Want is what it can
	// use in total.
	Need nutmegid.Tokens
	Want nutmegid.Tokens
	// Fetch is true if the receiver may not reach the store, so that the giver
	// should get tokens from the store for it.
	Fetch bool
	// Era is the store's era in which the receiver has stated its leases. A giver that
	// has not stated its own in the same era gives nothing: one of the two would state
	// the tokens a second time, or not at all.
	Era nutmegid.Era
}

// Peers gives access to the other holders of the fleet.
type Peers interface {
	// Live lists the other holders that are believed to be up.
	Live() []nutmegid.Incarnation
	// Holders lists the live holders that may have tokens of a budget.
	Holders(id nutmegid.BudgetID) []nutmegid.Incarnation
	// Witnesses lists live holders in other failure domains, the best first.
	Witnesses() []nutmegid.Incarnation
	// RequestTransfer asks one holder to give tokens.
	RequestTransfer(ctx context.Context, to nutmegid.Incarnation, request TransferRequest) (nutmegid.Tokens, error)
	// Acknowledge asks one witness to acknowledge tokens for use. False means that
	// the witness has closed the leases or knows a later epoch.
	Acknowledge(ctx context.Context, to nutmegid.Incarnation, request AcknowledgeRequest) (bool, error)
}

// GrantTokens answers a peer's request for tokens: it debits the account, then
// returns the amount. A repeated transfer id returns the same amount. If the
// answer is lost, the tokens are stranded until the receiver sees the transfer
// in the store.
func (h *Holder) GrantTokens(ctx context.Context, request TransferRequest) nutmegid.Tokens {
	if request.Need <= 0 || request.Receiver == h.cfg.Incarnation || request.Giver != h.cfg.Incarnation || request.Transfer == "" {
		return 0
	}
	a := h.existingAccount(request.Budget)
	if a == nil && request.Fetch {
		a = h.account(request.Budget)
	}
	if a == nil || !a.terms.Share || a.committer.released.Load() {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AttemptTimeout*3/4)
	defer cancel()
	a.committer.requestAcksFor(ctx, a, request.Need)
	if request.Fetch {
		h.refillForPeer(ctx, a, max(request.Need, request.Want))
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.committer.released.Load() {
		return 0 // the leases may have been released while this call waited
	}
	if era, stated := a.committer.statedEra(); !stated || era != request.Era {
		return 0
	}
	if ts, ok := a.transfers[request.Transfer]; ok {
		return ts.Tokens
	}
	n := max(request.Need, min(request.Want, a.free/2))
	n = min(n, a.free, a.storeBacked())
	if n <= 0 || len(a.transfers) >= maxTransfers {
		return 0
	}
	a.free -= n
	a.addTransfer(request.Transfer, &transferState{Transfer: Transfer{
		ID: request.Transfer, Giver: h.cfg.Incarnation, Receiver: request.Receiver, Tokens: n,
	}})
	a.checkInvariants()
	return n
}

// refillForPeer gets tokens from the store for a peer that may not reach it.
func (h *Holder) refillForPeer(ctx context.Context, a *account, need nutmegid.Tokens) {
	if a.shortfall(need) <= 0 || a.searchBackedOff(need) || h.StoreUnreachable() || a.storeEmpty() {
		return
	}
	a.addNeed(need)
	defer a.addNeed(-need)
	// If the commit fails, the peer gets from what the account has.
	_ = a.committer.commitNow(ctx)
}

// requestFromPeers asks other holders, those with the most tokens first, until
// the account has need plus floor free tokens. It asks each for at most need:
// tokens that other holders keep for urgent requests must not move to this floor.
// With fetch, they may get tokens from the store.
func (h *Holder) requestFromPeers(ctx context.Context, a *account, need, floor nutmegid.Tokens, fetch bool) {
	if h.cfg.Peers == nil || !a.terms.Share {
		return
	}
	for _, peer := range h.candidatePeers(a) {
		shortfall := a.shortfall(need + floor)
		if shortfall <= 0 || ctx.Err() != nil {
			return
		}
		h.requestFromPeer(ctx, a, peer, min(shortfall, need), fetch)
	}
}

// candidatePeers returns the live peers that may have tokens, those with the
// largest known leases first.
func (h *Holder) candidatePeers(a *account) []nutmegid.Incarnation {
	live := h.cfg.Peers.Holders(a.id)
	a.mu.Lock()
	defer a.mu.Unlock()
	var list []nutmegid.Incarnation
	for _, peer := range a.richestPeers {
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

func (h *Holder) requestFromPeer(ctx context.Context, a *account, peer nutmegid.Incarnation, shortfall nutmegid.Tokens, fetch bool) {
	ctx, cancel := context.WithTimeout(ctx, h.cfg.AttemptTimeout)
	defer cancel()
	id := nutmegid.NewTransferID()
	ts := &transferState{pending: true}
	ts.Transfer = Transfer{ID: id, Giver: peer, Receiver: h.cfg.Incarnation}
	a.mu.Lock()
	era, stated := a.committer.statedEra()
	if !stated {
		a.mu.Unlock()
		return
	}
	want := a.peerRequestAmount()
	ts.requested = max(shortfall, want)
	a.addTransfer(id, ts)
	a.mu.Unlock()
	given, err := h.cfg.Peers.RequestTransfer(ctx, peer, TransferRequest{
		Transfer: id, Budget: a.id, Receiver: h.cfg.Incarnation, Giver: peer, Need: shortfall, Want: max(shortfall, want), Fetch: fetch, Era: era,
	})
	h.handleTransferReply(a, ts, given, err)
}

// handleTransferReply credits the tokens that a peer has given, unless a commit
// has already credited the transfer.
func (h *Holder) handleTransferReply(a *account, ts *transferState, given nutmegid.Tokens, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	ts.pending = false
	if a.transfers[ts.ID] != ts {
		return
	}
	if ts.credited {
		return
	}
	if err != nil || given <= 0 {
		delete(a.transfers, ts.ID)
		if err != nil {
			a.recoveryCommits = transferRecoveryCommits
		}
		return
	}
	t := ts.Transfer
	t.Tokens = given
	a.credit(t)
	if h.cfg.OnTransfer != nil {
		h.cfg.OnTransfer(a.id, t)
	}
}
