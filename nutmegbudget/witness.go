package nutmegbudget

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// AcknowledgeRequest asks a witness to acknowledge that a holder may use its
// leases up to the given amounts, counted since each lease began.
type AcknowledgeRequest struct {
	Holder nutmegid.Incarnation                  `json:"holder"`
	Shard  int                                   `json:"shard"`
	Epoch  uint64                                `json:"epoch"`
	UpTo   map[nutmegid.BudgetID]nutmegid.Tokens `json:"up_to"`
}

// witnessSet is the set of a holder's witnesses for one shard.
type witnessSet struct {
	mu        sync.Mutex
	epoch     uint64
	witnesses []nutmegid.Incarnation
	changing  bool // the current commit replaces the witnesses; acknowledgements are ignored
}

func (w *witnessSet) confirm(r Result) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.epoch, w.witnesses, w.changing = r.Epoch, r.Witnesses, false
}

func (w *witnessSet) cancelChange() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.changing = false
}

// replaceWitnesses puts new witnesses into the batch if some are lost or
// missing. Without a live candidate, and when the holder leaves, it names none:
// the lease is then unwitnessed and only the store decides on its tokens.
func (c *committer) replaceWitnesses(batch *Batch) {
	cfg := c.holder.cfg
	if cfg.Peers == nil || cfg.Witnesses == 0 || c.failures > 0 || c.released.Load() {
		return
	}
	var live []nutmegid.Incarnation
	if !batch.Leave {
		live = cfg.Peers.Witnesses()
	}
	want := live[:min(len(live), cfg.Witnesses)]
	w := &c.witnessSet
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.witnesses) >= len(want) && containsAll(live, w.witnesses) {
		return
	}
	w.changing = true
	batch.ReplaceWitnesses = true
	batch.Witnesses = want
}

func containsAll(list, wanted []nutmegid.Incarnation) bool {
	for _, inc := range wanted {
		if !slices.Contains(list, inc) {
			return false
		}
	}
	return true
}

// requestAcksAhead requests acknowledgement of the next slice for all accounts
// with too few free tokens.
func (c *committer) requestAcksAhead(ctx context.Context) {
	amounts := make(map[*account]nutmegid.Tokens)
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		slice := max(minSlice, nutmegid.Tokens(a.rate*a.terms.Slice.Seconds()))
		if unacked := a.unacked(); unacked > 0 && a.free < slice {
			amounts[a] = a.acked + min(unacked, slice-a.free)
		}
		a.mu.Unlock()
	}
	c.requestAcks(ctx, amounts)
}

// requestAcksFor requests acknowledgement of the shortfall of one account for n
// tokens.
func (c *committer) requestAcksFor(ctx context.Context, a *account, n nutmegid.Tokens) {
	a.mu.Lock()
	unacked, shortfall, acked := a.unacked(), n-a.free, a.acked
	a.mu.Unlock()
	if unacked > 0 && shortfall > 0 {
		c.requestAcks(ctx, map[*account]nutmegid.Tokens{a: acked + min(unacked, max(shortfall, minSlice))})
	}
}

// requestAllAcks requests acknowledgement of all granted tokens, so that they
// can be returned.
func (c *committer) requestAllAcks(ctx context.Context) {
	amounts := make(map[*account]nutmegid.Tokens)
	for _, a := range c.holder.accountsOf(c.shard) {
		a.mu.Lock()
		if unacked := a.unacked(); unacked > 0 {
			amounts[a] = a.acked + unacked
		}
		a.mu.Unlock()
	}
	c.requestAcks(ctx, amounts)
}

// requestAcks asks all witnesses concurrently; the acknowledgement of one is
// enough.
func (c *committer) requestAcks(ctx context.Context, amounts map[*account]nutmegid.Tokens) {
	w := &c.witnessSet
	w.mu.Lock()
	epoch, witnesses, changing := w.epoch, w.witnesses, w.changing
	w.mu.Unlock()
	if len(amounts) == 0 || len(witnesses) == 0 || changing {
		return
	}
	request := AcknowledgeRequest{Holder: c.holder.cfg.Incarnation, Shard: c.shard, Epoch: epoch, UpTo: make(map[nutmegid.BudgetID]nutmegid.Tokens)}
	for a, upTo := range amounts {
		request.UpTo[a.id] = upTo
	}
	if c.anyWitnessAcks(ctx, witnesses, request) {
		c.applyAcks(epoch, amounts)
	}
}

func (c *committer) anyWitnessAcks(ctx context.Context, witnesses []nutmegid.Incarnation, request AcknowledgeRequest) bool {
	ctx, cancel := context.WithTimeout(ctx, c.holder.cfg.AttemptTimeout)
	defer cancel()
	answers := make(chan bool, len(witnesses))
	for _, witness := range witnesses {
		go func() {
			ok, err := c.holder.cfg.Peers.Acknowledge(ctx, witness, request)
			answers <- ok && err == nil
		}()
	}
	for range witnesses {
		if <-answers {
			return true
		}
	}
	return false
}

// applyAcks makes tokens that a witness has acknowledged available for use,
// unless the witnesses are being replaced: the batch that replaces them must
// contain all that was acknowledged before.
func (c *committer) applyAcks(epoch uint64, amounts map[*account]nutmegid.Tokens) {
	w := &c.witnessSet
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.changing || w.epoch != epoch {
		return
	}
	for a, upTo := range amounts {
		a.mu.Lock()
		a.addAcked(max(0, min(upTo-a.acked, a.unacked())))
		a.checkInvariants()
		a.mu.Unlock()
	}
}

// WitnessConfig configures a witness.
type WitnessConfig struct {
	Writer      *nutmegstore.Writer
	Incarnation nutmegid.Incarnation
	Interval    time.Duration // DefaultCommitInterval when zero
	// SilenceTimeout is how long a holder that is not up must have sent no
	// request before its leases are closed; DefaultSilenceTimeout when zero.
	SilenceTimeout time.Duration
	// Live reports whether a holder is believed to be up.
	Live func(inc nutmegid.Incarnation) bool
	// OnClose, if not nil, is called for each holder whose leases in a shard were
	// closed.
	OnClose func(holder nutmegid.Incarnation, shard int)
}

// Witness acknowledges the tokens that other holders use and closes the leases
// of holders that are believed dead. It keeps its state in memory only: a
// restarted witness is a new incarnation, which the store does not list as a
// witness and which can therefore close nothing.
type Witness struct {
	cfg  WitnessConfig
	quit chan struct{}
	done chan struct{}

	mu   sync.Mutex
	acks map[leaseKey]*ackRecord
}

// leaseKey identifies one holder's leases in one shard.
type leaseKey struct {
	holder nutmegid.Incarnation
	shard  int
}

// ackRecord holds what was acknowledged in one epoch. A closed record stays, so
// that a holder that resumes late is refused.
type ackRecord struct {
	epoch         uint64
	closed        bool
	written       bool // the close was written to the store
	lastRequestAt time.Time
	acked         map[nutmegid.BudgetID]nutmegid.Tokens
}

// NewWitness returns a witness without acknowledgements.
func NewWitness(cfg WitnessConfig) *Witness {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultCommitInterval
	}
	if cfg.SilenceTimeout == 0 {
		cfg.SilenceTimeout = DefaultSilenceTimeout
	}
	return &Witness{cfg: cfg, quit: make(chan struct{}), done: make(chan struct{}), acks: make(map[leaseKey]*ackRecord)}
}

// Start starts the periodic check for silent holders.
func (w *Witness) Start() {
	go w.loop()
}

// Stop ends the periodic check and waits for it.
func (w *Witness) Stop() {
	close(w.quit)
	<-w.done
}

func (w *Witness) loop() {
	defer close(w.done)
	ticker := time.NewTicker(w.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-w.quit:
			return
		case <-ticker.C:
			w.CloseSilent(context.Background())
		}
	}
}

// Acknowledge raises the amounts that the holder may use. It reports false if
// the holder's leases are closed or the request's epoch is outdated.
func (w *Witness) Acknowledge(request AcknowledgeRequest) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	key := leaseKey{holder: request.Holder, shard: request.Shard}
	record, ok := w.acks[key]
	if !ok || record.epoch < request.Epoch {
		record = &ackRecord{epoch: request.Epoch, acked: make(map[nutmegid.BudgetID]nutmegid.Tokens)}
		w.acks[key] = record
	}
	if record.closed || record.epoch != request.Epoch {
		return false
	}
	record.lastRequestAt = time.Now()
	for id, upTo := range request.UpTo {
		record.acked[id] = max(record.acked[id], upTo)
	}
	return true
}

// CloseSilent closes the leases of holders that have sent no request for a while
// and are not believed to be up. Later requests of these holders are refused.
func (w *Witness) CloseSilent(ctx context.Context) {
	for _, key := range w.markSilent() {
		ctx, cancel := context.WithTimeout(ctx, DefaultCommitTimeout)
		_ = w.close(ctx, key)
		cancel()
	}
}

// markSilent marks the leases of silent holders as closed and returns those
// whose close is not in the store yet.
func (w *Witness) markSilent() []leaseKey {
	w.mu.Lock()
	defer w.mu.Unlock()
	var keys []leaseKey
	for key, record := range w.acks {
		if record.written {
			continue
		}
		if record.closed || time.Since(record.lastRequestAt) > w.cfg.SilenceTimeout && !w.cfg.Live(key.holder) {
			record.closed = true
			keys = append(keys, key)
		}
	}
	return keys
}

// close writes the acknowledged amounts to the store, which reclaims the rest
// of the lease.
func (w *Witness) close(ctx context.Context, key leaseKey) error {
	w.mu.Lock()
	record := w.acks[key]
	epoch, acked := record.epoch, record.acked
	w.mu.Unlock()
	name := nutmegstore.Key{Kind: ShardKind, Name: ShardName(key.shard)}
	_, err := nutmegstore.Update(ctx, w.cfg.Writer, name, func(s *Shard) error {
		accepted, err := s.CloseLease(key.holder, w.cfg.Incarnation, epoch, acked)
		if err == nil && !accepted {
			return nutmegstore.ErrUnchanged
		}
		return err
	})
	if err != nil {
		return err
	}
	w.mu.Lock()
	record.written = true
	record.acked = nil
	w.mu.Unlock()
	if w.cfg.OnClose != nil {
		w.cfg.OnClose(key.holder, key.shard)
	}
	return nil
}
