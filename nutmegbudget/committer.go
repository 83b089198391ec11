package nutmegbudget

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// entry is one budget's part of a commit. The amounts stay the same over all
// attempts of the commit; what was granted is read from the stored lease.
type entry struct {
	account   *account
	settle    nutmegid.Tokens
	giveBack  nutmegid.Tokens
	need      nutmegid.Tokens
	heldAfter nutmegid.Tokens // held in the lease before the grant
	rate      float64
}

// committer writes one shard's spend, returns and grants, one commit at a time.
type committer struct {
	holder *Holder
	shard  int
	wake   chan chan error
	quit   chan struct{}
	done   chan struct{}

	mu       sync.Mutex // held for one commit
	number   uint64
	pending  []entry // of the commit whose outcome is unknown
	stopping bool
}

func newCommitter(h *Holder, shard int) *committer {
	return &committer{
		holder: h,
		shard:  shard,
		wake:   make(chan chan error),
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
	}
}

// loop commits every interval, and at once for requests that wait for tokens.
func (c *committer) loop() {
	defer close(c.done)
	ticker := time.NewTicker(c.holder.cfg.CommitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.quit:
			return
		case <-ticker.C:
			_ = c.commit(context.Background(), false)
		case answer := <-c.wake:
			c.answer(answer)
		}
	}
}

// answer commits once for all requests that wait.
func (c *committer) answer(first chan error) {
	waiting := []chan error{first}
	for {
		select {
		case next := <-c.wake:
			waiting = append(waiting, next)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.holder.cfg.AcquireTimeout)
	defer cancel()
	err := c.commit(ctx, false)
	for _, w := range waiting {
		w <- err
	}
}

// commitNow asks the loop for a commit and waits for it.
func (c *committer) commitNow(ctx context.Context) error {
	answer := make(chan error, 1)
	select {
	case c.wake <- answer:
	case <-c.done:
		return context.Canceled
	case <-ctx.Done():
		return ctx.Err()
	}
	select {
	case err := <-answer:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *committer) abandon() {
	close(c.quit)
	<-c.done
}

func (c *committer) stop(ctx context.Context) error {
	close(c.quit)
	select {
	case <-c.done:
	case <-ctx.Done():
		return ctx.Err()
	}
	c.stopping = true
	if err := c.commit(ctx, true); err != nil {
		return err
	}
	return c.commit(ctx, true)
}

// commit writes one batch. A batch of unknown outcome is settled first.
func (c *committer) commit(ctx context.Context, all bool) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	entries := c.pending
	if entries == nil {
		entries = c.collect(all)
	}
	if len(entries) == 0 {
		return nil
	}
	number := c.number + 1
	key := nutmegstore.Key{Kind: ShardKind, Name: ShardName(c.shard)}
	doc, err := nutmegstore.Update(ctx, c.holder.cfg.Writer, key, func(s *Shard) error {
		return c.apply(s, number, entries)
	})
	if err != nil {
		c.keep(entries, err)
		return err
	}
	c.number = number
	c.pending = nil
	for _, e := range entries {
		c.finish(&doc.Body, e)
	}
	return nil
}

// keep holds on to a batch that may have been written, and undoes one that was not.
func (c *committer) keep(entries []entry, err error) {
	if c.pending != nil || nutmegstore.IsKind(err, nutmegstore.KindUnknown) {
		c.pending = entries
		return
	}
	for _, e := range entries {
		e.account.mu.Lock()
		e.account.free += e.account.returning
		e.account.returning = 0
		e.account.mu.Unlock()
	}
}

// collect takes a snapshot of all accounts that have something to commit.
func (c *committer) collect(all bool) []entry {
	var entries []entry
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		if !a.idle() {
			entries = append(entries, c.snapshot(a, all))
		}
		a.mu.Unlock()
	}
	return entries
}

func (c *committer) snapshot(a *account, all bool) entry {
	a.rate += rateWeight * (float64(a.interval)/c.holder.cfg.CommitInterval.Seconds() - a.rate)
	a.interval = 0
	if all {
		a.returning = a.free
		a.free = 0
	}
	return entry{
		account:   a,
		settle:    a.spent,
		giveBack:  a.returning,
		need:      a.need,
		heldAfter: a.held() - a.spent - a.returning,
		rate:      a.rate,
	}
}

// apply changes the shard by the batch, once: a batch whose number the shard
// already has was written by an earlier attempt.
func (c *committer) apply(s *Shard, number uint64, entries []entry) error {
	inc := c.holder.cfg.Incarnation
	if s.Commits[inc] >= number {
		return nutmegstore.ErrUnchanged
	}
	for _, e := range entries {
		b, ok := s.Budgets[e.account.id]
		if !ok {
			continue
		}
		c.applyEntry(b, e)
		if err := b.Check(e.account.id); err != nil {
			return err
		}
	}
	if s.Commits == nil {
		s.Commits = make(map[nutmegid.Incarnation]uint64)
	}
	s.Commits[inc] = number
	return nil
}

func (c *committer) applyEntry(b *Budget, e entry) {
	inc := c.holder.cfg.Incarnation
	if b.Leases == nil {
		b.Leases = make(map[nutmegid.Incarnation]*Lease)
	}
	lease, ok := b.Leases[inc]
	if !ok {
		lease = &Lease{Instance: c.holder.cfg.Instance}
		b.Leases[inc] = lease
	}
	if lease.Released {
		return
	}
	b.Spent += e.settle
	lease.Tokens -= e.settle + e.giveBack
	if c.stopping {
		if lease.Tokens == 0 {
			delete(b.Leases, inc)
		}
		return
	}
	v := View{Rate: e.rate, Held: lease.Tokens, Need: e.need, Remaining: b.Remaining(), Holders: len(b.Leases)}
	grant := min(c.holder.cfg.Policy.Target(v)-lease.Tokens, v.Remaining)
	lease.Tokens += max(0, grant)
}

// finish takes the written state of one budget into its account.
func (c *committer) finish(s *Shard, e entry) {
	a := e.account
	a.mu.Lock()
	b, ok := s.Budgets[a.id]
	a.known = ok
	if !ok {
		a.mu.Unlock()
		return
	}
	granted := nutmegid.Tokens(0)
	lease := b.Leases[c.holder.cfg.Incarnation]
	switch {
	case lease == nil:
	case lease.Released:
		a.free = 0
	default:
		granted = lease.Tokens - e.heldAfter
	}
	a.spent -= e.settle
	a.returning -= e.giveBack
	a.free += granted
	a.assert()
	a.mu.Unlock()
	if c.holder.cfg.OnCommit != nil && (e.settle > 0 || granted > 0) {
		c.holder.cfg.OnCommit(a.id, e.settle, granted)
	}
}
