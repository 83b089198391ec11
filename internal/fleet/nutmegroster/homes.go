package nutmegroster

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegrendezvous"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// strongFraction is the fraction of the largest processor and link that an
// instance needs to count as strong.
const strongFraction = 0.5

// Homes returns the homes of a workspace in order of preference. Instances that
// have not answered recently are left out. It returns none if this instance
// leases the workspace's tokens itself.
//
// Workspaces whose budgets share a store object have the same homes, so that few
// instances write to each object.
func (r *Roster) Homes(w nutmegid.Workspace) []nutmegview.Instance {
	homes := r.homesOfBudget(nutmegid.WorkspaceBudget(w))
	if slices.ContainsFunc(homes, func(i nutmegview.Instance) bool { return i.Name == r.cfg.Self.Name }) {
		return nil
	}
	return nearestFirst(homes, r.cfg.Self, string(w))
}

// homesOfBudget returns the homes of a budget, which may include this instance.
// It returns none before the number of shards is known. The next instance in
// rank order replaces one that does not answer.
func (r *Roster) homesOfBudget(id nutmegid.BudgetID) []nutmegview.Instance {
	shards := int(r.shards.Load())
	if shards == 0 {
		return nil
	}
	var homes []nutmegview.Instance
	domains := 0
	for _, domain := range r.ranksByDomain(nutmegbudget.ShardName(nutmegbudget.ShardOf(id, shards))) {
		answering := r.responsive(domain)
		if len(answering) == 0 {
			continue
		}
		for _, home := range strongest(answering, r.cfg.HomesPerDomain) {
			homes = append(homes, *home)
		}
		if domains++; domains == r.cfg.HomeDomains {
			break
		}
	}
	return homes
}

// ranksByDomain returns the failure domains in rank order for a shard, each with
// its instances in rank order. The result is cached until the list of instances changes.
func (r *Roster) ranksByDomain(shard string) [][]*nutmegview.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.rankedInstances()
	ranks, ok := r.ranks[shard]
	if !ok {
		ranks = rankDomains(shard, all)
		r.ranks[shard] = ranks
	}
	return ranks
}

// Rank returns the position of this instance among all for a key.
func (r *Roster) Rank(key string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := func(i *nutmegview.Instance) string { return string(i.Name) }
	return nutmegrendezvous.Position(key, r.rankedInstances(), name, &r.cfg.Self)
}

// rankedInstances returns all instances, this one included. It clears the cached
// orders if the list has changed. The caller must hold mu.
func (r *Roster) rankedInstances() []*nutmegview.Instance {
	known := r.known.Load()
	if r.all == nil || r.ranked != known {
		r.ranked = known
		clear(r.ranks)
		clear(r.limitHomes)
		r.all = append(pointers(r.others()), &r.cfg.Self)
	}
	return r.all
}

// responsive returns the instances that are not being skipped for failed calls.
func (r *Roster) responsive(list []*nutmegview.Instance) []*nutmegview.Instance {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	answering := make([]*nutmegview.Instance, 0, len(list))
	for _, i := range list {
		if now.After(r.health[i.Incarnation].skipUntil) {
			answering = append(answering, i)
		}
	}
	return answering
}

// rankDomains orders the failure domains and the instances of each by rendezvous
// hashing, so that adding or removing one moves few shards.
func rankDomains(shard string, all []*nutmegview.Instance) [][]*nutmegview.Instance {
	byDomain := make(map[nutmegid.FailureDomain][]*nutmegview.Instance)
	for _, i := range all {
		byDomain[i.FailureDomain] = append(byDomain[i.FailureDomain], i)
	}
	ranks := make([][]*nutmegview.Instance, 0, len(byDomain))
	domains := slices.Collect(maps.Keys(byDomain))
	for _, domain := range nutmegrendezvous.Rank(shard, domains, func(d nutmegid.FailureDomain) string { return string(d) }, len(domains)) {
		list := byDomain[domain]
		name := func(i *nutmegview.Instance) string { return string(i.Name) }
		ranks = append(ranks, nutmegrendezvous.Rank(shard, list, name, len(list)))
	}
	return ranks
}

// strongest returns up to limit instances, strong ones first and otherwise in
// list order. An instance is strong if it has at least strongFraction of the
// largest processor and of the fastest link in the list. The list is reordered in
// place.
func strongest(list []*nutmegview.Instance, limit int) []*nutmegview.Instance {
	var cores, link float64
	for _, i := range list {
		cores = max(cores, i.Cores)
		link = max(link, i.LinkMbps)
	}
	rank := func(i *nutmegview.Instance) int {
		if i.Cores >= strongFraction*cores && i.LinkMbps >= strongFraction*link {
			return 0
		}
		return 1
	}
	slices.SortStableFunc(list, func(a, b *nutmegview.Instance) int { return cmp.Compare(rank(a), rank(b)) })
	return list[:min(limit, len(list))]
}

// IsWeak reports whether this instance has less than strongFraction of the fastest
// link in its failure domain.
func (r *Roster) IsWeak() bool {
	self := r.cfg.Self
	return slices.ContainsFunc(r.others(), func(i nutmegview.Instance) bool {
		return i.FailureDomain == self.FailureDomain && self.LinkMbps < strongFraction*i.LinkMbps
	})
}

func pointers(list []nutmegview.Instance) []*nutmegview.Instance {
	all := make([]*nutmegview.Instance, len(list))
	for i := range list {
		all[i] = &list[i]
	}
	return all
}

// nearestFirst orders homes for one instance: its own failure domain comes first,
// and rendezvous hashing within a domain spreads instances evenly over the homes.
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

// Reserve asks a home to reserve tokens for a request of this instance.
func (r *Roster) Reserve(ctx context.Context, home nutmegview.Instance, req nutmegpeer.ReserveRequest) (nutmegpeer.ReserveReply, error) {
	peers := r.peers.Load()
	if peers == nil {
		return nutmegpeer.ReserveReply{}, errNotConnected
	}
	reply, err := peers.Reserve(ctx, home.PeerAddress, req)
	if err == nil && reply.Outcome == nutmegpeer.ReserveTryOtherPeer {
		err = errNotAccepting
	}
	r.recordCall(ctx, home.Incarnation, err)
	return reply, err
}

// Settle reports the tokens used by finished requests to their home.
func (r *Roster) Settle(ctx context.Context, home nutmegview.Instance, settlements []nutmegpeer.Settlement) error {
	peers := r.peers.Load()
	if peers == nil {
		return errNotConnected
	}
	return peers.Settle(ctx, home.PeerAddress, settlements)
}
