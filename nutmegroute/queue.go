package nutmegroute

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// QueueConfig configures the queue of one model or route.
type QueueConfig struct {
	MaxWaiting int // per priority; DefaultMaxWaiting if zero
}

// Capacity is the concurrency of the upstreams behind a queue.
type Capacity struct {
	Slots        int64 // concurrent requests
	UsedByOthers int64 // requests of other instances at the upstreams
	Instances    int   // number of instances that share the upstreams
}

// maxShares are the shares of the capacity up to which a priority may fill it. The rest stays
// available to more urgent priorities.
var maxShares = [priorities]float64{1, 0.95, 0.85, 0.45}

// minShares are the shares of the capacity that each priority may always use, summed over all
// instances, so that no priority starves.
var minShares = [priorities]float64{0.25, 0.1, 0.1, 0.05}

// Queue admits requests by priority, and within a priority by deficit round robin over
// workspaces. It rejects requests early if they would miss their deadline in the queue.
type Queue struct {
	cfg QueueConfig

	mu          sync.Mutex
	capacity    Capacity
	running     [priorities]int64
	total       int64
	classes     [priorities]priorityClass
	completions completionTracker
}

// NewQueue returns a queue for upstreams with the given capacity.
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

// SetCapacity updates the capacity and admits the requests that now fit.
func (q *Queue) SetCapacity(capacity Capacity) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.capacity = capacity
	q.dispatch()
}

// Acquire blocks until the request may run; Release must be called afterwards. Errors are of type
// *Error with RanNo.
func (q *Queue) Acquire(ctx context.Context, p Priority, workspace nutmegid.Workspace, tokens int64) error {
	p = min(max(p, PriorityCheck), PriorityBatch)
	q.mu.Lock()
	class := &q.classes[p]
	if class.waiting == 0 && q.hasCapacity(p) {
		q.admit(p)
		q.mu.Unlock()
		return nil
	}
	if err := q.deadlineError(ctx, p); err != nil {
		q.mu.Unlock()
		return err
	}
	w := &waiter{flow: class.flow(workspace), tokens: max(tokens, 1), result: make(chan error, 1)}
	if class.waiting >= q.cfg.MaxWaiting && !class.evictFromLongestFlow(w.flow) {
		q.mu.Unlock()
		return overloadedError(fmt.Sprintf("%d requests of this priority wait already", class.waiting))
	}
	class.add(w)
	q.mu.Unlock()
	return q.wait(ctx, p, w)
}

func (q *Queue) wait(ctx context.Context, p Priority, w *waiter) error {
	select {
	case err := <-w.result:
		return err
	case <-ctx.Done():
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.classes[p].remove(w) {
		return &Error{Kind: KindExpired, Ran: RanNo, Remedy: "send the request again with a later deadline", Err: ctx.Err()}
	}
	if err := <-w.result; err != nil {
		return err
	}
	q.release(p)
	return &Error{Kind: KindExpired, Ran: RanNo, Remedy: "send the request again with a later deadline", Err: ctx.Err()}
}

// Release frees the slot of an admitted request.
func (q *Queue) Release(p Priority) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.release(min(max(p, PriorityCheck), PriorityBatch))
}

func (q *Queue) release(p Priority) {
	q.running[p]--
	q.total--
	q.completions.observe(time.Now())
	q.dispatch()
}

// Waiting returns the number of queued requests of a priority.
func (q *Queue) Waiting(p Priority) int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.classes[p].waiting
}

// hasCapacity reports whether a request of priority p may start now.
func (q *Queue) hasCapacity(p Priority) bool {
	slots := float64(q.capacity.Slots)
	floor := minShares[p] * slots / float64(max(q.capacity.Instances, 1))
	if float64(q.running[p]) < max(1, floor) {
		return true
	}
	return float64(q.total+q.capacity.UsedByOthers) < maxShares[p]*slots
}

func (q *Queue) admit(p Priority) {
	q.running[p]++
	q.total++
}

// dispatch admits queued requests, most urgent first.
func (q *Queue) dispatch() {
	for p := PriorityCheck; p <= PriorityBatch; p++ {
		for q.classes[p].waiting > 0 && q.hasCapacity(p) {
			q.admit(p)
			q.classes[p].dequeue().result <- nil
		}
	}
}

// deadlineError returns an error if the expected wait exceeds the request's deadline.
func (q *Queue) deadlineError(ctx context.Context, p Priority) error {
	deadline, ok := ctx.Deadline()
	if !ok {
		return nil
	}
	ahead := 1
	for i := range p + 1 {
		ahead += q.classes[i].waiting
	}
	expectedWait := time.Duration(ahead) * q.completions.interval
	if expectedWait <= time.Until(deadline) {
		return nil
	}
	return overloadedError(fmt.Sprintf("the likely wait is %v, past the deadline", expectedWait.Round(time.Millisecond)))
}

func overloadedError(reason string) error {
	return &Error{Kind: KindOverloaded, Ran: RanNo, Remedy: reason + "; send the request again later"}
}

// waiter is a queued request.
type waiter struct {
	flow   *flow
	tokens int64
	result chan error // buffered, size 1; nil admits the request, an error rejects it
}

// flow holds the queued requests of one workspace.
type flow struct {
	workspace nutmegid.Workspace
	waiters   []*waiter
	deficit   int64 // tokens that the flow may still start in this round
}

// priorityClass holds the queued requests of one priority.
type priorityClass struct {
	flows   map[nutmegid.Workspace]*flow
	round   []*flow // non-empty flows in round-robin order
	waiting int
}

func (c *priorityClass) flow(w nutmegid.Workspace) *flow {
	f, ok := c.flows[w]
	if !ok {
		f = &flow{workspace: w}
		c.flows[w] = f
	}
	return f
}

func (c *priorityClass) add(w *waiter) {
	if len(w.flow.waiters) == 0 {
		c.round = append(c.round, w.flow)
		c.flows[w.flow.workspace] = w.flow
	}
	w.flow.waiters = append(w.flow.waiters, w)
	c.waiting++
}

// dequeue removes and returns the next waiter. The class must not be empty.
func (c *priorityClass) dequeue() *waiter {
	for {
		f := c.round[0]
		if w := f.waiters[0]; w.tokens <= f.deficit {
			f.deficit -= w.tokens
			c.removeAt(f, 0)
			return w
		}
		f.deficit += drrQuantum
		c.round = append(c.round[1:], f)
	}
}

// removeAt removes the i-th waiter of a flow, and the flow itself if it becomes empty.
func (c *priorityClass) removeAt(f *flow, i int) {
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

func (c *priorityClass) remove(w *waiter) bool {
	for i, other := range w.flow.waiters {
		if other == w {
			c.removeAt(w.flow, i)
			return true
		}
	}
	return false
}

// evictFromLongestFlow rejects the newest waiter of the longest flow to make room for one of
// flow f. It returns false if that flow is no longer than f would become.
func (c *priorityClass) evictFromLongestFlow(f *flow) bool {
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
	c.removeAt(longest, last)
	w.result <- overloadedError(fmt.Sprintf("workspace %q has %d requests waiting, the most of all", longest.workspace, last+1))
	return true
}

// completionTracker tracks the mean interval between completed requests.
type completionTracker struct {
	last     time.Time
	interval time.Duration
}

func (t *completionTracker) observe(now time.Time) {
	if !t.last.IsZero() {
		t.interval += (now.Sub(t.last) - t.interval) / completionWindow
	}
	t.last = now
}
