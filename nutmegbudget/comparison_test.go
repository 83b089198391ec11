//go:build !race

package nutmegbudget

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	compareInstances  = 6
	compareDomains    = 3
	compareWorkspaces = 10
	compareMinutes    = 30
	outageFrom        = 10 * time.Minute
	outageTo          = 20 * time.Minute
	crashAt           = 12 * time.Minute // during the outage
	requestsPerSecond = 10
	ciCommitInterval  = 3 * time.Second // between commits in CI, where the table's interval takes too long
	compareSeed       = 4
)

var policyTable = flag.String("policy_table", "", "compare all policies and write the table to this file")

// scenario is a set of faults for a comparison.
type scenario struct {
	name      string
	target    float64 // minimum served share of the default candidate
	outage    bool
	death     bool
	isolation bool
}

var scenarios = []scenario{
	{name: "no fault", target: 0.999},
	{name: "store out", target: 0.995, outage: true},
	{name: "store out, one dies", target: 0.99, outage: true, death: true},
	{name: "store out, one cut off", target: 0.98, outage: true, isolation: true},
}

// candidate is a set of terms to compare.
type candidate struct {
	name      string
	terms     Terms
	witnesses int
}

func rateTerms(horizon time.Duration, share bool, slice time.Duration) Terms {
	return Terms{Policy: RateProportional{Horizon: horizon, MinLease: DefaultMinLease}, Share: share, Slice: slice}
}

var defaultCandidate = candidate{
	name: "rate x 600 s, shared, witnessed, slice 30 s", terms: rateTerms(10*time.Minute, true, 30*time.Second), witnesses: 2,
}

var candidates = []candidate{
	{name: "static split", terms: Terms{Policy: StaticSplit{Instances: compareInstances}}},
	{name: "fixed lease of 20,000", terms: Terms{Policy: FixedLease{Tokens: 20_000}}},
	{name: "rate x 60 s", terms: rateTerms(time.Minute, false, 0)},
	{name: "rate x 600 s", terms: rateTerms(10*time.Minute, false, 0)},
	{name: "fixed lease of 20,000, shared", terms: Terms{Policy: FixedLease{Tokens: 20_000}, Share: true}},
	{name: "rate x 600 s, shared", terms: rateTerms(10*time.Minute, true, 0)},
	{name: "rate x 1800 s, shared", terms: rateTerms(30*time.Minute, true, 0)},
	defaultCandidate,
	{name: "rate x 600 s, shared, witnessed, slice 120 s", terms: rateTerms(10*time.Minute, true, 2*time.Minute), witnesses: 2},
	{name: "rate x 1800 s, shared, witnessed, slice 30 s", terms: rateTerms(30*time.Minute, true, 30*time.Second), witnesses: 2},
}

// tokenCounter counts the free tokens of each budget. The oracle is one global
// counter that refuses a request only if its budgets do not cover it.
type tokenCounter struct {
	mu   sync.Mutex
	free map[nutmegid.BudgetID]nutmegid.Tokens
	ran  nutmegid.Tokens
}

func (c *tokenCounter) reserve(ids []nutmegid.BudgetID, n nutmegid.Tokens) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range ids {
		if c.free[id] < n {
			return false
		}
	}
	for _, id := range ids {
		c.free[id] -= n
	}
	return true
}

func (c *tokenCounter) settle(ids []nutmegid.BudgetID, n, used nutmegid.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran += used
	for _, id := range ids {
		c.free[id] += n - used
	}
}

// result is the outcome of one candidate in one scenario.
type result struct {
	ServedShare                float64 // used tokens as a fraction of the oracle's
	FalseRefusals              int     // requests refused although the budgets covered them
	FalseRefusalsAbove1Percent int     // false refusals with more than 1% of both budgets left
	Overspend                  nutmegid.Tokens
	Stranded                   nutmegid.Tokens // spent or leased in the store beyond the actual use, at the end, over both levels
	Writes                     int
}

// comparison is one run of one candidate in one scenario.
type comparison struct {
	scenario  scenario
	candidate candidate
	interval  time.Duration // between commits
	rng       *rand.Rand
	store     *memStore
	network   *network
	links     []*memLink
	oracle    *tokenCounter // serves the same requests from one global counter
	actual    *tokenCounter // actual free tokens under the candidate
	prepaid   map[nutmegid.BudgetID]nutmegid.Tokens
	requests  sync.WaitGroup

	mu     sync.Mutex
	nodes  []*node
	result result
}

func newComparison(c candidate, s scenario, interval time.Duration) *comparison {
	x := &comparison{
		scenario: s, candidate: c, interval: interval, rng: rand.New(rand.NewPCG(compareSeed, 0)),
		store: newMemStore(), network: &network{cut: make(map[[2]int]bool)},
		oracle:  &tokenCounter{free: make(map[nutmegid.BudgetID]nutmegid.Tokens)},
		actual:  &tokenCounter{free: make(map[nutmegid.BudgetID]nutmegid.Tokens)},
		prepaid: make(map[nutmegid.BudgetID]nutmegid.Tokens),
	}
	for i := range compareInstances {
		x.links = append(x.links, &memLink{store: x.store, faults: linkFaults{slow: 3 * time.Millisecond}})
		x.nodes = append(x.nodes, x.start(i))
	}
	return x
}

func (x *comparison) start(i int) *node {
	n := x.network.newNode(i, x.links[i], profile{terms: x.candidate.terms, witnesses: x.candidate.witnesses})
	n.holder.cfg.CommitInterval = x.interval
	n.domain = i % compareDomains
	n.holder.Start()
	n.witness.Start()
	return n
}

// demand returns the tokens per second of a workspace. It is skewed: the first
// workspace has the highest demand.
func demand(workspace int) float64 {
	return 12_000 / float64(1+workspace)
}

func workspaceBudget(i int) nutmegid.BudgetID {
	return nutmegid.BudgetID(fmt.Sprintf("workspace/%d", i))
}

func ownerBudget(workspace int) nutmegid.BudgetID {
	return nutmegid.BudgetID(fmt.Sprintf("owner/%d", workspace%2))
}

// prepay prepays 0.5 to 1.2 times the demand of each workspace, and for each
// owner slightly less than the sum of its workspaces, so that most budgets run
// out.
func (x *comparison) prepay(t *testing.T) {
	sim := &simulation{store: x.store}
	for i := range compareWorkspaces {
		part := 0.5 + 0.7*float64(i*7%compareWorkspaces)/compareWorkspaces
		n := nutmegid.Tokens(demand(i) * compareMinutes * 60 * part)
		x.prepaid[workspaceBudget(i)] += n
		x.prepaid[ownerBudget(i)] += n * 95 / 100
	}
	for id, n := range x.prepaid {
		x.oracle.free[id], x.actual.free[id] = n, n
		if err := sim.topUp(id, "first", n); err != nil {
			t.Fatal(err)
		}
	}
}

// run runs the scenario in virtual time.
func (x *comparison) run(t *testing.T) {
	x.prepay(t)
	for second := range compareMinutes * 60 {
		x.applyFaults(time.Duration(second) * time.Second)
		for range requestsPerSecond {
			x.request()
		}
		time.Sleep(time.Second)
	}
	x.requests.Wait()
	x.finish(t)
}

func (x *comparison) applyFaults(at time.Duration) {
	switch at {
	case outageFrom:
		x.setOutage(x.scenario.outage)
		if x.scenario.isolation {
			x.isolate()
		}
	case crashAt:
		if x.scenario.death {
			x.crash(0)
		}
	case outageTo:
		x.setOutage(false)
		x.network.heal()
	}
}

func (x *comparison) setOutage(down bool) {
	for _, l := range x.links {
		l.set(func(f *linkFaults) { f.down = down })
	}
}

func (x *comparison) isolate() {
	for i := 1; i < compareInstances; i++ {
		x.network.cutPair(0, i)
	}
}

// crash stops an instance abruptly and starts a new incarnation in its place.
func (x *comparison) crash(i int) {
	n := x.nodes[i]
	n.down.Store(true)
	n.holder.Abandon()
	n.witness.Stop()
	fresh := x.start(i)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.nodes[i] = fresh
}

// request sends one request, most likely to its workspace's preferred instance.
func (x *comparison) request() {
	workspace := x.pickWorkspace()
	instance := (workspace + int(x.rng.ExpFloat64())) % compareInstances
	bound := nutmegid.Tokens(demand(workspace)/x.requestRate(workspace)*(0.6+0.8*x.rng.Float64())/0.6) + 1
	used := nutmegid.Tokens(float64(bound) * (0.3 + 0.6*x.rng.Float64()))
	duration := time.Second + time.Duration(x.rng.Int64N(int64(8*time.Second)))
	x.requests.Go(func() { x.serve(workspace, instance, bound, used, duration) })
}

// requestRate returns the requests per second of a workspace.
func (x *comparison) requestRate(workspace int) float64 {
	return requestsPerSecond * workspaceWeight(workspace) / totalWeight
}

func workspaceWeight(i int) float64 { return 1 / float64(1+i) }

var totalWeight = func() float64 {
	sum := 0.0
	for i := range compareWorkspaces {
		sum += workspaceWeight(i)
	}
	return sum
}()

func (x *comparison) pickWorkspace() int {
	r := x.rng.Float64() * totalWeight
	for i := range compareWorkspaces {
		if r -= workspaceWeight(i); r < 0 {
			return i
		}
	}
	return compareWorkspaces - 1
}

func (x *comparison) serve(workspace, instance int, bound, used nutmegid.Tokens, duration time.Duration) {
	ids := []nutmegid.BudgetID{workspaceBudget(workspace), ownerBudget(workspace)}
	if x.oracle.reserve(ids, bound) {
		x.requests.Go(func() {
			time.Sleep(duration)
			x.oracle.settle(ids, bound, used)
		})
	}
	x.mu.Lock()
	n := x.nodes[instance]
	x.mu.Unlock()
	r, err := n.holder.Acquire(context.Background(), ids[0], ids[1], bound)
	if err != nil {
		x.countRefusal(ids, bound)
		return
	}
	x.actual.mu.Lock()
	for _, id := range ids {
		x.actual.free[id] -= bound
	}
	x.actual.mu.Unlock()
	time.Sleep(duration)
	x.actual.settle(ids, bound, used)
	r.Settle(used)
}

// countRefusal counts a refusal if the budgets covered the request.
func (x *comparison) countRefusal(ids []nutmegid.BudgetID, bound nutmegid.Tokens) {
	x.actual.mu.Lock()
	defer x.actual.mu.Unlock()
	aboveOnePercent := true
	for _, id := range ids {
		if x.actual.free[id] < bound {
			return
		}
		aboveOnePercent = aboveOnePercent && x.actual.free[id] > x.prepaid[id]/100
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.result.FalseRefusals++
	if aboveOnePercent {
		x.result.FalseRefusalsAbove1Percent++
	}
}

// finish stops all instances and computes the result.
func (x *comparison) finish(t *testing.T) {
	for _, n := range x.nodes {
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		if err := n.holder.Stop(ctx); err != nil {
			t.Errorf("instance %d did not stop: %v", n.index, err)
		}
		cancel()
		n.witness.Stop()
	}
	s, err := x.store.shard()
	if err != nil {
		t.Fatal(err)
	}
	for id, b := range s.Budgets {
		ran := x.prepaid[id] - x.actual.free[id]
		x.result.Stranded += b.Spent + b.Leased() - ran
	}
	for _, free := range x.actual.free {
		x.result.Overspend = max(x.result.Overspend, -free)
	}
	x.result.ServedShare = float64(x.actual.ran) / float64(x.oracle.ran)
	x.result.Writes = x.store.written()
}

func compare(t *testing.T, c candidate, s scenario, interval time.Duration) result {
	var result result
	synctest.Test(t, func(t *testing.T) {
		x := newComparison(c, s, interval)
		x.run(t)
		result = x.result
	})
	return result
}

// TestComparison checks that the default candidate reaches its targets compared
// with one global counter that serves the same requests.
func TestComparison(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			got := compare(t, defaultCandidate, s, ciCommitInterval)
			t.Logf("%+v", got)
			if got.ServedShare < s.target {
				t.Errorf("served share = %.4f, want at least %.4f", got.ServedShare, s.target)
			}
			if diff := cmp.Diff(nutmegid.Tokens(0), got.Overspend); diff != "" {
				t.Errorf("overspend (-want +got):\n%s", diff)
			}
			if !s.outage && got.FalseRefusalsAbove1Percent > 0 {
				t.Errorf("%d requests were refused with more than 1%% of their budgets left, want 0", got.FalseRefusalsAbove1Percent)
			}
		})
	}
}

// TestPolicyTable compares all candidates and writes a table if -policy_table
// names a file.
func TestPolicyTable(t *testing.T) {
	if *policyTable == "" {
		return
	}
	rows := make([]string, len(candidates)*len(scenarios))
	t.Run("rows", func(t *testing.T) {
		for i, c := range candidates {
			for j, s := range scenarios {
				t.Run(c.name+"/"+s.name, func(t *testing.T) {
					t.Parallel()
					r := compare(t, c, s, DefaultCommitInterval)
					rows[i*len(scenarios)+j] = fmt.Sprintf("| %s | %s | %.4f | %d | %d | %d | %d | %.1f |\n",
						c.name, s.name, r.ServedShare, r.FalseRefusals, r.FalseRefusalsAbove1Percent, r.Overspend, r.Stranded, float64(r.Writes)/compareMinutes/60)
				})
			}
		}
	})
	head := "| policy | scenario | served share | false refusals | with over 1% left | overspend | stranded | writes/s |\n|---|---|---|---|---|---|---|---|\n"
	if err := os.WriteFile(*policyTable, []byte(head+strings.Join(rows, "")), 0o600); err != nil {
		t.Fatal(err)
	}
}
