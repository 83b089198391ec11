package nutmegtrace

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// connection names the process that dials and the address that it dials.
type connection struct {
	from string
	to   string
}

// applyLinkFault cuts, heals or silences the links between two endpoints.
func (c faultControl) applyLinkFault(s Step) error {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	switch {
	case s.Action == ActionSilence:
		for _, conn := range c.fleet.connections(s.From, s.To) {
			c.fleet.Links.Silence(conn.from, conn.to)
		}
	case s.Action == ActionHeal || s.end:
		c.state.cuts = slices.DeleteFunc(c.state.cuts, func(cut Step) bool { return cut.From == s.From && cut.To == s.To })
		c.healStep(s)
	default:
		c.state.cuts = append(c.state.cuts, s)
		c.cut(s)
	}
	return nil
}

func (c faultControl) cut(s Step) {
	for _, conn := range c.fleet.connections(s.From, s.To) {
		c.fleet.Links.Cut(conn.from, conn.to)
	}
}

// healStep heals the links of one step, except those that another step still cuts.
func (c faultControl) healStep(s Step) {
	for _, conn := range c.fleet.connections(s.From, s.To) {
		c.fleet.Links.Heal(conn.from, conn.to)
	}
	for _, other := range c.state.cuts {
		c.cut(other)
	}
}

func (c faultControl) healLinks() {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for _, s := range c.state.cuts {
		for _, conn := range c.fleet.connections(s.From, s.To) {
			c.fleet.Links.Heal(conn.from, conn.to)
		}
	}
	c.state.cuts = nil
	for instance, endpoints := range c.state.frozenEndpoints {
		c.fleet.Links.Thaw(endpoints...)
		delete(c.state.frozenEndpoints, instance)
	}
}

// reachable reports whether an instance can reach the platform, directly or
// through peers.
func (c faultControl) reachable(instance int) bool {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	seen := make(map[int]bool)
	queue := []int{instance}
	for len(queue) > 0 {
		current := queue[0]
		queue = queue[1:]
		if seen[current] || len(c.state.frozenEndpoints[current]) > 0 {
			continue
		}
		if _, up := c.target.Address(current); !up {
			continue
		}
		seen[current] = true
		if !c.isCut(current, endpointPlatform) {
			return true
		}
		for other := range c.target.Instances() {
			if !c.isCut(current, instanceEndpoint(other)) && !c.isCut(other, instanceEndpoint(current)) {
				queue = append(queue, other)
			}
		}
	}
	return false
}

func instanceEndpoint(instance int) string {
	return fmt.Sprintf("instance:%d", instance)
}

// isCut reports whether a step cuts an instance off from the platform or from
// another instance. The caller holds state.mu.
func (c faultControl) isCut(instance int, to string) bool {
	return slices.ContainsFunc(c.state.cuts, func(s Step) bool {
		from := s.From == instanceEndpoint(instance) || s.From == endpointAll
		toPeers := s.To == endpointPeers && to != endpointPlatform
		return from && (s.To == to || s.To == endpointAll || toPeers)
	})
}

// applyInstanceAction stops, starts, replaces, freezes or thaws one instance.
func (c faultControl) applyInstanceAction(ctx context.Context, s Step) error {
	switch {
	case s.Action == ActionFreeze && !s.end:
		c.state.mu.Lock()
		defer c.state.mu.Unlock()
		endpoints := c.fleet.endpoints(s.Instance)
		c.state.frozenEndpoints[s.Instance] = endpoints
		c.fleet.Links.Freeze(endpoints...)
		return nil
	case s.Action == ActionFreeze || s.Action == ActionThaw:
		c.state.mu.Lock()
		defer c.state.mu.Unlock()
		c.fleet.Links.Thaw(c.state.frozenEndpoints[s.Instance]...)
		delete(c.state.frozenEndpoints, s.Instance)
		return nil
	case s.Action == ActionKill && !s.end:
		c.fleet.killNode(s.Instance)
		return nil
	case s.Action == ActionStop && !s.end:
		return c.fleet.stopNode(ctx, s.Instance)
	case s.Action == ActionReplace:
		return errors.Join(c.fleet.stopNode(ctx, s.Instance), c.startNode(s.Instance))
	}
	return c.startNode(s.Instance)
}

// startNode starts a new instance in a slot and applies the active cuts to it.
func (c faultControl) startNode(slot int) error {
	if c.fleet.node(slot) != nil {
		return fmt.Errorf("instance %d is running; stop or kill it first", slot)
	}
	if err := c.fleet.StartNode(slot); err != nil {
		return err
	}
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	for _, s := range c.state.cuts {
		c.cut(s)
	}
	return nil
}

// killNode ends an instance immediately.
func (f *Fleet) killNode(slot int) {
	n := f.removeNode(slot)
	if n == nil {
		return
	}
	n.Kill()
	f.publishLiveList()
}

// stopNode ends an instance gracefully.
func (f *Fleet) stopNode(ctx context.Context, slot int) error {
	n := f.removeNode(slot)
	if n == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, stopTimeout)
	defer cancel()
	err := n.Stop(ctx)
	f.publishLiveList()
	return err
}

// removeNode removes the instance of a slot from the fleet and from load
// balancing. It returns nil if the slot is empty.
func (f *Fleet) removeNode(slot int) stopper {
	f.setDown(slot)
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	n := f.Nodes[slot]
	f.Nodes[slot] = nil
	if n == nil {
		return nil
	}
	return n
}

// stopper is an entry instance that can be ended.
type stopper interface {
	Stop(ctx context.Context) error
	Kill()
}

// markLeaving marks upstreams as leaving on the platform's live list.
func (f *Fleet) markLeaving(upstreams []nutmegid.Upstream) {
	entries := slices.Clone(f.Platform.Live())
	for n, e := range entries {
		if slices.Contains(upstreams, nutmegid.Upstream(e.Name)) {
			entries[n].State = nutmegstand.LiveLeaving
		}
	}
	f.Platform.SetLive(entries)
}

// endpoints returns the process name and the addresses of an instance.
func (f *Fleet) endpoints(slot int) []string {
	endpoints := []string{instanceName(slot)}
	if n := f.node(slot); n != nil {
		endpoints = append(endpoints, n.Addresses().Callers, n.Addresses().Peers)
	}
	return endpoints
}

// connections lists the connections between two endpoints, in both directions.
func (f *Fleet) connections(from, to string) []connection {
	if from == endpointCallers {
		return f.callerConnections(to)
	}
	var conns []connection
	for slot := range f.Nodes {
		if n, single := parseInstanceEndpoint(from); single && n != slot {
			continue
		}
		conns = append(conns, f.slotConnections(slot, to)...)
	}
	return conns
}

func (f *Fleet) callerConnections(to string) []connection {
	var conns []connection
	for slot := range f.Nodes {
		if n, single := parseInstanceEndpoint(to); single && n != slot {
			continue
		}
		if address, up := f.Address(slot); up {
			conns = append(conns, connection{from: endpointCallers, to: address.Callers})
		}
	}
	return conns
}

func (f *Fleet) slotConnections(slot int, to string) []connection {
	var conns []connection
	name := instanceName(slot)
	if to == endpointPlatform || to == endpointAll {
		conns = append(conns, connection{from: name, to: strings.TrimPrefix(f.PlatformURL, "http://")})
	}
	if to == endpointUpstreams || to == endpointAll {
		for _, u := range f.Upstreams {
			conns = append(conns, connection{from: name, to: strings.TrimPrefix(u.URL, "http://")})
		}
	}
	target, single := parseInstanceEndpoint(to)
	if !single && to != endpointPeers && to != endpointAll {
		return conns
	}
	own := f.node(slot)
	for other := range f.Nodes {
		peer := f.node(other)
		if other == slot || peer == nil || (single && other != target) {
			continue
		}
		conns = append(conns, connection{from: name, to: peer.Addresses().Peers})
		if own != nil {
			conns = append(conns, connection{from: instanceName(other), to: own.Addresses().Peers})
		}
	}
	return conns
}
