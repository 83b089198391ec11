// Package nutmegroster tracks the instances of the fleet and connects to them.
// Each instance writes an entry to the store under its own name, so that a
// restart replaces the previous entry. Calls between instances do not depend on
// the store and continue during an outage.
//
// # Usage
//
//	roster := nutmegroster.New(nutmegroster.Config{Client: client, Writer: writer, Self: self, Dial: dial})
//	roster.Start(ctx, listener)
//	peers := roster.Live()               // for nutmegbudget
//	value, ok := roster.FetchConfig(ctx) // the configuration in force at a peer
//	roster.Stop()
package nutmegroster

import (
	"context"
	"crypto/rand"
	"errors"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	instanceKind    = "nutmegwind_instances"
	fleetKind       = "nutmegwind_fleet"
	fleetObject     = "agreed"
	fleetName       = "nutmegwind"
	peerKeyBytes    = 32
	refreshInterval = 15 * time.Second
	registerTimeout = 5 * time.Second
	retryInterval   = 500 * time.Millisecond
	// refreshRetryInterval is the longest time until a failed refresh is repeated.
	refreshRetryInterval = 3 * time.Second
	callTimeout          = 250 * time.Millisecond
	peerIdleTimeout      = 20 * time.Second
	peerInterval         = 10 * time.Second // between checks for idle connections
	skipDuration         = 3 * time.Second  // how long a peer is skipped after failed calls
	// maxFailures is the number of consecutive failures after which a timeout causes a
	// peer to be skipped; other errors do so at once.
	maxFailures   = 3
	maxLimitHomes = 4096 // rate limits whose homes are cached
)

// Config configures a roster.
type Config struct {
	Client       *nutmegstore.Client
	Writer       *nutmegstore.Writer
	Self         nutmegview.Instance
	Dial         func(ctx context.Context, network, address string) (net.Conn, error)
	Budgets      nutmegpeer.BudgetHandler // handles token transfers to peers
	ConfigSource nutmegpeer.ConfigSource  // serves the configuration to peers
	ChangeFeed   nutmegpeer.ChangeFeed    // serves changes of the store to peers
	// Reservations handles reservations made by peers.
	Reservations nutmegpeer.ReservationHandler
	// Permits permits requests of peers to upstreams that state rate limits.
	Permits nutmegpeer.PermitHandler
	// OnPanic is called when the handler of a peer's call has panicked.
	OnPanic func(method string, cause any, stack []byte)
	// Items are the kinds of gossip items that instances exchange.
	Items map[nutmegpeer.ItemKind]nutmegpeer.ItemRule
	// HomesPerDomain is the number of instances per failure domain that lease a
	// workspace's tokens; all others reserve tokens there.
	HomesPerDomain int
	// HomeDomains is the number of failure domains in which a workspace has such
	// instances; all domains when zero.
	HomeDomains int
	// Shards returns the number of budget shards for a new fleet, or 0 if it is not
	// known yet. OnShards is called with the number that the fleet agreed on.
	Shards   func() int
	OnShards func(shards int)
	Log      *logrus.Entry
	Metrics  metrics.Registry
	OnChange func(instances int) // called when the list changes; may be nil
}

// Roster tracks the instances of the fleet.
type Roster struct {
	cfg   Config
	known atomic.Pointer[[]nutmegview.Instance]
	peers atomic.Pointer[nutmegpeer.Peers] // nil until the key is known
	// shards is the number of store objects that budgets are sharded over, 0 until
	// it is known.
	shards atomic.Int32
	// listedAt is when the list of instances was read last; nil before. settledAt is the
	// time from which all others know this instance; it is written before listedAt.
	listedAt  atomic.Pointer[time.Time]
	settledAt time.Time
	agreement fleetAgreement // zero until it is known; written by run only
	restored  chan struct{}  // signals that the store may have lost what this instance wrote
	done      chan struct{}

	mu     sync.Mutex
	health map[nutmegid.Incarnation]peerHealth
	// ranks caches, per shard and failure domain, the order of the instances in all;
	// limitHomes caches the homes of rate limits.
	ranks      map[string][][]*nutmegview.Instance
	limitHomes map[nutmegview.Process][]*nutmegview.Instance
	all        []*nutmegview.Instance
	ranked     *[]nutmegview.Instance // the value of known from which all was made
}

// peerHealth records failed calls to a peer.
type peerHealth struct {
	failures  int // consecutive
	skipUntil time.Time
}

// New returns a roster that contains only this instance.
func New(cfg Config) *Roster {
	if cfg.OnChange == nil {
		cfg.OnChange = func(int) {}
	}
	return &Roster{
		cfg: cfg, restored: make(chan struct{}, 1), done: make(chan struct{}),
		health: make(map[nutmegid.Incarnation]peerHealth), ranks: make(map[string][][]*nutmegview.Instance),
		limitHomes: make(map[nutmegview.Process][]*nutmegview.Instance),
	}
}

// Start registers the instance, serves peers on the listener and refreshes the
// list of instances until ctx ends.
func (r *Roster) Start(ctx context.Context, l net.Listener) {
	go r.run(ctx, l)
}

// Stop waits for the roster's goroutine and closes the connections to peers. The
// context passed to Start must have ended.
func (r *Roster) Stop() {
	<-r.done
	if peers := r.peers.Load(); peers != nil {
		peers.Stop()
	}
}

// Count returns the number of instances, including this one.
func (r *Roster) Count() int {
	return len(r.others()) + 1
}

// Names returns the names of all instances, including this one.
func (r *Roster) Names() []nutmegid.Instance {
	names := []nutmegid.Instance{r.cfg.Self.Name}
	for _, other := range r.others() {
		names = append(names, other.Name)
	}
	return names
}

// others returns all known instances except this one.
func (r *Roster) others() []nutmegview.Instance {
	if known := r.known.Load(); known != nil {
		return *known
	}
	return nil
}

func (r *Roster) run(ctx context.Context, l net.Listener) {
	defer close(r.done)
	for _, step := range []func() bool{
		func() bool { return r.register(ctx) },
		func() bool { return r.startPeers(ctx, l) },
	} {
		for !step() {
			if !sleep(ctx, retryInterval) {
				_ = l.Close()
				return
			}
		}
	}
	// Refresh often at first and back off, because all instances of a new fleet
	// register at about the same time.
	wait := retryInterval
	for {
		next := wait
		if r.refresh(ctx) {
			wait = min(2*wait, refreshInterval)
		} else {
			next = min(wait, refreshRetryInterval)
		}
		timer := time.NewTimer(next)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-r.restored:
			timer.Stop()
			r.writeAgain(ctx)
			wait = retryInterval
		case <-timer.C:
		}
	}
}

// StoreRestored makes the roster write again what the store may have lost.
func (r *Roster) StoreRestored() {
	select {
	case r.restored <- struct{}{}:
	default: // it does so already
	}
}

// writeAgain writes this instance's entry and the fleet's agreement to a store that was
// restored from an older copy. A failure is retried.
func (r *Roster) writeAgain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	_, err := nutmegstore.Update(ctx, r.cfg.Writer, r.ownKey(), func(body *nutmegview.Instance) error {
		if *body == r.cfg.Self {
			return nutmegstore.ErrUnchanged
		}
		*body = r.cfg.Self
		return nil
	})
	if err == nil {
		_, err = nutmegstore.Update(ctx, r.cfg.Writer, agreementKey, func(body *fleetAgreement) error {
			if len(body.Key) > 0 {
				return nutmegstore.ErrUnchanged
			}
			*body = r.agreement
			return nil
		})
	}
	if err != nil {
		r.cfg.Log.WithField("event", "register_failed").WithError(err).Warn("cannot write this instance's entry to the restored store; retrying")
		time.AfterFunc(retryInterval, r.StoreRestored)
	}
}

// ownKey returns the key of this instance's entry.
func (r *Roster) ownKey() nutmegstore.Key {
	return nutmegstore.Key{Kind: instanceKind, Name: string(r.cfg.Self.Name)}
}

// register writes the instance's entry to the store.
func (r *Roster) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	r.settledAt = time.Now().Add(nutmegpermit.SettleTime)
	_, err := nutmegstore.Update(ctx, r.cfg.Writer, r.ownKey(), func(body *nutmegview.Instance) error {
		if body.Name != "" && body.Incarnation != r.cfg.Self.Incarnation {
			r.settledAt = time.Now() // the others know the name from an earlier start
		}
		*body = r.cfg.Self
		return nil
	})
	if err != nil {
		r.cfg.Log.WithField("event", "register_failed").WithError(err).Warn("cannot write this instance's entry to the store; retrying")
	}
	return err == nil
}

// fleetAgreement is the state shared by all instances. The first instance of a
// fleet writes it.
type fleetAgreement struct {
	Key          []byte `json:"key"` // authenticates calls between instances
	BudgetShards int    `json:"budget_shards"`
}

var agreementKey = nutmegstore.Key{Kind: fleetKind, Name: fleetObject}

var (
	errShardsUnknown = errors.New("number of budget shards is not known yet")
	errNoPeers       = errors.New("the fleet's key is not known yet")
)

// startPeers reads the fleet agreement, writing it if there is none, and starts
// serving peers.
func (r *Roster) startPeers(ctx context.Context, l net.Listener) bool {
	updateCtx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	newKey := make([]byte, peerKeyBytes)
	_, _ = rand.Read(newKey) // never fails
	doc, err := nutmegstore.Update(updateCtx, r.cfg.Writer, agreementKey, func(body *fleetAgreement) error {
		if len(body.Key) > 0 {
			return nutmegstore.ErrUnchanged
		}
		if body.BudgetShards = r.cfg.Shards(); body.BudgetShards == 0 {
			return errShardsUnknown
		}
		body.Key = newKey
		return nil
	})
	if err != nil {
		r.cfg.Log.WithField("event", "fleet_unknown").WithError(err).Info("cannot read the fleet's key and shard count from the store; retrying")
		return false
	}
	r.agreement = doc.Body
	peers := nutmegpeer.New(nutmegpeer.Config{
		Fleet: fleetName,
		Key:   doc.Body.Key,
		Self: nutmegpeer.Member{
			Instance: r.cfg.Self.Name, Incarnation: r.cfg.Self.Incarnation,
			FailureDomain: r.cfg.Self.FailureDomain, Address: r.cfg.Self.PeerAddress,
		},
		Dial:         r.cfg.Dial,
		Interval:     peerInterval,
		CallTimeout:  callTimeout,
		IdleTimeout:  peerIdleTimeout,
		Budgets:      r.cfg.Budgets,
		ConfigSource: r.cfg.ConfigSource,
		ChangeFeed:   r.cfg.ChangeFeed,
		OnPanic:      r.cfg.OnPanic,
		Reservations: r.cfg.Reservations,
		Permits:      r.cfg.Permits,
		Metrics:      r.cfg.Metrics,
	})
	for kind, rule := range r.cfg.Items {
		peers.Gossip().Register(kind, rule)
	}
	if err := peers.Start(l); err != nil {
		r.cfg.Log.WithField("event", "peers_unavailable").WithError(err).Error("cannot start serving peers")
		return false
	}
	r.peers.Store(peers)
	r.shards.Store(int32(doc.Body.BudgetShards))
	r.cfg.OnShards(doc.Body.BudgetShards)
	return true
}

// refresh reads the entries of all instances from the store, and reports whether it
// could.
func (r *Roster) refresh(ctx context.Context) bool {
	began := time.Now()
	objects, err := r.cfg.Client.ListStale(ctx, instanceKind)
	if err != nil {
		r.cfg.Log.WithField("event", "instances_unknown").WithError(err).Info("cannot read the list of instances; keeping the previous one")
		return false
	}
	var list []nutmegview.Instance
	for _, o := range objects {
		doc, err := nutmegstore.Decode[nutmegview.Instance](o)
		if err != nil {
			r.cfg.Log.WithField("event", "instance_unreadable").WithError(err).Warn("cannot decode an instance's entry")
			continue
		}
		if doc.Body.Name != r.cfg.Self.Name {
			list = append(list, doc.Body)
		}
	}
	if !slices.Equal(list, r.others()) {
		r.known.Store(&list)
		r.contactPeers(list)
		r.cfg.OnChange(len(list) + 1)
	}
	r.listedAt.Store(&began)
	return true
}

// contactPeers makes the instances in the list known to the exchange of gossip.
func (r *Roster) contactPeers(list []nutmegview.Instance) {
	peers := r.peers.Load()
	if peers == nil {
		return
	}
	addresses := make([]string, 0, len(list))
	for _, i := range list {
		addresses = append(addresses, i.PeerAddress)
	}
	peers.SetSeeds(addresses)
	peers.Announce()
}

// PutItem spreads a gossip item to all instances. It returns errNoPeers while this
// instance does not know the fleet's key yet.
func (r *Roster) PutItem(i nutmegpeer.Item) error {
	peers := r.peers.Load()
	if peers == nil {
		return errNoPeers
	}
	return peers.Gossip().Put(i)
}

// SyncItems exchanges gossip items with some instances now, after this one may
// have missed some.
func (r *Roster) SyncItems() {
	if peers := r.peers.Load(); peers != nil {
		peers.Announce()
	}
}

// reachable returns the other instances that are not being skipped for failed
// calls, in random order.
func (r *Roster) reachable() []*nutmegview.Instance {
	list := r.responsive(pointers(r.others()))
	shuffle(list)
	return list
}

func shuffle[T any](list []T) {
	mathrand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

// recordCall updates a peer's health with the result of a call. A call that was
// cancelled says nothing about the peer.
func (r *Roster) recordCall(ctx context.Context, i nutmegid.Incarnation, err error) {
	if err != nil && errors.Is(ctx.Err(), context.Canceled) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.health, i)
		return
	}
	h := r.health[i]
	h.failures++
	// A single timeout may only mean that the call was too short for a busy peer.
	if h.failures >= maxFailures || !errors.Is(err, context.DeadlineExceeded) {
		h.skipUntil = time.Now().Add(skipDuration)
	}
	r.health[i] = h
}

// FetchConfig fetches the configuration in force at one peer. It returns false if
// the peer does not answer.
func (r *Roster) FetchConfig(ctx context.Context) ([]byte, bool) {
	peers := r.peers.Load()
	list := r.reachable()
	if peers == nil || len(list) == 0 {
		return nil, false
	}
	_, value, err := peers.FetchRevision(ctx, list[0].PeerAddress)
	r.recordCall(ctx, list[0].Incarnation, err)
	return value, err == nil
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
