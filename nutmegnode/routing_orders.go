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
	engineOrderKind = "engine_order" // objects named by upstream
	weightStoreKind = "weight_store"
)

var weightStoreKey = nutmegstore.Key{Kind: weightStoreKind, Name: "schedule"}

// weightSchedule books the weight store's time for loads.
type weightSchedule struct {
	Until time.Time `json:"until"`
}

// orderStore keeps the engines' order records in the platform's store.
type orderStore struct {
	node *Node
}

// Change implements nutmegroute.OrderStore.
func (s orderStore) Change(ctx context.Context, u nutmegid.Upstream, change func(*nutmegroute.OrderRecord) error) (nutmegroute.OrderRecord, error) {
	key := nutmegstore.Key{Kind: engineOrderKind, Name: string(u)}
	doc, err := nutmegstore.Update(ctx, s.node.writer, key, change)
	return doc.Body, err
}

// Reserve implements nutmegroute.OrderStore. Clocks only pace the loads: the
// weight store itself refuses what is too much.
func (s orderStore) Reserve(ctx context.Context, span time.Duration) (time.Duration, error) {
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

// orderRun is an order that this instance carries out or has carried out.
type orderRun struct {
	ended  bool
	record nutmegroute.OrderRecord
	err    error
}

// order implements orderFunc. The first call begins the order in the
// background; later ones report its end.
func (r *router) order(_ context.Context, id nutmegconf.EffectID, u nutmegid.Upstream, o nutmegconf.EngineOrder) (bool, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	run, ok := r.ordered[id]
	if !ok {
		if r.ctx.Err() != nil {
			return false, r.ctx.Err()
		}
		run = &orderRun{}
		r.ordered[id] = run
		order := nutmegroute.EngineOrder{
			ID: string(id), Upstream: u, Kind: nutmegroute.EngineOrderKind(o.Action),
			Model: o.Model, Adapter: o.Adapter, Version: o.Version, Role: o.Role, Bytes: loadBytes(o.Action),
		}
		r.running.Go(func() { r.runOrder(id, run, order) })
	}
	if !run.ended {
		return false, nil
	}
	delete(r.ordered, id)
	return run.err == nil, run.err
}

func loadBytes(action nutmegconf.IntentKind) int64 {
	switch action {
	case nutmegconf.IntentLoadModel, nutmegconf.IntentLoadAdapter, nutmegconf.IntentLoadVersion:
		return orderBytes
	}
	return 0
}

// runOrder carries an order out. One that ended as failed counts as ended: its
// record tells why, and a new intent is needed.
func (r *router) runOrder(id nutmegconf.EffectID, run *orderRun, order nutmegroute.EngineOrder) {
	record, err := r.orders.Run(r.ctx, order, false)
	var busy *nutmegroute.OrderBusyError
	if errors.As(err, &busy) && !r.isAlive(busy.Record.Holder) {
		record, err = r.orders.Run(r.ctx, order, true)
	}
	if err == nil && record.State == nutmegroute.OrderFailed {
		r.node.count("engine_orders_failed")
		r.node.log.WithField("order", id).WithField("engine", order.Upstream).Error("engine order failed: " + record.Detail)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	run.ended = true
	run.record = record
	run.err = err
}

// isAlive says whether an incarnation is believed alive. A mistake is harmless:
// the fencing number of a taken order rises.
func (r *router) isAlive(i nutmegid.Incarnation) bool {
	if i == r.node.incarnation {
		return true
	}
	for _, m := range r.node.peers.Members() {
		if m.Incarnation == i {
			return m.State == nutmegpeer.StateAlive
		}
	}
	return false
}

// upstreamLeaves queues the move of a leaving engine's cache.
func (n *Node) upstreamLeaves(note nutmegroute.LeavingRecord) {
	n.log.WithField("upstream", note.Upstream).Info("upstream is leaving")
	n.count("upstreams_leaving")
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindUpstream, Upstream: note.Upstream, Detail: "leaving"})
	select {
	case n.router.leave <- note:
	default:
	}
}

// moveLoop moves the caches of leaving engines.
func (r *router) moveLoop() {
	for {
		select {
		case <-r.ctx.Done():
			return
		case note := <-r.leave:
			moved, err := r.orders.MoveCache(r.ctx, note.Upstream, note.Serial)
			if err != nil {
				r.node.count("cache_moves_failed")
			}
			metrics.GetOrRegisterCounter("cache_blocks_moved", r.node.metrics).Inc(int64(moved))
		}
	}
}
