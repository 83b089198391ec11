package nutmegnode

import (
	"encoding/json"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

func (n *Node) buildRouting() {
	n.pool = nutmegroute.NewPool(nutmegroute.PoolConfig{
		Chooser:  nutmegroute.NewTwoChoices(uint64(time.Now().UnixNano())),
		Instance: n.cfg.Settings.Instance.Name,
		OnLeave:  n.upstreamLeaves,
	})
	n.buildSuspects()
	n.sender = nutmegroute.NewSender(nutmegroute.SenderConfig{
		Pool: n.pool, Dial: n.cfg.Dial, IdleTimeout: time.Duration(n.cfg.Settings.Limits.UpstreamIdle),
		Suspects: n.suspects,
	})
	n.router = newRouter(n)
	n.orderEngine = n.router.order
	n.view.OnApply(n.applied)
}

// applied puts a new configuration into force at the pool.
func (n *Node) applied(c *nutmegconf.Config) {
	var targets []nutmegroute.Target
	for name, u := range c.Upstreams {
		if u.Retired {
			continue
		}
		targets = append(targets, nutmegroute.Target{Upstream: name, URL: u.URL, Models: u.Models, Routes: u.Routes})
	}
	n.pool.SetTargets(targets)
}

func priorityLevel(p nutmegconf.Priority) nutmegroute.Priority {
	switch p {
	case nutmegconf.PriorityCheck:
		return nutmegroute.PriorityCheck
	case nutmegconf.PriorityLookUp:
		return nutmegroute.PriorityLookUp
	case nutmegconf.PriorityBatch:
		return nutmegroute.PriorityBatch
	case nutmegconf.PrioritySteady:
	}
	return nutmegroute.PrioritySteady
}

// promptTokens estimates the tokens of a prompt: engines count about one for four bytes.
func promptTokens(messages json.RawMessage) int64 {
	return int64(len(messages)+3) / 4
}
