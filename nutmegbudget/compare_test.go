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
	faultAt           = 12 * time.Minute // a death within the outage
	requestsPerSecond = 10
	ciInterval        = 3 * time.Second // between commits in CI, which has less time than the table
	compareSeed       = 4
)

var policyTable = flag.String("policy_table", "", "compare all policies and write the table to this file")

// scenario is what goes wrong in a comparison.
type scenario struct {
	name     string
	target   float64 // served share that the chosen terms must reach
	outage   bool
	death    bool
	isolated bool
}

var scenarios = []scenario{
	{name: "no fault", target: 0.999},
	{name: "store out", target: 0.995, outage: true},
	{name: "store out, one dies", target: 0.99, outage: true, death: true},
	{name: "store out, one cut off", target: 0.98, outage: true, isolated: true},
}

// contender is a set of terms under comparison.
type contender struct {
	name      string
	terms     Terms
	witnesses int
}

func rateTerms(horizon time.Duration, share bool, slice time.Duration) Terms {
	return Terms{Policy: RateProportional{Horizon: horizon, MinLease: DefaultMinLease}, Share: share, Slice: slice}
}

var chosen = contender{
	name: "rate x 600 s, shared, witnessed, slice 30 s", terms: rateTerms(10*time.Minute, true, 30*time.Second), witnesses: 2,
}

var contenders = []contender{
	{name: "static split", terms: Terms{Policy: StaticSplit{Instances: compareInstances}}},
	{name: "fixed lease of 20,000", terms: Terms{Policy: FixedLease{Tokens: 20_000}}},
	{name: "rate x 60 s", terms: rateTerms(time.Minute, false, 0)},
	{name: "rate x 600 s", terms: rateTerms(10*time.Minute, false, 0)},
	{name: "fixed lease of 20,000, shared", terms: Terms{Policy: FixedLease{Tokens: 20_000}, Share: true}},
	{name: "rate x 600 s, shared", terms: rateTerms(10*time.Minute, true, 0)},
	{name: "rate x 1800 s, shared", terms: rateTerms(30*time.Minute, true, 0)},
	chosen,
	{name: "rate x 600 s, shared, witnessed, slice 120 s", terms: rateTerms(10*time.Minute, true, 2*time.Minute), witnesses: 2},
	{name: "rate x 1800 s, shared, witnessed, slice 30 s", terms: rateTerms(30*time.Minute, true, 30*time.Second), witnesses: 2},
}

// counter is the oracle: one global counter of free tokens for each budget.
type counter struct {
	mu   sync.Mutex
	free map[nutmegid.BudgetID]nutmegid.Tokens
	ran  nutmegid.Tokens
}

func (c *counter) reserve(ids []nutmegid.BudgetID, n nutmegid.Tokens) bool {
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

func (c *counter) settle(ids []nutmegid.BudgetID, n, used nutmegid.Tokens) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ran += used
	for _, id := range ids {
		c.free[id] += n - used
	}
}

// score is what one contender reached in one scenario.
type score struct {
	Served     float64 // tokens run, as a share of the oracle's
	Refused    int     // requests refused that the budgets could have covered
	RefusedBig int     // of these, with more than 1% of both budgets left
	Overspend  nutmegid.Tokens
	Stranded   nutmegid.Tokens // held or written off beyond what ran, at the end, over both levels
	Writes     int
}

// comparison is one run of one contender in one scenario.
type comparison struct {
	scenario scenario
	c        contender
	interval time.Duration // between commits
	rng      *rand.Rand
	store    *memStore
	bus      *bus
	links    []*memLink
	oracle   *counter // what one global counter serves
	truth    *counter // what is really left under the contender
	prepaid  map[nutmegid.BudgetID]nutmegid.Tokens
	requests sync.WaitGroup

	mu    sync.Mutex
	nodes []*busNode
	score score
}

func newComparison(c contender, s scenario, interval time.Duration) *comparison {
	x := &comparison{
		scenario: s, c: c, interval: interval, rng: rand.New(rand.NewPCG(compareSeed, 0)),
		store: newMemStore(), bus: &bus{cut: make(map[[2]int]bool)},
		oracle:  &counter{free: make(map[nutmegid.BudgetID]nutmegid.Tokens)},
		truth:   &counter{free: make(map[nutmegid.BudgetID]nutmegid.Tokens)},
		prepaid: make(map[nutmegid.BudgetID]nutmegid.Tokens),
	}
	for i := range compareInstances {
		x.links = append(x.links, &memLink{store: x.store, faults: linkFaults{slow: 3 * time.Millisecond}})
		x.nodes = append(x.nodes, x.start(i))
	}
	return x
}

func (x *comparison) start(i int) *busNode {
	n := x.bus.newNode(i, x.links[i], profile{terms: x.c.terms, witnesses: x.c.witnesses})
	n.holder.cfg.CommitInterval = x.interval
	n.domain = i % compareDomains
	n.holder.Start()
	n.witness.Start()
	return n
}

// demand of a workspace in tokens a second, skewed: the first has the most.
func demand(workspace int) float64 {
	return 12_000 / float64(1+workspace)
}

func workspaceBudget(i int) nutmegid.BudgetID {
	return nutmegid.BudgetID(fmt.Sprintf("workspace/%d", i))
}

func ownerBudget(workspace int) nutmegid.BudgetID {
	return nutmegid.BudgetID(fmt.Sprintf("owner/%d", workspace%2))
}

// prepay gives each workspace 0.5 to 1.2 times its demand, and each owner a
// little less than its workspaces have together: most budgets run out.
func (x *comparison) prepay(t *testing.T) {
	w := &world{store: x.store}
	for i := range compareWorkspaces {
		part := 0.5 + 0.7*float64(i*7%compareWorkspaces)/compareWorkspaces
		n := nutmegid.Tokens(demand(i) * compareMinutes * 60 * part)
		x.prepaid[workspaceBudget(i)] += n
		x.prepaid[ownerBudget(i)] += n * 95 / 100
	}
	for id, n := range x.prepaid {
		x.oracle.free[id], x.truth.free[id] = n, n
		if err := w.topUp(id, "first", n); err != nil {
			t.Fatal(err)
		}
	}
}

// run plays the scenario in virtual time.
func (x *comparison) run(t *testing.T) {
	x.prepay(t)
	for second := range compareMinutes * 60 {
		x.faults(time.Duration(second) * time.Second)
		for range requestsPerSecond {
			x.request()
		}
		time.Sleep(time.Second)
	}
	x.requests.Wait()
	x.end(t)
}

func (x *comparison) faults(at time.Duration) {
	switch at {
	case outageFrom:
		x.setOutage(x.scenario.outage)
		if x.scenario.isolated {
			x.isolate()
		}
	case faultAt:
		if x.scenario.death {
			x.die(0)
		}
	case outageTo:
		x.setOutage(false)
		x.bus.heal()
	}
}

func (x *comparison) setOutage(down bool) {
	for _, l := range x.links {
		l.set(func(f *linkFaults) { f.down = down })
	}
}

func (x *comparison) isolate() {
	for i := 1; i < compareInstances; i++ {
		x.bus.cutPair(0, i)
	}
}

// die ends an instance without a word; a new incarnation takes its place.
func (x *comparison) die(i int) {
	n := x.nodes[i]
	n.down.Store(true)
	n.holder.Abandon()
	n.witness.Stop()
	fresh := x.start(i)
	x.mu.Lock()
	defer x.mu.Unlock()
	x.nodes[i] = fresh
}

// request sends one request to an instance that its workspace prefers.
func (x *comparison) request() {
	workspace := x.pickWorkspace()
	at := (workspace + int(x.rng.ExpFloat64())) % compareInstances
	bound := nutmegid.Tokens(demand(workspace)/x.share(workspace)*(0.6+0.8*x.rng.Float64())/0.6) + 1
	used := nutmegid.Tokens(float64(bound) * (0.3 + 0.6*x.rng.Float64()))
	lasts := time.Second + time.Duration(x.rng.Int64N(int64(8*time.Second)))
	x.requests.Go(func() { x.serve(workspace, at, bound, used, lasts) })
}

// share is the number of requests a second of a workspace.
func (x *comparison) share(workspace int) float64 {
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

func (x *comparison) serve(workspace, at int, bound, used nutmegid.Tokens, lasts time.Duration) {
	ids := []nutmegid.BudgetID{workspaceBudget(workspace), ownerBudget(workspace)}
	if x.oracle.reserve(ids, bound) {
		x.requests.Go(func() {
			time.Sleep(lasts)
			x.oracle.settle(ids, bound, used)
		})
	}
	x.mu.Lock()
	n := x.nodes[at]
	x.mu.Unlock()
	r, err := n.holder.Acquire(context.Background(), ids[0], ids[1], bound)
	if err != nil {
		x.refused(ids, bound)
		return
	}
	x.truth.mu.Lock()
	for _, id := range ids {
		x.truth.free[id] -= bound
	}
	x.truth.mu.Unlock()
	time.Sleep(lasts)
	x.truth.settle(ids, bound, used)
	r.Settle(used)
}

// refused counts a refusal that the budgets could have covered.
func (x *comparison) refused(ids []nutmegid.BudgetID, bound nutmegid.Tokens) {
	x.truth.mu.Lock()
	defer x.truth.mu.Unlock()
	big := true
	for _, id := range ids {
		if x.truth.free[id] < bound {
			return
		}
		big = big && x.truth.free[id] > x.prepaid[id]/100
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.score.Refused++
	if big {
		x.score.RefusedBig++
	}
}

// end stops all instances and counts what is left where.
func (x *comparison) end(t *testing.T) {
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
		ran := x.prepaid[id] - x.truth.free[id]
		x.score.Stranded += b.Spent + b.Leased() - ran
	}
	for _, free := range x.truth.free {
		x.score.Overspend = max(x.score.Overspend, -free)
	}
	x.score.Served = float64(x.truth.ran) / float64(x.oracle.ran)
	x.score.Writes = x.store.written()
}

func compare(t *testing.T, c contender, s scenario, interval time.Duration) score {
	var result score
	synctest.Test(t, func(t *testing.T) {
		x := newComparison(c, s, interval)
		x.run(t)
		result = x.score
	})
	return result
}

// TestComparison holds the chosen terms to their targets, against one global
// counter on the same requests.
func TestComparison(t *testing.T) {
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			got := compare(t, chosen, s, ciInterval)
			t.Logf("%+v", got)
			if got.Served < s.target {
				t.Errorf("served share is %.4f; the target is %.4f", got.Served, s.target)
			}
			if diff := cmp.Diff(nutmegid.Tokens(0), got.Overspend); diff != "" {
				t.Errorf("overspend (-want +got):\n%s", diff)
			}
			if !s.outage && got.RefusedBig > 0 {
				t.Errorf("%d requests were refused with more than 1%% of their budgets left", got.RefusedBig)
			}
		})
	}
}

// TestPolicyTable writes the comparison of all contenders where a file is named.
func TestPolicyTable(t *testing.T) {
	if *policyTable == "" {
		return
	}
	rows := make([]string, len(contenders)*len(scenarios))
	t.Run("rows", func(t *testing.T) {
		for i, c := range contenders {
			for j, s := range scenarios {
				t.Run(c.name+"/"+s.name, func(t *testing.T) {
					t.Parallel()
					r := compare(t, c, s, DefaultCommitInterval)
					rows[i*len(scenarios)+j] = fmt.Sprintf("| %s | %s | %.4f | %d | %d | %d | %d | %.1f |\n",
						c.name, s.name, r.Served, r.Refused, r.RefusedBig, r.Overspend, r.Stranded, float64(r.Writes)/compareMinutes/60)
				})
			}
		}
	})
	head := "| policy | scenario | served share | false refusals | with over 1% left | overspend | stranded | writes/s |\n|---|---|---|---|---|---|---|---|\n"
	if err := os.WriteFile(*policyTable, []byte(head+strings.Join(rows, "")), 0o600); err != nil {
		t.Fatal(err)
	}
}
