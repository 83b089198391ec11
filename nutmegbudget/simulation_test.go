package nutmegbudget

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// profile is the configuration of the holders in a run.
type profile struct {
	terms     Terms
	witnesses int
	// settleAfter is how long spend may stay unsettled.
	settleAfter time.Duration
	// prepare, if not nil, updates a shard before each commit.
	prepare func(s *Shard, shard int)
}

var runPolicy = RateProportional{Horizon: time.Minute, MinLease: 500}

// simulation is the state of one random run: instances, store, faults, and the
// tokens that requests actually used.
type simulation struct {
	profile       profile
	store         *memStore
	network       *network
	links         []*memLink
	nodes         []*node // the current incarnation of each instance
	dead          []*node
	heldRequests  []heldRequest
	used          map[nutmegid.BudgetID]nutmegid.Tokens // used by requests, also on instances that died
	prepaid       map[nutmegid.BudgetID]nutmegid.Tokens
	topUps        int
	faultyRelease func(s *Shard, inc nutmegid.Incarnation) // replaces Shard.Release
	copied        map[nutmegstore.Key]nutmegstore.Object   // the store's copy, for a restore
}

// heldRequest is a request that is settled by a later action. Its tokens count
// as used even if its instance dies before it settles them.
type heldRequest struct {
	node *node
	r    Reservation
	used nutmegid.Tokens
}

func newSimulation(p profile) *simulation {
	sim := &simulation{
		profile: p, store: newMemStore(), network: &network{cut: make(map[[2]int]bool)},
		used: make(map[nutmegid.BudgetID]nutmegid.Tokens), prepaid: make(map[nutmegid.BudgetID]nutmegid.Tokens),
	}
	for i := range runInstances {
		sim.links = append(sim.links, &memLink{store: sim.store})
		sim.nodes = append(sim.nodes, sim.network.newNode(i, sim.links[i], p))
	}
	if p.prepare != nil {
		sim.store.era = 1
		for _, l := range sim.links {
			l.lastEra() // instances follow the store from their start on
		}
	}
	return sim
}

// firstAmounts returns the prepaid amounts at the beginning of a run.
func firstAmounts() map[nutmegid.BudgetID]nutmegid.Tokens {
	amounts := map[nutmegid.BudgetID]nutmegid.Tokens{ownerID: runPrepaid * 3 / 2}
	for _, id := range runWorkspaces {
		amounts[id] = runPrepaid
	}
	return amounts
}

// operate applies an operator's change to the shard over a link without faults.
func (sim *simulation) operate(change func(s *Shard) error) error {
	writer := nutmegstore.NewWriter(&memLink{store: sim.store}, "operator")
	_, err := nutmegstore.Update(context.Background(), writer, nutmegstore.Key{Kind: ShardKind, Name: ShardName(0)}, change)
	return err
}

func (sim *simulation) topUp(id nutmegid.BudgetID, topUp nutmegid.TopUpID, n nutmegid.Tokens) error {
	return sim.operate(func(s *Shard) error { return s.TopUp(id, topUp, n) })
}

// run applies the actions and checks for overspend after each.
func (sim *simulation) run(actions []action) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	for id, n := range firstAmounts() {
		sim.prepaid[id] = n
		if sim.profile.prepare != nil {
			continue // the amounts come with the configuration
		}
		if err := sim.topUp(id, "first", n); err != nil {
			return err
		}
	}
	for i, a := range actions {
		if err := sim.apply(a); err != nil {
			return fmt.Errorf("action %d %+v: %w", i, a, err)
		}
		if err := sim.checkOverspend(); err != nil {
			return fmt.Errorf("action %d %+v: %w", i, a, err)
		}
	}
	return sim.finish()
}

func (sim *simulation) apply(a action) error {
	ctx := context.Background()
	node, link := sim.nodes[a.a], sim.links[a.a]
	switch a.kind {
	case "spend":
		sim.spend(node, runWorkspaces[a.b%2], nutmegid.Tokens(a.n), false)
	case "both":
		done := make(chan struct{})
		go func() {
			defer close(done)
			sim.nodeCommit(sim.nodes[a.b])
		}()
		sim.spend(node, runWorkspaces[a.b%2], nutmegid.Tokens(a.n), false)
		<-done
	case "hold":
		sim.spend(node, runWorkspaces[a.b%2], nutmegid.Tokens(a.n), true)
	case "settle":
		sim.settleHeld(node)
	case "tick":
		sim.nodeCommit(node)
	case "tick_all":
		for _, n := range sim.nodes {
			sim.nodeCommit(n)
		}
	case "top_up", "same_top_up":
		return sim.applyTopUp(a)
	case "cut":
		sim.network.cutPair(a.a, a.b)
	case "heal":
		sim.network.heal()
	case "store_down":
		link.set(func(f *linkFaults) { f.down = true })
	case "store_down_all":
		for _, l := range sim.links {
			l.set(func(f *linkFaults) { f.down = true })
		}
	case "store_up":
		for _, l := range sim.links {
			l.set(func(f *linkFaults) { f.down, f.slow = false, 0 })
		}
	case "slow":
		link.set(func(f *linkFaults) { f.slow = time.Duration(a.n) * time.Millisecond })
	case "lose_applied", "lose_dropped":
		link.set(func(f *linkFaults) { f.loseAnswers, f.dropWrites = 1+a.n%12, a.kind == "lose_dropped" })
	case "lose_peer":
		sim.network.loseNextAnswers(1 + a.n%3)
	case "pause":
		node.down.Store(true)
	case "wake":
		node.down.Store(node.isDead(sim))
	case "kill":
		sim.kill(node)
	case "replace":
		sim.kill(node)
		sim.replace(a.a)
	case "stop":
		sim.stop(ctx, node, a.a)
	case "release":
		return sim.release(node)
	case "lower":
		return sim.lower(a)
	case "witness":
		if !node.down.Load() {
			node.witness.CloseSilent(ctx)
		}
	case "sleep":
		time.Sleep(time.Duration(a.n) * 20 * time.Millisecond)
	case "replay":
		return sim.replay(a.n)
	case "heal_peer":
		sim.network.loseNextAnswers(0)
	case "silence":
		sim.pauseUntilClosed(ctx, node)
	case "copy":
		sim.copied = sim.store.copyObjects()
	case "restore":
		sim.restore()
	}
	return nil
}

// restore brings the store back from its latest copy. Instances notice within a second
// if they reach it.
func (sim *simulation) restore() {
	if sim.copied == nil {
		return
	}
	sim.store.restore(sim.copied)
}

// pauseUntilClosed pauses an instance until its witnesses have closed its
// leases, and resumes it.
func (sim *simulation) pauseUntilClosed(ctx context.Context, n *node) {
	down := n.down.Swap(true)
	time.Sleep(DefaultSilenceTimeout + time.Second)
	for _, other := range sim.nodes {
		if !other.down.Load() {
			other.witness.CloseSilent(ctx)
			other.holder.Tick(ctx)
		}
	}
	n.down.Store(down)
}

func (n *node) isDead(sim *simulation) bool {
	for _, d := range sim.dead {
		if d == n {
			return true
		}
	}
	return false
}

func (sim *simulation) nodeCommit(n *node) {
	if !n.down.Load() {
		n.holder.Tick(context.Background())
	}
}

// spend runs one request. A paused instance can only reserve from its local
// leases, like a process that resumes after it was suspended between two steps.
func (sim *simulation) spend(n *node, workspace nutmegid.BudgetID, bound nutmegid.Tokens, hold bool) {
	if n.isDead(sim) {
		return
	}
	var r Reservation
	ok := false
	if n.down.Load() {
		r, ok = n.holder.Reserve(workspace, ownerID, bound)
	} else if acquired, err := n.holder.Acquire(context.Background(), workspace, ownerID, bound); err == nil {
		r, ok = acquired, true
	}
	if !ok {
		return
	}
	used := bound - bound/5
	sim.used[workspace] += used
	sim.used[ownerID] += used
	if hold {
		sim.heldRequests = append(sim.heldRequests, heldRequest{node: n, r: r, used: used})
		return
	}
	r.Settle(used)
}

func (sim *simulation) settleHeld(n *node) {
	remaining := sim.heldRequests[:0]
	for _, h := range sim.heldRequests {
		if h.node == n && !n.isDead(sim) {
			h.r.Settle(h.used)
			continue
		}
		remaining = append(remaining, h)
	}
	sim.heldRequests = remaining
}

func (sim *simulation) applyTopUp(a action) error {
	id := append(runWorkspaces, ownerID)[a.b%3]
	if a.kind == "top_up" {
		sim.topUps++
		sim.prepaid[id] += nutmegid.Tokens(a.n)
		return sim.topUp(id, nutmegid.TopUpID(fmt.Sprintf("top-up-%d", sim.topUps)), nutmegid.Tokens(a.n))
	}
	n := nutmegid.Tokens(runPrepaid)
	if id == ownerID {
		n = runPrepaid * 3 / 2
	}
	if err := sim.topUp(id, "first", n); err != nil {
		return err
	}
	if err := sim.topUp(id, "first", n+1); !IsKind(err, KindTopUpReused) {
		return fmt.Errorf("top-up with a reused id: %w", errors.Join(errors.New("want an error of kind top_up_reused"), err))
	}
	return nil
}

// lower lowers a budget by a part of its remaining tokens.
func (sim *simulation) lower(a action) error {
	id := runWorkspaces[a.b%2]
	var lowered nutmegid.Tokens
	err := sim.operate(func(s *Shard) error {
		b := s.Budgets[id]
		lowered = min(nutmegid.Tokens(a.n), b.Remaining())
		return s.Lower(id, b.Prepaid-lowered)
	})
	if err == nil {
		sim.prepaid[id] -= lowered
	}
	return err
}

func (sim *simulation) kill(n *node) {
	if !n.isDead(sim) {
		n.down.Store(true)
		sim.dead = append(sim.dead, n)
	}
}

func (sim *simulation) replace(i int) {
	sim.nodes[i] = sim.network.newNode(i, sim.links[i], sim.profile)
}

// stop stops an instance gracefully, if it is up, and replaces it.
func (sim *simulation) stop(ctx context.Context, n *node, i int) {
	if n.down.Load() {
		return
	}
	sim.settleHeld(n)
	_ = sim.stopHolder(ctx, n)
	sim.kill(n)
	sim.replace(i)
}

func (sim *simulation) stopHolder(ctx context.Context, n *node) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	n.holder.Start()
	return n.holder.Stop(ctx)
}

// release releases an instance even if it is only paused or still running, as a
// mistaken operator may do.
func (sim *simulation) release(n *node) error {
	targets := []*node{n}
	if len(sim.dead) > 0 {
		targets = append(targets, sim.dead[0])
	}
	for _, target := range targets {
		err := sim.operate(func(s *Shard) error {
			if sim.faultyRelease != nil {
				sim.faultyRelease(s, target.inc)
				return nil
			}
			_, err := s.Release(target.inc)
			return err
		})
		if err != nil && !IsKind(err, KindUnknownHolder) {
			return err
		}
	}
	return nil
}

// replay applies a batch with the number of the last written one, like a write
// that the store carries out late. It must have no effect.
func (sim *simulation) replay(n int) error {
	nodes := sim.network.all()
	node := nodes[n%len(nodes)]
	c := node.holder.committers[0]
	if err := c.lock(context.Background()); err != nil {
		return err
	}
	number := c.lastBatch
	c.unlock()
	if number == 0 {
		return nil
	}
	batch := Batch{Incarnation: node.inc, Number: number, Joined: true}
	for _, id := range runWorkspaces {
		batch.Entries = append(batch.Entries, Entry{Budget: id, Settle: 1, Need: nutmegid.Tokens(n)})
	}
	return sim.operate(func(s *Shard) error {
		return s.Apply(batch, func(nutmegid.BudgetID) Policy { return sim.profile.terms.Policy })
	})
}

// checkOverspend returns an error if requests used more tokens than were
// prepaid.
func (sim *simulation) checkOverspend() error {
	for id, used := range sim.used {
		if used > sim.prepaid[id] {
			return fmt.Errorf("overspend: requests of %s used %d of %d prepaid tokens", id, used, sim.prepaid[id])
		}
	}
	return nil
}

// finish removes all faults, stops all instances and checks the final state of
// the store.
func (sim *simulation) finish() error {
	sim.network.heal()
	sim.network.loseNextAnswers(0)
	for _, l := range sim.links {
		l.set(func(f *linkFaults) { *f = linkFaults{} })
	}
	time.Sleep(time.Minute)
	for _, n := range sim.nodes {
		n.down.Store(n.isDead(sim))
	}
	for range 2 {
		for _, n := range sim.nodes {
			sim.settleHeld(n)
			sim.nodeCommit(n)
		}
	}
	for _, n := range sim.nodes {
		if n.down.Load() {
			continue
		}
		if err := sim.stopHolder(context.Background(), n); err != nil {
			return fmt.Errorf("instance %d did not stop: %w", n.index, err)
		}
		n.down.Store(true)
	}
	return sim.checkFinalState()
}

// checkFinalState checks that the store accounts for all used tokens, and for
// exactly these if no instance died.
func (sim *simulation) checkFinalState() error {
	s, err := sim.store.shard()
	if err != nil {
		return err
	}
	if sim.profile.prepare != nil {
		sim.profile.prepare(&s, 0) // lowers an amount that had to cover leases counted twice
	}
	for id, b := range s.Budgets {
		if err := b.Check(id); err != nil {
			return err
		}
		if diff := cmp.Diff(sim.prepaid[id], b.Prepaid); diff != "" {
			return fmt.Errorf("prepaid of %s (-want +got):\n%s", id, diff)
		}
		if b.Spent+b.Leased() < sim.used[id] {
			return fmt.Errorf("%s: requests used %d tokens, but the store has %d spent and %d leased", id, sim.used[id], b.Spent, b.Leased())
		}
		// After a lost answer, a transfer may stay leased to a holder that has
		// stopped.
		exact := b.Leased() == 0 || sim.network.answerLost
		if len(sim.dead) == 0 && b.WrittenOff == 0 && (!exact || b.Spent != sim.used[id]) {
			return fmt.Errorf("%s: requests used %d tokens and no instance died, but the store has %d spent and %d leased", id, sim.used[id], b.Spent, b.Leased())
		}
	}
	return nil
}
