package nutmegbudget

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

func testShard(t *testing.T) *Shard {
	t.Helper()
	s := &Shard{}
	if err := s.TopUp("workspace/a", "first", 1000); err != nil {
		t.Fatal(err)
	}
	batch := Batch{Incarnation: "i", Number: 1, Entries: []Entry{{Budget: "workspace/a", Need: 300, Idle: true}}}
	if err := s.Apply(batch, func(nutmegid.BudgetID) Policy { return RateProportional{MinLease: 300} }); err != nil {
		t.Fatal(err)
	}
	return s
}

func TestInvalidChangesAreRefused(t *testing.T) {
	cases := []struct {
		name string
		do   func(s *Shard) error
		want ErrorKind
	}{
		{"negative top-up", func(s *Shard) error { return s.TopUp("workspace/a", "t", -1) }, KindBadAmount},
		{"zero top-up", func(s *Shard) error { return s.TopUp("workspace/a", "t", 0) }, KindBadAmount},
		{"overflowing top-up", func(s *Shard) error { return s.TopUp("workspace/a", "t", maxTokens) }, KindBadAmount},
		{"top-up id with another amount", func(s *Shard) error { return s.TopUp("workspace/a", "first", 999) }, KindTopUpReused},
		{"lowered below the lease", func(s *Shard) error { return s.Lower("workspace/a", 299) }, KindBelowUse},
		{"lowered to more than prepaid", func(s *Shard) error { return s.Lower("workspace/a", 1001) }, KindBadAmount},
		{"lowered below zero", func(s *Shard) error { return s.Lower("workspace/a", -1) }, KindBadAmount},
		{"unknown budget lowered", func(s *Shard) error { return s.Lower("workspace/b", 1) }, KindUnknownBudget},
		{"unknown budget removed", func(s *Shard) error { return s.Remove("workspace/b") }, KindUnknownBudget},
		{"leased budget removed", func(s *Shard) error { return s.Remove("workspace/a") }, KindBelowUse},
		{"unknown holder released", func(s *Shard) error { _, err := s.Release("j"); return err }, KindUnknownHolder},
		{"empty stored budget", func(s *Shard) error {
			s.Budgets["workspace/a"] = nil
			return s.TopUp("workspace/a", "t", 1)
		}, KindInvariant},
		{"stored budget with spent and leased above prepaid", func(s *Shard) error {
			s.Budgets["workspace/a"].Spent = 900
			return s.Lower("workspace/a", 950)
		}, KindInvariant},
	}
	for _, c := range cases {
		if err := c.do(testShard(t)); !IsKind(err, c.want) {
			t.Errorf("%s: err = %v, want kind %s", c.name, err, c.want)
		}
	}
}

func TestReleaseCountsAsSpentUntilTheHolderSettles(t *testing.T) {
	s := testShard(t)
	for range 2 {
		released, err := s.Release("i")
		if err != nil {
			t.Fatal(err)
		}
		if diff := cmp.Diff([]ReleasedLease{{Budget: "workspace/a", WrittenOff: 300}}, released); diff != "" {
			t.Errorf("released (-want +got):\n%s", diff)
		}
	}
	b := s.Budgets["workspace/a"]
	if b.Spent != 300 || b.WrittenOff != 300 || b.Remaining() != 700 {
		t.Errorf("spent %d, written off %d, remaining %d; want 300, 300, 700", b.Spent, b.WrittenOff, b.Remaining())
	}
	resumed := Batch{Incarnation: "i", Number: 2, Joined: true, Drained: true, Entries: []Entry{{Budget: "workspace/a", Settle: 120, Return: 180}}}
	if err := s.Apply(resumed, func(nutmegid.BudgetID) Policy { return FixedLease{} }); err != nil {
		t.Fatal(err)
	}
	if b.Spent != 120 || b.WrittenOff != 0 || b.Remaining() != 880 {
		t.Errorf("spent %d, written off %d, remaining %d; want 120, 0, 880", b.Spent, b.WrittenOff, b.Remaining())
	}
}

func TestReleasedHoldersArePruned(t *testing.T) {
	s := testShard(t)
	for i := range 3 * maxReleasedHolders {
		inc := nutmegid.Incarnation(time.Duration(i).String())
		batch := Batch{Incarnation: inc, Number: 1, Entries: []Entry{{Budget: "workspace/a", Need: 1, Idle: true}}}
		if err := s.Apply(batch, func(nutmegid.BudgetID) Policy { return RateProportional{MinLease: 1} }); err != nil {
			t.Fatal(err)
		}
		if _, err := s.Release(inc); err != nil {
			t.Fatal(err)
		}
	}
	if len(s.Holders) != maxReleasedHolders+1 {
		t.Errorf("the shard has %d holders, want %d", len(s.Holders), maxReleasedHolders+1)
	}
	late := Batch{Incarnation: "0s", Number: 2, Joined: true, Entries: []Entry{{Budget: "workspace/a", Settle: 1}}}
	spent := s.Budgets["workspace/a"].Spent
	if err := s.Apply(late, nil); !errors.Is(err, nutmegstore.ErrUnchanged) {
		t.Errorf("batch of a pruned holder: err = %v, want ErrUnchanged", err)
	}
	if diff := cmp.Diff(spent, s.Budgets["workspace/a"].Spent); diff != "" {
		t.Errorf("spent (-want +got):\n%s", diff)
	}
}

func TestDamagedShardIsNeverOverwritten(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := newMemStore()
		key := nutmegstore.Key{Kind: ShardKind, Name: ShardName(0)}
		want := nutmegstore.Object{Key: key, Version: 7, Value: []byte(`{"foreign":true}`)}
		store.objects[key] = want
		h := NewHolder(HolderConfig{Writer: nutmegstore.NewWriter(&memLink{store: store}, "i"), Incarnation: "i"})
		if _, err := h.Acquire(context.Background(), "workspace/a", ownerID, 10); !IsKind(err, KindUnreachable) {
			t.Errorf("reservation from a damaged shard: err = %v, want kind %s", err, KindUnreachable)
		}
		if diff := cmp.Diff(want, store.objects[key]); diff != "" {
			t.Errorf("object (-want +got):\n%s", diff)
		}
	})
}

func TestIdleLeaseReturns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		sim := newSimulation(profile{terms: Terms{Policy: runPolicy}})
		for _, id := range append(runWorkspaces, ownerID) {
			if err := sim.topUp(id, "first", 10_000); err != nil {
				t.Fatal(err)
			}
		}
		sim.spend(sim.nodes[0], runWorkspaces[0], 500, false)
		for range 1000 {
			time.Sleep(time.Second)
			sim.nodeCommit(sim.nodes[0])
		}
		s, err := sim.store.shard()
		if err != nil {
			t.Fatal(err)
		}
		if b := s.Budgets[runWorkspaces[0]]; b.Leased() != 0 || b.Spent != 400 {
			t.Errorf("leased = %d and spent = %d after a long idle time, want 0 and 400", b.Leased(), b.Spent)
		}
		writes := sim.store.writes
		sim.nodeCommit(sim.nodes[0])
		if sim.store.writes != writes {
			t.Error("an idle holder wrote to the store")
		}
	})
}
