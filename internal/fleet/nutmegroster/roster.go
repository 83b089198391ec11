// Package nutmegroster knows the other instances of the fleet and reaches them.
// Each instance writes an entry into the store, named by the instance, so that
// a restart replaces its own. Calls between instances need no store: they go on
// while it is away.
//
// # Usage
//
//	roster := nutmegroster.New(nutmegroster.Config{Client: client, Writer: writer, Self: self, Dial: dial})
//	roster.Start(ctx, listener)
//	peers := roster.Live()               // for nutmegbudget
//	value, ok := roster.FetchConfig(ctx) // the newest configuration that a peer has
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
	refreshPause    = 15 * time.Second
	registerTimeout = 5 * time.Second
	registerPause   = 500 * time.Millisecond
	callTimeout     = 250 * time.Millisecond
	peerIdle        = 20 * time.Second
	peerInterval    = 10 * time.Second // between sweeps of idle connections
	silentFor       = 3 * time.Second  // after failed calls, a peer is not asked
	// failuresToSilence is how many calls in a row must get no answer.
	failuresToSilence = 3
)

// Config configures a roster.
type Config struct {
	Client  *nutmegstore.Client
	Writer  *nutmegstore.Writer
	Self    nutmegview.Instance
	Dial    func(ctx context.Context, network, address string) (net.Conn, error)
	Budgets nutmegpeer.BudgetHandler // answers peers that ask for tokens
	Library nutmegpeer.ConfigSource // answers peers that ask for the configuration
	// Reservations holds tokens for requests of peers.
	Reservations nutmegpeer.ReservationHandler
	// HomesPerDomain is how many instances of a failure domain lease tokens of
	// one workspace; the others ask these.
	HomesPerDomain int
	// Shards returns over how many objects a new fleet spreads its budgets, 0
	// while that can't be said. OnFleet is told what the fleet has agreed on.
	Shards   func() int
	OnFleet  func(shards int)
	Log      *logrus.Entry
	Metrics  metrics.Registry
	OnChange func(instances int) // told of each new list; nil for none
}

// Roster knows the instances of the fleet.
type Roster struct {
	cfg   Config
	known atomic.Pointer[[]nutmegview.Instance]
	peers atomic.Pointer[nutmegpeer.Peers] // nil until the key is known
	// shards is the number of objects that budgets are spread over, 0 until it
	// is known.
	shards atomic.Int32
	done   chan struct{}

	mu     sync.Mutex
	silent map[nutmegid.Incarnation]silence
	// ranks is each shard's order of the instances in ranked, by failure domain.
	ranks  map[string][][]*nutmegview.Instance
	ranked *[]nutmegview.Instance
}

// silence is what failed calls say of a peer.
type silence struct {
	failures int // in a row
	until    time.Time
}

// New returns a roster that knows this instance only.
func New(cfg Config) *Roster {
	if cfg.OnChange == nil {
		cfg.OnChange = func(int) {}
	}
	return &Roster{
		cfg: cfg, done: make(chan struct{}),
		silent: make(map[nutmegid.Incarnation]silence), ranks: make(map[string][][]*nutmegview.Instance),
	}
}

// Start registers the instance, serves peers on the listener and keeps the list
// of instances until ctx ends.
func (r *Roster) Start(ctx context.Context, l net.Listener) {
	go r.run(ctx, l)
}

// Stop waits for the end and closes the connections to peers. The context of
// Start must have ended.
func (r *Roster) Stop() {
	<-r.done
	if peers := r.peers.Load(); peers != nil {
		peers.Stop()
	}
}

// Count returns how many instances there are, this one included.
func (r *Roster) Count() int {
	return len(r.others()) + 1
}

// others returns all known instances but this one.
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
		func() bool { return r.serve(ctx, l) },
	} {
		for !step() {
			if !pause(ctx, registerPause) {
				_ = l.Close()
				return
			}
		}
	}
	// The first lists come soon one after the other, as all instances of a new
	// fleet register at once.
	for wait := registerPause; ; wait = min(2*wait, refreshPause) {
		r.refresh(ctx)
		if !pause(ctx, wait) {
			return
		}
	}
}

// register writes the instance's entry.
func (r *Roster) register(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	key := nutmegstore.Key{Kind: instanceKind, Name: string(r.cfg.Self.Name)}
	_, err := nutmegstore.Update(ctx, r.cfg.Writer, key, func(body *nutmegview.Instance) error {
		*body = r.cfg.Self
		return nil
	})
	if err != nil {
		r.cfg.Log.WithField("event", "register_failed").WithError(err).Warn("the instance's entry was not written; it is tried again")
	}
	return err == nil
}

// fleet is what all instances of a fleet agree on. The first one writes it.
type fleet struct {
	Key          []byte `json:"key"` // of calls between instances
	BudgetShards int    `json:"budget_shards"`
}

var errNotYet = errors.New("the size of the fleet's budgets is not known yet")

// serve reads what the fleet agrees on, which the first instance writes, and
// takes calls of peers.
func (r *Roster) serve(ctx context.Context, l net.Listener) bool {
	bounded, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	own := make([]byte, peerKeyBytes)
	_, _ = rand.Read(own) // never fails
	key := nutmegstore.Key{Kind: fleetKind, Name: fleetObject}
	doc, err := nutmegstore.Update(bounded, r.cfg.Writer, key, func(body *fleet) error {
		if len(body.Key) > 0 {
			return nutmegstore.ErrUnchanged
		}
		if body.BudgetShards = r.cfg.Shards(); body.BudgetShards == 0 {
			return errNotYet
		}
		body.Key = own
		return nil
	})
	if err != nil {
		r.cfg.Log.WithField("event", "fleet_unknown").WithError(err).Info("what the fleet agrees on was not read; it is tried again")
		return false
	}
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
		IdleTimeout:  peerIdle,
		Budgets:      r.cfg.Budgets,
		ConfigSource:      r.cfg.Library,
		Reservations: r.cfg.Reservations,
		Metrics:      r.cfg.Metrics,
	})
	if err := peers.Start(l); err != nil {
		r.cfg.Log.WithField("event", "peers_unavailable").WithError(err).Error("calls of peers are not taken")
		return false
	}
	r.peers.Store(peers)
	r.shards.Store(int32(doc.Body.BudgetShards))
	r.cfg.OnFleet(doc.Body.BudgetShards)
	return true
}

// refresh reads the entries of all instances.
func (r *Roster) refresh(ctx context.Context) {
	objects, err := r.cfg.Client.ListStale(ctx, instanceKind)
	if err != nil {
		r.cfg.Log.WithField("event", "instances_unknown").WithError(err).Info("the list of instances was not read; the last one stays")
		return
	}
	var list []nutmegview.Instance
	for _, o := range objects {
		doc, err := nutmegstore.Decode[nutmegview.Instance](o)
		if err != nil {
			r.cfg.Log.WithField("event", "instance_unreadable").WithError(err).Warn("an instance's entry can't be read")
			continue
		}
		if doc.Body.Name != r.cfg.Self.Name {
			list = append(list, doc.Body)
		}
	}
	if !slices.Equal(list, r.others()) {
		r.known.Store(&list)
		r.cfg.OnChange(len(list) + 1)
	}
}

// reachable returns the other instances that have not failed a call lately, in
// random order.
func (r *Roster) reachable() []*nutmegview.Instance {
	list := r.withoutSilent(pointers(r.others()))
	shuffle(list)
	return list
}

func shuffle[T any](list []T) {
	mathrand.Shuffle(len(list), func(a, b int) { list[a], list[b] = list[b], list[a] })
}

// called notes how a call of a peer went.
func (r *Roster) called(i nutmegid.Incarnation, err error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if err == nil {
		delete(r.silent, i)
		return
	}
	s := r.silent[i]
	s.failures++
	// A call that was too short for a busy peer says little by itself.
	if s.failures >= failuresToSilence || !errors.Is(err, context.DeadlineExceeded) {
		s.until = time.Now().Add(silentFor)
	}
	r.silent[i] = s
}

// FetchConfig asks one peer for the configuration in force there, false where
// none answers.
func (r *Roster) FetchConfig(ctx context.Context) ([]byte, bool) {
	peers := r.peers.Load()
	list := r.reachable()
	if peers == nil || len(list) == 0 {
		return nil, false
	}
	_, value, err := peers.FetchRevision(ctx, list[0].PeerAddress)
	r.called(list[0].Incarnation, err)
	return value, err == nil
}

func pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
