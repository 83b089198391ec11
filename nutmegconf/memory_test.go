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

// TestMain fixes the seed and the number of the random checks, unless they are given.
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

// memoryStore is the platform's object API in memory, with faults.
type memoryStore struct {
	mu      sync.Mutex
	objects map[nutmegstore.Key]nutmegstore.Object
	version nutmegid.Version
	writes  int
	random  *rand.Rand
	lost    float64 // share of writes that take effect and give no answer
	down    bool
	before  func(key nutmegstore.Key) // called before each write; may be nil
}

func newMemoryStore(seed uint64) *memoryStore {
	return &memoryStore{objects: make(map[nutmegstore.Key]nutmegstore.Object), random: rand.New(rand.NewPCG(seed, seed))}
}

func fail(kind nutmegstore.ErrorKind, key nutmegstore.Key) error {
	return &nutmegstore.Error{Kind: kind, Key: key, Remedy: "test"}
}

// Get implements nutmegstore.API.
func (s *memoryStore) Get(_ context.Context, key nutmegstore.Key) (nutmegstore.Object, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[key]
	switch {
	case s.down:
		return o, fail(nutmegstore.KindUnavailable, key)
	case !ok:
		return o, fail(nutmegstore.KindNotFound, key)
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
		return fail(nutmegstore.KindConflict, key)
	}
	delete(s.objects, key)
	return nil
}

func (s *memoryStore) put(key nutmegstore.Key, value []byte, base nutmegid.Version) (nutmegid.Version, error) {
	if s.before != nil {
		s.before(key)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return 0, fail(nutmegstore.KindUnavailable, key)
	}
	if len(value) > nutmegstore.MaxValueBytes {
		return 0, fail(nutmegstore.KindTooLarge, key)
	}
	if s.objects[key].Version != base {
		return 0, fail(nutmegstore.KindConflict, key)
	}
	s.version++
	s.writes++
	s.objects[key] = nutmegstore.Object{Key: key, Version: s.version, Value: value}
	if s.random.Float64() < s.lost {
		return 0, fail(nutmegstore.KindUnknown, key)
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

// ledger stands for the budgets and engines: it counts what effects have done.
type ledger struct {
	mu      sync.Mutex
	applied map[EffectID]int
	prepaid map[nutmegid.BudgetID]nutmegid.Tokens
	leased  map[nutmegid.BudgetID]nutmegid.Tokens
	fail    func() bool // before an effect takes place
	alive   map[nutmegid.Incarnation]bool
}

func newLedger() *ledger {
	return &ledger{
		applied: make(map[EffectID]int),
		prepaid: make(map[nutmegid.BudgetID]nutmegid.Tokens),
		leased:  make(map[nutmegid.BudgetID]nutmegid.Tokens),
		alive:   make(map[nutmegid.Incarnation]bool),
		fail:    func() bool { return false },
	}
}

// Apply implements Effects.
func (l *ledger) Apply(_ context.Context, e Effect) (bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.fail() {
		return false, fail(nutmegstore.KindUnavailable, nutmegstore.Key{Kind: "budget", Name: string(e.Budget)})
	}
	if l.applied[e.ID] == 0 && e.Kind == EffectTopUp {
		l.prepaid[e.Budget] += e.Tokens
	}
	if l.applied[e.ID] == 0 && e.Kind == EffectLower {
		l.prepaid[e.Budget] -= e.Tokens
	}
	l.applied[e.ID]++
	return true, nil
}

// times returns how often an effect was carried out.
func (l *ledger) times(id EffectID) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.applied[id]
}

// Budget implements Live.
func (l *ledger) Budget(_ context.Context, id nutmegid.BudgetID) (BudgetState, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return BudgetState{Exists: l.prepaid[id] > 0, Prepaid: l.prepaid[id], Leased: l.leased[id]}, nil
}

// Holding implements Live.
func (l *ledger) Holding(context.Context, nutmegid.Incarnation) (nutmegid.Tokens, error) {
	return 70, nil
}

// InFlight implements Live.
func (l *ledger) InFlight() int { return 0 }

// Instances implements Live.
func (l *ledger) Instances(i nutmegid.Incarnation) (int, bool) { return 2, l.alive[i] }

// desk is one instance's book and view over a store.
type desk struct {
	book    *Book
	rollout *Rollout
	view    *View
	store   *memoryStore
	ledger  *ledger
}

func newDesk(store *memoryStore, l *ledger) *desk {
	view := NewView()
	rollout := NewRollout(RolloutConfig{View: view})
	return &desk{
		view:    view,
		rollout: rollout,
		store:   store,
		ledger:  l,
		book: NewBook(BookConfig{
			Store:   nutmegstore.NewWriter(store, nutmegid.NewIncarnation()),
			Rollout: rollout,
			Effects: l,
			Orders:  true,
			Live:    func() Live { return l },
			Remover: store,
		}),
	}
}

var fleetActor = Actor{Name: "ada"}

// accept plans and confirms intents.
func (d *desk) accept(t *testing.T, intents ...Intent) Confirmation {
	t.Helper()
	plan, err := d.book.Plan(t.Context(), fleetActor, "test", intents)
	if err != nil {
		t.Fatalf("plan: %v", err)
	}
	done, err := d.book.Confirm(t.Context(), fleetActor, plan.ID)
	if err != nil {
		t.Fatalf("confirm: %v", err)
	}
	return done
}

// testDesk returns a desk whose configuration has two owners with a workspace each.
func testDesk(t *testing.T) *desk {
	t.Helper()
	d := newDesk(newMemoryStore(1), newLedger())
	d.accept(
		t,
		Intent{Kind: IntentAddOwner, Owner: "kaca"},
		Intent{Kind: IntentAddOwner, Owner: "brazos"},
		Intent{Kind: IntentAddWorkspace, Workspace: "rack", Owner: "kaca", KeyHashes: []string{HashKey("rack")}},
		Intent{Kind: IntentAddWorkspace, Workspace: "rework", Owner: "brazos"},
		Intent{Kind: IntentAddBudget, Budget: "workspace/rack", Tokens: 100},
		Intent{Kind: IntentAddRoute, Route: "orders", Rule: RuleProtected},
		Intent{Kind: IntentAddUpstream, Upstreams: []nutmegid.Upstream{"desk"}, Upstream: &UpstreamConfig{
			Kind: KindService, URL: "http://127.0.0.1:1", FailureDomain: "a", Routes: []nutmegid.Route{"orders"},
		}},
		Intent{Kind: IntentAddUpstream, Upstreams: []nutmegid.Upstream{"drafter"}, Upstream: &UpstreamConfig{
			Kind: KindEngine, URL: "http://127.0.0.1:2", FailureDomain: "a", Models: []nutmegid.Model{"draft"},
		}},
	)
	return d
}

// bigDesk returns a desk with many workspaces and upstreams, written at once.
func bigDesk(tb testing.TB, workspaces, upstreams int) *desk {
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
	d := newDesk(newMemoryStore(1), newLedger())
	sections, before, _, err := d.book.segments(tb.Context(), Head{}, &Config{}, config)
	if err != nil {
		tb.Fatal(err)
	}
	_, err = nutmegstore.Update(tb.Context(), d.book.cfg.Store, HeadKey, func(h *Head) error {
		return h.add(Entry{Revision: 1, Plan: "first", Before: before}, sections, nil)
	})
	if err != nil {
		tb.Fatal(err)
	}
	return d
}
