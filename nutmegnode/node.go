// Package nutmegnode assembles the libraries into one entry instance that
// serves the callers' HTTP API, the operators' HTTP API and the peers' drpc.
//
// # Usage
//
//	node, err := nutmegnode.New(nutmegnode.Config{Settings: settings, Log: logrus.New()})
//	err = node.Start()
//	// ... serve until shutdown is requested ...
//	err = node.Stop(ctx)
//
// An instance keeps no state on disk; durable state lives in the platform's
// object API. Stop makes /readyz fail, waits for in-flight requests, returns
// budget leases, flushes the ledger and notifies the peers.
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
	Dial     DialFunc // opens every outgoing connection; nil means net.Dialer
}

// DialFunc opens an outgoing connection.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Node is an entry instance.
type Node struct {
	cfg                Config
	incarnation        nutmegid.Incarnation
	log                *logrus.Entry
	metrics            metrics.Registry
	ring               *nutmegtime.Ring
	client             *nutmegstore.Client
	writer             *nutmegstore.Writer
	view               *nutmegconf.View
	planner            *nutmegconf.Planner
	rollout            *nutmegconf.Rollout
	follower           *configFollower
	gossip             *gossipPublisher
	completer          *nutmegconf.Completer
	engineOrder        engineOrderFunc // nil if this instance sends no orders to engines
	leaseHolder        *nutmegbudget.Holder
	witness            *nutmegbudget.Witness
	ledger             *nutmegledger.Writer
	replicator         *lineReplicator
	orders             *nutmegorder.Claimer
	pool               *nutmegroute.Pool
	sender             *nutmegroute.Sender
	upstreams          *upstreamManager
	peers              *nutmegpeer.Peers
	signer             *nutmegroute.Signer
	suspects           *nutmegroute.Suspects
	streams            streamOwners
	answers            *answerRegistry
	sharedCalls        *sharedCalls
	unreadTimeout      time.Duration
	chatKeyLimiter     *rate.Limiter
	streamClaimLimiter *rate.Limiter
	sweep              sweepCursor // used by sweepLoop only
	sweepDone          chan struct{}
	suspectsDone       chan struct{}

	callerServer   *nutmegserve.Server
	operatorServer *nutmegserve.Server
	addresses      Addresses
	stopping       atomic.Bool
	stopOnce       sync.Once
	stopErr        error
	inFlight       requestCounter // requests being served
	peerCerts      *certificates  // used for connections to peers; nil without TLS
	cancelLoops    context.CancelFunc
	watchDone      chan struct{}
}

// Addresses are the listen addresses of a started node.
type Addresses struct {
	Callers   string
	Operators string
	Peers     string
}

// New returns a node that is not listening yet.
func New(cfg Config) (*Node, error) {
	if cfg.Log == nil {
		return nil, errors.New("nutmegnode: Config.Log must be set")
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: nutmegroute.DefaultConnectTimeout}).DialContext
	}
	s := cfg.Settings
	n := &Node{
		cfg:          cfg,
		incarnation:  nutmegid.NewIncarnation(),
		metrics:      metrics.NewRegistry(),
		view:         nutmegconf.NewView(),
		watchDone:    make(chan struct{}),
		suspectsDone: make(chan struct{}),
		sweepDone:    make(chan struct{}),
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
		HTTP:            &http.Client{Transport: &http.Transport{DialContext: n.cfg.Dial, MaxIdleConnsPerHost: maxIdleStoreConnections}},
		Timeout:         time.Duration(p.Timeout),
		WritesPerSecond: p.WritesPerSecond,
		ReadsPerSecond:  p.ReadsPerSecond,
		Metrics:         n.metrics,
		OnStateChange:   n.storeStateChanged,
	})
	n.writer = nutmegstore.NewWriter(n.client, n.incarnation)
	n.orders = nutmegorder.NewClaimer(nutmegorder.Config{Store: n.writer, Incarnation: n.incarnation})
}

func (n *Node) buildAnswers() {
	n.signer = nutmegroute.NewSigner([]byte(n.cfg.Settings.Peers.Key))
	n.streams = streamOwners{store: n.writer, incarnation: n.incarnation}
	n.answers = newAnswerRegistry()
	n.sharedCalls = newSharedCalls()
	n.streamClaimLimiter = rate.NewLimiter(streamClaimsPerSecond, streamClaimBurst)
	n.chatKeyLimiter = rate.NewLimiter(chatKeyWritesPerSecond, chatKeyWriteBurst)
	n.unreadTimeout = time.Duration(n.cfg.Settings.Limits.KeepUnread)
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
		Budgets:      budgetServer{n},
		Seeds:        s.Peers.Seeds,
		Dial:         n.dialPeer,
		DeadAfter:    time.Duration(s.Peers.DeadAfter),
		Clock:        n.ring.Clock(),
		Revision:     n.revision,
		OnRevision:   n.follower.observePeer,
		ConfigSource: configSource{n.rollout},
		LineReplica:  n.replicator,
		Health:       n.health,
		Metrics:      n.metrics,
	})
}

// Addresses returns the node's listen addresses. They are known after Start.
func (n *Node) Addresses() Addresses {
	return n.addresses
}

// Incarnation returns the ID of this run of the instance.
func (n *Node) Incarnation() nutmegid.Incarnation {
	return n.incarnation
}

// Ring returns the ring buffer that records the node's events.
func (n *Node) Ring() *nutmegtime.Ring {
	return n.ring
}

func (n *Node) revision() nutmegid.Revision {
	if c := n.view.Current(); c != nil {
		return c.Revision
	}
	return 0
}

func (n *Node) stopLoops() {
	n.cancelLoops()
	<-n.watchDone
	<-n.follower.done
	<-n.replicator.done
	<-n.gossip.done
	<-n.suspectsDone
	<-n.sweepDone
	n.completer.Stop()
}

// health returns the number of requests in flight and whether the instance is
// ready. Peers receive both.
func (n *Node) health() (uint32, bool) {
	return uint32(max(0, n.inFlight.count())), n.notReadyReason() == ""
}

func (n *Node) storeStateChanged(up bool) {
	state := "down"
	if up {
		state = "up"
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStoreState, Detail: state})
	n.log.WithField("state", state).Warn("platform store state changed")
}
