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

// EngineOrderKind is what an order to an engine changes.
type EngineOrderKind string

// The kinds of orders to engines.
const (
	OrderLoadModel   EngineOrderKind = "load_model"
	OrderUnloadModel EngineOrderKind = "unload_model"
	OrderLoadAdapter EngineOrderKind = "load_adapter"
	OrderDropAdapter EngineOrderKind = "unload_adapter"
	OrderLoadVersion EngineOrderKind = "load_version"
	OrderChangeRole  EngineOrderKind = "change_role"
	OrderMoveCache   EngineOrderKind = "move_cache" // from a leaving engine; sent to no engine as an order
)

// EngineOrder is one order to an engine.
type EngineOrder struct {
	ID       string            `json:"id"` // names the order over all of its attempts
	Upstream nutmegid.Upstream `json:"upstream"`
	Kind     EngineOrderKind   `json:"kind"`
	Model    nutmegid.Model    `json:"model,omitempty"`
	Adapter  string            `json:"adapter,omitempty"`
	Version  string            `json:"version,omitempty"`
	Role     string            `json:"role,omitempty"`
	Bytes    int64             `json:"bytes,omitempty"` // to load from the weight store
}

// OrderState says how far an order has come.
type OrderState string

// The states of an order.
const (
	OrderRunning OrderState = "running"
	OrderDone    OrderState = "done"
	OrderFailed  OrderState = "failed"
)

// OrderRecord is the last order to one engine. Its holder alone may send it.
type OrderRecord struct {
	Fence  uint64               `json:"fence"` // rises with each claim
	Order  EngineOrder          `json:"order"`
	Holder nutmegid.Incarnation `json:"holder"`
	State  OrderState           `json:"state"`
	Detail string               `json:"detail,omitempty"`
	Last   *EngineOrder         `json:"last,omitempty"` // the last one that was done
}

// OrderStore keeps one record for each engine in the platform's store.
type OrderStore interface {
	// Change applies change by compare and set; an error of change is returned as it is.
	Change(ctx context.Context, u nutmegid.Upstream, change func(*OrderRecord) error) (OrderRecord, error)
	// Reserve books span of the weight store's time for one load and returns the wait until then.
	Reserve(ctx context.Context, span time.Duration) (time.Duration, error)
}

// OrderBusyError says that another instance holds the engine's order.
type OrderBusyError struct {
	Record OrderRecord
}

// Error names the holder and the remedy.
func (e *OrderBusyError) Error() string {
	return fmt.Sprintf("order %q to engine %q is held by incarnation %q; wait for its end or take it over",
		e.Record.Order.ID, e.Record.Order.Upstream, e.Record.Holder)
}

// OrdererConfig configures an orderer.
type OrdererConfig struct {
	Pool           *Pool
	Store          OrderStore
	HTTP           *http.Client
	Incarnation    nutmegid.Incarnation
	BytesPerSecond int64         // of the weight store; DefaultWeightRate when zero
	Poll           time.Duration // between two readings of an engine's state; DefaultOrderPoll when zero
	Settle         time.Duration // after which an effect is read again; DefaultOrderSettle when zero
	Attempts       int           // DefaultOrderAttempts when zero
}

// Orderer gives orders to engines, one at a time for each engine.
type Orderer struct {
	cfg OrdererConfig
}

// NewOrderer returns an orderer.
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

// Run claims an order, sends it and verifies its effect by reading. An order
// that has ended is not sent again: its record is returned. With takeOver the
// claim of an instance that has died is taken; its late messages carry a lower
// fencing number, and where an engine ignores that, the verification notices.
func (o *Orderer) Run(ctx context.Context, order EngineOrder, takeOver bool) (OrderRecord, error) {
	record, mine, err := o.claim(ctx, order, takeOver)
	if err != nil || !mine {
		return record, err
	}
	failed := o.carryOut(ctx, record)
	return o.finish(context.WithoutCancel(ctx), record, failed)
}

var errOrderEnded = errors.New("the order has ended")

func (o *Orderer) claim(ctx context.Context, order EngineOrder, takeOver bool) (OrderRecord, bool, error) {
	var ended OrderRecord
	record, err := o.cfg.Store.Change(ctx, order.Upstream, func(r *OrderRecord) error {
		if r.Order.ID == order.ID && r.State != OrderRunning {
			ended = *r
			return errOrderEnded
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
	if errors.Is(err, errOrderEnded) {
		return ended, false, nil
	}
	return record, err == nil, err
}

var errOrderTaken = errors.New("another instance has taken the order over")

func (o *Orderer) finish(ctx context.Context, held OrderRecord, failed error) (OrderRecord, error) {
	return o.cfg.Store.Change(ctx, held.Order.Upstream, func(r *OrderRecord) error {
		if r.Fence != held.Fence {
			return errOrderTaken
		}
		r.end(failed)
		return nil
	})
}

// end notes the outcome. What a moved cache changes is no state to bring back.
func (r *OrderRecord) end(failed error) {
	if failed != nil {
		r.State = OrderFailed
		r.Detail = failed.Error()
		return
	}
	r.State = OrderDone
	if r.Order.Kind != OrderMoveCache {
		done := r.Order
		r.Last = &done
	}
}

// carryOut brings back the last order's effect where an older message has
// undone it, then sends the order until its effect stays.
func (o *Orderer) carryOut(ctx context.Context, r OrderRecord) error {
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

// subject is the part of an engine's state that an order changes.
func (e EngineOrder) subject() string {
	switch e.Kind {
	case OrderLoadAdapter, OrderDropAdapter:
		return "adapter " + e.Adapter
	case OrderLoadModel, OrderUnloadModel, OrderLoadVersion:
		return "model " + string(e.Model)
	case OrderChangeRole, OrderMoveCache:
	}
	return string(e.Kind)
}

// replacedBy says whether a later order changes the same thing.
func (e EngineOrder) replacedBy(later EngineOrder) bool {
	return e.subject() == later.subject()
}

// ensure sends an order until the engine shows its effect and keeps it.
func (o *Orderer) ensure(ctx context.Context, url string, order EngineOrder, fence uint64) error {
	var err error
	for range o.cfg.Attempts {
		if err = o.once(ctx, url, order, fence); err == nil || errors.Is(err, errOldFence) {
			return err
		}
		if !pause(ctx, o.cfg.Settle) {
			return ctx.Err()
		}
	}
	return err
}

func (o *Orderer) once(ctx context.Context, url string, order EngineOrder, fence uint64) error {
	state, err := o.state(ctx, url)
	if err != nil {
		return err
	}
	if !state.shows(order) {
		if err := o.wait(ctx, order); err != nil {
			return err
		}
		if err := o.post(ctx, url, order, fence); err != nil {
			return err
		}
		if err := o.await(ctx, url, order); err != nil {
			return err
		}
	}
	if !pause(ctx, o.cfg.Settle) {
		return ctx.Err()
	}
	state, err = o.state(ctx, url)
	if err != nil {
		return err
	}
	if !state.shows(order) {
		return fmt.Errorf("engine %q did not keep the effect of order %q", order.Upstream, order.ID)
	}
	return nil
}

// wait paces loads by the weight store's rate.
func (o *Orderer) wait(ctx context.Context, order EngineOrder) error {
	if order.Bytes == 0 {
		return nil
	}
	span := time.Duration(float64(order.Bytes) / float64(o.cfg.BytesPerSecond) * float64(time.Second))
	turn, err := o.cfg.Store.Reserve(ctx, span)
	if err != nil {
		return err
	}
	if !pause(ctx, turn) {
		return ctx.Err()
	}
	return nil
}

// await reads the engine's state until it shows the order or says that it failed.
func (o *Orderer) await(ctx context.Context, url string, order EngineOrder) error {
	limit := orderTimeout + 2*time.Duration(float64(order.Bytes)/float64(o.cfg.BytesPerSecond)*float64(time.Second))
	for deadline := time.Now().Add(limit); time.Now().Before(deadline); {
		state, err := o.state(ctx, url)
		if err == nil && state.shows(order) {
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

func (s engineState) shows(order EngineOrder) bool {
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
	case OrderDropAdapter:
		_, ok := s.Adapters[order.Adapter]
		return !ok
	case OrderChangeRole:
		return s.Role == order.Role
	case OrderMoveCache:
	}
	return false
}

func (o *Orderer) state(ctx context.Context, url string) (engineState, error) {
	var state engineState
	err := exchange(ctx, o.cfg.HTTP, http.MethodGet, url+"/state", nil, &state)
	return state, err
}

var errOldFence = errors.New("the engine refused an old fencing number; another instance has taken the order over")

// orderMessage is an order as engines take it.
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
	return exchange(ctx, o.cfg.HTTP, http.MethodPost, url+"/orders", orderMessage{
		ID: order.ID, Fence: fence, Kind: order.Kind, Model: order.Model,
		Adapter: order.Adapter, Version: order.Version, Role: order.Role,
	}, nil)
}

// exchange sends a JSON body, if there is one, and decodes the answer into into,
// if it is not nil.
func exchange(ctx context.Context, client *http.Client, method, url string, body, into any) error {
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
		return errOldFence
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return fmt.Errorf("%s %s answered %s", method, url, resp.Status)
	}
	if into == nil {
		return nil
	}
	return json.NewDecoder(io.LimitReader(resp.Body, maxReportBytes)).Decode(into)
}

// pause waits for d and reports whether ctx has not ended.
func pause(ctx context.Context, d time.Duration) bool {
	sleep(ctx, d)
	return ctx.Err() == nil
}
