package nutmegorder

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Config configures a Claimer.
type Config struct {
	Store         *nutmegstore.Writer
	Incarnation   nutmegid.Incarnation
	RetryInterval time.Duration // DefaultRetryInterval when zero
	RecordTimeout time.Duration // DefaultRecordTimeout when zero
	// OnUnrecorded is called for each outcome that the first attempt failed to record.
	OnUnrecorded func(request nutmegid.RequestID)
}

// Claimer claims protected calls for one incarnation and records their outcomes.
type Claimer struct {
	cfg  Config
	quit chan struct{}
	done chan struct{}

	mu      sync.Mutex
	running map[nutmegstore.Key]*runningCall
	pending map[nutmegstore.Key]pendingOutcome
}

// runningCall is a call that was claimed here and has not ended.
type runningCall struct {
	record Record
	ended  chan struct{}
}

// pendingOutcome is an outcome that is not yet recorded in the store.
type pendingOutcome struct {
	record Record
	// retryUntil ends the retries for a claim that may not exist; zero for a claim
	// that does.
	retryUntil time.Time
}

// NewClaimer returns a Claimer without claims.
func NewClaimer(cfg Config) *Claimer {
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = DefaultRetryInterval
	}
	if cfg.RecordTimeout == 0 {
		cfg.RecordTimeout = DefaultRecordTimeout
	}
	return &Claimer{
		cfg:     cfg,
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		running: make(map[nutmegstore.Key]*runningCall),
		pending: make(map[nutmegstore.Key]pendingOutcome),
	}
}

// Start starts retrying outcomes that could not be recorded.
func (c *Claimer) Start() {
	go c.retryLoop()
}

// Stop stops the retries and tries once more to record the remaining outcomes.
// All claimed calls must have ended before.
func (c *Claimer) Stop(ctx context.Context) error {
	c.Abandon()
	return c.flush(ctx)
}

// Abandon stops the retries without recording the remaining outcomes.
func (c *Claimer) Abandon() {
	close(c.quit)
	<-c.done
}

func (c *Claimer) retryLoop() {
	defer close(c.done)
	ticker := time.NewTicker(c.cfg.RetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.quit:
			return
		case <-ticker.C:
			_ = c.flush(context.Background())
		}
	}
}

// Claim claims the call, or returns the existing claim if another sender was
// first.
func (c *Claimer) Claim(ctx context.Context, call Call) (Claim, error) {
	key := claimKey(call)
	record := Record{
		Claimant: c.cfg.Incarnation,
		Request:  call.Request,
		BodyHash: hash(string(call.Body)),
		Attempts: 1,
		Outcome:  Outcome{State: StateClaimed},
	}
	claim, err := c.claim(ctx, key, record)
	if err != nil {
		return Claim{}, &ClaimError{Key: call.Key, Claimed: claim.Record.Claimant != "", Err: err}
	}
	if claim.Record.BodyHash != record.BodyHash {
		return Claim{}, &BodyMismatchError{Key: call.Key}
	}
	return claim, nil
}

func (c *Claimer) claim(ctx context.Context, key nutmegstore.Key, record Record) (Claim, error) {
	if known, ok := c.localRecord(key); ok && known.Outcome.State != StateNotRun {
		return Claim{Record: known, key: key}, nil
	}
	err := nutmegstore.Create(ctx, c.cfg.Store, key, record)
	if err == nil {
		return c.recordClaim(key, record), nil
	}
	if !nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return Claim{}, c.trackUnknownClaim(key, record, err)
	}
	doc, err := nutmegstore.Read[Record](ctx, c.cfg.Store, key)
	if err != nil {
		return Claim{Record: Record{Claimant: unreadClaimant}, key: key}, err
	}
	if doc.Body.BodyHash != record.BodyHash || !c.mayReclaim(key, doc.Body) {
		return Claim{Record: doc.Body, key: key}, nil
	}
	return c.reclaim(ctx, key, record)
}

// localRecord returns the record of a call that is running or has a pending
// outcome, without reading the store.
func (c *Claimer) localRecord(key nutmegstore.Key) (Record, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if r, ok := c.running[key]; ok {
		return r.record, true
	}
	p, ok := c.pending[key]
	return p.record, ok
}

// mayReclaim reports whether a recorded call provably did not run: either its
// record says so, or the claim was made here and the call was never sent.
func (c *Claimer) mayReclaim(key nutmegstore.Key, known Record) bool {
	if known.Outcome.State == StateNotRun {
		return true
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pending[key]
	return ok && p.record.Request == known.Request && p.record.Outcome.State == StateNotRun &&
		known.Outcome.State == StateClaimed
}

// reclaim takes over a call that did not run. The compare-and-swap on its record
// lets only one sender succeed.
func (c *Claimer) reclaim(ctx context.Context, key nutmegstore.Key, record Record) (Claim, error) {
	reclaimed := false
	doc, err := nutmegstore.Update(ctx, c.cfg.Store, key, func(r *Record) error {
		reclaimed = r.BodyHash == record.BodyHash && c.mayReclaim(key, *r)
		if !reclaimed {
			return nutmegstore.ErrUnchanged
		}
		attempts := r.Attempts + 1
		*r = record
		r.Attempts = attempts
		return nil
	})
	if err != nil {
		return Claim{}, c.trackUnknownClaim(key, record, err)
	}
	if doc.Body.Request != record.Request {
		return Claim{Record: doc.Body, key: key}, nil
	}
	return c.recordClaim(key, doc.Body), nil
}

func (c *Claimer) recordClaim(key nutmegstore.Key, record Record) Claim {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, key)
	c.running[key] = &runningCall{record: record, ended: make(chan struct{})}
	return Claim{Owned: true, Record: record, key: key}
}

// trackUnknownClaim keeps a claim whose write has an unknown outcome, so that
// the call, which is not sent, is recorded as not run. It returns err.
func (c *Claimer) trackUnknownClaim(key nutmegstore.Key, record Record, err error) error {
	if !nutmegstore.IsKind(err, nutmegstore.KindUnknown) {
		return err
	}
	record.Outcome = Outcome{State: StateNotRun}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending[key] = pendingOutcome{record: record, retryUntil: time.Now().Add(unknownClaimRetryPeriod)}
	return err
}

// Finish records the outcome of a call that was claimed here. If the store does
// not accept it within RecordTimeout, Finish returns an error and the outcome is
// retried in the background.
func (c *Claimer) Finish(ctx context.Context, claim Claim, outcome Outcome) error {
	select {
	case <-c.quit:
		return errStopped
	default:
	}
	record := claim.Record
	record.Outcome = outcome
	c.mu.Lock()
	c.pending[claim.key] = pendingOutcome{record: record}
	if r, ok := c.running[claim.key]; ok {
		close(r.ended)
		delete(c.running, claim.key)
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, c.cfg.RecordTimeout)
	defer cancel()
	err := c.recordOutcome(ctx, claim.key)
	if err != nil && c.cfg.OnUnrecorded != nil {
		c.cfg.OnUnrecorded(record.Request)
	}
	return err
}

// unreadClaimant is a placeholder for the claimant of a record that could not be
// read.
const unreadClaimant nutmegid.Incarnation = "unread"

// errStopped is returned for a call that ends after Stop or Abandon.
var errStopped = errors.New("recording of outcomes was stopped before the call ended; its outcome stays unknown")

// errNoClaim means that the claim of a pending outcome is not in the store, or
// not yet.
var errNoClaim = errors.New("the claim does not exist in the store")

// recordOutcome writes one pending outcome to the store.
func (c *Claimer) recordOutcome(ctx context.Context, key nutmegstore.Key) error {
	c.mu.Lock()
	p, ok := c.pending[key]
	c.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := nutmegstore.Update(ctx, c.cfg.Store, key, func(r *Record) error {
		if r.Claimant == "" {
			return errNoClaim
		}
		if r.Claimant != p.record.Claimant || r.Request != p.record.Request {
			return fmt.Errorf("order %q: %w", key.Name, nutmegstore.ErrUnchanged)
		}
		r.Outcome = p.record.Outcome.withinLimit()
		return nil
	})
	if err == nil || (!p.retryUntil.IsZero() && time.Now().After(p.retryUntil)) {
		c.dropPending(key, p)
	}
	return err
}

func (c *Claimer) dropPending(key nutmegstore.Key, p pendingOutcome) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending[key].record.Request == p.record.Request {
		delete(c.pending, key)
	}
}

// flush tries to record all pending outcomes. It returns an error if one of an
// existing claim could not be recorded.
func (c *Claimer) flush(ctx context.Context) error {
	c.mu.Lock()
	outcomes := maps.Clone(c.pending)
	c.mu.Unlock()
	var lastErr error
	for key, p := range outcomes {
		err := c.recordOutcome(ctx, key)
		if err != nil && p.retryUntil.IsZero() {
			lastErr = err
		}
	}
	return lastErr
}

// Lookup returns the record of a call. The state of a call without a claim is
// StateUnclaimed, which does not rule out that it runs later.
func (c *Claimer) Lookup(ctx context.Context, call Call) (Record, error) {
	key := claimKey(call)
	if known, ok := c.localRecord(key); ok {
		return known, nil
	}
	doc, err := nutmegstore.Read[Record](ctx, c.cfg.Store, key)
	if nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return Record{Outcome: Outcome{State: StateUnclaimed}}, nil
	}
	return doc.Body, err
}

// Wait waits until a claimed call has an outcome and returns its record. If ctx
// ends first, it returns the last record read.
func (c *Claimer) Wait(ctx context.Context, call Call, claim Claim) Record {
	record := claim.Record
	for poll := minPollInterval; record.Outcome.State == StateClaimed; poll = min(2*poll, maxPollInterval) {
		if !c.waitForPoll(ctx, claim.key, poll) {
			return record
		}
		if next, err := c.Lookup(ctx, call); err == nil {
			record = next
		}
	}
	return record
}

// waitForPoll waits until a call running here ends or the poll interval has
// passed. It returns false if ctx ends first.
func (c *Claimer) waitForPoll(ctx context.Context, key nutmegstore.Key, poll time.Duration) bool {
	c.mu.Lock()
	var ended chan struct{}
	if r, ok := c.running[key]; ok {
		ended = r.ended
	}
	c.mu.Unlock()
	timer := time.NewTimer(poll)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-ended:
		return true
	case <-timer.C:
		return true
	}
}
