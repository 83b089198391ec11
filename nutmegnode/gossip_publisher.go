package nutmegnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// gossipLeaving is the kind of gossip items about leaving upstreams.
const gossipLeaving nutmegpeer.ItemKind = "leaving"

// gossipPublisher sends what this instance knows about leaving upstreams to its
// peers.
type gossipPublisher struct {
	node *Node
	done chan struct{}
}

func newGossipPublisher(n *Node) *gossipPublisher {
	return &gossipPublisher{node: n, done: make(chan struct{})}
}

// register registers the gossip kind and its handler.
func (p *gossipPublisher) register() {
	g := p.node.peers.Gossip()
	g.Register(gossipLeaving, nutmegpeer.ItemRule{
		MaxItems: maxGossipItems, MaxBytes: maxGossipItemBytes, Urgent: true, OnItem: p.receiveLeaving,
	})
}

// run publishes what this instance knows until ctx is done. Items that the gossip
// already has in the same version are not sent again.
func (p *gossipPublisher) run(ctx context.Context) {
	defer close(p.done)
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.publishLeaving()
		}
	}
}

func (p *gossipPublisher) publishLeaving() {
	for _, record := range p.node.pool.ExportLeaving() {
		version := record.Serial * 2
		if record.Leaving {
			version++
		}
		p.publish(gossipLeaving, string(record.Upstream), version, record)
	}
}

func (p *gossipPublisher) publish(kind nutmegpeer.ItemKind, key string, version uint64, value any) {
	raw, err := json.Marshal(value)
	if err == nil {
		err = p.node.peers.Gossip().Put(nutmegpeer.Item{
			Kind: kind, Key: key, Version: version, Expires: time.Now().Add(gossipLifetime), Value: raw,
		})
	}
	if err != nil {
		p.node.count("gossip_failures")
	}
}

func (p *gossipPublisher) receiveLeaving(i nutmegpeer.Item) {
	var record nutmegroute.LeavingRecord
	if json.Unmarshal(i.Value, &record) != nil {
		p.node.count("gossip_failures")
		return
	}
	p.node.pool.MergeLeaving([]nutmegroute.LeavingRecord{record})
}
