package nutmegroster

import (
	"cmp"
	"context"
	"slices"

	"github.com/cespare/xxhash/v2"

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
	shard := nutmegbudget.ShardName(nutmegbudget.ShardOf(id, shards))
	return homesOf(shard, append(r.answering(r.others()), r.cfg.Self), r.cfg.HomesPerDomain)
}

// homesOf chooses the homes of a shard in each failure domain by rendezvous
// hashing, so that an instance more or less moves few shards. Strong instances
// go before weak ones.
func homesOf(shard string, all []nutmegview.Instance, perDomain int) []nutmegview.Instance {
	byDomain := make(map[nutmegid.FailureDomain][]nutmegview.Instance)
	for _, i := range all {
		byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
	}
	var homes []nutmegview.Instance
	for _, list := range byDomain {
		sortByWeight(list, shard)
		strongFirst(list)
		homes = append(homes, list[:min(perDomain, len(list))]...)
	}
	return homes
}

// strongFirst puts instances first that have at least strongShare of the best
// one's processor and link.
func strongFirst(list []nutmegview.Instance) {
	var cores, link float64
	for _, i := range list {
		cores = max(cores, i.Cores)
		link = max(link, i.LinkMbps)
	}
	rank := func(i nutmegview.Instance) int {
		if i.Cores >= strongShare*cores && i.LinkMbps >= strongShare*link {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b nutmegview.Instance) int { return cmp.Compare(rank(a), rank(b)) })
}

// nearestFirst orders homes for one instance: its own failure domain first, and
// within a domain so that the instances share their homes evenly.
func nearestFirst(homes []nutmegview.Instance, self nutmegview.Instance, key string) []nutmegview.Instance {
	sortByWeight(homes, key+"/"+string(self.Name))
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

// sortByWeight orders instances by their rendezvous weight under a key, the
// heaviest first.
func sortByWeight(list []nutmegview.Instance, key string) {
	weight := func(i nutmegview.Instance) uint64 { return xxhash.Sum64String(key + "/" + string(i.Name)) }
	slices.SortFunc(list, func(a, b nutmegview.Instance) int {
		return cmp.Or(cmp.Compare(weight(b), weight(a)), cmp.Compare(a.Name, b.Name))
	})
}

// Reserve asks a home to hold tokens for a request of this instance.
func (r *Roster) Reserve(ctx context.Context, home nutmegview.Instance, ask nutmegpeer.ReserveAsk) (nutmegpeer.ReserveAnswer, error) {
	peers := r.peers.Load()
	if peers == nil {
		return nutmegpeer.ReserveAnswer{}, errNoPeer
	}
	answer, err := peers.Reserve(ctx, home.PeerAddress, ask)
	if err == nil && answer.Outcome == nutmegpeer.ReserveElsewhere {
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
