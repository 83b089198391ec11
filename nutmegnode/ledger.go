package nutmegnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

func (n *Node) buildLedger() {
	n.replicator = &lineReplicator{node: n, replicas: nutmegledger.NewKept(time.Now), done: make(chan struct{})}
	n.ledger = nutmegledger.NewWriter(nutmegledger.WriterConfig{
		Store:       n.writer,
		Incarnation: n.incarnation,
		Keeper:      n.replicator,
		Stretch:     n.ledgerFlushFactor,
		OnSegment:   n.recordSegment,
	})
}

func (n *Node) recordSegment(s nutmegledger.Segment) {
	n.ring.Record(nutmegtime.Event{
		Kind:   nutmegtime.KindSegment,
		Detail: fmt.Sprintf("sequence %d, %d lines", s.Sequence, len(s.Lines)),
	})
}

// ledgerStretch keeps the fleet's segments below ledgerWritesPerSecond.
func (n *Node) ledgerFlushFactor() int {
	return 1 + len(n.peers.Members())/ledgerWritesPerSecond
}

// addLine bills one request. It returns when a peer holds a copy of the line,
// or none takes one in time.
func (n *Node) addLine(line nutmegledger.Line) {
	line.EndedAt = time.Now()
	if !n.ledger.Add(context.Background(), line) {
		n.count("ledger_lines_without_copy")
	}
}

// lineCopies hands copies of this instance's lines to one peer, and holds
// copies for others.
type lineReplicator struct {
	node     *Node
	replicas *nutmegledger.Kept
	done     chan struct{}

	mu            sync.Mutex
	replicaHolder nutmegid.Incarnation // the one that holds our copies
}

var errNoReplicaPeer = errors.New("no peer is alive to hold a copy; the line waits for the store alone")

// Keep implements nutmegledger.Keeper.
func (r *lineReplicator) Keep(ctx context.Context, b nutmegledger.Batch) (uint64, error) {
	m, ok := r.choosePeer()
	if !ok {
		return 0, errNoReplicaPeer
	}
	raw, err := nutmegledger.EncodeBatch(b)
	if err != nil {
		return 0, err
	}
	held, err := r.node.peers.KeepLines(ctx, m.Address, raw)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicaHolder = m.Incarnation
	if err != nil {
		r.replicaHolder = ""
	}
	return held, err
}

// choose returns the peer that holds our copies while it lives, else another
// one, in another failure domain where there is one.
func (r *lineReplicator) choosePeer() (nutmegpeer.Member, bool) {
	r.mu.Lock()
	current := r.replicaHolder
	r.mu.Unlock()
	var best nutmegpeer.Member
	found := false
	for _, m := range r.node.peers.Members() {
		if m.State != nutmegpeer.StateAlive {
			continue
		}
		if m.Incarnation == current {
			return m, true
		}
		otherDomain := m.FailureDomain != r.node.cfg.Settings.Instance.FailureDomain
		if !found || (otherDomain && best.FailureDomain == r.node.cfg.Settings.Instance.FailureDomain) {
			best, found = m, true
		}
	}
	return best, found
}

// KeepLines implements nutmegpeer.LineKeeper.
func (r *lineReplicator) KeepLines(batch []byte) (uint64, error) {
	b, err := nutmegledger.DecodeBatch(batch)
	if err != nil {
		return 0, err
	}
	return r.replicas.Keep(b), nil
}

// loop adopts the lines of writers that are gone, and compacts the ledger.
func (r *lineReplicator) run(ctx context.Context) {
	defer close(r.done)
	adopt := time.NewTicker(adoptInterval)
	defer adopt.Stop()
	compact := time.NewTicker(compactInterval)
	defer compact.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-adopt.C:
			r.adoptLines()
		case <-compact.C:
			r.compact(ctx)
		}
	}
}

// compact runs at the live instance with the lowest incarnation. Two that both
// take themselves for it leave lines twice, which the fold counts once.
func (r *lineReplicator) compact(ctx context.Context) {
	for _, m := range r.node.peers.Members() {
		if m.State == nutmegpeer.StateAlive && m.Incarnation < r.node.incarnation {
			return
		}
	}
	moved, err := nutmegledger.Compact(ctx, r.node.writer, r.node.client, nutmegledger.DefaultMinSegments)
	if err != nil {
		r.node.count("ledger_compaction_failures")
	}
	if moved > 0 {
		r.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSegment, Detail: fmt.Sprintf("compacted %d segments", moved)})
	}
}

func (r *lineReplicator) adoptLines() {
	states := make(map[nutmegid.Incarnation]nutmegpeer.State)
	for _, m := range r.node.peers.Members() {
		states[m.Incarnation] = m.State
	}
	lines := r.replicas.Adopt(func(writer nutmegid.Incarnation, silence time.Duration) bool {
		state, known := states[writer]
		switch {
		case !known:
			return silence > nutmegledger.DefaultAdoptAfter
		case state == nutmegpeer.StateSuspect, state == nutmegpeer.StateLeaving:
			return silence > adoptSuspectAfter
		}
		return state == nutmegpeer.StateDead
	})
	if len(lines) == 0 {
		return
	}
	r.node.count("ledger_adoptions")
	r.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSegment, Detail: fmt.Sprintf("adopted %d lines", len(lines))})
	for _, line := range lines {
		r.node.ledger.Put(line)
	}
}

// Audit is the answer to an audit: each owner's statement, and the lines of
// the owner that was asked for.
type Audit struct {
	Statements []nutmegledger.Statement `json:"statements"`
	Repeated   int                      `json:"repeated_lines"`
	Lines      []nutmegledger.Line      `json:"lines,omitempty"`
}

// audit compares bills and budgets; ?owner=NAME adds that owner's lines.
func (n *Node) audit(w http.ResponseWriter, r *http.Request, _ actor) error {
	spending, err := n.spending(r.Context())
	if err != nil {
		return err
	}
	lines, repeated, err := nutmegledger.Read(r.Context(), n.client)
	if err != nil {
		return err
	}
	audit := Audit{Statements: nutmegledger.Audit(nutmegledger.BillsOf(lines), spending), Repeated: repeated}
	owner := nutmegid.Owner(r.URL.Query().Get("owner"))
	for _, line := range lines {
		if line.Owner == owner {
			audit.Lines = append(audit.Lines, line)
		}
	}
	writeJSON(w, http.StatusOK, audit)
	return nil
}

// spending reads what the shards hold of each owner's budget.
func (n *Node) spending(ctx context.Context) (map[nutmegid.Owner]nutmegledger.Spending, error) {
	objects, err := n.client.List(ctx, nutmegbudget.ShardKind, "")
	if err != nil {
		return nil, err
	}
	spending := make(map[nutmegid.Owner]nutmegledger.Spending)
	for _, object := range objects {
		doc, err := nutmegstore.Decode[nutmegbudget.Shard](object)
		if err != nil {
			return nil, err
		}
		for id, b := range doc.Body.Budgets {
			if owner, ok := nutmegid.OwnerOf(id); ok {
				spending[owner] = nutmegledger.Spending{Spent: b.Spent - b.WrittenOff, WrittenOff: b.WrittenOff, Leased: b.Leased()}
			}
		}
	}
	return spending, nil
}
