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
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"golang.org/x/time/rate"

	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
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
	sharer      *sharer
	completer   *nutmegconf.Completer
	orderEngine orderFunc // nil while engines take no orders
	holder      *nutmegbudget.Holder
	witness     *nutmegbudget.Witness
	ledger      *nutmegledger.Writer
	copies      *lineCopies
	desk        *nutmegorder.Claimer
	pool        *nutmegroute.Pool
	sender      *nutmegroute.Sender
	router      *router
	peers       *nutmegpeer.Peers
	signer      *nutmegroute.Signer
	suspects    *nutmegroute.Suspects
	streams     streamOwners
	answers     *answers
	calls       *sharedCalls
	keepUnread  time.Duration
	chatKeyRate *rate.Limiter
	streamRate  *rate.Limiter
	sweepNext   atomic.Uint32

	callers   *nutmegserve.Server
	operators *nutmegserve.Server
	addresses Addresses
	stopping  atomic.Bool
	stopOnce  sync.Once
	stopErr   error
	running   runCount      // requests in progress
	peerCerts *certificates // of connections to peers; nil without TLS
	watchStop context.CancelFunc
	watchDone chan struct{}
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
	n.buildLedger()
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
		OnStateChange:   n.storeState,
	})
	n.writer = nutmegstore.NewWriter(n.client, n.incarnation)
	n.desk = nutmegorder.NewClaimer(nutmegorder.Config{Store: n.writer, Incarnation: n.incarnation})
}

func (n *Node) buildAnswers() {
	n.signer = nutmegroute.NewSigner([]byte(n.cfg.Settings.Peers.Key))
	n.streams = streamOwners{store: n.writer, incarnation: n.incarnation}
	n.answers = newAnswers()
	n.calls = newSharedCalls()
	n.streamRate = rate.NewLimiter(streamClaimRate, streamClaimBurst)
	n.chatKeyRate = rate.NewLimiter(chatKeyRate, chatKeyBurst)
	n.keepUnread = time.Duration(n.cfg.Settings.Limits.KeepUnread)
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
		Budgets:    budgetServer{n},
		Seeds:      s.Peers.Seeds,
		Dial:       n.peerDial,
		DeadAfter:  time.Duration(s.Peers.DeadAfter),
		Clock:      n.ring.Clock(),
		Revision:   n.revision,
		OnRevision: n.follower.heard,
		Library:    library{n.rollout},
		Lines:      n.copies,
		Health:     n.health,
		Metrics:    n.metrics,
	})
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

func (n *Node) stopFollowing() {
	n.watchStop()
	<-n.watchDone
	<-n.follower.done
	<-n.copies.done
	<-n.sharer.done
	n.completer.Stop()
}

// health is what peers are told of this instance.
func (n *Node) health() (uint32, bool) {
	return uint32(max(0, n.running.count())), n.notReady() == ""
}

func (n *Node) storeState(up bool) {
	state := "down"
	if up {
		state = "up"
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStoreState, Detail: state})
	n.log.WithField("state", state).Warn("platform state changed")
}
