package nutmegstand

import (
	"maps"
	"net/http"
	"slices"
	"strings"
	"time"
)

// EngineOrder is one command to an engine, such as loading a model.
type EngineOrder struct {
	ID      string `json:"id"`
	Fence   uint64 `json:"fence"`
	Kind    string `json:"kind"` // must be in orderKinds
	Model   string `json:"model,omitempty"`
	Adapter string `json:"adapter,omitempty"`
	Version string `json:"version,omitempty"`
	Role    string `json:"role,omitempty"`
}

var orderKinds = []string{"load_model", "unload_model", "load_adapter", "unload_adapter", "load_version", "change_role"}

// EngineState describes what an engine has loaded.
type EngineState struct {
	Fence    uint64            `json:"fence"` // highest fencing token seen; 0 if the engine ignores fencing tokens
	Models   map[string]string `json:"models"`
	Adapters map[string]string `json:"adapters"` // adapter name to model name
	Role     string            `json:"role"`
	Loading  string            `json:"loading,omitempty"`
	Failed   string            `json:"failed,omitempty"` // ID of the last order that failed
}

// OrderRecord records one order that reached an engine and what became of it.
type OrderRecord struct {
	EngineOrder

	At      time.Time `json:"at"`
	Refused bool      `json:"refused"`
	Applied bool      `json:"applied"`
}

// modelState holds the engine's state and the records of its orders.
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

// State returns a copy of what the engine has loaded.
func (e *Engine) State() EngineState {
	e.mu.Lock()
	defer e.mu.Unlock()
	state := e.models.state
	state.Models = maps.Clone(state.Models)
	state.Adapters = maps.Clone(state.Adapters)
	return state
}

// Orders returns the records of all orders that reached the engine.
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

// postOrder accepts an order and answers at once; the order is applied later.
func (e *Engine) postOrder(w http.ResponseWriter, r *http.Request) {
	var order EngineOrder
	if !readJSON(w, r, &order) {
		return
	}
	if !slices.Contains(orderKinds, order.Kind) {
		http.Error(w, "the order's kind is unknown", http.StatusBadRequest)
		return
	}
	if !e.acceptOrder(order) {
		http.Error(w, "the fencing number is old", http.StatusConflict)
		return
	}
	w.WriteHeader(http.StatusAccepted)
}

// acceptOrder records an order and starts it, unless its fencing token is stale.
// It reports whether the order was started.
func (e *Engine) acceptOrder(order EngineOrder) bool {
	record := &OrderRecord{EngineOrder: order, At: time.Now()}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.models.records = append(e.models.records, record)
	if e.cfg.Fencing {
		record.Refused = order.Fence < e.models.state.Fence
		e.models.state.Fence = max(e.models.state.Fence, order.Fence)
	}
	if !record.Refused {
		go e.executeOrder(record)
	}
	return !record.Refused
}

// executeOrder loads the weights that an order needs, then applies the order
// unless a newer fencing token has arrived in the meantime.
func (e *Engine) executeOrder(record *OrderRecord) {
	timer := time.NewTimer(e.cfg.OrderDelay)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-e.ctx.Done():
		return
	}
	if !e.fetchWeights(record.EngineOrder) {
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

// fetchWeights fetches the weights that an order needs from the weight store. It
// reports true if the order needs none.
func (e *Engine) fetchWeights(order EngineOrder) bool {
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
