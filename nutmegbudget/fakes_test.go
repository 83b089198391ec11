package nutmegbudget

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// memStore is an in-memory object store that all instances share.
type memStore struct {
	mu             sync.Mutex
	objects        map[nutmegstore.Key]nutmegstore.Object
	writes         int
	ignoreVersions bool         // injected fault: versions are not compared
	era            nutmegid.Era // 0: the store states none
}

func newMemStore() *memStore {
	return &memStore{objects: make(map[nutmegstore.Key]nutmegstore.Object)}
}

// shard decodes the stored shard 0.
func (m *memStore) shard() (Shard, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	o, ok := m.objects[nutmegstore.Key{Kind: ShardKind, Name: ShardName(0)}]
	if !ok {
		return Shard{}, nil
	}
	doc, err := nutmegstore.Decode[Shard](o)
	return doc.Body, err
}

// copyObjects returns a copy of the store's objects, for restore.
func (m *memStore) copyObjects() map[nutmegstore.Key]nutmegstore.Object {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.objects)
}

// restore replaces all objects by a copy and begins a new era.
func (m *memStore) restore(objects map[nutmegstore.Key]nutmegstore.Object) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.objects = maps.Clone(objects)
	m.era++
}

func (m *memStore) currentEra() nutmegid.Era {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.era
}

// memLink is one instance's connection to the store, with injected faults.
type memLink struct {
	store *memStore

	mu     sync.Mutex
	faults linkFaults
	era    nutmegstore.EraState // as the instance knows it
}

type linkFaults struct {
	down        bool
	slow        time.Duration
	loseAnswers int  // number of next writes whose answers are lost
	dropWrites  bool // writes whose answers are lost have no effect
}

// lastEra returns the era that the instance knows: it follows the store while it
// reaches it.
func (l *memLink) lastEra() nutmegstore.EraState {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era := l.store.currentEra(); !l.faults.down && era != l.era.Era {
		l.era = nutmegstore.EraState{Era: era, Since: time.Now(), Restored: l.era.Era != 0}
	}
	return l.era
}

// Era lets writers know that objects which they remember are outdated.
func (l *memLink) Era() nutmegstore.EraState {
	return l.lastEra()
}

func (l *memLink) set(change func(f *linkFaults)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	change(&l.faults)
}

// nextFaults returns the faults for one call and whether its answer is lost.
func (l *memLink) nextFaults(write bool) (faults linkFaults, lost bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	faults = l.faults
	lost = write && !faults.down && faults.loseAnswers > 0
	if lost {
		l.faults.loseAnswers--
	}
	return faults, lost
}

func storeError(kind nutmegstore.ErrorKind, key nutmegstore.Key) error {
	return &nutmegstore.Error{Kind: kind, Key: key, Remedy: "remove the injected fault", Err: errors.New("fault")}
}

func (l *memLink) Get(_ context.Context, key nutmegstore.Key) (nutmegstore.Object, error) {
	faults, _ := l.nextFaults(false)
	time.Sleep(faults.slow)
	if faults.down {
		return nutmegstore.Object{}, storeError(nutmegstore.KindUnavailable, key)
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	o, ok := l.store.objects[key]
	if !ok {
		return o, storeError(nutmegstore.KindNotFound, key)
	}
	o.Version = nutmegid.NewVersion(l.store.era, o.Version.Counter())
	return o, nil
}

func (l *memLink) Create(_ context.Context, key nutmegstore.Key, value []byte) (nutmegid.Version, error) {
	return l.put(key, value, 0)
}

func (l *memLink) Replace(_ context.Context, key nutmegstore.Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	return l.put(key, value, version)
}

func (l *memLink) put(key nutmegstore.Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	faults, lost := l.nextFaults(true)
	era := l.store.currentEra()
	time.Sleep(faults.slow)
	// A write that is under way when the store goes away is not carried out later.
	if faults.down || l.store.currentEra() != era {
		return 0, storeError(nutmegstore.KindUnavailable, key)
	}
	if lost && faults.dropWrites {
		return 0, storeError(nutmegstore.KindUnknown, key)
	}
	l.store.mu.Lock()
	defer l.store.mu.Unlock()
	o := l.store.objects[key]
	// A restored store gives out the same numbers again.
	if o.Version.Counter() != version.Counter() && !l.store.ignoreVersions {
		return 0, storeError(nutmegstore.KindConflict, key)
	}
	o = nutmegstore.Object{Key: key, Version: nutmegid.NewVersion(l.store.era, o.Version.Counter()+1), Value: slices.Clone(value)}
	l.store.objects[key] = o
	l.store.writes++
	if lost {
		return 0, storeError(nutmegstore.KindUnknown, key)
	}
	return o.Version, nil
}

// network connects the holders, with injected faults for each pair.
type network struct {
	mu            sync.Mutex
	nodes         []*node
	cut           map[[2]int]bool
	loseAnswers   int  // number of next calls whose answers are lost
	answerLost    bool // at least one answer was lost
	skipDebit     bool // injected fault: givers do not debit
	ackAfterClose bool // injected fault: witnesses acknowledge closed leases
}

// node is one incarnation on the network.
type node struct {
	network *network
	index   int // of the instance
	inc     nutmegid.Incarnation
	domain  int
	down    atomic.Bool // dead, paused or stopped
	holder  *Holder
	witness *Witness
}

func (nw *network) all() []*node {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.nodes
}

func (nw *network) find(inc nutmegid.Incarnation) *node {
	for _, n := range nw.all() {
		if n.inc == inc {
			return n
		}
	}
	return nil
}

var errNoAnswer = errors.New("peer does not answer")

// reach returns the peer, or an error if it is down or cut off.
func (n *node) reach(to nutmegid.Incarnation) (*node, error) {
	peer := n.network.find(to)
	if peer == nil || peer.down.Load() || n.network.isCut(n.index, peer.index) {
		return nil, errNoAnswer
	}
	return peer, nil
}

func (nw *network) isCut(i, j int) bool {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	return nw.cut[[2]int{min(i, j), max(i, j)}]
}

func (nw *network) cutPair(i, j int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.cut[[2]int{min(i, j), max(i, j)}] = i != j
}

func (nw *network) loseNextAnswers(n int) {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.loseAnswers = n
}

func (nw *network) heal() {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	clear(nw.cut)
}

// maybeLoseAnswer returns an error for a call that took effect, if its answer is
// to be lost.
func (nw *network) maybeLoseAnswer() error {
	nw.mu.Lock()
	defer nw.mu.Unlock()
	if nw.loseAnswers > 0 {
		nw.loseAnswers--
		nw.answerLost = true
		return errNoAnswer
	}
	return nil
}

func (n *node) Holders(nutmegid.BudgetID) []nutmegid.Incarnation {
	return n.Live()
}

func (n *node) Live() []nutmegid.Incarnation {
	var live []nutmegid.Incarnation
	for _, peer := range n.network.all() {
		if peer != n && !peer.down.Load() && !n.network.isCut(n.index, peer.index) {
			live = append(live, peer.inc)
		}
	}
	return live
}

func (n *node) Witnesses() []nutmegid.Incarnation {
	return slices.DeleteFunc(n.Live(), func(inc nutmegid.Incarnation) bool { return n.network.find(inc).domain == n.domain })
}

func (n *node) RequestTransfer(ctx context.Context, to nutmegid.Incarnation, request TransferRequest) (nutmegid.Tokens, error) {
	peer, err := n.reach(to)
	if err != nil {
		return 0, err
	}
	if n.network.skipDebit {
		return request.Need, nil
	}
	given := peer.holder.GrantTokens(ctx, request)
	return given, n.network.maybeLoseAnswer()
}

func (n *node) Acknowledge(_ context.Context, to nutmegid.Incarnation, request AcknowledgeRequest) (bool, error) {
	peer, err := n.reach(to)
	if err != nil {
		return false, err
	}
	return peer.witness.Acknowledge(request) || n.network.ackAfterClose, nil
}

// newNode adds a new incarnation of an instance to the network.
func (nw *network) newNode(index int, link *memLink, p profile) *node {
	n := &node{network: nw, index: index, domain: index, inc: nutmegid.NewIncarnation()}
	writer := nutmegstore.NewWriter(link, n.inc)
	all := func(nutmegid.BudgetID) Terms { return p.terms }
	n.holder = NewHolder(HolderConfig{
		Writer: writer, Incarnation: n.inc, Instance: nutmegid.Instance(fmt.Sprint("instance-", index)), Terms: all,
		Peers: n, Witnesses: p.witnesses, SettleAfter: p.settleAfter, StoreEra: link.lastEra, Prepare: p.prepare,
	})
	n.witness = NewWitness(WitnessConfig{Writer: writer, Incarnation: n.inc, Live: func(inc nutmegid.Incarnation) bool {
		return slices.Contains(n.Live(), inc)
	}})
	nw.mu.Lock()
	defer nw.mu.Unlock()
	nw.nodes = append(nw.nodes, n)
	return n
}

func (m *memStore) written() int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.writes
}
