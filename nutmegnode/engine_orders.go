package nutmegnode

import (
	"context"
	"errors"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

const (
	engineOrderKind = "engine_order" // object kind; objects are named by upstream
	weightStoreKind = "weight_store"
)

var weightStoreKey = nutmegstore.Key{Kind: weightStoreKind, Name: "schedule"}

// weightSchedule records until when the weight store is reserved for loads.
type weightSchedule struct {
	Until time.Time `json:"until"`
}

// engineOrderStore stores the engines' order records in the platform's store.
type engineOrderStore struct {
	node *Node
}

// Change implements nutmegroute.OrderStore.
func (s engineOrderStore) Change(ctx context.Context, u nutmegid.Upstream, change func(*nutmegroute.OrderRecord) error) (nutmegroute.OrderRecord, error) {
	key := nutmegstore.Key{Kind: engineOrderKind, Name: string(u)}
	doc, err := nutmegstore.Update(ctx, s.node.writer, key, change)
	return doc.Body, err
}

// Reserve implements nutmegroute.OrderStore. Clock skew between instances is
// harmless: the schedule only paces loads, and the weight store itself refuses
// excess load.
func (s engineOrderStore) Reserve(ctx context.Context, span time.Duration) (time.Duration, error) {
	var start time.Time
	_, err := nutmegstore.Update(ctx, s.node.writer, weightStoreKey, func(w *weightSchedule) error {
		start = time.Now()
		if w.Until.After(start) {
			start = w.Until
		}
		w.Until = start.Add(span)
		return nil
	})
	return time.Until(start), err
}

// engineOrderRun is an order that this instance is executing or has executed.
type engineOrderRun struct {
	ended  bool
	record nutmegroute.OrderRecord
	err    error
}

// engineOrder implements engineOrderFunc. The first call for an ID starts the
// order in the background; later calls report whether it has ended.
func (m *upstreamManager) engineOrder(_ context.Context, id nutmegconf.EffectID, u nutmegid.Upstream, o nutmegconf.EngineOrder) (bool, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	run, ok := m.orderRuns[id]
	if !ok {
		if m.ctx.Err() != nil {
			return false, m.ctx.Err()
		}
		run = &engineOrderRun{}
		m.orderRuns[id] = run
		order := nutmegroute.EngineOrder{
			ID: string(id), Upstream: u, Kind: nutmegroute.EngineOrderKind(o.Action),
			Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: o.Role, Bytes: estimatedLoadBytes(o.Action),
		}
		m.background.Go(func() { m.runOrder(id, run, order) })
	}
	if !run.ended {
		return false, nil
	}
	delete(m.orderRuns, id)
	return run.err == nil, run.err
}

func estimatedLoadBytes(action nutmegconf.IntentKind) int64 {
	switch action {
	case nutmegconf.IntentLoadModel, nutmegconf.IntentLoadAdapter, nutmegconf.IntentLoadVersion:
		return defaultLoadBytes
	}
	return 0
}

// runOrder executes an order. A failed order counts as done: its record holds
// the reason, and the operator has to submit a new intent.
func (m *upstreamManager) runOrder(id nutmegconf.EffectID, run *engineOrderRun, order nutmegroute.EngineOrder) {
	record, err := m.engineOrders.Run(m.ctx, order, false)
	var busy *nutmegroute.OrderBusyError
	if errors.As(err, &busy) && !m.isAlive(busy.Record.Holder) {
		record, err = m.engineOrders.Run(m.ctx, order, true)
	}
	if err == nil && record.State == nutmegroute.OrderFailed {
		m.node.count("engine_orders_failed")
		m.node.log.WithField("order", id).WithField("engine", order.Upstream).Error("engine order failed: " + record.Detail)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	run.ended = true
	run.record = record
	run.err = err
}

// isAlive reports whether an incarnation is believed to be alive. A wrong answer
// is harmless: taking over an order increments its fencing token.
func (m *upstreamManager) isAlive(i nutmegid.Incarnation) bool {
	if i == m.node.incarnation {
		return true
	}
	for _, member := range m.node.peers.Members() {
		if member.Incarnation == i {
			return member.State == nutmegpeer.StateAlive
		}
	}
	return false
}

// upstreamLeaving records that an upstream is leaving and queues the move of its
// cache. The move is skipped if the queue is full.
func (n *Node) upstreamLeaving(record nutmegroute.LeavingRecord) {
	n.log.WithField("upstream", record.Upstream).Info("upstream is leaving")
	n.count("upstreams_leaving")
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindUpstream, Upstream: record.Upstream, Detail: "leaving"})
	select {
	case n.upstreams.leaving <- record:
	default:
		n.count("cache_moves_skipped")
		n.log.WithField("upstream", record.Upstream).Warn("the cache of the leaving upstream is not moved: too many moves are waiting")
	}
}

// moveCaches moves the caches of leaving engines to other engines.
func (m *upstreamManager) moveCaches() {
	for {
		select {
		case <-m.ctx.Done():
			return
		case record := <-m.leaving:
			moved, err := m.engineOrders.MoveCache(m.ctx, record.Upstream, record.Serial)
			if err != nil {
				m.node.count("cache_moves_failed")
				m.node.log.WithField("upstream", record.Upstream).WithError(err).Warn("the cache of the leaving upstream was not moved")
			}
			metrics.GetOrRegisterCounter("cache_blocks_moved", m.node.metrics).Inc(int64(moved))
		}
	}
}
