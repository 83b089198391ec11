// Package nutmegpeer connects the instances of a fleet over drpc. It maintains
// the membership, distributes configuration revisions and small gossip items,
// and carries calls between instances.
//
// # Usage
//
//	peers := nutmegpeer.New(nutmegpeer.Config{Fleet: "kaca", Key: key, Self: member, Seeds: seeds})
//	peers.Gossip().Register("suspects", nutmegpeer.ItemRule{MaxItems: 64, MaxBytes: 512, OnItem: fn})
//	err := peers.Start(listener)
//	for _, m := range peers.Members() { ... }
//	peers.Stop()
//
// Each round exchanges digests with a few peers. The size of a digest is bounded
// and does not depend on the size of the fleet: recent changes come first, then
// the members in round-robin order. Only rounds 1, 4, 16 and so on ask one peer
// for all members, so that a new instance learns the whole fleet.
//
// A digest carries a hash over all gossip items of its sender. Peers that differ
// exchange a sample of all their items, at most one in syncInterval each, so that
// an instance that was cut off or has just started gets those that it missed. While
// there are items, rounds are at most itemInterval apart.
//
// A peer that does not answer is suspected. It refutes the suspicion with a
// higher heartbeat once it learns of it, and is considered dead after
// Config.DeadAfter if it does not. A new configuration revision is announced
// immediately, not in the next round. Membership is only a hint for liveness: it
// never releases tokens or orders.
//
// Messages carry an HMAC made with the fleet's key. Messages that fail the check
// are rejected and counted. For TLS, dial with tls.Dialer.DialContext and listen
// with tls.NewListener.
package nutmegpeer

import (
	"context"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// Config configures Peers.
type Config struct {
	Fleet         string
	Key           []byte
	Self          Member // Heartbeat, State, Revision, Load and Ready are set by Peers
	Seeds         []string
	Dial          DialFunc      // net.Dialer when nil
	Interval      time.Duration // time between rounds; DefaultInterval when zero
	Fanout        int           // peers contacted in one round; DefaultFanout when zero
	CallTimeout   time.Duration // limit for one call; DefaultCallTimeout when zero
	DeadAfter     time.Duration // time from suspected to dead; DefaultDeadAfter when zero
	DeadRetention time.Duration // time until a dead peer is forgotten; DefaultDeadRetention when zero
	IdleTimeout   time.Duration // time until an unused connection is closed; DefaultIdleTimeout when zero
	Clock         *nutmegtime.Clock
	Budgets       BudgetHandler // answers calls on budgets; they fail when nil
	// ChangeFeed serves changes of the store to peers; such calls fail when nil.
	ChangeFeed ChangeFeed
	// OnPanic, if not nil, is called when the handler of a peer's call has panicked.
	// The call fails; other calls go on.
	OnPanic func(method string, cause any, stack []byte)
	// Reservations reserves tokens for requests of peers; such calls fail when nil.
	Reservations ReservationHandler
	// Permits permits requests of peers to upstreams; such calls fail when nil.
	Permits      PermitHandler
	ConfigSource ConfigSource                                  // answers calls for the configuration; they fail when nil
	LineReplica  LineReplica                                   // stores ledger lines of peers; such calls fail when nil
	Revision     func() nutmegid.Revision                      // the revision in force here; 0 when nil
	Health       func() (load uint32, ready bool)              // load 0 and ready when nil
	OnRevision   func(from string, revision nutmegid.Revision) // called when a peer has a higher revision; may be nil
	Metrics      metrics.Registry                              // a private registry when nil
}

// DialFunc opens a connection to a peer.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Peers exchanges digests with the other instances of the fleet and serves their
// calls.
type Peers struct {
	cfg           Config
	table         *memberTable
	gossip        *Gossip
	conns         *connPool
	traffic       *trafficCounters
	selector      peerSelector
	heartbeat     atomic.Uint64
	leaving       atomic.Bool
	announcements chan struct{} // signals that some peers are to be updated immediately
	announceSoon  atomic.Bool   // another announcement is scheduled
	lastSync      atomic.Int64  // when a sample of all items was sent last, in nanoseconds since the Unix epoch

	ctx       context.Context
	cancel    context.CancelFunc
	loopDone  chan struct{}
	serveDone chan struct{}
	calls     sync.WaitGroup
}

// New returns a Peers that knows only the seeds and has not started.
func New(cfg Config) *Peers {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	counters := newTrafficCounters(cfg.Metrics)
	p := &Peers{
		cfg:           cfg,
		table:         newMemberTable(time.Now, cfg.DeadAfter, cfg.DeadRetention),
		conns:         newConnPool(counters.dialer(cfg.Dial)),
		traffic:       counters,
		announcements: make(chan struct{}, 1),
		ctx:           ctx,
		cancel:        cancel,
		loopDone:      make(chan struct{}),
		serveDone:     make(chan struct{}),
	}
	p.gossip = newGossip(time.Now, p.count, p.Announce)
	p.selector.setSeeds(cfg.Seeds)
	p.heartbeat.Store(1)
	return p
}

func withDefaults(cfg Config) Config {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultInterval
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	if cfg.CallTimeout == 0 {
		cfg.CallTimeout = DefaultCallTimeout
	}
	if cfg.DeadAfter == 0 {
		cfg.DeadAfter = DefaultDeadAfter
	}
	if cfg.DeadRetention == 0 {
		cfg.DeadRetention = DefaultDeadRetention
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{}).DialContext
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	if cfg.Clock == nil {
		cfg.Clock = nutmegtime.NewClock(time.Now)
	}
	if cfg.Revision == nil {
		cfg.Revision = func() nutmegid.Revision { return 0 }
	}
	if cfg.Health == nil {
		cfg.Health = func() (uint32, bool) { return 0, true }
	}
	return cfg
}

// managerOptions limits the size of messages in both directions.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Start serves calls of peers on l and starts the rounds.
func (p *Peers) Start(l net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{peers: p}); err != nil {
		return err
	}
	s := drpcserver.NewWithOptions(recoverer{peers: p, handler: mux}, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(error) { p.count("peer_broken_connections") },
	})
	go p.serve(s, idleTimeoutListener{Listener: l, timeout: serverIdleFactor * p.cfg.IdleTimeout, traffic: p.traffic})
	p.Announce()
	go p.loop()
	return nil
}

func (p *Peers) serve(s *drpcserver.Server, l net.Listener) {
	defer close(p.serveDone)
	_ = s.Serve(p.ctx, l)
}

// SetSeeds replaces the addresses that are contacted besides the known members,
// for example with the addresses in the platform's list.
func (p *Peers) SetSeeds(seeds []string) {
	p.selector.setSeeds(seeds)
}

// Gossip returns the store of items that are spread to all instances.
func (p *Peers) Gossip() *Gossip {
	return p.gossip
}

// Announce makes the loop send the current state to some peers immediately.
func (p *Peers) Announce() {
	select {
	case p.announcements <- struct{}{}:
	default:
	}
}

// Leave tells up to leaveFanout peers that this instance takes no new work, and
// waits for these exchanges.
func (p *Peers) Leave() {
	p.leaving.Store(true)
	p.heartbeat.Add(1)
	var wait sync.WaitGroup
	p.round(leaveFanout, &wait)
	wait.Wait()
}

// Stop stops the rounds and the server, waits for running exchanges and closes the
// connections.
func (p *Peers) Stop() {
	p.cancel()
	<-p.loopDone
	<-p.serveDone
	p.calls.Wait()
	p.conns.close()
}

// Members returns all known members except this instance, including suspected
// and dead ones.
func (p *Peers) Members() []Member {
	return p.table.members()
}

// self returns the current entry of this instance.
func (p *Peers) self() Member {
	m := p.cfg.Self
	m.Heartbeat = p.heartbeat.Load()
	m.Revision = p.cfg.Revision()
	m.Load, m.Ready = p.cfg.Health()
	m.State = StateAlive
	if p.leaving.Load() {
		m.State = StateLeaving
	}
	return m
}

func (p *Peers) loop() {
	defer close(p.loopDone)
	ticker := time.NewTicker(min(p.cfg.Interval, itemInterval))
	defer ticker.Stop()
	next := time.Now().Add(p.cfg.Interval) // regular round
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.announcements:
			p.sendNow()
		case now := <-ticker.C:
			if now.Before(next) && p.gossip.hash() == 0 {
				continue
			}
			next = now.Add(p.cfg.Interval)
			p.heartbeat.Add(1)
			p.table.expire()
			p.conns.closeIdle(now.Add(-p.cfg.IdleTimeout))
			p.round(p.cfg.Fanout, &p.calls)
		}
	}
}

// sendNow starts exchanges with random peers, preferring those that are not
// known to have the revision in force here.
func (p *Peers) sendNow() {
	revision := p.cfg.Revision()
	members := p.table.members()
	outdated := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Revision >= revision })
	if len(outdated) == 0 {
		outdated = members
	}
	addresses := p.selector.randomAddresses(announceFanout, outdated, p.cfg.Self.Address)
	for _, address := range addresses {
		p.startExchange(address, false, &p.calls)
	}
	// A digest holds only some of the items.
	if len(addresses) > 0 && p.gossip.mustAnnounce() && p.announceSoon.CompareAndSwap(false, true) {
		time.AfterFunc(announcePause, func() {
			p.announceSoon.Store(false)
			p.Announce()
		})
	}
}

// round starts exchanges with n peers. Each exchange runs in its own goroutine,
// so that a peer that does not answer delays neither the others nor the next
// round.
func (p *Peers) round(n int, wait *sync.WaitGroup) {
	addresses, full := p.selector.selectAddresses(n, p.table.members(), p.cfg.Self.Address)
	for i, address := range addresses {
		p.startExchange(address, full && i == 0, wait)
	}
}

// verify checks the authentication code of a message and counts the messages
// that fail.
func (p *Peers) verify(m signedMessage) error {
	err := verify(p.cfg.Key, p.cfg.Fleet, m)
	if err != nil {
		p.count("peer_foreign_messages")
	}
	return err
}

func (p *Peers) call(address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	return p.callContext(p.ctx, address, fn)
}

// callContext runs one call on a connection to the peer, limited by CallTimeout.
func (p *Peers) callContext(ctx context.Context, address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	return p.conns.call(ctx, address, fn)
}

func (p *Peers) count(name string) {
	metrics.GetOrRegisterCounter(name, p.cfg.Metrics).Inc(1)
}
