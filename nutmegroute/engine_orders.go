package nutmegroute

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// EngineOrderKind says what an engine order changes.
type EngineOrderKind string

// The kinds of engine orders.
const (
	OrderLoadModel     EngineOrderKind = "load_model"
	OrderUnloadModel   EngineOrderKind = "unload_model"
	OrderLoadAdapter   EngineOrderKind = "load_adapter"
	OrderUnloadAdapter EngineOrderKind = "unload_adapter"
	OrderLoadVersion   EngineOrderKind = "load_version"
	OrderChangeRole    EngineOrderKind = "change_role"
	OrderMoveCache     EngineOrderKind = "move_cache" // from a leaving engine; never sent to an engine as an order
)

// EngineOrder is a command to one engine.
type EngineOrder struct {
	ID       string            `json:"id"` // idempotency key across all attempts
	Upstream nutmegid.Upstream `json:"upstream"`
	Kind     EngineOrderKind   `json:"kind"`
	Model    nutmegid.Model    `json:"model,omitempty"`
	Adapter  string            `json:"adapter,omitempty"`
	Version  string            `json:"version,omitempty"`
	Role     string            `json:"role,omitempty"`
	Bytes    int64             `json:"bytes,omitempty"` // to load from the weight store
}

// OrderState is the progress of an order.
type OrderState string

// The states of an order.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderRecord is the latest order for one engine. Only its holder may send it.
type OrderRecord struct {
	Fence  uint64               `json:"fence"` // increases with each claim
	Order  EngineOrder          `json:"order"`
	Holder nutmegid.Incarnation `json:"holder"`
	State  OrderState           `json:"state"`
	Detail string               `json:"detail,omitempty"`
	Last   *EngineOrder         `json:"last,omitempty"` // last completed order
}

// OrderStore keeps one record per engine in the platform's store.
type OrderStore interface {
	// Change applies change by compare and swap. An error of change is returned unchanged.
	Change(ctx context.Context, u nutmegid.Upstream, change func(*OrderRecord) error) (OrderRecord, error)
	// Reserve books the weight store for a load that takes span and returns the wait before
	// the load may start.
	Reserve(ctx context.Context, span time.Duration) (time.Duration, error)
}

// OrderBusyError means that another instance holds the claim on the engine's order.
type OrderBusyError struct {
	Record OrderRecord
}

// Error names the order, its holder and the remedy.
func (e *OrderBusyError) Error() string {
	return fmt.Sprintf("order %q to engine %q is held by incarnation %q; wait for its end or take it over",
		e.Record.Order.ID, e.Record.Order.Upstream, e.Record.Holder)
}

// OrdererConfig configures an Orderer.
type OrdererConfig struct {
	Pool           *Pool
	Store          OrderStore
	HTTP           *http.Client
	Incarnation    nutmegid.Incarnation
	BytesPerSecond int64         // of the weight store; DefaultWeightRate if zero
	Poll           time.Duration // interval for polling an engine's state; DefaultOrderPoll if zero
	Settle         time.Duration // delay before an effect is verified; DefaultOrderSettle if zero
	Attempts       int           // DefaultOrderAttempts if zero
}

// Orderer sends orders to engines, one at a time per engine.
type Orderer struct {
	cfg OrdererConfig
}

// NewOrderer returns an Orderer.
func NewOrderer(cfg OrdererConfig) *Orderer {
	if cfg.BytesPerSecond == 0 {
		cfg.BytesPerSecond = DefaultWeightRate
	}
	if cfg.Poll == 0 {
		cfg.Poll = DefaultOrderPoll
	}
	if cfg.Settle == 0 {
		cfg.Settle = DefaultOrderSettle
	}
	if cfg.Attempts == 0 {
		cfg.Attempts = DefaultOrderAttempts
	}
	return &Orderer{cfg: cfg}
}

// Run claims an order, sends it and verifies its effect by reading the engine's state. An
// order that has finished is not sent again: its record is returned. With takeOver, the claim
// of a crashed instance is taken over. Delayed messages of that instance carry a lower fencing
// number; if the engine ignores fencing, the verification detects their effect.
func (o *Orderer) Run(ctx context.Context, order EngineOrder, takeOver bool) (OrderRecord, error) {
	record, claimed, err := o.claim(ctx, order, takeOver)
	if err != nil || !claimed {
		return record, err
	}
	orderErr := o.execute(ctx, record)
	return o.finish(context.WithoutCancel(ctx), record, orderErr)
}

var errOrderFinished = errors.New("the order has finished")

func (o *Orderer) claim(ctx context.Context, order EngineOrder, takeOver bool) (OrderRecord, bool, error) {
	var ended OrderRecord
	record, err := o.cfg.Store.Change(ctx, order.Upstream, func(r *OrderRecord) error {
		if r.Order.ID == order.ID && r.State != OrderRunning {
			ended = *r
			return errOrderFinished
		}
		if r.State == OrderRunning && r.Holder != o.cfg.Incarnation && !takeOver {
			return &OrderBusyError{Record: *r}
		}
		r.Fence++
		r.Order = order
		r.Holder = o.cfg.Incarnation
		r.State = OrderRunning
		r.Detail = ""
		return nil
	})
	if errors.Is(err, errOrderFinished) {
		return ended, false, nil
	}
	return record, err == nil, err
}

var errOrderSuperseded = errors.New("another instance has taken the order over")

func (o *Orderer) finish(ctx context.Context, claimed OrderRecord, orderErr error) (OrderRecord, error) {
	return o.cfg.Store.Change(ctx, claimed.Order.Upstream, func(r *OrderRecord) error {
		if r.Fence != claimed.Fence {
			return errOrderSuperseded
		}
		r.setOutcome(orderErr)
		return nil
	})
}

// setOutcome records the outcome. A cache move is not kept in Last, because it leaves no state
// to restore.
func (r *OrderRecord) setOutcome(orderErr error) {
	if orderErr != nil {
		r.State = OrderFailed
		r.Detail = orderErr.Error()
		return
	}
	r.State = OrderDone
	if r.Order.Kind != OrderMoveCache {
		done := r.Order
		r.Last = &done
	}
}

// execute restores the effect of the last completed order if a delayed message has undone it,
// and then sends the order until its effect persists.
func (o *Orderer) execute(ctx context.Context, r OrderRecord) error {
	url, ok := o.cfg.Pool.URL(r.Order.Upstream)
	if !ok {
		return fmt.Errorf("upstream %q is not configured; add it first", r.Order.Upstream)
	}
	if r.Last != nil && !r.Last.replacedBy(r.Order) {
		if err := o.ensure(ctx, url, *r.Last, r.Fence); err != nil {
			return fmt.Errorf("last order: %w", err)
		}
	}
	return o.ensure(ctx, url, r.Order, r.Fence)
}

// subject names the part of an engine's state that an order changes.
func (e EngineOrder) subject() string {
	switch e.Kind {
	case OrderLoadAdapter, OrderUnloadAdapter:
		return "adapter " + e.Adapter
	case OrderLoadModel, OrderUnloadModel, OrderLoadVersion:
		return "model " + string(e.Model)
	case OrderChangeRole, OrderMoveCache:
	}
	return string(e.Kind)
}

// replacedBy reports whether a later order changes the same part of the state.
func (e EngineOrder) replacedBy(later EngineOrder) bool {
	return e.subject() == later.subject()
}

// ensure sends an order until the engine shows its effect and keeps it.
func (o *Orderer) ensure(ctx context.Context, url string, order EngineOrder, fence uint64) error {
	var err error
	for range o.cfg.Attempts {
		if err = o.applyOnce(ctx, url, order, fence); err == nil || errors.Is(err, errStaleFence) {
			return err
		}
		if !pause(ctx, o.cfg.Settle) {
			return ctx.Err()
		}
	}
	return err
}

func (o *Orderer) applyOnce(ctx context.Context, url string, order EngineOrder, fence uint64) error {
	state, err := o.readState(ctx, url)
	if err != nil {
		return err
	}
	if !state.reflects(order) {
		if err := o.waitForWeightStore(ctx, order); err != nil {
			return err
		}
		if err := o.post(ctx, url, order, fence); err != nil {
			return err
		}
		if err := o.awaitEffect(ctx, url, order); err != nil {
			return err
		}
	}
	if !pause(ctx, o.cfg.Settle) {
		return ctx.Err()
	}
	state, err = o.readState(ctx, url)
	if err != nil {
		return err
	}
	if !state.reflects(order) {
		return fmt.Errorf("engine %q did not keep the effect of order %q", order.Upstream, order.ID)
	}
	return nil
}

// waitForWeightStore limits loads to the rate of the weight store.
func (o *Orderer) waitForWeightStore(ctx context.Context, order EngineOrder) error {
	if order.Bytes == 0 {
		return nil
	}
	span := time.Duration(float64(order.Bytes) / float64(o.cfg.BytesPerSecond) * float64(time.Second))
	delay, err := o.cfg.Store.Reserve(ctx, span)
	if err != nil {
		return err
	}
	if !pause(ctx, delay) {
		return ctx.Err()
	}
	return nil
}

// awaitEffect polls the engine's state until it reflects the order or reports that the order
// failed.
func (o *Orderer) awaitEffect(ctx context.Context, url string, order EngineOrder) error {
	limit := orderTimeout + 2*time.Duration(float64(order.Bytes)/float64(o.cfg.BytesPerSecond)*float64(time.Second))
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		state, err := o.readState(ctx, url)
		if err == nil && state.reflects(order) {
			return nil
		}
		if err == nil && state.Failed == order.ID && state.Loading == "" {
			return fmt.Errorf("engine %q could not carry out order %q", order.Upstream, order.ID)
		}
		if !pause(ctx, o.cfg.Poll) {
			return ctx.Err()
		}
	}
	return fmt.Errorf("engine %q shows no effect of order %q after %v", order.Upstream, order.ID, limit)
}

// engineState is the part of an engine's state that orders change.
type engineState struct {
	Models   map[nutmegid.Model]string `json:"models"`
	Adapters map[string]nutmegid.Model `json:"adapters"`
	Role     string                    `json:"role"`
	Loading  string                    `json:"loading"`
	Failed   string                    `json:"failed"`
}

func (s engineState) reflects(order EngineOrder) bool {
	switch order.Kind {
	case OrderLoadModel, OrderLoadVersion:
		version, ok := s.Models[order.Model]
		return ok && version == order.Version
	case OrderUnloadModel:
		_, ok := s.Models[order.Model]
		return !ok
	case OrderLoadAdapter:
		model, ok := s.Adapters[order.Adapter]
		return ok && model == order.Model
	case OrderUnloadAdapter:
		_, ok := s.Adapters[order.Adapter]
		return !ok
	case OrderChangeRole:
		return s.Role == order.Role
	case OrderMoveCache:
	}
	return false
}

func (o *Orderer) readState(ctx context.Context, url string) (engineState, error) {
	var state engineState
	err := doJSON(ctx, o.cfg.HTTP, http.MethodGet, url+"/state", nil, &state)
	return state, err
}

var errStaleFence = errors.New("the engine refused an old fencing number; another instance has taken the order over")

// orderMessage is the wire format of an order.
type orderMessage struct {
	ID      string          `json:"id"`
	Fence   uint64          `json:"fence"`
	Kind    EngineOrderKind `json:"kind"`
	Model   nutmegid.Model  `json:"model,omitempty"`
	Adapter string          `json:"adapter,omitempty"`
	Version string          `json:"version,omitempty"`
	Role    string          `json:"role,omitempty"`
}

func (o *Orderer) post(ctx context.Context, url string, order EngineOrder, fence uint64) error {
	return doJSON(ctx, o.cfg.HTTP, http.MethodPost, url+"/orders", orderMessage{
		ID: order.ID, Fence: fence, Kind: order.Kind, Model: order.Model,
		Adapter: order.Adapter, Version: order.Version, Role: order.Role,
	}, nil)
}

// doJSON sends body as JSON, unless it is nil, and decodes the response into result, unless it
// is nil.
func doJSON(ctx context.Context, client *http.Client, method, url string, body, result any) error {
	ctx, cancel := context.WithTimeout(ctx, orderCallTimeout)
	defer cancel()
	var sent bytes.Buffer
	if body != nil {
		if err := json.NewEncoder(&sent).Encode(body); err != nil {
			return err
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, url, &sent)
	if err != nil {
		return err
	}
	resp, err := client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusConflict {
		return errStaleFence
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s answered %s", method, url, resp.Status)
	}
	if result == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(result)
}

// pause waits for d and reports whether ctx is still active.
func pause(ctx context.Context, d time.Duration) bool {
	sleep(ctx, d)
	return ctx.Err() == nil
}
