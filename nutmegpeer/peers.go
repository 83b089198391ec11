// Package nutmegpeer keeps the instances of a fleet in touch over drpc: who
// is there, which configuration revision each has, and requests for tokens
// between them.
//
// # Usage
//
//	peers := nutmegpeer.New(nutmegpeer.Config{Fleet: "kaca", Key: key, Self: member, Seeds: seeds})
//	err := peers.Start(listener)
//	for _, m := range peers.Members() { ... }
//	peers.Stop()
//
// Each round talks to a few random peers, whatever the size of the fleet.
// Messages carry an HMAC over the fleet's key; foreign ones are refused and
// counted. Membership is a hint for liveness only.
package nutmegpeer

import (
	"context"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcserver"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// Config configures a set of peers.
type Config struct {
	Fleet        string
	Key          []byte
	Self         Member // heartbeat, state and revision are filled in
	Seeds        []string
	Dial         DialFunc      // net.Dialer when nil
	Interval     time.Duration // DefaultInterval when zero
	Fanout       int           // DefaultFanout when zero
	CallTimeout  time.Duration // DefaultCallTimeout when zero
	SuspectAfter time.Duration // DefaultSuspectAfter when zero
	Clock        *nutmegtime.Clock
	Giver        Giver
	Revision     func() nutmegid.Revision
	OnRevision   func(from string, revision nutmegid.Revision) // a peer has a higher revision
	Metrics      metrics.Registry                              // a private registry when nil
}

// DialFunc opens a connection to a peer.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Peers exchanges digests with the other instances.
type Peers struct {
	cfg       Config
	table     *table
	heartbeat atomic.Uint64
	leaving   atomic.Bool

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	served chan struct{}

	mu    sync.Mutex
	conns map[string]*conn
}

// New returns peers that know only the seeds.
func New(cfg Config) *Peers {
	cfg = withDefaults(cfg)
	ctx, cancel := context.WithCancel(context.Background())
	return &Peers{
		cfg:    cfg,
		table:  newTable(time.Now, cfg.SuspectAfter),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),
		served: make(chan struct{}),
		conns:  make(map[string]*conn),
	}
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
	if cfg.SuspectAfter == 0 {
		cfg.SuspectAfter = DefaultSuspectAfter
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
	return cfg
}

// Start serves peers on the listener and begins the rounds.
func (p *Peers) Start(l net.Listener) error {
	mux := drpcmux.New()
	if err := peerpb.DRPCRegisterPeer(mux, &server{peers: p}); err != nil {
		return err
	}
	go p.run(drpcserver.New(mux), l)
	go p.loop()
	return nil
}

func (p *Peers) run(s *drpcserver.Server, l net.Listener) {
	defer close(p.served)
	_ = s.Serve(p.ctx, l)
}

// Leave tells the peers that this instance takes no new work.
func (p *Peers) Leave() {
	p.leaving.Store(true)
	p.round()
}

// Stop ends all exchanges.
func (p *Peers) Stop() {
	p.cancel()
	<-p.done
	<-p.served
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		c.close()
	}
}

// Members returns all known members but this one.
func (p *Peers) Members() []Member {
	return p.table.members()
}

func (p *Peers) self() Member {
	m := p.cfg.Self
	m.Heartbeat = p.heartbeat.Add(1)
	m.Revision = p.cfg.Revision()
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
		case <-ticker.C:
			p.round()
		}
	}
}

// round exchanges digests with a few peers at once, so that one silent peer
// does not hold up the others.
func (p *Peers) round() {
	var wait sync.WaitGroup
	for _, address := range p.pick() {
		wait.Go(func() { p.exchange(address) })
	}
	wait.Wait()
}

// pick chooses random addresses among members and seeds.
func (p *Peers) pick() []string {
	known := make(map[string]bool)
	for _, m := range p.table.members() {
		if m.State != StateLeaving {
			known[m.Address] = true
		}
	}
	for _, seed := range p.cfg.Seeds {
		known[seed] = true
	}
	delete(known, p.cfg.Self.Address)
	addresses := make([]string, 0, len(known))
	for address := range known {
		addresses = append(addresses, address)
	}
	rand.Shuffle(len(addresses), func(i, j int) { addresses[i], addresses[j] = addresses[j], addresses[i] })
	return addresses[:min(len(addresses), p.cfg.Fanout)]
}

func (p *Peers) exchange(address string) {
	digest, err := p.digest()
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
	if err != nil {
		p.count("peer_exchange_failures")
		return
	}
	p.count("peer_exchanges")
}

func (p *Peers) digest() (*peerpb.Digest, error) {
	d := &peerpb.Digest{
		Fleet:    p.cfg.Fleet,
		Sender:   p.self().proto(),
		Revision: uint64(p.cfg.Revision()),
		Stamp:    p.cfg.Clock.Now().String(),
	}
	for _, m := range p.table.members() {
		d.Members = append(d.Members, m.proto())
	}
	var err error
	d.Mac, err = sign(p.cfg.Key, d)
	return d, err
}

// receive takes in a peer's digest.
func (p *Peers) receive(d *peerpb.Digest) error {
	if err := verify(p.cfg.Key, p.cfg.Fleet, d); err != nil {
		p.count("peer_foreign_messages")
		return err
	}
	if stamp, err := nutmegtime.ParseStamp(d.GetStamp()); err == nil {
		p.cfg.Clock.Observe(stamp)
	}
	sender := memberOf(d.GetSender())
	p.learn(sender)
	for _, m := range d.GetMembers() {
		p.learn(memberOf(m))
	}
	if sender.Revision > p.cfg.Revision() && p.cfg.OnRevision != nil {
		p.cfg.OnRevision(sender.Address, sender.Revision)
	}
	return nil
}

func (p *Peers) learn(m Member) {
	if m.Incarnation != p.cfg.Self.Incarnation {
		p.table.merge(m)
	}
}

func (p *Peers) call(address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	return p.callContext(p.ctx, address, fn)
}

// callContext runs one call on the peer's connection. A failed call closes the
// connection, so that the next call dials anew.
func (p *Peers) callContext(ctx context.Context, address string, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.cfg.CallTimeout)
	defer cancel()
	c := p.connOf(address)
	return c.call(ctx, fn)
}

func (p *Peers) connOf(address string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.conns[address]
	if !ok {
		c = newConn(address, p.cfg.Dial)
		p.conns[address] = c
	}
	return c
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
	return s.peers.digest()
}
