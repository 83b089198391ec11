package nutmegconf

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"sync"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// TestMain sets a fixed seed and the number of checks for rapid, unless flags set
// them.
func TestMain(m *testing.M) {
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	if flag.Lookup("rapid.checks").Value.String() == "100" {
		_ = flag.Set("rapid.checks", "300")
	}
	os.Exit(m.Run())
}

// memoryStore is an in-memory nutmegstore.API that can lose answers and go down.
type memoryStore struct {
	mu          sync.Mutex
	objects     map[nutmegstore.Key]nutmegstore.Object
	version     nutmegid.Version
	writes      int
	random      *rand.Rand
	lostAnswers float64 // share of writes that take effect but return an unknown outcome
	down        bool
	beforeWrite func(key nutmegstore.Key) // called before each write; may be nil
}

func newMemoryStore(seed uint64) *memoryStore {
	return &memoryStore{objects: make(map[nutmegstore.Key]nutmegstore.Object), random: rand.New(rand.NewPCG(seed, seed))}
}

// storeError returns an error as the platform's store does.
func storeError(kind nutmegstore.ErrorKind, key nutmegstore.Key) error {
	return &nutmegstore.Error{Kind: kind, Key: key, Remedy: "test"}
}

// Get implements nutmegstore.API.
func (s *memoryStore) Get(_ context.Context, key nutmegstore.Key) (nutmegstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	switch {
	case s.down:
		return o, storeError(nutmegstore.KindUnavailable, key)
	case !ok:
		return o, storeError(nutmegstore.KindNotFound, key)
	}
	return o, nil
}

// Create implements nutmegstore.API.
func (s *memoryStore) Create(_ context.Context, key nutmegstore.Key, value []byte) (nutmegid.Version, error) {
	return s.put(key, value, 0)
}

// Replace implements nutmegstore.API.
func (s *memoryStore) Replace(_ context.Context, key nutmegstore.Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	return s.put(key, value, version)
}

// Delete implements Remover.
func (s *memoryStore) Delete(_ context.Context, key nutmegstore.Key, version nutmegid.Version) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.objects[key].Version != version {
		return storeError(nutmegstore.KindConflict, key)
	}
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) put(key nutmegstore.Key, value []byte, base nutmegid.Version) (nutmegid.Version, error) {
	if s.beforeWrite != nil {
		s.beforeWrite(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, storeError(nutmegstore.KindUnavailable, key)
	}
	if len(value) > nutmegstore.MaxValueBytes {
		return 0, storeError(nutmegstore.KindTooLarge, key)
	}
	if s.objects[key].Version != base {
		return 0, storeError(nutmegstore.KindConflict, key)
	}
	s.version++
	s.writes++
	s.objects[key] = nutmegstore.Object{Key: key, Version: s.version, Value: value}
	if s.random.Float64() < s.lostAnswers {
		return 0, storeError(nutmegstore.KindUnknown, key)
	}
	return s.version, nil
}

// count returns the number of objects of a kind.
func (s *memoryStore) count(kind string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for key := range s.objects {
		if key.Kind == kind {
			n++
		}
	}
	return n
}

// fakeFleet implements EffectApplier and FleetState in place of budgets and
// engines. It counts how often each effect was applied.
type fakeFleet struct {
	mu        sync.Mutex
	applied   map[EffectID]int
	prepaid   map[nutmegid.BudgetID]nutmegid.Tokens
	leased    map[nutmegid.BudgetID]nutmegid.Tokens
	failApply func() bool // called before an effect is applied; true makes it fail
	alive     map[nutmegid.Incarnation]bool
}

func newFakeFleet() *fakeFleet {
	return &fakeFleet{
		applied:   make(map[EffectID]int),
		prepaid:   make(map[nutmegid.BudgetID]nutmegid.Tokens),
		leased:    make(map[nutmegid.BudgetID]nutmegid.Tokens),
		alive:     make(map[nutmegid.Incarnation]bool),
		failApply: func() bool { return false },
	}
}

// Apply implements EffectApplier.
func (f *fakeFleet) Apply(_ context.Context, e Effect) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failApply() {
		return false, storeError(nutmegstore.KindUnavailable, nutmegstore.Key{Kind: "budget", Name: string(e.Budget)})
	}
	if f.applied[e.ID] == 0 && e.Kind == EffectTopUp {
		f.prepaid[e.Budget] += e.Tokens
	}
	if f.applied[e.ID] == 0 && e.Kind == EffectLower {
		f.prepaid[e.Budget] -= e.Tokens
	}
	f.applied[e.ID]++
	return true, nil
}

// appliedCount returns how often an effect was applied.
func (f *fakeFleet) appliedCount(id EffectID) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.applied[id]
}

// Budget implements FleetState.
func (f *fakeFleet) Budget(_ context.Context, id nutmegid.BudgetID) (BudgetState, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return BudgetState{Exists: f.prepaid[id] > 0, Prepaid: f.prepaid[id], Leased: f.leased[id]}, nil
}

// LeasedTokens implements FleetState.
func (f *fakeFleet) LeasedTokens(context.Context, nutmegid.Incarnation) (nutmegid.Tokens, error) {
	return 70, nil
}

// InFlight implements FleetState.
func (f *fakeFleet) InFlight() int { return 0 }

// Instances implements FleetState.
func (f *fakeFleet) Instances(i nutmegid.Incarnation) (int, bool) { return 2, f.alive[i] }

// testInstance is the configuration part of one instance on a store.
type testInstance struct {
	planner *Planner
	rollout *Rollout
	view    *View
	store   *memoryStore
	fleet   *fakeFleet
}

func newTestInstance(store *memoryStore, f *fakeFleet) *testInstance {
	view := NewView()
	rollout := NewRollout(RolloutConfig{View: view})
	return &testInstance{
		view:    view,
		rollout: rollout,
		store:   store,
		fleet:   f,
		planner: NewPlanner(PlannerConfig{
			Store:        nutmegstore.NewWriter(store, nutmegid.NewIncarnation()),
			Rollout:      rollout,
			Effects:      f,
			EngineOrders: true,
			FleetState:   func() FleetState { return f },
			Remover:      store,
		}),
	}
}

var fleetActor = Actor{Name: "ada"}

// accept plans and confirms the intents.
func (inst *testInstance) accept(t *testing.T, intents ...Intent) Confirmation {
	t.Helper()
	plan, err := inst.planner.Plan(t.Context(), fleetActor, "test", intents)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	done, err := inst.planner.Confirm(t.Context(), fleetActor, plan.ID)
	if err != nil {
		t.Fatalf("confirm: %v", err)
	}
	return done
}

// newConfiguredInstance returns an instance whose configuration has two owners with
// one workspace each, a route and two upstreams.
func newConfiguredInstance(t *testing.T) *testInstance {
	t.Helper()
	inst := newTestInstance(newMemoryStore(1), newFakeFleet())
	inst.accept(
		t,
		Intent{Kind: IntentAddOwner, Owner: "kaca"},
		Intent{Kind: IntentAddOwner, Owner: "brazos"},
		Intent{Kind: IntentAddWorkspace, Workspace: "rack", Owner: "kaca", KeyHashes: []string{HashKey("rack")}},
		Intent{Kind: IntentAddWorkspace, Workspace: "rework", Owner: "brazos"},
		Intent{Kind: IntentAddBudget, Budget: "workspace/rack", Tokens: 100},
		Intent{Kind: IntentAddRoute, Route: "orders", RetryPolicy: RetryProtected},
		Intent{Kind: IntentAddUpstream, Upstreams: []nutmegid.Upstream{"desk"}, Upstream: &UpstreamConfig{
			Kind: KindService, URL: "http://127.0.0.1:1", FailureDomain: "a", Routes: []nutmegid.Route{"orders"},
		}},
		Intent{Kind: IntentAddUpstream, Upstreams: []nutmegid.Upstream{"drafter"}, Upstream: &UpstreamConfig{
			Kind: KindEngine, URL: "http://127.0.0.1:2", FailureDomain: "a", Models: []nutmegid.Model{"draft"},
		}},
	)
	return inst
}

// newLargeInstance returns an instance with many workspaces and upstreams, which are
// written in a single revision.
func newLargeInstance(tb testing.TB, workspaces, upstreams int) *testInstance {
	tb.Helper()
	config := (&Config{}).clone()
	config.Owners["kaca"] = OwnerConfig{}
	for n := range workspaces {
		name := fmt.Sprintf("workspace-%d", n)
		config.Workspaces[nutmegid.Workspace(name)] = WorkspaceConfig{Owner: "kaca", KeyHashes: []string{HashKey(name), HashKey(name + "second")}}
	}
	for n := range upstreams {
		config.Upstreams[nutmegid.Upstream(fmt.Sprintf("worker-%d", n))] = UpstreamConfig{
			Kind: KindEngine, URL: "http://10.0.0.1:8000", FailureDomain: "a", Models: []nutmegid.Model{"draft"},
		}
	}
	inst := newTestInstance(newMemoryStore(1), newFakeFleet())
	sections, before, _, err := inst.planner.writeSections(tb.Context(), Head{}, &Config{}, config)
	if err != nil {
		tb.Fatal(err)
	}
	_, err = nutmegstore.Update(tb.Context(), inst.planner.cfg.Store, HeadKey, func(h *Head) error {
		return h.addRevision(HistoryEntry{Revision: 1, Plan: "first", Before: before}, sections, nil)
	})
	if err != nil {
		tb.Fatal(err)
	}
	return inst
}
