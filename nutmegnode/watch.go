package nutmegnode

import (
	"context"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// buildConfig makes the parts that plan, confirm and roll out configurations.
func (n *Node) buildConfig() {
	n.rollout = nutmegconf.NewRollout(nutmegconf.RolloutConfig{View: n.view})
	n.follower = newFollower(n)
	n.sharer = newSharer(n)
	n.book = nutmegconf.NewPlanner(nutmegconf.PlannerConfig{
		Store:        n.writer,
		Rollout:      n.rollout,
		Effects:      effects{n},
		EngineOrders: n.orderEngine != nil,
		FleetState:   n.newLive,
		Remover:      n.client,
	})
	n.completer = nutmegconf.NewCompleter(nutmegconf.CompleterConfig{
		Planner:   n.book,
		OnError:   n.effectFailed,
		Instances: func() int { return 1 + len(n.peers.Members()) },
	})
	n.view.OnApply(n.announce)
}

func (n *Node) effectFailed(err error) {
	n.metrics.GetOrRegister("config_effect_failures", newCounter).(counter).Inc(1)
	n.log.WithError(err).Debug("effects of a confirmed plan stay pending")
}

// announce tells peers and operators of a revision that has come into force.
func (n *Node) announce(c *nutmegconf.Config) {
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindRevision, Revision: c.Revision})
	n.log.WithField("revision", c.Revision).Info("configuration in force")
	if n.peers != nil {
		n.peers.Announce()
	}
}

// watchLoop follows the configuration's head object.
func (n *Node) watchLoop(ctx context.Context) {
	defer close(n.watchDone)
	n.client.Follow(ctx, nutmegconf.ConfigKind, nutmegconf.HeadKey.Name, n.headChanged)
}

func (n *Node) headChanged(o nutmegstore.Object) {
	if o.Deleted {
		n.log.Error("configuration was deleted from the store; the one in force stays")
		return
	}
	doc, err := nutmegstore.Decode[nutmegconf.Head](o)
	if err != nil {
		n.log.WithError(err).Error("configuration is unreadable; the one in force stays")
		return
	}
	n.completer.Observe(doc.Body)
	n.follower.stored(doc.Body)
}

// whyNoConfiguration says why this instance cannot serve yet.
func (n *Node) whyNoConfiguration() string {
	if n.client.Up() {
		return "the instance has no configuration: no plan is confirmed yet, or the store has not answered yet"
	}
	return "the instance has no configuration: the store does not answer (platform.url), and no peer has given one yet (peers.seeds)"
}

// library gives peers the configuration in force.
type library struct {
	rollout *nutmegconf.Rollout
}

// Revision implements nutmegpeer.Library.
func (l library) Revision() (nutmegid.Revision, []byte) {
	head, raw := l.rollout.Head()
	return head.Revision, raw
}

// Segment implements nutmegpeer.Library.
func (l library) Segment(ctx context.Context, hash string) ([]byte, error) {
	return l.rollout.Segment(ctx, nutmegconf.SegmentHash(hash))
}
