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
	n.copies = &lineCopies{node: n, kept: nutmegledger.NewReplicaStore(time.Now), done: make(chan struct{})}
	n.ledger = nutmegledger.NewWriter(nutmegledger.WriterConfig{
		Store:               n.writer,
		Incarnation:         n.incarnation,
		Replicator:          n.copies,
		FlushIntervalFactor: n.ledgerStretch,
		OnSegment:           n.segmentWritten,
	})
}

func (n *Node) segmentWritten(s nutmegledger.Segment) {
	n.ring.Record(nutmegtime.Event{
		Kind:   nutmegtime.KindSegment,
		Detail: fmt.Sprintf("sequence %d, %d lines", s.Sequence, len(s.Lines)),
	})
}

// ledgerStretch keeps the fleet's segments below ledgerWritesPerSecond.
func (n *Node) ledgerStretch() int {
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
type lineCopies struct {
	node *Node
	kept *nutmegledger.ReplicaStore
	done chan struct{}

	mu   sync.Mutex
	peer nutmegid.Incarnation // the one that holds our copies
}

var errNoPeer = errors.New("no peer is alive to hold a copy; the line waits for the store alone")

// Replicate implements nutmegledger.Keeper.
func (c *lineCopies) Replicate(ctx context.Context, b nutmegledger.Batch) (uint64, error) {
	m, ok := c.choose()
	if !ok {
		return 0, errNoPeer
	}
	raw, err := nutmegledger.EncodeBatch(b)
	if err != nil {
		return 0, err
	}
	held, err := c.node.peers.KeepLines(ctx, m.Address, raw)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.peer = m.Incarnation
	if err != nil {
		c.peer = ""
	}
	return held, err
}

// choose returns the peer that holds our copies while it lives, else another
// one, in another failure domain where there is one.
func (c *lineCopies) choose() (nutmegpeer.Member, bool) {
	c.mu.Lock()
	present := c.peer
	c.mu.Unlock()
	var best nutmegpeer.Member
	found := false
	for _, m := range c.node.peers.Members() {
		if m.State != nutmegpeer.StateAlive {
			continue
		}
		if m.Incarnation == present {
			return m, true
		}
		far := m.FailureDomain != c.node.cfg.Settings.Instance.FailureDomain
		if !found || (far && best.FailureDomain == c.node.cfg.Settings.Instance.FailureDomain) {
			best, found = m, true
		}
	}
	return best, found
}

// KeepLines implements nutmegpeer.LineKeeper.
func (c *lineCopies) KeepLines(batch []byte) (uint64, error) {
	b, err := nutmegledger.DecodeBatch(batch)
	if err != nil {
		return 0, err
	}
	return c.kept.Add(b), nil
}

// loop adopts the lines of writers that are gone, and compacts the ledger.
func (c *lineCopies) loop(ctx context.Context) {
	defer close(c.done)
	adopt := time.NewTicker(adoptInterval)
	defer adopt.Stop()
	compact := time.NewTicker(compactInterval)
	defer compact.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-adopt.C:
			c.adopt()
		case <-compact.C:
			c.compact(ctx)
		}
	}
}

// compact runs at the live instance with the lowest incarnation. Two that both
// take themselves for it leave lines twice, which the fold counts once.
func (c *lineCopies) compact(ctx context.Context) {
	for _, m := range c.node.peers.Members() {
		if m.State == nutmegpeer.StateAlive && m.Incarnation < c.node.incarnation {
			return
		}
	}
	moved, err := nutmegledger.Compact(ctx, c.node.writer, c.node.client, nutmegledger.DefaultMinSegments)
	if err != nil {
		c.node.count("ledger_compaction_failures")
	}
	if moved > 0 {
		c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSegment, Detail: fmt.Sprintf("compacted %d segments", moved)})
	}
}

func (c *lineCopies) adopt() {
	states := make(map[nutmegid.Incarnation]nutmegpeer.State)
	for _, m := range c.node.peers.Members() {
		states[m.Incarnation] = m.State
	}
	lines := c.kept.Adopt(func(writer nutmegid.Incarnation, silence time.Duration) bool {
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
	c.node.count("ledger_adoptions")
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSegment, Detail: fmt.Sprintf("adopted %d lines", len(lines))})
	for _, line := range lines {
		c.node.ledger.Enqueue(line)
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
	lines, repeated, err := nutmegledger.ReadUniqueLines(r.Context(), n.client)
	if err != nil {
		return err
	}
	audit := Audit{Statements: nutmegledger.Audit(nutmegledger.ComputeBills(lines), spending), Repeated: repeated}
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
