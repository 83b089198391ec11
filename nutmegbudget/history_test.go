package nutmegbudget

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const historySeeds = 40

// budgetCall is one call on a budget, budgetReturn its answer.
type budgetCall struct {
	topUp bool
	n     nutmegid.Tokens
}

type budgetReturn struct {
	ok bool
}

// budgetModel is one counter: a spend needs its tokens, a refusal is always
// allowed, and a top-up adds.
var budgetModel = porcupine.Model{
	Init: func() any { return nutmegid.Tokens(0) },
	Step: func(state, input, output any) (bool, any) {
		left, call, ret := state.(nutmegid.Tokens), input.(budgetCall), output.(budgetReturn)
		switch {
		case call.topUp:
			return true, left + call.n
		case !ret.ok:
			return true, left
		}
		return left >= call.n, left - call.n
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprintf("%+v -> %+v", input, output) },
}

// history records the calls on one budget.
type history struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
}

func (h *history) record(client int, call budgetCall, fn func() bool) {
	began := time.Since(h.start)
	ok := fn()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, porcupine.Operation{
		ClientId: client, Input: call, Call: int64(began), Output: budgetReturn{ok: ok}, Return: int64(time.Since(h.start)),
	})
}

// TestHistoryOfOneBudget checks that what three instances spent and what was
// topped up, all at once and with faults, is a history of one counter.
func TestHistoryOfOneBudget(t *testing.T) {
	for seed := range historySeeds {
		synctest.Test(t, func(t *testing.T) {
			h := recordHistory(t, uint64(seed))
			if !porcupine.CheckOperations(budgetModel, h.ops) {
				t.Errorf("seed %d: no order of the calls is a history of one budget: %v", seed, h.ops)
			}
		})
	}
}

func recordHistory(t *testing.T, seed uint64) *history {
	w := newWorld(profile{terms: Terms{Policy: runPolicy, Share: true, Slice: 5 * time.Second}, witnesses: 1})
	h := &history{start: time.Now()}
	if err := w.topUp(ownerID, "owner", maxTokens/2); err != nil {
		t.Fatal(err)
	}
	for _, n := range w.nodes {
		n.holder.Start()
	}
	var clients sync.WaitGroup
	for i, n := range w.nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.Go(func() { w.callAtRandom(h, n, i, rng) })
	}
	clients.Go(func() { w.topUpAtRandom(h, rand.New(rand.NewPCG(seed, 9))) })
	clients.Go(func() { w.faultAtRandom(rand.New(rand.NewPCG(seed, 8))) })
	clients.Wait()
	var failed error
	for i, n := range w.nodes {
		w.links[i].set(func(f *linkFaults) { *f = linkFaults{} })
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		failed = errors.Join(failed, n.holder.Stop(ctx))
		cancel()
	}
	if failed != nil {
		t.Fatal(failed)
	}
	return h
}

func (w *world) callAtRandom(h *history, n *busNode, client int, rng *rand.Rand) {
	for range 15 {
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		call := budgetCall{n: nutmegid.Tokens(1 + rng.IntN(400))}
		h.record(client, call, func() bool {
			r, err := n.holder.Acquire(context.Background(), runWorkspaces[0], ownerID, call.n)
			if err == nil {
				r.Settle(call.n)
			}
			return err == nil
		})
	}
}

func (w *world) topUpAtRandom(h *history, rng *rand.Rand) {
	for i := range 6 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		call := budgetCall{topUp: true, n: nutmegid.Tokens(1 + rng.IntN(1200))}
		h.record(len(w.nodes), call, func() bool {
			return w.topUp(runWorkspaces[0], nutmegid.TopUpID(fmt.Sprint(i)), call.n) == nil
		})
	}
}

func (w *world) faultAtRandom(rng *rand.Rand) {
	for range 8 {
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		l := w.links[rng.IntN(len(w.links))]
		faults := linkFaults{down: rng.IntN(2) == 0, lose: rng.IntN(4), drop: rng.IntN(2) == 0, slow: time.Duration(rng.IntN(300)) * time.Millisecond}
		l.set(func(f *linkFaults) { *f = faults })
		w.bus.cutPair(rng.IntN(runInstances), rng.IntN(runInstances))
		w.bus.losePeers(rng.IntN(2))
	}
	w.bus.heal()
}
