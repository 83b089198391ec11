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
		OnLeave:  n.upstreamLeaving,
	})
	n.buildSuspects()
	n.sender = nutmegroute.NewSender(nutmegroute.SenderConfig{
		Pool: n.pool, Dial: n.cfg.Dial, IdleTimeout: time.Duration(n.cfg.Settings.Limits.UpstreamIdle),
		Suspects: n.suspects,
	})
	n.upstreams = newUpstreamManager(n)
	n.engineOrder = n.upstreams.engineOrder
	n.view.OnApply(n.applyUpstreams)
}

// applyUpstreams sets the upstreams of a new configuration in the pool.
func (n *Node) applyUpstreams(c *nutmegconf.Config) {
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

// estimatePromptTokens estimates the size of a prompt: engines average about one
// token per four bytes.
func estimatePromptTokens(messages json.RawMessage) int64 {
	return int64(len(messages)+3) / 4
}
