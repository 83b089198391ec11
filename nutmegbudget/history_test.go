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

// budgetInput is an operation on a budget.
type budgetInput struct {
	topUp bool
	n     nutmegid.Tokens
}

// budgetOutput is the outcome of an operation.
type budgetOutput struct {
	ok bool
}

// budgetModel models a budget as one counter: a spend requires enough tokens, a
// refusal is always allowed, and a top-up adds tokens.
var budgetModel = porcupine.Model{
	Init: func() any { return nutmegid.Tokens(0) },
	Step: func(state, input, output any) (bool, any) {
		left, call, ret := state.(nutmegid.Tokens), input.(budgetInput), output.(budgetOutput)
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

// history records the operations on one budget.
type history struct {
	mu         sync.Mutex
	start      time.Time
	operations []porcupine.Operation
}

func (h *history) record(client int, call budgetInput, operation func() bool) {
	began := time.Since(h.start)
	ok := operation()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: client, Input: call, Call: int64(began), Output: budgetOutput{ok: ok}, Return: int64(time.Since(h.start)),
	})
}

// TestHistoryOfOneBudget checks that concurrent spends of three instances and
// top-ups, with faults, are linearizable as operations on one counter.
func TestHistoryOfOneBudget(t *testing.T) {
	for seed := range historySeeds {
		synctest.Test(t, func(t *testing.T) {
			h := recordHistory(t, uint64(seed))
			if !porcupine.CheckOperations(budgetModel, h.operations) {
				t.Errorf("seed %d: the operations are not linearizable: %v", seed, h.operations)
			}
		})
	}
}

func recordHistory(t *testing.T, seed uint64) *history {
	sim := newSimulation(profile{terms: Terms{Policy: runPolicy, Share: true, Slice: 5 * time.Second}, witnesses: 1})
	h := &history{start: time.Now()}
	if err := sim.topUp(ownerID, "owner", maxTokens/2); err != nil {
		t.Fatal(err)
	}
	for _, n := range sim.nodes {
		n.holder.Start()
	}
	var clients sync.WaitGroup
	for i, n := range sim.nodes {
		rng := rand.New(rand.NewPCG(seed, uint64(i)))
		clients.Go(func() { sim.sendRandomRequests(h, n, i, rng) })
	}
	clients.Go(func() { sim.sendRandomTopUps(h, rand.New(rand.NewPCG(seed, 9))) })
	clients.Go(func() { sim.injectRandomFaults(rand.New(rand.NewPCG(seed, 8))) })
	clients.Wait()
	var failed error
	for i, n := range sim.nodes {
		sim.links[i].set(func(f *linkFaults) { *f = linkFaults{} })
		ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
		failed = errors.Join(failed, n.holder.Stop(ctx))
		cancel()
	}
	if failed != nil {
		t.Fatal(failed)
	}
	return h
}

func (sim *simulation) sendRandomRequests(h *history, n *node, client int, rng *rand.Rand) {
	for range 15 {
		time.Sleep(time.Duration(rng.IntN(700)) * time.Millisecond)
		call := budgetInput{n: nutmegid.Tokens(1 + rng.IntN(400))}
		h.record(client, call, func() bool {
			r, err := n.holder.Acquire(context.Background(), runWorkspaces[0], ownerID, call.n)
			if err == nil {
				r.Settle(call.n)
			}
			return err == nil
		})
	}
}

func (sim *simulation) sendRandomTopUps(h *history, rng *rand.Rand) {
	for i := range 6 {
		time.Sleep(time.Duration(rng.IntN(1500)) * time.Millisecond)
		call := budgetInput{topUp: true, n: nutmegid.Tokens(1 + rng.IntN(1200))}
		h.record(len(sim.nodes), call, func() bool {
			return sim.topUp(runWorkspaces[0], nutmegid.TopUpID(fmt.Sprint(i)), call.n) == nil
		})
	}
}

func (sim *simulation) injectRandomFaults(rng *rand.Rand) {
	for range 8 {
		time.Sleep(time.Duration(rng.IntN(1000)) * time.Millisecond)
		l := sim.links[rng.IntN(len(sim.links))]
		faults := linkFaults{down: rng.IntN(2) == 0, loseAnswers: rng.IntN(4), dropWrites: rng.IntN(2) == 0, slow: time.Duration(rng.IntN(300)) * time.Millisecond}
		l.set(func(f *linkFaults) { *f = faults })
		sim.network.cutPair(rng.IntN(runInstances), rng.IntN(runInstances))
		sim.network.loseNextAnswers(rng.IntN(2))
	}
	sim.network.heal()
}
