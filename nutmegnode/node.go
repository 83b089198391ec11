// Package nutmegnode joins the libraries into one entry instance: callers'
// HTTP, operators' HTTP and the peers' drpc.
//
// # Usage
//
//	node, err := nutmegnode.New(nutmegnode.Config{Settings: settings, Log: logrus.New()})
//	err = node.Start()
//	// ... serve until told to stop ...
//	err = node.Stop(ctx)
//
// An instance keeps nothing on disk: what must last is in the platform's
// object API. Stop fails /readyz, lets running requests end, returns leases,
// writes the ledger, and tells peers.
package nutmegnode

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegorder"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// Config configures a node.
type Config struct {
	Settings nutmegconf.Settings
	Log      *logrus.Logger
	Dial     DialFunc // of all outgoing connections; net.Dialer when nil
}

// DialFunc opens an outgoing connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Node is one entry instance.
type Node struct {
	cfg         Config
	incarnation nutmegid.Incarnation
	log         *logrus.Entry
	metrics     metrics.Registry
	ring        *nutmegtime.Ring
	client      *nutmegstore.Client
	writer      *nutmegstore.Writer
	view        *nutmegconf.View
	book        *nutmegconf.Book
	rollout     *nutmegconf.Rollout
	follower    *follower
	completer   *nutmegconf.Completer
	orderEngine orderFunc // nil while engines take no orders
	holder      *nutmegbudget.Holder
	ledger      *nutmegledger.Writer
	desk        *nutmegorder.Desk
	pool        *nutmegroute.Pool
	sender      *nutmegroute.Sender
	router      *router
	peers       *nutmegpeer.Peers
	signer      *nutmegroute.Signer
	streams     streamOwners
	answers     *answers
	keepUnread  time.Duration

	callers    *http.Server
	operators  *http.Server
	addresses  Addresses
	stopping   atomic.Bool
	running    sync.WaitGroup // requests in progress
	inProgress atomic.Int64   // the same, counted
	watchStop  context.CancelFunc
	watchDone  chan struct{}
}

// Addresses are where a started node listens.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// New builds a node that does not listen yet.
func New(cfg Config) (*Node, error) {
	if cfg.Log == nil {
		return nil, errors.New("node has no logger; set Config.Log")
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: nutmegroute.DefaultConnectTimeout}).DialContext
	}
	s := cfg.Settings
	n := &Node{
		cfg:         cfg,
		incarnation: nutmegid.NewIncarnation(),
		metrics:     metrics.NewRegistry(),
		view:        nutmegconf.NewView(),
		watchDone:   make(chan struct{}),
	}
	n.log = cfg.Log.WithField("instance", s.Instance.Name)
	n.ring = nutmegtime.NewRing(nutmegtime.RingConfig{
		Process: string(s.Instance.Name),
		Clock:   nutmegtime.NewClock(time.Now),
	})
	n.buildStore()
	n.buildBudget()
	n.buildRouting()
	n.buildAnswers()
	n.buildConfig()
	return n, nil
}

func (n *Node) buildStore() {
	p := n.cfg.Settings.Platform
	n.client = nutmegstore.NewClient(nutmegstore.ClientConfig{
		BaseURL:         p.URL,
		HTTP:            &http.Client{Transport: &http.Transport{DialContext: n.cfg.Dial, MaxIdleConnsPerHost: storeConnections}},
		Timeout:         time.Duration(p.Timeout),
		WritesPerSecond: p.WritesPerSecond,
		ReadsPerSecond:  p.ReadsPerSecond,
		Metrics:         n.metrics,
		OnState:         n.storeState,
	})
	n.writer = nutmegstore.NewWriter(n.client, n.incarnation)
	n.desk = nutmegorder.NewDesk(n.writer, n.incarnation)
	n.ledger = nutmegledger.NewWriter(nutmegledger.WriterConfig{
		Store:       n.writer,
		Incarnation: n.incarnation,
		OnSegment:   n.segmentWritten,
	})
}

func (n *Node) buildAnswers() {
	n.signer = nutmegroute.NewSigner([]byte(n.cfg.Settings.Peers.Key))
	n.streams = streamOwners{store: n.writer, incarnation: n.incarnation}
	n.answers = newAnswers()
	n.keepUnread = time.Duration(n.cfg.Settings.Limits.KeepUnread)
}

// Start listens and takes requests.
func (n *Node) Start() error {
	l := n.cfg.Settings.Listen
	callers, err := net.Listen("tcp", l.Callers)
	if err != nil {
		return fmt.Errorf("callers' address %q: %w", l.Callers, err)
	}
	operators, err := net.Listen("tcp", l.Operators)
	if err != nil {
		return fmt.Errorf("operators' address %q: %w", l.Operators, err)
	}
	peers, err := net.Listen("tcp", l.Peers)
	if err != nil {
		return fmt.Errorf("peers' address %q: %w", l.Peers, err)
	}
	n.addresses = Addresses{
		Callers:   callers.Addr().String(),
		Operators: operators.Addr().String(),
		Peers:     peers.Addr().String(),
	}
	n.buildPeers()
	if err := n.peers.Start(peers); err != nil {
		return err
	}
	n.holder.Start()
	n.ledger.Start()
	ctx, cancel := context.WithCancel(context.Background())
	n.watchStop = cancel
	n.completer.Start()
	go n.follower.run(ctx)
	go n.watchLoop(ctx)
	n.router.start()
	n.callers = n.serve(callers, n.counted(n.callerHandler()))
	n.operators = n.serve(operators, n.operatorHandler())
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStart, Detail: string(n.incarnation)})
	n.log.WithField("incarnation", n.incarnation).Info("instance started")
	return nil
}

func (n *Node) buildPeers() {
	s := n.cfg.Settings
	n.peers = nutmegpeer.New(nutmegpeer.Config{
		Fleet: s.Instance.Fleet,
		Key:   []byte(s.Peers.Key),
		Self: nutmegpeer.Member{
			Instance:      s.Instance.Name,
			Incarnation:   n.incarnation,
			FailureDomain: s.Instance.FailureDomain,
			Address:       n.addresses.Peers,
		},
		Seeds:      s.Peers.Seeds,
		Dial:       n.cfg.Dial,
		Clock:      n.ring.Clock(),
		Revision:   n.revision,
		OnRevision: n.follower.heard,
		Library:    library{n.rollout},
		Health:     n.health,
		Metrics:    n.metrics,
	})
}

func (n *Node) serve(l net.Listener, h http.Handler) *http.Server {
	s := &http.Server{
		Handler:           h,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    n.cfg.Settings.Limits.MaxHeaderBytes,
	}
	go func() { _ = s.Serve(l) }()
	return s
}

// Addresses returns where the node listens.
func (n *Node) Addresses() Addresses {
	return n.addresses
}

// Incarnation returns the id of this start.
func (n *Node) Incarnation() nutmegid.Incarnation {
	return n.incarnation
}

// Ring returns the node's events.
func (n *Node) Ring() *nutmegtime.Ring {
	return n.ring
}

func (n *Node) revision() nutmegid.Revision {
	if c := n.view.Current(); c != nil {
		return c.Revision
	}
	return 0
}

// Stop ends the instance gracefully: no new work, running requests end,
// leases return, the ledger is written, peers are told.
func (n *Node) Stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStop})
	n.peers.Leave()
	failed := n.callers.Shutdown(ctx)
	n.drain(ctx)
	failed = errors.Join(failed, n.holder.Stop(ctx), n.ledger.Stop(ctx))
	n.stopFollowing()
	n.router.stop()
	n.peers.Stop()
	failed = errors.Join(failed, n.operators.Shutdown(ctx))
	n.log.Info("instance stopped")
	return failed
}

func (n *Node) stopFollowing() {
	n.watchStop()
	<-n.watchDone
	<-n.follower.done
	n.completer.Stop()
}

// counted counts the callers' requests in progress.
func (n *Node) counted(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inProgress.Add(1)
		defer n.inProgress.Add(-1)
		h.ServeHTTP(w, r)
	})
}

// health is what peers are told of this instance.
func (n *Node) health() (uint32, bool) {
	return uint32(max(0, n.inProgress.Load())), n.notReady() == ""
}

// Kill ends the instance at once, as a crash of its process does: nothing is
// settled, returned or told.
func (n *Node) Kill() {
	n.stopping.Store(true)
	_ = n.callers.Close()
	_ = n.operators.Close()
	n.stopFollowing()
	n.router.stop()
	n.sender.Abandon()
	n.answers.cancelAll(errAbandoned)
	n.holder.Abandon()
	n.ledger.Abandon()
	n.peers.Stop()
}

func (n *Node) storeState(up bool) {
	state := "down"
	if up {
		state = "up"
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStoreState, Detail: state})
	n.log.WithField("state", state).Warn("platform state changed")
}

func (n *Node) segmentWritten(s nutmegledger.Segment) {
	n.ring.Record(nutmegtime.Event{
		Kind:   nutmegtime.KindSegment,
		Detail: fmt.Sprintf("sequence %d, %d lines", s.Sequence, len(s.Lines)),
	})
}
