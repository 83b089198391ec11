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
}

// heldRequest is a request that is settled by a later action. Its tokens count
// as used even if its instance dies before it settles them.
type heldRequest struct {
	node *node
	r    Reservation
	used nutmegid.Tokens
}

func newSimulation(p profile) *simulation {
	w := &simulation{
		profile: p, store: newMemStore(), network: &network{cut: make(map[[2]int]bool)},
		used: make(map[nutmegid.BudgetID]nutmegid.Tokens), prepaid: make(map[nutmegid.BudgetID]nutmegid.Tokens),
	}
	for i := range runInstances {
		w.links = append(w.links, &memLink{store: w.store})
		w.nodes = append(w.nodes, w.network.newNode(i, w.links[i], p))
	}
	return w
}

// operate applies an operator's change to the shard over a link without faults.
func (w *simulation) operate(change func(s *Shard) error) error {
	writer := nutmegstore.NewWriter(&memLink{store: w.store}, "operator")
	_, err := nutmegstore.Update(context.Background(), writer, nutmegstore.Key{Kind: ShardKind, Name: ShardName(0)}, change)
	return err
}

func (w *simulation) topUp(id nutmegid.BudgetID, topUp nutmegid.TopUpID, n nutmegid.Tokens) error {
	return w.operate(func(s *Shard) error { return s.TopUp(id, topUp, n) })
}

// run applies the actions and checks for overspend after each.
func (w *simulation) run(actions []action) (err error) {
	defer func() {
		if r := recover(); r != nil {
			err = fmt.Errorf("panic: %v", r)
		}
	}()
	for _, id := range append(runWorkspaces, ownerID) {
		n := nutmegid.Tokens(runPrepaid)
		if id == ownerID {
			n = runPrepaid * 3 / 2
		}
		if err := w.topUp(id, "first", n); err != nil {
			return err
		}
		w.prepaid[id] = n
	}
	for i, a := range actions {
		if err := w.apply(a); err != nil {
			return fmt.Errorf("action %d %+v: %w", i, a, err)
		}
		if err := w.checkOverspend(); err != nil {
			return fmt.Errorf("action %d %+v: %w", i, a, err)
		}
	}
	return w.finish()
}

func (w *simulation) apply(a action) error {
	ctx := context.Background()
	node, link := w.nodes[a.a], w.links[a.a]
	switch a.kind {
	case "spend":
		w.spend(node, runWorkspaces[a.b%2], nutmegid.Tokens(a.n), false)
	case "both":
		done := make(chan struct{})
		go func() {
			defer close(done)
			w.nodeCommit(w.nodes[a.b])
		}()
		w.spend(node, runWorkspaces[a.b%2], nutmegid.Tokens(a.n), false)
		<-done
	case "hold":
		w.spend(node, runWorkspaces[a.b%2], nutmegid.Tokens(a.n), true)
	case "settle":
		w.settleHeld(node)
	case "tick":
		w.nodeCommit(node)
	case "tick_all":
		for _, n := range w.nodes {
			w.nodeCommit(n)
		}
	case "top_up", "same_top_up":
		return w.applyTopUp(a)
	case "cut":
		w.network.cutPair(a.a, a.b)
	case "heal":
		w.network.heal()
	case "store_down":
		link.set(func(f *linkFaults) { f.down = true })
	case "store_down_all":
		for _, l := range w.links {
			l.set(func(f *linkFaults) { f.down = true })
		}
	case "store_up":
		for _, l := range w.links {
			l.set(func(f *linkFaults) { f.down, f.slow = false, 0 })
		}
	case "slow":
		link.set(func(f *linkFaults) { f.slow = time.Duration(a.n) * time.Millisecond })
	case "lose_applied", "lose_dropped":
		link.set(func(f *linkFaults) { f.loseAnswers, f.dropWrites = 1+a.n%12, a.kind == "lose_dropped" })
	case "lose_peer":
		w.network.losePeers(1 + a.n%3)
	case "pause":
		node.down.Store(true)
	case "wake":
		node.down.Store(node.isDead(w))
	case "kill":
		w.kill(node)
	case "replace":
		w.kill(node)
		w.replace(a.a)
	case "stop":
		w.stop(ctx, node, a.a)
	case "release":
		return w.release(node)
	case "lower":
		return w.lower(a)
	case "witness":
		if !node.down.Load() {
			node.witness.CloseSilent(ctx)
		}
	case "sleep":
		time.Sleep(time.Duration(a.n) * 20 * time.Millisecond)
	case "replay":
		return w.replay(a.n)
	case "heal_peer":
		w.network.losePeers(0)
	case "silence":
		w.pauseUntilClosed(ctx, node)
	}
	return nil
}

// pauseUntilClosed pauses an instance until its witnesses have closed its
// leases, and resumes it.
func (w *simulation) pauseUntilClosed(ctx context.Context, n *node) {
	down := n.down.Swap(true)
	time.Sleep(DefaultSilenceTimeout + time.Second)
	for _, other := range w.nodes {
		if !other.down.Load() {
			other.witness.CloseSilent(ctx)
			other.holder.Tick(ctx)
		}
	}
	n.down.Store(down)
}

func (n *node) isDead(w *simulation) bool {
	for _, d := range w.dead {
		if d == n {
			return true
		}
	}
	return false
}

func (w *simulation) nodeCommit(n *node) {
	if !n.down.Load() {
		n.holder.Tick(context.Background())
	}
}

// spend runs one request. A paused instance can only reserve from its local
// leases, like a process that resumes after it was suspended between two steps.
func (w *simulation) spend(n *node, workspace nutmegid.BudgetID, bound nutmegid.Tokens, hold bool) {
	if n.isDead(w) {
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
	w.used[workspace] += used
	w.used[ownerID] += used
	if hold {
		w.heldRequests = append(w.heldRequests, heldRequest{node: n, r: r, used: used})
		return
	}
	r.Settle(used)
}

func (w *simulation) settleHeld(n *node) {
	kept := w.heldRequests[:0]
	for _, h := range w.heldRequests {
		if h.node == n && !n.isDead(w) {
			h.r.Settle(h.used)
			continue
		}
		kept = append(kept, h)
	}
	w.heldRequests = kept
}

func (w *simulation) applyTopUp(a action) error {
	id := append(runWorkspaces, ownerID)[a.b%3]
	if a.kind == "top_up" {
		w.topUps++
		w.prepaid[id] += nutmegid.Tokens(a.n)
		return w.topUp(id, nutmegid.TopUpID(fmt.Sprintf("top-up-%d", w.topUps)), nutmegid.Tokens(a.n))
	}
	n := nutmegid.Tokens(runPrepaid)
	if id == ownerID {
		n = runPrepaid * 3 / 2
	}
	if err := w.topUp(id, "first", n); err != nil {
		return err
	}
	if err := w.topUp(id, "first", n+1); !IsKind(err, KindTopUpReused) {
		return fmt.Errorf("top-up with a reused id: %w", errors.Join(errors.New("want an error of kind top_up_reused"), err))
	}
	return nil
}

// lower lowers a budget by a part of its remaining tokens.
func (w *simulation) lower(a action) error {
	id := runWorkspaces[a.b%2]
	var lowered nutmegid.Tokens
	err := w.operate(func(s *Shard) error {
		b := s.Budgets[id]
		lowered = min(nutmegid.Tokens(a.n), b.Remaining())
		return s.Lower(id, b.Prepaid-lowered)
	})
	if err == nil {
		w.prepaid[id] -= lowered
	}
	return err
}

func (w *simulation) kill(n *node) {
	if !n.isDead(w) {
		n.down.Store(true)
		w.dead = append(w.dead, n)
	}
}

func (w *simulation) replace(i int) {
	w.nodes[i] = w.network.newNode(i, w.links[i], w.profile)
}

// stop stops an instance gracefully, if it is up, and replaces it.
func (w *simulation) stop(ctx context.Context, n *node, i int) {
	if n.down.Load() {
		return
	}
	w.settleHeld(n)
	_ = w.stopHolder(ctx, n)
	w.kill(n)
	w.replace(i)
}

func (w *simulation) stopHolder(ctx context.Context, n *node) error {
	ctx, cancel := context.WithTimeout(ctx, time.Minute)
	defer cancel()
	n.holder.Start()
	return n.holder.Stop(ctx)
}

// release releases an instance even if it is only paused or still running, as a
// mistaken operator may do.
func (w *simulation) release(n *node) error {
	targets := []*node{n}
	if len(w.dead) > 0 {
		targets = append(targets, w.dead[0])
	}
	for _, target := range targets {
		err := w.operate(func(s *Shard) error {
			if w.faultyRelease != nil {
				w.faultyRelease(s, target.inc)
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
func (w *simulation) replay(n int) error {
	nodes := w.network.all()
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
	return w.operate(func(s *Shard) error {
		return s.Apply(batch, func(nutmegid.BudgetID) Policy { return w.profile.terms.Policy })
	})
}

// checkOverspend returns an error if requests used more tokens than were
// prepaid.
func (w *simulation) checkOverspend() error {
	for id, used := range w.used {
		if used > w.prepaid[id] {
			return fmt.Errorf("overspend: requests of %s used %d of %d prepaid tokens", id, used, w.prepaid[id])
		}
	}
	return nil
}

// finish removes all faults, stops all instances and checks the final state of
// the store.
func (w *simulation) finish() error {
	w.network.heal()
	w.network.losePeers(0)
	for _, l := range w.links {
		l.set(func(f *linkFaults) { *f = linkFaults{} })
	}
	time.Sleep(time.Minute)
	for _, n := range w.nodes {
		n.down.Store(n.isDead(w))
	}
	for range 2 {
		for _, n := range w.nodes {
			w.settleHeld(n)
			w.nodeCommit(n)
		}
	}
	for _, n := range w.nodes {
		if n.down.Load() {
			continue
		}
		if err := w.stopHolder(context.Background(), n); err != nil {
			return fmt.Errorf("instance %d did not stop: %w", n.index, err)
		}
		n.down.Store(true)
	}
	return w.checkFinalState()
}

// checkFinalState checks that the store accounts for all used tokens, and for
// exactly these if no instance died.
func (w *simulation) checkFinalState() error {
	s, err := w.store.shard()
	if err != nil {
		return err
	}
	for id, b := range s.Budgets {
		if err := b.Check(id); err != nil {
			return err
		}
		if diff := cmp.Diff(w.prepaid[id], b.Prepaid); diff != "" {
			return fmt.Errorf("prepaid of %s (-want +got):\n%s", id, diff)
		}
		if b.Spent+b.Leased() < w.used[id] {
			return fmt.Errorf("%s: requests used %d tokens, but the store has %d spent and %d leased", id, w.used[id], b.Spent, b.Leased())
		}
		// After a lost answer, a transfer may stay leased to a holder that has
		// stopped.
		exact := b.Leased() == 0 || w.network.answerLost
		if len(w.dead) == 0 && b.WrittenOff == 0 && (!exact || b.Spent != w.used[id]) {
			return fmt.Errorf("%s: requests used %d tokens and no instance died, but the store has %d spent and %d leased", id, w.used[id], b.Spent, b.Leased())
		}
	}
	return nil
}
