package nutmegroster

import (
	"context"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// PermitHome returns the instance to ask for permits to send requests to a process of
// an upstream, and false if none answers. The first of its homes comes first.
func (r *Roster) PermitHome(p nutmegview.Process) (nutmegview.Instance, bool) {
	answering := r.responsive(r.permitHomes(p))
	if len(answering) == 0 {
		return nutmegview.Instance{}, false
	}
	return *answering[0], true
}

// IsFirstPermitHome reports whether this instance is the first home of the rate limit
// of a process, as far as a recent list of instances says, and all others know that.
func (r *Roster) IsFirstPermitHome(p nutmegview.Process) bool {
	listedAt := r.listedAt.Load()
	if listedAt == nil || time.Since(*listedAt) > nutmegpermit.MaxListAge || time.Now().Before(r.settledAt) {
		return false
	}
	return r.permitHomes(p)[0].Name == r.cfg.Self.Name
}

// permitHomes returns the homes of the rate limit of a process, in order. They are
// cached until the list of instances changes.
func (r *Roster) permitHomes(p nutmegview.Process) []*nutmegview.Instance {
	r.mu.Lock()
	defer r.mu.Unlock()
	all := r.rankedInstances()
	homes, ok := r.limitHomes[p]
	if !ok {
		if len(r.limitHomes) >= maxLimitHomes {
			clear(r.limitHomes)
		}
		homes = nutmegpermit.Homes(p, all)
		r.limitHomes[p] = homes
	}
	return homes
}

// Permit asks another instance for a permit.
func (r *Roster) Permit(ctx context.Context, home nutmegview.Instance, req nutmegpeer.PermitRequest) (nutmegpeer.PermitReply, error) {
	peers := r.peers.Load()
	if peers == nil {
		return nutmegpeer.PermitReply{}, errNotConnected
	}
	reply, err := peers.Permit(ctx, home.PeerAddress, req)
	r.recordCall(ctx, home.Incarnation, err)
	return reply, err
}
