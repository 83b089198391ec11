// Package nutmegpeer keeps the instances of a fleet in touch over drpc: who
// is there, which configuration revision each has, small pieces of gossip, and
// calls between instances.
//
// # Usage
//
//	peers := nutmegpeer.New(nutmegpeer.Config{Fleet: "kaca", Key: key, Self: member, Seeds: seeds})
//	peers.Gossip().Register("suspects", nutmegpeer.ItemRule{MaxItems: 64, MaxBytes: 512, OnItem: fn})
//	err := peers.Start(listener)
//	for _, m := range peers.Members() { ... }
//	peers.Stop()
//
// Each round exchanges digests of bounded size with a few peers, whatever the
// size of the fleet: the members in turn, news first. Only rounds 1, 4, 16 and
// so on ask one peer for all members, so that a new instance knows the fleet. A peer that does not
// answer is suspected; it refutes that with a higher heartbeat once it hears
// of it, and is dead after a while if it does not. A new configuration revision
// is told at once, not in the next round. Membership is a hint for liveness
// only: it never frees tokens or orders.
//
// Messages carry an HMAC over the fleet's key; foreign ones are refused and
// counted. For TLS, dial with tls.Dialer.DialContext and listen with
// tls.NewListener.
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

// Config configures a set of peers.
type Config struct {
	Fleet       string
	Key         []byte
	Self        Member // heartbeat, state, revision, load and ready are filled in
	Seeds       []string
	Dial        DialFunc      // net.Dialer when nil
	Interval    time.Duration // between rounds; DefaultInterval when zero
	Fanout      int           // peers of one round; DefaultFanout when zero
	CallTimeout time.Duration // DefaultCallTimeout when zero
	DeadAfter   time.Duration // of suspicion; DefaultDeadAfter when zero
	KeepDead    time.Duration // DefaultKeepDead when zero
	IdleTimeout time.Duration // of connections; DefaultIdleTimeout when zero
	Clock       *nutmegtime.Clock
	Budgets     Budgets
	// Reservations holds tokens for requests of peers; none when nil.
	Reservations Reservations
	Library      Library
	Lines        LineKeeper
	Revision     func() nutmegid.Revision
	Health       func() (load uint32, ready bool)
	OnRevision   func(from string, revision nutmegid.Revision) // a peer has a higher revision
	Metrics      metrics.Registry                              // a private registry when nil
}

// DialFunc opens a connection to a peer.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Peers exchanges digests with the other instances.
type Peers struct {
	cfg       Config
	table     *table
	gossip    *Gossip
	conns     *connPool
	traffic   *traffic
	targets   targets
	heartbeat atomic.Uint64
	leaving   atomic.Bool
	news      chan struct{} // a round is wanted now

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	served chan struct{}
	calls  sync.WaitGroup
}

// New returns peers that know only the seeds.
func New(cfg Config) *Peers {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	counted := newTraffic(cfg.Metrics)
	p := &Peers{
		cfg:     cfg,
		table:   newTable(time.Now, cfg.DeadAfter, cfg.KeepDead),
		conns:   newConnPool(counted.dialer(cfg.Dial)),
		traffic: counted,
		news:    make(chan struct{}, 1),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),
		served:  make(chan struct{}),
	}
	p.gossip = newGossip(time.Now, p.count, p.Announce)
	p.targets.setSeeds(cfg.Seeds)
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
	if cfg.KeepDead == 0 {
		cfg.KeepDead = DefaultKeepDead
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

// managerOptions bounds the messages of both directions.
func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Start serves peers on the listener and begins the rounds.
func (p *Peers) Start(l net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{peers: p}); err != nil {
		return err
	}
	s := drpcserver.NewWithOptions(mux, drpcserver.Options{
		Manager: managerOptions(),
		Log:     func(error) { p.count("peer_broken_connections") },
	})
	go p.run(s, quietListener{Listener: l, timeout: serverIdleFactor * p.cfg.IdleTimeout, traffic: p.traffic})
	p.Announce()
	go p.loop()
	return nil
}

func (p *Peers) run(s *drpcserver.Server, l net.Listener) {
	defer close(p.served)
	_ = s.Serve(p.ctx, l)
}

// SetSeeds replaces the addresses that are tried besides the known members,
// for example by those of the platform's list.
func (p *Peers) SetSeeds(seeds []string) {
	p.targets.setSeeds(seeds)
}

// Gossip spreads small items among all instances.
func (p *Peers) Gossip() *Gossip {
	return p.gossip
}

// Announce tells some peers at once what is new here.
func (p *Peers) Announce() {
	select {
	case p.news <- struct{}{}:
	default:
	}
}

// Leave tells the peers that this instance takes no new work.
func (p *Peers) Leave() {
	p.leaving.Store(true)
	p.heartbeat.Add(1)
	var wait sync.WaitGroup
	p.round(leaveFanout, &wait)
	wait.Wait()
}

// Stop ends all exchanges.
func (p *Peers) Stop() {
	p.cancel()
	<-p.done
	<-p.served
	p.calls.Wait()
	p.conns.close()
}

// Members returns all known members but this one, also suspected and dead ones.
func (p *Peers) Members() []Member {
	return p.table.members()
}

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
	defer close(p.done)
	ticker := time.NewTicker(p.cfg.Interval)
	defer ticker.Stop()
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-p.news:
			p.tell()
		case <-ticker.C:
			p.heartbeat.Add(1)
			p.table.age()
			p.conns.closeIdle(time.Now().Add(-p.cfg.IdleTimeout))
			p.round(p.cfg.Fanout, &p.calls)
		}
	}
}

// tell begins exchanges with some peers: with those that are not known to have
// the revision in force here, where there are such.
func (p *Peers) tell() {
	revision := p.cfg.Revision()
	members := p.table.members()
	behind := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Revision >= revision })
	if len(behind) == 0 {
		behind = members
	}
	for _, address := range p.targets.random(newsFanout, behind, p.cfg.Self.Address) {
		p.calls.Go(func() { p.exchange(address, false) })
	}
}

// round begins exchanges with n peers. Each runs by itself, so that one silent
// peer does not hold up the others or the next round.
func (p *Peers) round(n int, wait *sync.WaitGroup) {
	addresses, full := p.targets.pick(n, p.table.members(), p.cfg.Self.Address)
	for i, address := range addresses {
		wait.Go(func() { p.exchange(address, full && i == 0) })
	}
}

// exchange swaps digests with one peer. A full one asks it for all members.
func (p *Peers) exchange(address string, full bool) {
	digest, err := p.digest(address, maxDigestMembers, full)
	if err != nil {
		return
	}
	err = p.call(address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Exchange(ctx, digest)
		if err != nil {
			return err
		}
		return p.receive(reply)
	})
	if p.ctx.Err() != nil {
		return
	}
	if err != nil {
		p.count("peer_exchange_failures")
		p.table.suspect(address)
		return
	}
	p.count("peer_exchanges")
}

func (p *Peers) digest(receiver string, members int, full bool) (*peerpb.Digest, error) {
	d := &peerpb.Digest{
		Fleet:    p.cfg.Fleet,
		Sender:   p.self().proto(),
		Receiver: receiver,
		Full:     full,
		Revision: uint64(p.cfg.Revision()),
		Stamp:    p.cfg.Clock.Now().String(),
	}
	for _, m := range p.table.pick(members, receiver) {
		d.Members = append(d.Members, m.proto())
	}
	d.Items = p.gossip.pick(maxDigestItems, maxDigestItemBytes, p.table.size())
	var err error
	d.Mac, err = sign(p.cfg.Key, d)
	return d, err
}

// receive takes in a peer's digest.
func (p *Peers) receive(d *peerpb.Digest) error {
	if err := p.verify(d); err != nil {
		return err
	}
	sender := memberOf(d.GetSender())
	if !sender.valid() || len(d.GetMembers()) > maxFullMembers || len(d.GetItems()) > maxDigestItems {
		p.count("peer_damaged_messages")
		return errDamaged
	}
	if stamp, err := nutmegtime.ParseStamp(d.GetStamp()); err == nil {
		p.cfg.Clock.Observe(stamp)
	}
	p.learn(sender)
	for _, m := range d.GetMembers() {
		p.learn(memberOf(m))
	}
	p.gossip.receive(d.GetItems())
	if sender.Revision > p.cfg.Revision() && p.cfg.OnRevision != nil {
		p.cfg.OnRevision(sender.Address, sender.Revision)
	}
	return nil
}

// learn takes in a member. What others believe of this instance is refuted
// unless it is alive, or leaves indeed.
func (p *Peers) learn(m Member) {
	if m.Incarnation == p.cfg.Self.Incarnation {
		p.refute(m)
		return
	}
	if !m.valid() {
		p.count("peer_damaged_members")
		return
	}
	p.table.merge(m)
}

func (p *Peers) refute(m Member) {
	if m.State == StateAlive || m.State == StateLeaving {
		return
	}
	if present := p.heartbeat.Load(); m.Heartbeat >= present {
		p.heartbeat.CompareAndSwap(present, m.Heartbeat+1)
	}
	p.count("peer_refutations")
}

// verify checks the authentication code of a message and counts foreign ones.
func (p *Peers) verify(m signed) error {
	err := verify(p.cfg.Key, p.cfg.Fleet, m)
	if err != nil {
		p.count("peer_foreign_messages")
	}
	return err
}

func (p *Peers) call(address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	return p.callContext(p.ctx, address, fn)
}

// callContext runs one call on the peer's connection, within the call timeout.
func (p *Peers) callContext(ctx context.Context, address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	return p.conns.call(ctx, address, fn)
}

func (p *Peers) count(name string) {
	metrics.GetOrRegisterCounter(name, p.cfg.Metrics).Inc(1)
}

// server answers the calls of peers.
type server struct {
	peers *Peers
}

var _ peerpb.DRPCPeerServer = (*server)(nil)

// Exchange implements peerpb.DRPCPeerServer.
func (s *server) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	if err := s.peers.receive(d); err != nil {
		return nil, err
	}
	members := maxDigestMembers
	if d.GetFull() {
		members = maxFullMembers
	}
	return s.peers.digest(d.GetSender().GetAddress(), members, false)
}
