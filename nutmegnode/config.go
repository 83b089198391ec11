package nutmegnode

import (
	"context"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// buildConfig creates the components that plan, confirm and roll out
// configurations.
func (n *Node) buildConfig() {
	n.rollout = nutmegconf.NewRollout(nutmegconf.RolloutConfig{View: n.view})
	n.follower = newConfigFollower(n)
	n.gossip = newGossipPublisher(n)
	n.planner = nutmegconf.NewPlanner(nutmegconf.PlannerConfig{
		Store:        n.writer,
		Rollout:      n.rollout,
		Effects:      effectApplier{n},
		EngineOrders: n.engineOrder != nil,
		FleetState:   n.newFleetState,
		Remover:      n.client,
	})
	n.completer = nutmegconf.NewCompleter(nutmegconf.CompleterConfig{
		Planner:   n.planner,
		OnError:   n.effectFailed,
		Instances: func() int { return 1 + len(n.peers.Members()) },
	})
	n.view.OnApply(n.announceRevision)
}

func (n *Node) effectFailed(err error) {
	n.metrics.GetOrRegister("config_effect_failures", newCounter).(counter).Inc(1)
	n.log.WithError(err).Debug("effects of a confirmed plan are still pending")
}

// announceRevision announces an applied revision to peers, the event ring and the
// log.
func (n *Node) announceRevision(c *nutmegconf.Config) {
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindRevision, Revision: c.Revision})
	n.log.WithField("revision", c.Revision).Info("configuration applied")
	if n.peers != nil {
		n.peers.Announce()
	}
}

// watchHead watches the configuration's head object in the store.
func (n *Node) watchHead(ctx context.Context) {
	defer close(n.watchDone)
	n.client.Follow(ctx, nutmegconf.ConfigKind, nutmegconf.HeadKey.Name, n.headChanged)
}

func (n *Node) headChanged(o nutmegstore.Object) {
	if o.Deleted {
		n.log.Error("configuration head was deleted from the store; keeping the applied configuration")
		return
	}
	doc, err := nutmegstore.Decode[nutmegconf.Head](o)
	if err != nil {
		n.log.WithError(err).Error("decoding the configuration head failed; keeping the applied configuration")
		return
	}
	n.completer.Observe(doc.Body)
	n.follower.observeHead(doc.Body)
}

// noConfigurationReason returns why this instance has no configuration yet.
func (n *Node) noConfigurationReason() string {
	if n.client.Up() {
		return "the instance has no configuration: no plan is confirmed yet, or the store has not answered yet"
	}
	return "the instance has no configuration: the store does not answer (platform.url), and no peer has given one yet (peers.seeds)"
}

// configSource serves the applied configuration to peers.
type configSource struct {
	rollout *nutmegconf.Rollout
}

// Revision implements nutmegpeer.ConfigSource.
func (s configSource) Revision() (nutmegid.Revision, []byte) {
	head, raw := s.rollout.Head()
	return head.Revision, raw
}

// Segment implements nutmegpeer.ConfigSource.
func (s configSource) Segment(ctx context.Context, hash string) ([]byte, error) {
	return s.rollout.Segment(ctx, nutmegconf.SegmentHash(hash))
}
