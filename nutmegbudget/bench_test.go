package nutmegbudget

import (
	"context"
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const benchTokens = 1 << 40

// benchHolder returns a holder with large leases on the budgets of n workspaces
// and one owner.
func benchHolder(tb testing.TB, n, shards int) (*Holder, []nutmegid.BudgetID) {
	tb.Helper()
	store := newMemStore()
	h := NewHolder(HolderConfig{
		Writer: benchWriter(store), Incarnation: "bench", Instance: "bench", Shards: shards,
		Policy: FixedLease{Tokens: benchTokens / 4},
	})
	ids := []nutmegid.BudgetID{ownerID}
	for i := range n {
		ids = append(ids, nutmegid.BudgetID(fmt.Sprintf("workspace/%d", i)))
	}
	byShard := make(map[int][]nutmegid.BudgetID)
	for _, id := range ids {
		byShard[ShardOf(id, shards)] = append(byShard[ShardOf(id, shards)], id)
	}
	for shard, list := range byShard {
		s := Shard{}
		for _, id := range list {
			if err := s.TopUp(id, "first", benchTokens); err != nil {
				tb.Fatal(err)
			}
		}
		if err := putShard(store, shard, s); err != nil {
			tb.Fatal(err)
		}
	}
	for _, id := range ids {
		h.account(id).addNeed(1)
	}
	h.Tick(context.Background())
	for _, id := range ids {
		h.account(id).addNeed(-1)
	}
	return h, ids
}

// BenchmarkReserveSettle reserves and settles on both levels from at least 10
// goroutines that share the owner's budget.
func BenchmarkReserveSettle(b *testing.B) {
	h, ids := benchHolder(b, 10, 1)
	b.SetParallelism((10 + runtime.GOMAXPROCS(0) - 1) / runtime.GOMAXPROCS(0))
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		i := 0
		for pb.Next() {
			i++
			r, ok := h.Reserve(ids[1+i%10], ownerID, 100)
			if !ok {
				b.Error("the lease is exhausted")
				return
			}
			r.Settle(60)
		}
	})
}

// TestReserveSettleDoesNotAllocate checks that Reserve and Settle do not
// allocate.
func TestReserveSettleDoesNotAllocate(t *testing.T) {
	h, ids := benchHolder(t, 1, 1)
	allocs := testing.AllocsPerRun(1000, func() {
		r, ok := h.Reserve(ids[1], ownerID, 100)
		if !ok {
			t.Error("the lease is exhausted")
		}
		r.Settle(60)
	})
	if allocs != 0 {
		t.Errorf("Reserve and Settle made %v allocations, want 0", allocs)
	}
}

// BenchmarkCommit commits a shard of which a tenth of the budgets were used. It
// reports the size of the stored object and the heap per budget.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{100, 1_000, 10_000, 62_000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			shards := max(1, n/1000)
			h, ids := benchHolder(b, n, shards)
			c := h.committers[0]
			var used []nutmegid.BudgetID
			for _, id := range ids[1:] {
				if ShardOf(id, shards) == 0 {
					used = append(used, id)
				}
			}
			b.ResetTimer()
			for range b.N {
				for _, id := range used[:max(1, len(used)/10)] {
					if r, ok := h.Reserve(id, ownerID, 10); ok {
						r.Settle(5)
					}
				}
				c.tick(context.Background())
			}
			b.StopTimer()
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(shardSize(b, h)), "object_bytes")
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap_bytes/budget")
		})
	}
}

// shardSize returns the size of the JSON body of shard 0 in bytes.
func shardSize(b *testing.B, h *Holder) int {
	doc, err := nutmegstore.Read[Shard](context.Background(), h.cfg.Writer, h.committers[0].key())
	if err != nil {
		b.Fatal(err)
	}
	raw, err := json.Marshal(doc.Body)
	if err != nil {
		b.Fatal(err)
	}
	return len(raw)
}

func benchWriter(store *memStore) *nutmegstore.Writer {
	return nutmegstore.NewWriter(&memLink{store: store}, "bench")
}

// putShard creates a shard in the store.
func putShard(store *memStore, shard int, s Shard) error {
	key := nutmegstore.Key{Kind: ShardKind, Name: ShardName(shard)}
	return nutmegstore.Create(context.Background(), benchWriter(store), key, s)
}
