package nutmegstand

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EngineOrder is one order to an engine.
type EngineOrder struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"` // one of orderKinds
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

var orderKinds = []string{"load_model", "unload_model", "load_adapter", "unload_adapter", "load_version", "change_role"}

// EngineState is what an engine has loaded.
type EngineState struct {
	Fence    uint64            `json:"fence"` // the highest seen; 0 where the engine ignores them
	Models   map[string]string `json:"models"`
	Adapters map[string]string `json:"adapters"` // model by adapter
	Role     string            `json:"role"`
	Loading  string            `json:"loading,omitempty"`
	Failed   string            `json:"failed,omitempty"` // id of the last order that failed
}

// OrderRecord is one order that reached an engine.
type OrderRecord struct {
	EngineOrder

	At      time.Time `json:"at"`
	Refused bool      `json:"refused"`
	Applied bool      `json:"applied"`
}

// modelState is the engine's state and its record of orders.
type modelState struct {
	state   EngineState
	records []*OrderRecord
}

func newModelState(models []string) modelState {
	m := modelState{state: EngineState{Models: make(map[string]string), Adapters: make(map[string]string)}}
	for _, name := range models {
		m.state.Models[name] = ""
	}
	return m
}

// State returns what the engine has loaded.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.models.state
	state.Models = maps.Clone(state.Models)
	state.Adapters = maps.Clone(state.Adapters)
	return state
}

// Orders returns the orders that reached the engine.
func (e *Engine) Orders() []OrderRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	records := make([]OrderRecord, 0, len(e.models.records))
	for _, r := range e.models.records {
		records = append(records, *r)
	}
	return records
}

func (e *Engine) getState(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, e.State())
}

// postOrder answers at once; the order takes effect later.
func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	if !slices.Contains(orderKinds, order.Kind) {
		http.Error(w, "the order's kind is unknown", http.StatusBadRequest)
		return
	}
	if !e.give(order) {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// give records an order and starts it, unless its fencing number is old.
func (e *Engine) give(order EngineOrder) bool {
	record := &OrderRecord{EngineOrder: order, At: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models.records = append(e.models.records, record)
	if e.cfg.Fencing {
		record.Refused = order.Fence < e.models.state.Fence
		e.models.state.Fence = max(e.models.state.Fence, order.Fence)
	}
	if !record.Refused {
		go e.obey(record)
	}
	return !record.Refused
}

// obey loads what an order needs, then puts it into effect.
func (e *Engine) obey(record *OrderRecord) {
	timer := time.NewTimer(e.cfg.OrdersSettle)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
		return
	}
	if !e.fetch(record.EngineOrder) {
		e.mu.Lock()
		e.models.state.Failed = record.ID
		e.mu.Unlock()
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.cfg.Fencing && record.Fence < e.models.state.Fence {
		return
	}
	e.models.state.apply(record.EngineOrder)
	record.Applied = true
}

// fetch brings an order's weights from the weight store.
func (e *Engine) fetch(order EngineOrder) bool {
	if e.cfg.Weights == nil || !strings.HasPrefix(order.Kind, "load_") {
		return true
	}
	name := order.Model
	if order.Kind == "load_adapter" {
		name = order.Adapter
	}
	e.mu.Lock()
	e.models.state.Loading = name
	e.mu.Unlock()
	ok := e.cfg.Weights.Fetch(e.ctx, e.cfg.Name, name)
	e.mu.Lock()
	e.models.state.Loading = ""
	e.mu.Unlock()
	return ok
}

func (s *EngineState) apply(order EngineOrder) {
	switch order.Kind {
	case "load_model", "load_version":
		s.Models[order.Model] = order.Version
	case "unload_model":
		delete(s.Models, order.Model)
	case "unload_adapter":
		delete(s.Adapters, order.Adapter)
	case "load_adapter":
		s.Adapters[order.Adapter] = order.Model
	case "change_role":
		s.Role = order.Role
	}
}
