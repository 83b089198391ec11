package nutmegroute

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// QueueConfig bounds the queue before the upstreams of one model or route.
type QueueConfig struct {
	MaxWaiting int // of each priority; DefaultMaxWaiting when zero
}

// Capacity is what the upstreams behind a queue run.
type Capacity struct {
	Slots  int64 // requests at once
	Others int64 // requests of other instances at the upstreams
	Owners int   // instances that share the upstreams
}

// ceilings are the shares of the capacity up to which a priority may fill it:
// what is left stays free for more urgent ones.
var ceilings = [priorities]float64{1, 0.95, 0.85, 0.45}

// floors are the shares of the capacity that a priority may always use over
// all instances, so that none starves.
var floors = [priorities]float64{0.25, 0.1, 0.1, 0.05}

// Queue admits requests by priority, and within one by deficit round robin
// over workspaces. It refuses early where waiting is of no use.
type Queue struct {
	cfg QueueConfig

	mu       sync.Mutex
	capacity Capacity
	running  [priorities]int64
	total    int64
	classes  [priorities]class
	pace     pace
}

// NewQueue returns a queue before upstreams of a capacity.
func NewQueue(cfg QueueConfig, capacity Capacity) *Queue {
	if cfg.MaxWaiting == 0 {
		cfg.MaxWaiting = DefaultMaxWaiting
	}
	q := &Queue{cfg: cfg, capacity: capacity}
	for i := range q.classes {
		q.classes[i].flows = make(map[nutmegid.Workspace]*flow)
	}
	return q
}

// SetCapacity changes the capacity.
func (q *Queue) SetCapacity(capacity Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = capacity
	q.dispatch()
}

// Enter returns when the request may run; Leave must follow. The error is an
// *Error that says RanNo.
func (q *Queue) Enter(ctx context.Context, p Priority, workspace nutmegid.Workspace, tokens int64) error {
	p = min(max(p, PriorityCheck), PriorityBatch)
	q.mu.Lock()
	class := &q.classes[p]
	if class.waiting == 0 && q.free(p) {
		q.admit(p)
		q.mu.Unlock()
		return nil
	}
	if err := q.hopeless(ctx, p); err != nil {
		q.mu.Unlock()
		return err
	}
	w := &waiter{flow: class.flow(workspace), tokens: max(tokens, 1), turn: make(chan error, 1)}
	if class.waiting >= q.cfg.MaxWaiting && !class.makeRoom(w.flow) {
		q.mu.Unlock()
		return overloaded(fmt.Sprintf("%d requests of this priority wait already", class.waiting))
	}
	class.add(w)
	q.mu.Unlock()
	return q.wait(ctx, p, w)
}

func (q *Queue) wait(ctx context.Context, p Priority, w *waiter) error {
	select {
	case err := <-w.turn:
		return err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.classes[p].remove(w) {
		return &Error{Kind: KindExpired, Ran: RanNo, Remedy: "send the request again with a later deadline", Err: ctx.Err()}
	}
	if err := <-w.turn; err != nil {
		return err
	}
	q.leave(p)
	return &Error{Kind: KindExpired, Ran: RanNo, Remedy: "send the request again with a later deadline", Err: ctx.Err()}
}

// Leave gives the place of an admitted request free.
func (q *Queue) Leave(p Priority) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.leave(min(max(p, PriorityCheck), PriorityBatch))
}

func (q *Queue) leave(p Priority) {
	q.running[p]--
	q.total--
	q.pace.note(time.Now())
	q.dispatch()
}

// Waiting returns the number of waiting requests of a priority.
func (q *Queue) Waiting(p Priority) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.classes[p].waiting
}

// free says whether a request of priority p may start now.
func (q *Queue) free(p Priority) bool {
	slots := float64(q.capacity.Slots)
	floor := floors[p] * slots / float64(max(q.capacity.Owners, 1))
	if float64(q.running[p]) < max(1, floor) {
		return true
	}
	return float64(q.total+q.capacity.Others) < ceilings[p]*slots
}

func (q *Queue) admit(p Priority) {
	q.running[p]++
	q.total++
}

// dispatch starts waiting requests, the most urgent first.
func (q *Queue) dispatch() {
	for p := PriorityCheck; p <= PriorityBatch; p++ {
		for q.classes[p].waiting > 0 && q.free(p) {
			q.admit(p)
			q.classes[p].next().turn <- nil
		}
	}
}

// hopeless refuses a request whose deadline passes before its likely turn.
func (q *Queue) hopeless(ctx context.Context, p Priority) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ahead := 1
	for i := range p + 1 {
		ahead += q.classes[i].waiting
	}
	likely := time.Duration(ahead) * q.pace.interval
	if likely <= time.Until(deadline) {
		return nil
	}
	return overloaded(fmt.Sprintf("the likely wait is %v, past the deadline", likely.Round(time.Millisecond)))
}

func overloaded(reason string) error {
	return &Error{Kind: KindOverloaded, Ran: RanNo, Remedy: reason + "; send the request again later"}
}

// waiter is one request that waits.
type waiter struct {
	flow   *flow
	tokens int64
	turn   chan error // of size 1
}

// flow is the waiting requests of one workspace.
type flow struct {
	workspace nutmegid.Workspace
	waiters   []*waiter
	deficit   int64 // tokens that the flow may start in this round
}

// class is the waiting requests of one priority.
type class struct {
	flows   map[nutmegid.Workspace]*flow
	round   []*flow // those that have waiters, in the order of their turns
	waiting int
}

func (c *class) flow(w nutmegid.Workspace) *flow {
	f, ok := c.flows[w]
	if !ok {
		f = &flow{workspace: w}
		c.flows[w] = f
	}
	return f
}

func (c *class) add(w *waiter) {
	if len(w.flow.waiters) == 0 {
		c.round = append(c.round, w.flow)
		c.flows[w.flow.workspace] = w.flow
	}
	w.flow.waiters = append(w.flow.waiters, w)
	c.waiting++
}

// next takes the waiter whose turn it is. There must be one.
func (c *class) next() *waiter {
	for {
		f := c.round[0]
		if w := f.waiters[0]; w.tokens <= f.deficit {
			f.deficit -= w.tokens
			c.take(f, 0)
			return w
		}
		f.deficit += fairQuantum
		c.round = append(c.round[1:], f)
	}
}

// take removes the i-th waiter of a flow, and the flow where it was the last.
func (c *class) take(f *flow, i int) {
	f.waiters = append(f.waiters[:i:i], f.waiters[i+1:]...)
	c.waiting--
	if len(f.waiters) > 0 {
		return
	}
	delete(c.flows, f.workspace)
	for at, other := range c.round {
		if other == f {
			c.round = append(c.round[:at:at], c.round[at+1:]...)
			return
		}
	}
}

func (c *class) remove(w *waiter) bool {
	for i, other := range w.flow.waiters {
		if other == w {
			c.take(w.flow, i)
			return true
		}
	}
	return false
}

// makeRoom refuses the newest waiter of the longest flow in favour of one of
// flow f, unless f is itself the longest.
func (c *class) makeRoom(f *flow) bool {
	longest := f
	for _, other := range c.round {
		if len(other.waiters) > len(longest.waiters) {
			longest = other
		}
	}
	if len(longest.waiters) <= len(f.waiters)+1 {
		return false
	}
	last := len(longest.waiters) - 1
	w := longest.waiters[last]
	c.take(longest, last)
	w.turn <- overloaded(fmt.Sprintf("workspace %q has %d requests waiting, the most of all", longest.workspace, last+1))
	return true
}

// pace is the mean time between two ends of requests.
type pace struct {
	last     time.Time
	interval time.Duration
}

func (p *pace) note(now time.Time) {
	if !p.last.IsZero() {
		p.interval += (now.Sub(p.last) - p.interval) / paceWindow
	}
	p.last = now
}
