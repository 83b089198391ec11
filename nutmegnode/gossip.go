package nutmegnode

import (
	"context"
	"encoding/json"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// gossipLeaving is the kind of gossip on leaving upstreams.
const gossipLeaving nutmegpeer.ItemKind = "leaving"

// sharer tells peers of leaving upstreams.
type sharer struct {
	node *Node
	done chan struct{}
}

func newSharer(n *Node) *sharer {
	return &sharer{node: n, done: make(chan struct{})}
}

// register lets the peers' gossip carry what is shared.
func (s *sharer) register() {
	g := s.node.peers.Gossip()
	g.Register(gossipLeaving, nutmegpeer.ItemRule{
		MaxItems: maxGossipItems, MaxBytes: maxGossipBytes, Urgent: true, OnItem: s.takeLeaving,
	})
}

// run puts what this instance knows into the gossip until ctx ends. What is
// known there already goes no further.
func (s *sharer) run(ctx context.Context) {
	defer close(s.done)
	ticker := time.NewTicker(gossipInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.share()
		}
	}
}

func (s *sharer) share() {
	for _, note := range s.node.pool.ExportLeaving() {
		version := note.Serial * 2
		if note.Leaving {
			version++
		}
		s.put(gossipLeaving, string(note.Upstream), version, note)
	}
}

func (s *sharer) put(kind nutmegpeer.ItemKind, key string, version uint64, value any) {
	raw, err := json.Marshal(value)
	if err == nil {
		err = s.node.peers.Gossip().Put(nutmegpeer.Item{
			Kind: kind, Key: key, Version: version, Expires: time.Now().Add(gossipLife), Value: raw,
		})
	}
	if err != nil {
		s.node.count("gossip_failures")
	}
}

func (s *sharer) takeLeaving(i nutmegpeer.Item) {
	var note nutmegroute.LeavingRecord
	if json.Unmarshal(i.Value, &note) != nil {
		s.node.count("gossip_failures")
		return
	}
	s.node.pool.MergeLeaving([]nutmegroute.LeavingRecord{note})
}
