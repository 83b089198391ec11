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

// Config configures a desk.
type Config struct {
	Store         *nutmegstore.Writer
	Incarnation   nutmegid.Incarnation
	RetryInterval time.Duration // DefaultRetryInterval when zero
	RecordTimeout time.Duration // DefaultRecordTimeout when zero
	// OnUnrecorded is told of each outcome that the store did not take at once.
	OnUnrecorded func(request nutmegid.RequestID)
}

// Desk claims calls for one incarnation.
type Desk struct {
	cfg  Config
	quit chan struct{}
	done chan struct{}

	mu      sync.Mutex
	running map[nutmegstore.Key]*running
	pending map[nutmegstore.Key]pending
}

// running is a claim of this desk whose call is under way.
type running struct {
	record Record
	ended  chan struct{}
}

// pending is an outcome that the store has not taken yet.
type pending struct {
	record Record
	// dropAt ends the tries for a claim that may never have been made.
	dropAt time.Time
}

// NewDesk returns a desk without claims.
func NewDesk(cfg Config) *Desk {
	if cfg.RetryInterval == 0 {
		cfg.RetryInterval = DefaultRetryInterval
	}
	if cfg.RecordTimeout == 0 {
		cfg.RecordTimeout = DefaultRecordTimeout
	}
	return &Desk{
		cfg:     cfg,
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		running: make(map[nutmegstore.Key]*running),
		pending: make(map[nutmegstore.Key]pending),
	}
}

// Start begins to retry outcomes that the store did not take.
func (d *Desk) Start() {
	go d.loop()
}

// Stop records the remaining outcomes. Claimed calls must have ended before.
func (d *Desk) Stop(ctx context.Context) error {
	d.Abandon()
	return d.flush(ctx)
}

// Abandon ends the desk without recording anything more.
func (d *Desk) Abandon() {
	close(d.quit)
	<-d.done
}

func (d *Desk) loop() {
	defer close(d.done)
	ticker := time.NewTicker(d.cfg.RetryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.quit:
			return
		case <-ticker.C:
			_ = d.flush(context.Background())
		}
	}
}

// Claim claims the call, or returns the claim that another sender made first.
func (d *Desk) Claim(ctx context.Context, call Call) (Claim, error) {
	key := claimKey(call)
	record := Record{
		Claimant: d.cfg.Incarnation,
		Request:  call.Request,
		BodyHash: hash(string(call.Body)),
		Attempts: 1,
		Outcome:  Outcome{State: StateClaimed},
	}
	claim, err := d.claim(ctx, key, record)
	if err != nil {
		return Claim{}, &ClaimError{Key: call.Key, Claimed: claim.Record.Claimant != "", Err: err}
	}
	if claim.Record.BodyHash != record.BodyHash {
		return Claim{}, &BodyMismatchError{Key: call.Key}
	}
	return claim, nil
}

func (d *Desk) claim(ctx context.Context, key nutmegstore.Key, record Record) (Claim, error) {
	if known, ok := d.local(key); ok && known.Outcome.State != StateNotRun {
		return Claim{Record: known, key: key}, nil
	}
	err := nutmegstore.Create(ctx, d.cfg.Store, key, record)
	if err == nil {
		return d.mine(key, record), nil
	}
	if !nutmegstore.IsKind(err, nutmegstore.KindConflict) {
		return Claim{}, d.unclear(key, record, err)
	}
	doc, err := nutmegstore.Read[Record](ctx, d.cfg.Store, key)
	if err != nil {
		return Claim{Record: Record{Claimant: unreadClaimant}, key: key}, err
	}
	if doc.Body.BodyHash != record.BodyHash || !d.mayReclaim(key, doc.Body) {
		return Claim{Record: doc.Body, key: key}, nil
	}
	return d.reclaim(ctx, key, record)
}

// local is what this desk knows of a call without asking the store.
func (d *Desk) local(key nutmegstore.Key) (Record, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r, ok := d.running[key]; ok {
		return r.record, true
	}
	p, ok := d.pending[key]
	return p.record, ok
}

// mayReclaim reports whether a recorded call provably did not run: its record
// says so, or this desk made the claim and knows that it never sent the call.
func (d *Desk) mayReclaim(key nutmegstore.Key, known Record) bool {
	if known.Outcome.State == StateNotRun {
		return true
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	p, ok := d.pending[key]
	return ok && p.record.Request == known.Request && p.record.Outcome.State == StateNotRun &&
		known.Outcome.State == StateClaimed
}

// reclaim takes over a call that did not run. The compare and set admits one.
func (d *Desk) reclaim(ctx context.Context, key nutmegstore.Key, record Record) (Claim, error) {
	won := false
	doc, err := nutmegstore.Update(ctx, d.cfg.Store, key, func(r *Record) error {
		won = r.BodyHash == record.BodyHash && d.mayReclaim(key, *r)
		if !won {
			return nutmegstore.ErrUnchanged
		}
		attempts := r.Attempts + 1
		*r = record
		r.Attempts = attempts
		return nil
	})
	if err != nil {
		return Claim{}, d.unclear(key, record, err)
	}
	if doc.Body.Request != record.Request {
		return Claim{Record: doc.Body, key: key}, nil
	}
	return d.mine(key, doc.Body), nil
}

func (d *Desk) mine(key nutmegstore.Key, record Record) Claim {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, key)
	d.running[key] = &running{record: record, ended: make(chan struct{})}
	return Claim{Mine: true, Record: record, key: key}
}

// unclear notes a claim that may have been made, and that is never sent.
func (d *Desk) unclear(key nutmegstore.Key, record Record, err error) error {
	if !nutmegstore.IsKind(err, nutmegstore.KindUnknown) {
		return err
	}
	record.Outcome = Outcome{State: StateNotRun}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.pending[key] = pending{record: record, dropAt: time.Now().Add(abandonedKept)}
	return err
}

// Finish records the outcome of a call that this desk claimed. Where the store
// does not take it in time, the desk keeps it and tries again by itself.
func (d *Desk) Finish(ctx context.Context, claim Claim, outcome Outcome) error {
	select {
	case <-d.quit:
		return errEnded
	default:
	}
	record := claim.Record
	record.Outcome = outcome
	d.mu.Lock()
	d.pending[claim.key] = pending{record: record}
	if r, ok := d.running[claim.key]; ok {
		close(r.ended)
		delete(d.running, claim.key)
	}
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, d.cfg.RecordTimeout)
	defer cancel()
	err := d.record(ctx, claim.key)
	if err != nil && d.cfg.OnUnrecorded != nil {
		d.cfg.OnUnrecorded(record.Request)
	}
	return err
}

// unreadClaimant stands for the claimant of a record that could not be read.
const unreadClaimant nutmegid.Incarnation = "unread"

// errEnded says that the desk was stopped before the call ended.
var errEnded = errors.New("the desk has ended; the call's outcome stays unknown")

// errNoClaim says that the claim of a pending outcome does not exist (yet).
var errNoClaim = errors.New("the claim does not exist in the store")

// record writes one pending outcome.
func (d *Desk) record(ctx context.Context, key nutmegstore.Key) error {
	d.mu.Lock()
	p, ok := d.pending[key]
	d.mu.Unlock()
	if !ok {
		return nil
	}
	_, err := nutmegstore.Update(ctx, d.cfg.Store, key, func(r *Record) error {
		if r.Claimant == "" {
			return errNoClaim
		}
		if r.Claimant != p.record.Claimant || r.Request != p.record.Request {
			return fmt.Errorf("order %q: %w", key.Name, nutmegstore.ErrUnchanged)
		}
		r.Outcome = p.record.Outcome.stored()
		return nil
	})
	if err == nil || (!p.dropAt.IsZero() && time.Now().After(p.dropAt)) {
		d.forget(key, p)
	}
	return err
}

func (d *Desk) forget(key nutmegstore.Key, p pending) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.pending[key].record.Request == p.record.Request {
		delete(d.pending, key)
	}
}

// flush tries to record all pending outcomes.
func (d *Desk) flush(ctx context.Context) error {
	d.mu.Lock()
	keys := maps.Clone(d.pending)
	d.mu.Unlock()
	var failed error
	for key, p := range keys {
		err := d.record(ctx, key)
		if err != nil && p.dropAt.IsZero() {
			failed = err
		}
	}
	return failed
}

// Lookup reads the state of a call. A call without a claim is StateUnclaimed;
// that does not say that it will not run.
func (d *Desk) Lookup(ctx context.Context, call Call) (Record, error) {
	key := claimKey(call)
	if known, ok := d.local(key); ok {
		return known, nil
	}
	doc, err := nutmegstore.Read[Record](ctx, d.cfg.Store, key)
	if nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
		return Record{Outcome: Outcome{State: StateUnclaimed}}, nil
	}
	return doc.Body, err
}

// Wait returns the record of a claimed call once it has an outcome, or as it is
// when ctx ends.
func (d *Desk) Wait(ctx context.Context, call Call, claim Claim) Record {
	record := claim.Record
	for poll := firstPoll; record.Outcome.State == StateClaimed; poll = min(2*poll, maxPoll) {
		if !d.pause(ctx, claim.key, poll) {
			return record
		}
		if next, err := d.Lookup(ctx, call); err == nil {
			record = next
		}
	}
	return record
}

// pause waits for the end of a claim of this desk, else for the poll interval.
func (d *Desk) pause(ctx context.Context, key nutmegstore.Key, poll time.Duration) bool {
	d.mu.Lock()
	var ended chan struct{}
	if r, ok := d.running[key]; ok {
		ended = r.ended
	}
	d.mu.Unlock()
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
