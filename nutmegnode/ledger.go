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
	n.replicator = &lineReplicator{node: n, replicas: nutmegledger.NewReplicaStore(time.Now), done: make(chan struct{})}
	n.ledger = nutmegledger.NewWriter(nutmegledger.WriterConfig{
		Store:               n.writer,
		Incarnation:         n.incarnation,
		Replicator:          n.replicator,
		FlushIntervalFactor: n.ledgerFlushFactor,
		OnSegment:           n.recordSegment,
	})
}

func (n *Node) recordSegment(s nutmegledger.Segment) {
	n.ring.Record(nutmegtime.Event{
		Kind:   nutmegtime.KindSegment,
		Detail: fmt.Sprintf("sequence %d, %d lines", s.Sequence, len(s.Lines)),
	})
}

// ledgerFlushFactor returns the factor for the ledger's flush interval that keeps
// the whole fleet within ledgerWritesPerSecond.
func (n *Node) ledgerFlushFactor() int {
	return 1 + len(n.peers.Members())/ledgerWritesPerSecond
}

// addLine bills one request. It returns once a peer holds a copy of the line, or
// the attempt to copy it has failed or timed out.
func (n *Node) addLine(line nutmegledger.Line) {
	line.EndedAt = time.Now()
	if !n.ledger.Add(context.Background(), line) {
		n.count("ledger_lines_without_copy")
	}
}

// lineReplicator replicates this instance's ledger lines to one peer and stores
// replicas of other instances' lines.
type lineReplicator struct {
	node     *Node
	replicas *nutmegledger.ReplicaStore
	done     chan struct{}

	mu            sync.Mutex
	replicaHolder nutmegid.Incarnation // peer that holds this instance's lines; "" if none
}

var errNoReplicaPeer = errors.New("no live peer to replicate ledger lines to; they have no copy until written to the store")

// Replicate implements nutmegledger.Replicator.
func (r *lineReplicator) Replicate(ctx context.Context, b nutmegledger.Batch) (uint64, error) {
	m, ok := r.choosePeer()
	if !ok {
		return 0, errNoReplicaPeer
	}
	raw, err := nutmegledger.EncodeBatch(b)
	if err != nil {
		return 0, err
	}
	held, err := r.node.peers.ReplicateLines(ctx, m.Address, raw)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replicaHolder = m.Incarnation
	if err != nil {
		r.replicaHolder = ""
	}
	return held, err
}

// choosePeer returns the peer that already holds this instance's lines if it is
// alive, else another live peer, preferably in another failure domain.
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

// StoreLines implements nutmegpeer.LineReplica.
func (r *lineReplicator) StoreLines(batch []byte) (uint64, error) {
	b, err := nutmegledger.DecodeBatch(batch)
	if err != nil {
		return 0, err
	}
	return r.replicas.Add(b), nil
}

// run periodically adopts the lines of dead writers and compacts the ledger.
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

// compact compacts the ledger if this is the live instance with the lowest
// incarnation. If two instances compact at the same time, lines may be stored
// twice; folding the ledger counts each request once.
func (r *lineReplicator) compact(ctx context.Context) {
	for _, m := range r.node.peers.Members() {
		if m.State == nutmegpeer.StateAlive && m.Incarnation < r.node.incarnation {
			return
		}
	}
	compacted, err := nutmegledger.Compact(ctx, r.node.writer, r.node.client, nutmegledger.DefaultMinSegments)
	if err != nil {
		r.node.count("ledger_compaction_failures")
	}
	if compacted > 0 {
		r.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSegment, Detail: fmt.Sprintf("compacted %d segments", compacted)})
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
		r.node.ledger.Enqueue(line)
	}
}

// Audit is the result of an audit: a statement for each owner, and the ledger
// lines of the requested owner.
type Audit struct {
	Statements    []nutmegledger.Statement `json:"statements"`
	RepeatedLines int                      `json:"repeated_lines"`
	Lines         []nutmegledger.Line      `json:"lines,omitempty"`
}

// audit serves GET /v1/audit: it compares bills with budgets. ?owner=NAME adds
// that owner's ledger lines.
func (n *Node) audit(w http.ResponseWriter, r *http.Request, _ actor) error {
	spending, err := n.spending(r.Context())
	if err != nil {
		return err
	}
	lines, repeated, err := nutmegledger.ReadUniqueLines(r.Context(), n.client)
	if err != nil {
		return err
	}
	audit := Audit{Statements: nutmegledger.Audit(nutmegledger.ComputeBills(lines), spending), RepeatedLines: repeated}
	owner := nutmegid.Owner(r.URL.Query().Get("owner"))
	for _, line := range lines {
		if line.Owner == owner {
			audit.Lines = append(audit.Lines, line)
		}
	}
	writeJSON(w, http.StatusOK, audit)
	return nil
}

// spending reads the spent, written-off and leased tokens of each owner's budget
// from the shards.
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
