package nutmegbudget

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// committer writes one shard's spend, returns and grants, one commit at a time.
type committer struct {
	holder *Holder
	shard  int
	quit   chan struct{}
	done   chan struct{}
	begin  sync.Once   // of the loop
	end    sync.Once   // of quit
	loops  atomic.Bool // the loop was started
	closed atomic.Bool // the leases were released: nothing new is reserved

	turn     chan struct{} // held for one commit; guards all below
	started  atomic.Uint64 // commits begun
	answered uint64        // the latest begun commit that has ended
	number   uint64        // of the latest written batch
	joined   bool
	left     bool
	// mayReturn lets the commit under way give back what the policies do not keep.
	mayReturn bool
	gone      bool // the store has forgotten the holder
	pending   *pendingBatch
	lastErr   error
	failures  int
	retryAt   time.Time

	witnessing witnessing
	stranded   atomic.Pointer[[]Stranded]
}

// pendingBatch is a batch without a known outcome, with its accounts.
type pendingBatch struct {
	Batch
	accounts  []*account
	uncertain bool // it may have been written
}

func newCommitter(h *Holder, shard int) *committer {
	return &committer{
		holder: h,
		shard:  shard,
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
		turn:   make(chan struct{}, 1),
	}
}

// start begins the loop, once.
func (c *committer) start() {
	c.begin.Do(func() {
		c.loops.Store(true)
		go c.loop()
	})
}

// halt ends the loop and waits for it, or until ctx ends.
func (c *committer) halt(ctx context.Context) error {
	// A loop that was not started must not start any more.
	c.begin.Do(func() {})
	c.end.Do(func() { close(c.quit) })
	if !c.loops.Load() {
		return nil
	}
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop commits every interval.
func (c *committer) loop() {
	defer close(c.done)
	ticker := time.NewTicker(c.holder.cfg.CommitInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.quit:
			return
		case <-ticker.C:
			c.tick(context.Background())
		}
	}
}

// tick commits once and asks for acknowledgements ahead.
func (c *committer) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.holder.cfg.CommitTimeout)
	defer cancel()
	if c.lock(ctx) != nil {
		return
	}
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		a.tick(c.holder.cfg.CommitInterval)
		a.mu.Unlock()
	}
	if c.due() {
		c.mayReturn = c.failures == 0
		_ = c.commit(ctx, false)
		c.mayReturn = false
	}
	c.unlock()
	c.acknowledgeAhead(ctx)
}

// due reports whether the shard is worth a commit now.
func (c *committer) due() bool {
	cfg := c.holder.cfg
	if cfg.SettleAfter == 0 || c.pending != nil || c.closed.Load() {
		return true
	}
	for _, a := range c.holder.accountsOf(c.shard) {
		if a.due(cfg.SettleAfter) {
			return true
		}
	}
	return false
}

func (c *committer) lock(ctx context.Context) error {
	select {
	case c.turn <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *committer) unlock() {
	<-c.turn
}

// commitNow commits for a request that waits, and returns when the commit has
// ended or ctx has. The commit itself goes on then: others wait for it, too.
func (c *committer) commitNow(ctx context.Context) error {
	w := &wantedCommit{committer: c, after: c.started.Load() + 1, ended: make(chan error, 1)}
	go w.run()
	select {
	case err := <-w.ended:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// wantedCommit is a commit that a request waits for. Requests that wait for the
// same turn share the commit that begins after they came.
type wantedCommit struct {
	committer *committer
	after     uint64 // the first commit that began after the request came
	ended     chan error
}

func (w *wantedCommit) run() {
	c := w.committer
	ctx, cancel := context.WithTimeout(context.Background(), c.holder.cfg.CommitTimeout)
	defer cancel()
	if err := c.lock(ctx); err != nil {
		w.ended <- err
		return
	}
	defer c.unlock()
	if c.answered >= w.after {
		w.ended <- c.lastErr
		return
	}
	w.ended <- c.commit(ctx, false)
}

func (c *committer) abandon() {
	_ = c.halt(context.Background())
}

// stop settles all spend and returns all tokens.
func (c *committer) stop(ctx context.Context) error {
	if err := c.halt(ctx); err != nil {
		return err
	}
	c.acknowledgeAll(ctx)
	if err := c.lock(ctx); err != nil {
		return err
	}
	defer c.unlock()
	var err error
	for attempt := 0; attempt < stopAttempts && ctx.Err() == nil; attempt++ {
		c.retryAt = time.Time{}
		if err = c.commit(ctx, true); err == nil && c.left {
			return nil
		}
	}
	return err
}

// commit settles a batch of unknown outcome first, then writes a new one.
func (c *committer) commit(ctx context.Context, leave bool) error {
	begun := c.started.Add(1)
	err := c.commitAll(ctx, leave)
	c.answered = begun
	c.lastErr = err
	return err
}

func (c *committer) commitAll(ctx context.Context, leave bool) error {
	if time.Now().Before(c.retryAt) {
		return c.lastErr
	}
	if c.pending != nil {
		if err := c.write(ctx); err != nil {
			return err
		}
	}
	if c.left {
		return nil
	}
	c.pending = c.collect(leave)
	if c.pending == nil {
		c.left = leave
		return nil
	}
	return c.write(ctx)
}

// collect makes a batch of all accounts that have something to commit, nil
// when none has.
func (c *committer) collect(leave bool) *pendingBatch {
	cfg := c.holder.cfg
	p := &pendingBatch{Batch: Batch{
		Incarnation: cfg.Incarnation, Instance: cfg.Instance, Number: c.number + 1, Joined: c.joined, Leave: leave && c.joined,
	}}
	c.rewitness(&p.Batch)
	returnAll := p.Leave || c.closed.Load()
	write := p.Leave || p.Rewitness
	drained := c.closed.Load()
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		e, changed := a.snapshot(returnAll, c.mayReturn)
		if changed || p.Rewitness {
			p.Entries = append(p.Entries, e)
			p.accounts = append(p.accounts, a)
		}
		drained = drained && a.reserved == 0
		a.mu.Unlock()
		write = write || changed
	}
	if drained && c.gone {
		c.rejoin()
		return nil
	}
	p.Drained = drained
	if !write && !drained {
		return nil
	}
	return p
}

// rejoin starts over after the store has forgotten the released leases.
func (c *committer) rejoin() {
	c.resetAccounts()
	c.joined, c.gone = false, false
	c.closed.Store(false)
}

func (c *committer) resetAccounts() {
	for _, a := range c.holder.accountsOf(c.shard) {
		a.reset()
	}
}

// write sends the pending batch and takes its result in.
func (c *committer) write(ctx context.Context) error {
	p := c.pending
	result, err := c.send(ctx, p)
	if err != nil {
		c.failed(p, err)
		return err
	}
	c.failures = 0
	c.holder.doubtful.Store(false)
	c.retryAt = time.Time{}
	c.pending = nil
	c.number = p.Number
	c.take(p, result)
	return nil
}

// send writes the batch to the store. Its number makes it apply once.
func (c *committer) send(ctx context.Context, p *pendingBatch) (Result, error) {
	doc, err := nutmegstore.Update(ctx, c.holder.cfg.Writer, c.key(), func(s *Shard) error {
		c.holder.cfg.Prepare(s, c.shard)
		return s.Apply(p.Batch, c.holder.policyOf)
	})
	if err != nil {
		p.uncertain = p.uncertain || nutmegstore.IsKind(err, nutmegstore.KindUnknown)
		return Result{}, err
	}
	c.noteStranded(&doc.Body)
	return doc.Body.result(p.Batch), nil
}

func (c *committer) key() nutmegstore.Key {
	return nutmegstore.Key{Kind: ShardKind, Name: ShardName(c.shard)}
}

// failed keeps a batch that may have been written, undoes one that was not,
// and backs off.
func (c *committer) failed(p *pendingBatch, err error) {
	if !p.uncertain {
		for _, a := range p.accounts {
			a.undo()
		}
		c.pending = nil
		c.witnessing.cancelChange()
	}
	if nutmegstore.IsKind(err, nutmegstore.KindUnknown) || nutmegstore.IsKind(err, nutmegstore.KindUnavailable) {
		c.failures++
		limit := min(c.holder.cfg.CommitInterval<<min(c.failures, maxBackoffSteps), c.holder.cfg.MaxBackoff)
		c.retryAt = time.Now().Add(limit/2 + time.Duration(rand.Int64N(int64(limit/2)+1)))
	}
}

// take brings a result into the accounts.
func (c *committer) take(p *pendingBatch, r Result) {
	if r.Gone {
		c.gone = true
		c.closed.Store(true)
		c.witnessing.cancelChange()
		c.takeGone(p)
		return
	}
	c.joined = true
	c.closed.Store(r.Released)
	c.witnessing.confirm(r)
	if p.Drained && !r.Released {
		c.resetAccounts()
		return
	}
	c.takeShares(p, r)
}

// takeGone ends a batch of a holder that the store does not know any more. What
// a leaving holder had has been returned; what a forgotten one had counts as spent.
func (c *committer) takeGone(p *pendingBatch) {
	if p.Leave {
		c.left = true
		c.resetAccounts()
		return
	}
	for _, a := range p.accounts {
		a.undo()
	}
}

// takeShares brings the written state of each budget into its account.
func (c *committer) takeShares(p *pendingBatch, r Result) {
	for i, e := range p.Entries {
		a := p.accounts[i]
		granted := a.finish(e, r.Shares[i], r)
		if c.holder.cfg.OnCommit != nil && (e.Settle > 0 || granted > 0 || e.GiveBack > 0) {
			c.holder.cfg.OnCommit(a.committed(e, granted))
		}
	}
}
