package nutmegbudget

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// tick runs one commit interval of a holder.
func (f *restorableFleet) tick(t *testing.T, holder int) {
	t.Helper()
	f.nodes[holder].holder.Tick(t.Context())
}

// granted returns the tokens of all grants that the store knows of.
func (f *restorableFleet) granted(t *testing.T, holder int) nutmegid.Tokens {
	t.Helper()
	s, err := f.store.shard()
	if err != nil {
		t.Fatal(err)
	}
	return s.Budgets[restoredBudget].Leases[f.nodes[holder].inc].Granted
}

// seeEra lets all holders know the store's era, as their polls of the store do.
func (f *restorableFleet) seeEra() {
	for _, l := range f.links {
		l.lastEra()
	}
}

// After a restore the rest of a budget reads too high until all holders have stated
// what they took after the copy (BUDGET: it was granted a second time).
func TestNothingIsGrantedBeforeLeasesAreKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestorableFleet(2, 1)
		f.seeEra()
		f.spend(t, 0, 100)
		f.spend(t, 1, 100)
		older := f.store.copyObjects()
		f.spend(t, 1, 7000)
		f.store.restore(older)
		f.seeEra()
		before := f.granted(t, 0)
		f.links[1].set(func(l *linkFaults) { l.down = true })
		if _, err := f.nodes[0].holder.Acquire(t.Context(), restoredBudget, "", 5000); err == nil {
			t.Error("a holder got tokens that another one has used")
		}
		if granted := f.granted(t, 0) - before; granted != 0 {
			t.Errorf("%d tokens were granted", granted)
		}
		f.links[1].set(func(l *linkFaults) { l.down = false })
		for range 4 { // the other one has to wait after its failed commits
			time.Sleep(minStatementTime)
			f.tick(t, 1)
			f.tick(t, 0)
		}
		f.spend(t, 0, 1200)
		want := use{Spent: 100 + 100 + 7000 + 1200, Leases: []nutmegid.Tokens{f.held(0), f.held(1)}}
		if diff := cmp.Diff(want, f.stored(t)); diff != "" {
			t.Errorf("stored use (-want +got):\n%s", diff)
		}
	})
}

// A holder that the copy lacks, or shows with less than it took, may have ended before
// it could state anything. Others have seen its commits.
func TestCommitsOfALostHolderAreKnownToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestorableFleet(2, 1)
		f.seeEra()
		f.spend(t, 0, 100)
		older := f.store.copyObjects()
		f.spend(t, 1, 7000)
		f.spend(t, 0, 50) // reads what the other one has written
		f.nodes[1].down.Store(true)
		f.store.restore(older)
		f.seeEra()
		f.tick(t, 0)
		stored := f.stored(t)
		if stored.Spent != 7150 || stored.Leases[1] < f.held(1) {
			t.Errorf("stored use is %+v; want 7150 spent and at least the lost holder's %d leased", stored, f.held(1))
		}
		// Its last commits may have been seen by nobody.
		time.Sleep(maxStatementTime)
		f.tick(t, 0)
		if lease := f.stored(t).Leases[1]; lease < 2*f.held(1) {
			t.Errorf("%d tokens count as leased to the lost holder; want its known %d and as much again", lease, f.held(1))
		}
	})
}

// A holder that has left after the copy is gone for good: what it settled with its last
// commits must not be granted again.
func TestLeaveThatACopyLacksIsKnownToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newRestorableFleet(2, 1)
		f.seeEra()
		f.spend(t, 0, 100)
		f.spend(t, 1, 100)
		older := f.store.copyObjects()
		f.spend(t, 1, 7000)
		if err := f.nodes[1].holder.Stop(t.Context()); err != nil {
			t.Fatal(err)
		}
		f.nodes[1].down.Store(true)
		f.spend(t, 0, 50)
		f.store.restore(older)
		f.seeEra()
		f.tick(t, 0)
		time.Sleep(minStatementTime)
		f.tick(t, 0)
		want := use{Spent: 7250, Leases: []nutmegid.Tokens{f.held(0), 0}}
		if diff := cmp.Diff(want, f.stored(t)); diff != "" {
			t.Errorf("stored use (-want +got):\n%s", diff)
		}
		f.spend(t, 0, 1200) // nobody else is waited for
	})
}

// More holders may have left since the copy than records are kept: the merge of an older
// one's lease ended the process.
func TestMergeOfManyLeaves(t *testing.T) {
	seen := &Shard{Era: 1, Holders: make(map[nutmegid.Incarnation]*HolderRecord), Budgets: map[nutmegid.BudgetID]*Budget{restoredBudget: {}}}
	seen.Budgets[restoredBudget].initMaps()
	for n := range 3 * maxLeaves {
		inc := nutmegid.NewIncarnation()
		seen.Holders[inc] = &HolderRecord{Era: 1, LeaveNumber: uint64(n + 1)}
		seen.Budgets[restoredBudget].Leases[inc] = &Lease{Settled: 10}
	}
	s := &Shard{Era: 2}
	s.merge(seen)
	if spent := s.Budgets[restoredBudget].Spent; spent != 3*maxLeaves*10 || len(s.Holders) != maxLeaves {
		t.Errorf("%d tokens spent and %d records; want what all have settled, %d, and %d", spent, len(s.Holders), 3*maxLeaves*10, maxLeaves)
	}
}

// Records of holders that have left do not pile up.
func TestOldLeavesAreForgotten(t *testing.T) {
	s := &Shard{Era: 1, Holders: map[nutmegid.Incarnation]*HolderRecord{}}
	for range 3 * maxLeaves {
		inc := nutmegid.NewIncarnation()
		s.Holders[inc] = &HolderRecord{}
		s.setLeft(s.Holders[inc])
		s.pruneLeaves()
	}
	if len(s.Holders) != maxLeaves {
		t.Errorf("%d records are kept, want %d", len(s.Holders), maxLeaves)
	}
}

// A damaged shard ended the process of each holder that read it, with a panic in the next
// commit.
func TestDamagedRecordsEndNoProcess(t *testing.T) {
	for name, damage := range map[string]func(s *Shard){
		"an empty record": func(s *Shard) { s.Holders["lost"] = nil },
		"an empty lease":  func(s *Shard) { s.Budgets[restoredBudget].Leases["lost"] = nil },
		"an empty budget": func(s *Shard) { s.Budgets[restoredBudget] = nil },
	} {
		f := newRestorableFleet(1, 1)
		f.spend(t, 0, 100)
		writer := nutmegstore.NewWriter(&memLink{store: f.store}, "other")
		_, err := nutmegstore.Update(t.Context(), writer, nutmegstore.Key{Kind: ShardKind, Name: ShardName(0)}, func(s *Shard) error {
			damage(s)
			return nil
		})
		if err != nil {
			t.Fatal(err)
		}
		f.store.restore(f.store.copyObjects())
		f.tick(t, 0)
		if err := f.nodes[0].holder.committers[0].lastErr; !IsKind(err, KindInvariant) {
			t.Errorf("%s: the commit ended with %v, want an error that names the damage", name, err)
		}
	}
}
