package nutmegroster

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegrendezvous"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// strongShare is the share of the best instance's resources that makes another
// one strong.
const strongShare = 0.5

// Homes returns the instances that hold tokens of a workspace for this one, the
// best first and without those that have not answered lately. There are none
// where this instance leases tokens of the workspace itself.
//
// All workspaces whose budgets share an object have the same homes, so that few
// instances write to each object.
func (r *Roster) Homes(w nutmegid.Workspace) []nutmegview.Instance {
	homes := r.homesOfBudget(nutmegid.WorkspaceBudget(w))
	if slices.ContainsFunc(homes, func(i nutmegview.Instance) bool { return i.Name == r.cfg.Self.Name }) {
		return nil
	}
	return nearestFirst(homes, r.cfg.Self, string(w))
}

// homesOfBudget returns the homes of a budget, this instance included where it
// is one; none before the fleet is known. Where one does not answer, the next
// in order takes its place.
func (r *Roster) homesOfBudget(id nutmegid.BudgetID) []nutmegview.Instance {
	shards := int(r.shards.Load())
	if shards == 0 {
		return nil
	}
	var homes []nutmegview.Instance
	for _, domain := range r.ranksOf(nutmegbudget.ShardName(nutmegbudget.ShardOf(id, shards))) {
		for _, home := range strongest(r.withoutSilent(domain), r.cfg.HomesPerDomain) {
			homes = append(homes, *home)
		}
	}
	return homes
}

// ranksOf returns the instances of each failure domain in the order of a shard.
// The order is kept until the list of instances changes.
func (r *Roster) ranksOf(shard string) [][]*nutmegview.Instance {
	known := r.known.Load()
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.ranked != known {
		r.ranked = known
		clear(r.ranks)
	}
	ranks, ok := r.ranks[shard]
	if !ok {
		all := []*nutmegview.Instance{&r.cfg.Self}
		if known != nil {
			all = append(all, pointers(*known)...)
		}
		ranks = rankDomains(shard, all)
		r.ranks[shard] = ranks
	}
	return ranks
}

// withoutSilent leaves those out that have not answered lately.
func (r *Roster) withoutSilent(list []*nutmegview.Instance) []*nutmegview.Instance {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	answering := make([]*nutmegview.Instance, 0, len(list))
	for _, i := range list {
		if now.After(r.silent[i.Incarnation].until) {
			answering = append(answering, i)
		}
	}
	return answering
}

// rankDomains orders the instances of each failure domain by rendezvous hashing,
// so that an instance more or less moves few shards.
func rankDomains(shard string, all []*nutmegview.Instance) [][]*nutmegview.Instance {
	byDomain := make(map[nutmegid.FailureDomain][]*nutmegview.Instance)
	for _, i := range all {
		byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
	}
	ranks := make([][]*nutmegview.Instance, 0, len(byDomain))
	for _, list := range byDomain {
		name := func(i *nutmegview.Instance) string { return string(i.Name) }
		ranks = append(ranks, nutmegrendezvous.Rank(shard, list, name, len(list)))
	}
	return ranks
}

// strongest returns the first instances of a list, once those are put first that
// have at least strongShare of the best one's processor and link. It changes
// the list's order.
func strongest(list []*nutmegview.Instance, most int) []*nutmegview.Instance {
	var cores, link float64
	for _, i := range list {
		cores = max(cores, i.Cores)
		link = max(link, i.LinkMbps)
	}
	rank := func(i *nutmegview.Instance) int {
		if i.Cores >= strongShare*cores && i.LinkMbps >= strongShare*link {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *nutmegview.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return list[:min(most, len(list))]
}

func pointers(list []nutmegview.Instance) []*nutmegview.Instance {
	all := make([]*nutmegview.Instance, len(list))
	for i := range list {
		all[i] = &list[i]
	}
	return all
}

// nearestFirst orders homes for one instance: its own failure domain first, and
// within a domain so that the instances share their homes evenly.
func nearestFirst(homes []nutmegview.Instance, self nutmegview.Instance, key string) []nutmegview.Instance {
	name := func(i nutmegview.Instance) string { return string(i.Name) }
	homes = nutmegrendezvous.Rank(key+"/"+string(self.Name), homes, name, len(homes))
	slices.SortStableFunc(homes, func(a, b nutmegview.Instance) int {
		return cmp.Compare(distance(a, self), distance(b, self))
	})
	return homes
}

func distance(a, b nutmegview.Instance) int {
	if a.FailureDomain == b.FailureDomain {
		return 0
	}
	return 1
}

// Reserve asks a home to hold tokens for a request of this instance.
func (r *Roster) Reserve(ctx context.Context, home nutmegview.Instance, ask nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error) {
	peers := r.peers.Load()
	if peers == nil {
		return nutmegpeer.ReserveReply{}, errNoPeer
	}
	answer, err := peers.Reserve(ctx, home.PeerAddress, ask)
	if err == nil && answer.Outcome == nutmegpeer.ReserveTryOtherPeer {
		err = errElsewhere
	}
	r.called(home.Incarnation, err)
	return answer, err
}

// Settle tells a home what requests have used.
func (r *Roster) Settle(ctx context.Context, home nutmegview.Instance, settlements []nutmegpeer.Settlement) error {
	peers := r.peers.Load()
	if peers == nil {
		return errNoPeer
	}
	return peers.Settle(ctx, home.PeerAddress, settlements)
}
