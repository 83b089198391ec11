package nutmegbudget

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// committer commits one shard's spend, returned tokens and needs to the store,
// one batch at a time.
type committer struct {
	holder      *Holder
	shard       int
	quit        chan struct{}
	done        chan struct{}
	startOnce   sync.Once   // starts the loop
	quitOnce    sync.Once   // closes quit
	loopStarted atomic.Bool // the loop goroutine exists and will close done
	released    atomic.Bool // the leases were released or forgotten: no new reservations

	commitLock   chan struct{} // held during one commit; guards the fields below
	commitsBegun atomic.Uint64 // sequence number of the latest commit that has begun
	commitsEnded uint64        // sequence number of the latest commit that has ended
	lastBatch    uint64        // number of the latest written batch
	joined       bool
	left         bool
	// mayReturn lets the current commit return tokens above what the policies
	// keep.
	mayReturn bool
	forgotten bool // the store has no record of the holder any more
	// era is the store's era in which the store knows the leases, unless restating is
	// set: then the next batch states them. Both are written under commitLock only.
	era       atomic.Uint32
	restating atomic.Bool
	seen      *Shard // the shard as of the latest commit; read-only
	// withheldUntil is when a commit asks again whether tokens are granted; zero if the
	// latest one was not refused any.
	withheldUntil time.Time
	pending       *pendingBatch
	lastErr       error
	failures      int
	retryAt       time.Time

	witnessSet witnessSet
	stranded   atomic.Pointer[[]StrandedLease]
}

// pendingBatch is a batch that is not known to be written, with the accounts of
// its entries.
type pendingBatch struct {
	Batch
	accounts  []*account
	uncertain bool // a write of unknown outcome may have stored it
}

func newCommitter(h *Holder, shard int) *committer {
	c := &committer{
		holder:     h,
		shard:      shard,
		quit:       make(chan struct{}),
		done:       make(chan struct{}),
		commitLock: make(chan struct{}, 1),
	}
	// Nothing has to be stated in the era in which the holder begins.
	c.era.Store(uint32(h.cfg.StoreEra().Era))
	return c
}

// start starts the commit loop once.
func (c *committer) start() {
	c.startOnce.Do(func() {
		c.loopStarted.Store(true)
		go c.loop()
	})
}

// stopLoop stops the loop and waits until it has ended or ctx is done.
func (c *committer) stopLoop(ctx context.Context) error {
	// Prevents a later start of the loop.
	c.startOnce.Do(func() {})
	c.quitOnce.Do(func() { close(c.quit) })
	if !c.loopStarted.Load() {
		return nil
	}
	select {
	case <-c.done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// loop runs tick every commit interval.
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

// tick updates the spend rates, commits if a commit is due, and requests
// acknowledgements in advance.
func (c *committer) tick(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.holder.cfg.CommitTimeout)
	defer cancel()
	if c.lock(ctx) != nil {
		return
	}
	c.followEra()
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		a.updateRate(c.holder.cfg.CommitInterval)
		a.mu.Unlock()
	}
	if c.due() {
		c.mayReturn = c.failures == 0
		_ = c.commit(ctx, false)
		c.mayReturn = false
	}
	c.unlock()
	c.requestAcksAhead(ctx)
}

// due reports whether the shard needs a commit now.
func (c *committer) due() bool {
	cfg := c.holder.cfg
	if cfg.SettleAfter == 0 || c.pending != nil || c.released.Load() || c.restating.Load() || c.asksAgain() {
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
	case c.commitLock <- struct{}{}:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (c *committer) unlock() {
	<-c.commitLock
}

// commitNow commits for a waiting request and returns when the commit has ended
// or ctx is done. In the latter case the commit continues, because other
// requests may wait for it, too.
func (c *committer) commitNow(ctx context.Context) error {
	r := &requestedCommit{committer: c, minCommit: c.commitsBegun.Load() + 1, result: make(chan error, 1)}
	go r.run()
	select {
	case err := <-r.result:
		return err
	case <-ctx.Done():
		return ctx.Err()
	}
}

// requestedCommit is a commit that a request waits for. Requests that arrive
// during a commit share the next one.
type requestedCommit struct {
	committer *committer
	minCommit uint64 // sequence number of the first commit to begin after the request
	result    chan error
}

func (r *requestedCommit) run() {
	c := r.committer
	ctx, cancel := context.WithTimeout(context.Background(), c.holder.cfg.CommitTimeout)
	defer cancel()
	if err := c.lock(ctx); err != nil {
		r.result <- err
		return
	}
	defer c.unlock()
	if c.commitsEnded >= r.minCommit {
		r.result <- c.lastErr
		return
	}
	r.result <- c.commit(ctx, false)
}

func (c *committer) abandon() {
	_ = c.stopLoop(context.Background())
}

// stop stops the loop, settles all spend and returns all tokens.
func (c *committer) stop(ctx context.Context) error {
	if err := c.stopLoop(ctx); err != nil {
		return err
	}
	c.requestAllAcks(ctx)
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

// commit writes one commit and records its outcome for the requests that wait
// for it.
func (c *committer) commit(ctx context.Context, leave bool) error {
	begun := c.commitsBegun.Add(1)
	err := c.commitPendingAndNew(ctx, leave)
	c.commitsEnded = begun
	c.lastErr = err
	return err
}

// commitPendingAndNew resolves a pending batch first, then writes a new one. If the
// store has lost what the batch relies on, another one states the leases.
func (c *committer) commitPendingAndNew(ctx context.Context, leave bool) error {
	err := c.tryCommit(ctx, leave)
	if IsKind(err, KindNotStated) {
		return c.tryCommit(ctx, leave)
	}
	return err
}

// tryCommit does so once.
func (c *committer) tryCommit(ctx context.Context, leave bool) error {
	c.followEra()
	if time.Now().Before(c.retryAt) {
		return c.lastErr
	}
	if c.pending != nil {
		if err := c.writePending(ctx); err != nil {
			return err
		}
	}
	if c.left {
		return nil
	}
	c.pending = c.buildBatch(leave)
	if c.pending == nil {
		c.left = leave
		return nil
	}
	return c.writePending(ctx)
}

// buildBatch makes a batch of all accounts that have something to commit. It
// returns nil if there is nothing to write.
func (c *committer) buildBatch(leave bool) *pendingBatch {
	cfg := c.holder.cfg
	p := &pendingBatch{Batch: Batch{
		Incarnation: cfg.Incarnation, Instance: cfg.Instance, Number: c.lastBatch + 1, Joined: c.joined, Leave: leave && c.joined,
		Era: nutmegid.Era(c.era.Load()), Restates: c.restating.Load(),
	}}
	c.replaceWitnesses(&p.Batch)
	returnAll := p.Leave || c.released.Load()
	whole := p.ReplaceWitnesses || p.Restates || c.asksAgain() // all accounts take part
	write := p.Leave || whole
	drained := c.released.Load()
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		e, changed := a.snapshot(returnAll, c.mayReturn)
		if changed || whole {
			p.Entries = append(p.Entries, e)
			p.accounts = append(p.accounts, a)
		}
		drained = drained && a.reserved == 0
		a.mu.Unlock()
		write = write || changed
	}
	if drained && c.forgotten {
		c.rejoin()
		return nil
	}
	p.Drained = drained
	if !write && !drained {
		return nil
	}
	return p
}

// rejoin resets the holder after the store has removed its released leases, so
// that the next batch joins the shard again.
func (c *committer) rejoin() {
	c.resetAccounts()
	c.joined, c.forgotten = false, false
	c.released.Store(false)
}

func (c *committer) resetAccounts() {
	for _, a := range c.holder.accountsOf(c.shard) {
		a.reset()
	}
}

// writePending writes the pending batch and applies its result.
func (c *committer) writePending(ctx context.Context) error {
	p := c.pending
	result, err := c.applyToStore(ctx, p)
	if err != nil {
		c.handleFailure(p, err)
		return err
	}
	if p.contradictedBy(result) {
		c.beginRestating()
		return notStated(p.Batch)
	}
	c.failures = 0
	c.holder.storeTimedOut.Store(false)
	c.retryAt = time.Time{}
	c.pending = nil
	c.lastBatch = p.Number
	c.recordWithheld(p.Withhold)
	c.applyResult(p, result)
	return nil
}

// applyToStore applies the batch to the shard in the store. The batch number
// makes retries idempotent.
func (c *committer) applyToStore(ctx context.Context, p *pendingBatch) (Result, error) {
	doc, err := nutmegstore.UpdateLatest(ctx, c.holder.cfg.Writer, c.key(), func(s *Shard) error {
		if c.holder.cfg.StoreEra().Era != p.Era {
			return notStated(p.Batch)
		}
		if err := s.checkRecords(); err != nil {
			return err
		}
		c.holder.cfg.Prepare(s, c.shard)
		c.enterEra(s, p)
		return s.Apply(p.Batch, c.holder.policyOf)
	})
	if err != nil {
		p.uncertain = p.uncertain || nutmegstore.IsKind(err, nutmegstore.KindUnknown)
		return Result{}, err
	}
	if doc.Version.Era() != p.Era {
		return Result{}, notStated(p.Batch)
	}
	c.seen = &doc.Body
	c.updateStranded(&doc.Body)
	return doc.Body.result(p.Batch), nil
}

func (c *committer) key() nutmegstore.Key {
	return nutmegstore.Key{Kind: ShardKind, Name: ShardName(c.shard)}
}

// handleFailure keeps a batch that may have been written, rolls back one that
// was not, and backs off if the store did not answer.
func (c *committer) handleFailure(p *pendingBatch, err error) {
	if IsKind(err, KindNotStated) {
		c.beginRestating()
		return
	}
	if !p.uncertain {
		for _, a := range p.accounts {
			a.rollBack()
		}
		c.pending = nil
		c.witnessSet.cancelChange()
	}
	if nutmegstore.IsKind(err, nutmegstore.KindUnknown) || nutmegstore.IsKind(err, nutmegstore.KindUnavailable) {
		c.failures++
		limit := min(c.holder.cfg.CommitInterval<<min(c.failures, maxBackoffSteps), c.holder.cfg.MaxBackoff)
		c.retryAt = time.Now().Add(limit/2 + time.Duration(rand.Int64N(int64(limit/2)+1)))
	}
}

// applyResult updates the holder's state from the result of a written batch.
func (c *committer) applyResult(p *pendingBatch, r Result) {
	if p.Restates {
		c.endRestating(p)
	}
	if r.Forgotten {
		c.forgotten = true
		c.released.Store(true)
		c.witnessSet.cancelChange()
		c.applyForgotten(p)
		return
	}
	c.joined = true
	c.released.Store(r.Released)
	c.witnessSet.confirm(r)
	if p.Drained && !r.Released {
		c.resetAccounts()
		return
	}
	c.applyEntryResults(p, r)
}

// applyForgotten ends a batch of a holder that the store has no record of. The
// tokens of a leaving holder have been returned; in all other cases the store
// counts them as spent.
func (c *committer) applyForgotten(p *pendingBatch) {
	if p.Leave {
		c.left = true
		c.resetAccounts()
		return
	}
	for _, a := range p.accounts {
		a.rollBack()
	}
}

// applyEntryResults applies the written state of each budget to its account.
func (c *committer) applyEntryResults(p *pendingBatch, r Result) {
	for i, e := range p.Entries {
		a := p.accounts[i]
		granted := a.applyResult(e, r.Entries[i], r)
		if c.holder.cfg.OnCommit != nil && (e.Settle > 0 || granted > 0 || e.Return > 0) {
			c.holder.cfg.OnCommit(a.budgetCommit(e, granted))
		}
	}
}
