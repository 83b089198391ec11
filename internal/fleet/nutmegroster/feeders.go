package nutmegroster

import (
	"context"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfeed"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegrendezvous"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

const (
	// feedersPerDomain is the number of instances of a failure domain that poll the
	// store for the others.
	feedersPerDomain = 2
	// minFedDomain is the smallest number of instances of a failure domain of which
	// only some poll the store.
	minFedDomain = 6
	feederRank   = "feeders" // key of the rank order of feeders
)

// Sources returns the instances of this failure domain that poll the store for this
// one, without those for which skip returns true. Strong instances come first, and
// each instance spreads its calls evenly over them.
func (r *Roster) Sources(skip func(nutmegid.Incarnation) bool) nutmegfeed.Sources {
	domain := r.ownDomain()
	if len(domain) < minFedDomain || r.peers.Load() == nil {
		return nutmegfeed.Sources{}
	}
	candidates := make([]*nutmegview.Instance, 0, len(domain))
	for _, i := range domain {
		if i.Name == r.cfg.Self.Name || !skip(i.Incarnation) {
			candidates = append(candidates, i)
		}
	}
	var feeders []nutmegview.Instance
	for _, i := range strongest(candidates, feedersPerDomain) {
		if i.Name == r.cfg.Self.Name {
			return nutmegfeed.Sources{Feeding: true}
		}
		feeders = append(feeders, *i)
	}
	name := func(i nutmegview.Instance) string { return string(i.Name) }
	return nutmegfeed.Sources{Feeders: nutmegrendezvous.Rank(string(r.cfg.Self.Name), feeders, name, len(feeders))}
}

// ownDomain returns the instances of this failure domain, this one included, in
// rank order.
func (r *Roster) ownDomain() []*nutmegview.Instance {
	for _, domain := range r.ranksByDomain(feederRank) {
		if len(domain) > 0 && domain[0].FailureDomain == r.cfg.Self.FailureDomain {
			return domain
		}
	}
	return nil
}

// FetchChanges asks a feeder for changes of the store.
func (r *Roster) FetchChanges(ctx context.Context, feeder nutmegview.Instance, request nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error) {
	peers := r.peers.Load()
	if peers == nil {
		return nutmegpeer.ChangesReply{}, errNotConnected
	}
	return peers.Changes(ctx, feeder.PeerAddress, request)
}
