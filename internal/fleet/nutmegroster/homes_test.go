package nutmegroster

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// testFleet returns n instances in three failure domains.
func testFleet(n int) []nutmegview.Instance {
	var all []nutmegview.Instance
	for i := range n {
		all = append(all, nutmegview.Instance{
			Name: nutmegid.Instance(fmt.Sprint("instance-", i)), Incarnation: nutmegid.Incarnation(fmt.Sprint("boot-", i)),
			FailureDomain: nutmegid.FailureDomain(fmt.Sprint("domain-", i%3)),
		})
	}
	return all
}

// testRoster returns the roster of one instance that knows all others.
func testRoster(all []nutmegview.Instance, self int) *Roster {
	r := New(Config{Self: all[self], HomesPerDomain: 3})
	var others []nutmegview.Instance
	for i, one := range all {
		if i != self {
			others = append(others, one)
		}
	}
	r.known.Store(&others)
	r.shards.Store(5)
	return r
}

// homesOfShard returns the homes of a shard when all instances are responsive.
func homesOfShard(shard string, all []nutmegview.Instance, perDomain int) []nutmegview.Instance {
	var homes []nutmegview.Instance
	for _, domain := range rankDomains(shard, pointers(all)) {
		for _, home := range strongest(domain, perDomain) {
			homes = append(homes, *home)
		}
	}
	return homes
}

func shard(i int) string {
	return nutmegbudget.ShardName(i)
}

func workspace(i int) nutmegid.Workspace {
	return nutmegid.Workspace(fmt.Sprint("workspace-", i))
}

func TestEveryFailureDomainHasHomes(t *testing.T) {
	all := testFleet(71)
	for w := range 24 {
		count := make(map[nutmegid.FailureDomain]int)
		for _, home := range homesOfShard(shard(w), all, 3) {
			count[home.FailureDomain]++
		}
		if diff := cmp.Diff(map[nutmegid.FailureDomain]int{"domain-0": 3, "domain-1": 3, "domain-2": 3}, count); diff != "" {
			t.Errorf("homes of %s by failure domain (-want +got):\n%s", shard(w), diff)
		}
	}
}

func TestShardsAreSpreadOverTheFleet(t *testing.T) {
	const shards, instances, perDomain = 520, 71, 3
	all := testFleet(instances)
	load := make(map[nutmegid.Instance]int)
	for w := range shards {
		for _, home := range homesOfShard(shard(w), all, perDomain) {
			load[home.Name]++
		}
	}
	mean := float64(shards*3*perDomain) / instances
	for _, i := range all {
		if got := float64(load[i.Name]); got < mean/2 || got > mean*2 {
			t.Errorf("%s is a home of %v shards, the mean is %v", i.Name, got, mean)
		}
	}
}

func TestAddingInstanceMovesFewShards(t *testing.T) {
	moved := 0
	for w := range 500 {
		before := make(map[nutmegid.Instance]bool)
		for _, home := range homesOfShard(shard(w), testFleet(71), 3) {
			before[home.Name] = true
		}
		for _, home := range homesOfShard(shard(w), testFleet(72), 3) {
			if !before[home.Name] {
				moved++
			}
		}
	}
	// The new instance takes 1/24 of its domain's 3 homes per shard.
	if expected := 500 * 3 / 24; moved > 2*expected {
		t.Errorf("%d of 4500 homes moved to a new instance, its share is about %d", moved, expected)
	}
}

func TestNearestHomesComeFirst(t *testing.T) {
	all := testFleet(71)
	for w := range 24 {
		homes := testRoster(all, 5).Homes(workspace(w))
		if len(homes) == 0 {
			continue // the instance is a home itself
		}
		for i, home := range homes {
			if near := home.FailureDomain == all[5].FailureDomain; near != (i < 3) {
				t.Errorf("home %d of %s is in %s, the instance in %s", i, workspace(w), home.FailureDomain, all[5].FailureDomain)
			}
		}
	}
}

func TestInstancesSpreadOverHomes(t *testing.T) {
	all := testFleet(71)
	first := make(map[nutmegid.Instance]int)
	for self := range all {
		if homes := testRoster(all, self).Homes("rack"); len(homes) > 0 {
			first[homes[0].Name]++
		}
	}
	if len(first) != 9 {
		t.Errorf("%d homes are first choices, want 9: %v", len(first), first)
	}
}

func TestSmallFleetLeasesLocally(t *testing.T) {
	all := testFleet(7)
	for self := range all {
		if homes := testRoster(all, self).Homes("rack"); len(homes) > 0 {
			t.Errorf("%s uses homes %v, want none", all[self].Name, homes)
		}
	}
}

func TestUnresponsiveHomeIsReplaced(t *testing.T) {
	all := testFleet(71)
	r := testRoster(all, 5)
	homes := r.Homes("desk")
	if len(homes) != 9 {
		t.Fatalf("%d homes, want 9", len(homes))
	}
	r.recordCall(t.Context(), homes[0].Incarnation, errNotAccepting)
	after := r.Homes("desk")
	if len(after) != 9 || slices.Contains(after, homes[0]) {
		t.Errorf("homes after the first one failed a call: %v", after)
	}
	for _, home := range homes[1:] {
		if !slices.Contains(after, home) {
			t.Errorf("%s is no longer a home although only another home failed", home.Name)
		}
	}
}

func TestStrongInstancesArePreferredAsHomes(t *testing.T) {
	all := testFleet(71)
	for i := range all {
		all[i].Cores, all[i].LinkMbps = 0.192, 10
	}
	strong := []int{0, 1, 2, 30, 31, 32} // two of each failure domain
	for _, i := range strong {
		all[i].Cores, all[i].LinkMbps = 0.8, 200
	}
	for n := range 24 {
		for _, home := range homesOfShard(shard(n), all, 1) {
			if home.LinkMbps < 200 {
				t.Errorf("weak instance %s is a home of %s although its failure domain has strong instances", home.Name, shard(n))
			}
		}
		if got := len(homesOfShard(shard(n), all, 3)); got != 9 {
			t.Errorf("%s has %d homes, want 9: weak instances fill the remaining places", shard(n), got)
		}
	}
}

// TestHomesLieInFewFailureDomains guards against store objects that an instance of
// every failure domain writes, which makes most of the writes conflict.
func TestHomesLieInFewFailureDomains(t *testing.T) {
	all := testFleet(71)
	for i := range all {
		all[i].FailureDomain = nutmegid.FailureDomain(fmt.Sprint("domain-", i%5))
	}
	load := make(map[nutmegid.FailureDomain]int)
	for w := range 200 {
		r := testRoster(all, 5)
		r.cfg.HomesPerDomain, r.cfg.HomeDomains = 1, 3
		homes := r.homesOfBudget(nutmegid.WorkspaceBudget(workspace(w)))
		domains := make(map[nutmegid.FailureDomain]bool)
		for _, home := range homes {
			domains[home.FailureDomain] = true
			load[home.FailureDomain]++
		}
		if len(homes) != 3 || len(domains) != 3 {
			t.Errorf("%d homes of %s in %d failure domains, want 3 in 3", len(homes), workspace(w), len(domains))
		}
		for _, i := range all {
			if i.FailureDomain == homes[0].FailureDomain && i.Name != r.cfg.Self.Name {
				r.recordCall(t.Context(), i.Incarnation, errNotAccepting)
			}
		}
		after := r.homesOfBudget(nutmegid.WorkspaceBudget(workspace(w)))
		if len(after) != 3 {
			t.Errorf("%d homes of %s after a failure domain has failed, want 3", len(after), workspace(w))
		}
	}
	if len(load) != 5 {
		t.Errorf("homes lie in %d failure domains, want all 5 for some workspaces", len(load))
	}
}

func TestWorkspacesOfShardShareHomes(t *testing.T) {
	r := testRoster(testFleet(71), 5)
	homes := make(map[int][]nutmegview.Instance)
	for w := range 200 {
		n := nutmegbudget.ShardOf(nutmegid.WorkspaceBudget(workspace(w)), 5)
		got := r.Homes(workspace(w))
		slices.SortFunc(got, func(a, b nutmegview.Instance) int { return strings.Compare(string(a.Name), string(b.Name)) })
		if want, known := homes[n]; known && !cmp.Equal(want, got) {
			t.Errorf("homes of %s in shard %d (-other workspaces +this one):\n%s", workspace(w), n, cmp.Diff(want, got))
		}
		homes[n] = got
	}
}

// BenchmarkHomes measures the choice of homes, made for each metered request, in
// fleets of 71 and 450 instances.
func BenchmarkHomes(b *testing.B) {
	for _, n := range []int{71, 450} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := testRoster(testFleet(n), 5)
			r.cfg.HomesPerDomain = 1
			b.ReportAllocs()
			for b.Loop() {
				r.Homes("desk")
			}
		})
	}
}

// TestWeakInstancesHaveFasterNeighbors checks that an instance is weak only if another
// one of its own failure domain has a much faster link.
func TestWeakInstancesHaveFasterNeighbors(t *testing.T) {
	all := testFleet(9)
	for i := range all {
		all[i].LinkMbps = 10
	}
	all[0].LinkMbps = 200 // in domain-0, as 3 and 6
	all[1].LinkMbps = 15  // in domain-1, as 4 and 7
	var weak []nutmegid.Instance
	for i := range all {
		if testRoster(all, i).IsWeak() {
			weak = append(weak, all[i].Name)
		}
	}
	if diff := cmp.Diff([]nutmegid.Instance{"instance-3", "instance-6"}, weak); diff != "" {
		t.Errorf("weak instances (-want +got):\n%s", diff)
	}
}
