package nutmegroute

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// memoryOrders is an in-memory OrderStore.
type memoryOrders struct {
	mu      sync.Mutex
	records map[nutmegid.Upstream]OrderRecord
	booked  time.Time
}

func (m *memoryOrders) Change(_ context.Context, u nutmegid.Upstream, change func(*OrderRecord) error) (OrderRecord, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := m.records[u]
	if err := change(&r); err != nil {
		return OrderRecord{}, err
	}
	m.records[u] = r
	return r, nil
}

func (m *memoryOrders) Reserve(_ context.Context, span time.Duration) (time.Duration, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if now := time.Now(); m.booked.Before(now) {
		m.booked = now
	}
	wait := time.Until(m.booked)
	m.booked = m.booked.Add(span)
	return wait, nil
}

// orderFixture holds several engines, one store and the orderers of several instances.
type orderFixture struct {
	engines []*nutmegstand.Engine
	pool    *Pool
	store   *memoryOrders
}

func newOrderFixture(t *testing.T, wrap func(http.Handler) http.Handler, configs ...nutmegstand.EngineConfig) *orderFixture {
	t.Helper()
	fixture := &orderFixture{store: &memoryOrders{records: make(map[nutmegid.Upstream]OrderRecord)}}
	list := targets(len(configs))
	for i, cfg := range configs {
		cfg.Name = string(list[i].Upstream)
		e := nutmegstand.NewEngine(cfg)
		t.Cleanup(e.Close)
		handler := e.Handler()
		if wrap != nil {
			handler = wrap(handler)
		}
		server := httptest.NewServer(handler)
		t.Cleanup(server.Close)
		list[i].URL = server.URL
		fixture.engines = append(fixture.engines, e)
	}
	fixture.pool = NewPool(PoolConfig{Chooser: NewTwoChoices(1)})
	fixture.pool.SetTargets(list)
	return fixture
}

func (fixture *orderFixture) orderer(incarnation nutmegid.Incarnation) *Orderer {
	return NewOrderer(OrdererConfig{
		Pool: fixture.pool, Store: fixture.store, HTTP: http.DefaultClient, Incarnation: incarnation,
		BytesPerSecond: 1 << 30, Poll: time.Millisecond, Settle: 5 * time.Millisecond,
	})
}

func loadOrder(u nutmegid.Upstream, id, version string) EngineOrder {
	return EngineOrder{ID: id, Upstream: u, Kind: OrderLoadModel, Model: "drafter", Version: version, Bytes: 32 << 20}
}

func TestRepeatedOrderIsSentOnce(t *testing.T) {
	fixture := newOrderFixture(t, nil, nutmegstand.EngineConfig{Fencing: true})
	order := loadOrder("engine-000", "o-1", "v2")
	for _, incarnation := range []nutmegid.Incarnation{"a", "b", "a"} {
		record, err := fixture.orderer(incarnation).Run(t.Context(), order, false)
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff(OrderDone, record.State); diff != "" {
			t.Errorf("state (-want +got):\n%s", diff)
		}
	}
	if sent := fixture.engines[0].Orders(); len(sent) != 1 {
		t.Errorf("the engine got %d orders; want 1: %v", len(sent), sent)
	}
}

func TestTakeoverUsesHigherFence(t *testing.T) {
	fixture := newOrderFixture(t, nil, nutmegstand.EngineConfig{Fencing: true})
	dead, successor := fixture.orderer("dead"), fixture.orderer("heir")
	order := loadOrder("engine-000", "o-1", "v2")
	claimed, _, err := dead.claim(t.Context(), order, false)
	if err != nil {
		t.Fatal(err)
	}
	next := loadOrder("engine-000", "o-2", "v3")
	_, err = successor.Run(t.Context(), next, false)
	var busy *OrderBusyError
	if !errors.As(err, &busy) || busy.Record.Holder != "dead" {
		t.Errorf("got error %v; want OrderBusyError with holder dead", err)
	}
	if _, err := successor.Run(t.Context(), next, true); err != nil {
		t.Fatal(err)
	}
	if err := dead.execute(t.Context(), claimed); !errors.Is(err, errStaleFence) {
		t.Errorf("delayed order returned %v; want errStaleFence", err)
	}
	if _, err := dead.finish(t.Context(), claimed, nil); !errors.Is(err, errOrderSuperseded) {
		t.Errorf("delayed outcome returned %v; want errOrderSuperseded", err)
	}
	if diff := cmp.Diff("v3", fixture.engines[0].State().Models["drafter"]); diff != "" {
		t.Errorf("version (-want +got):\n%s", diff)
	}
}

// lateOrder delivers an old order to an engine right after the engine has reported the effect
// of a new one.
type lateOrder struct {
	next http.Handler
	once sync.Once
	old  nutmegstand.EngineOrder
	want string // text in the state that triggers the delivery
}

func (l *lateOrder) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/state" {
		l.next.ServeHTTP(w, r)
		return
	}
	answer := httptest.NewRecorder()
	l.next.ServeHTTP(answer, r)
	if strings.Contains(answer.Body.String(), l.want) {
		l.once.Do(l.arrive)
	}
	_, _ = w.Write(answer.Body.Bytes())
}

func (l *lateOrder) arrive() {
	body, err := json.Marshal(l.old)
	if err != nil {
		return
	}
	r := httptest.NewRequestWithContext(context.Background(), http.MethodPost, "/orders", bytes.NewReader(body))
	l.next.ServeHTTP(httptest.NewRecorder(), r)
}

func TestOrderIsResentToEngineThatIgnoresFencing(t *testing.T) {
	late := &lateOrder{want: `"role":"prefill"`, old: nutmegstand.EngineOrder{ID: "old", Fence: 0, Kind: "change_role", Role: "decode"}}
	wrap := func(next http.Handler) http.Handler {
		late.next = next
		return late
	}
	fixture := newOrderFixture(t, wrap, nutmegstand.EngineConfig{Fencing: false})
	order := EngineOrder{ID: "new", Upstream: "engine-000", Kind: OrderChangeRole, Role: "prefill"}
	if _, err := fixture.orderer("a").Run(t.Context(), order, false); err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff("prefill", fixture.engines[0].State().Role); diff != "" {
		t.Errorf("role (-want +got):\n%s", diff)
	}
	var sent []string
	for _, o := range fixture.engines[0].Orders() {
		sent = append(sent, o.ID)
	}
	if diff := cmp.Diff([]string{"new", "old", "new"}, sent); diff != "" {
		t.Errorf("orders at the engine (-want +got):\n%s", diff)
	}
}

func TestNextOrderRestoresUndoneOrder(t *testing.T) {
	fixture := newOrderFixture(t, nil, nutmegstand.EngineConfig{Fencing: false, Models: []string{"drafter"}})
	o := fixture.orderer("a")
	if _, err := o.Run(t.Context(), loadOrder("engine-000", "o-1", "v2"), false); err != nil {
		t.Fatal(err)
	}
	url, _ := fixture.pool.URL("engine-000")
	if err := o.post(t.Context(), url, loadOrder("engine-000", "late", "v1"), 0); err != nil {
		t.Fatal(err)
	}
	waitFor(t, "the late order's effect", func() bool { return fixture.engines[0].State().Models["drafter"] == "v1" })
	role := EngineOrder{ID: "o-2", Upstream: "engine-000", Kind: OrderChangeRole, Role: "decode"}
	if _, err := o.Run(t.Context(), role, false); err != nil {
		t.Fatal(err)
	}
	state := fixture.engines[0].State()
	if diff := cmp.Diff([]string{"v2", "decode"}, []string{state.Models["drafter"], state.Role}); diff != "" {
		t.Errorf("version and role (-want +got):\n%s", diff)
	}
}

func TestLoadsRespectWeightStoreRate(t *testing.T) {
	weights := nutmegstand.NewWeightStore(nutmegstand.WeightStoreConfig{BytesPerSecond: 2 << 30, Sizes: map[string]int64{"drafter": 32 << 20}})
	cfg := nutmegstand.EngineConfig{Weights: weights}
	fixture := newOrderFixture(t, nil, cfg, cfg, cfg, cfg)
	var all sync.WaitGroup
	for i, target := range fixture.pool.targets {
		all.Go(func() {
			o := fixture.orderer(nutmegid.Incarnation(rune('a' + i)))
			if _, err := o.Run(t.Context(), loadOrder(target.Upstream, "load", "v2"), false); err != nil {
				t.Errorf("load of %s: %v", target.Upstream, err)
			}
		})
	}
	all.Wait()
	loaded := 0
	for _, e := range fixture.engines {
		if e.State().Models["drafter"] == "v2" {
			loaded++
		}
	}
	if diff := cmp.Diff(4, loaded); diff != "" {
		t.Errorf("engines with the model (-want +got):\n%s", diff)
	}
	if sent := len(weights.Fetches()); sent > 6 {
		t.Errorf("the weight store saw %d fetches for 4 loads; want at most 6", sent)
	}
}

func TestCacheOfALeavingEngineIsMovedOnce(t *testing.T) {
	cfg := nutmegstand.EngineConfig{TokenTime: time.Millisecond, PrefillTime: time.Microsecond}
	fixture := newOrderFixture(t, nil, cfg, cfg)
	prompt := []byte(strings.Repeat("p", 8*PrefixBlockBytes))
	call := nutmegstand.EngineCall{ChatRequest: nutmegstand.ChatRequest{Messages: prompt, MaxTokens: 1}}
	req := PickRequest{Prefix: PrefixBlocks(prompt), Avoid: []nutmegid.Upstream{"engine-001"}}
	for range 3 {
		mustPick(t, fixture.pool, req).Done(nil)
		pending, _ := fixture.engines[0].Submit(call)
		<-pending.Done
	}
	fixture.pool.MergeLeaving([]LeavingRecord{{Upstream: "engine-000", Serial: 1, Leaving: true}})
	moved := make([]int, 2)
	for i, incarnation := range []nutmegid.Incarnation{"a", "b"} {
		var err error
		if moved[i], err = fixture.orderer(incarnation).MoveCache(t.Context(), "engine-000", 1); err != nil {
			t.Fatal(err)
		}
	}
	if diff := cmp.Diff([]int{8, 0}, moved); diff != "" {
		t.Errorf("blocks moved by two instances (-want +got):\n%s", diff)
	}
	pending, _ := fixture.engines[1].Submit(call)
	<-pending.Done
	runs := fixture.engines[1].Runs()
	if diff := cmp.Diff(int64(8*blockTokens), runs[0].CachedTokens); diff != "" {
		t.Errorf("cached tokens at the other engine (-want +got):\n%s", diff)
	}
}
