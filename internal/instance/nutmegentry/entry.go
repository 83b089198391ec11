// Package nutmegentry implements an entry instance on a managed platform. It
// serves callers and combines the view of the deployment, the prepaid budgets and
// the relay. It has no persistent state of its own: everything durable is in the
// platform's store.
//
// # Usage
//
//	entry, err := nutmegentry.New(nutmegentry.Config{Settings: settings, Platform: platform, Log: log})
//	err = entry.Start()
//	// ... serve until a stop is requested ...
//	err = entry.Stop(ctx)
//
// Stop first reports the instance as not ready and keeps serving until the
// platform's load balancer has noticed. It then waits for running requests and
// returns the leases.
package nutmegentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/budget/nutmegmeter"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfeed"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfollow"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegroster"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegadmit"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegretry"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegstream"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegsuspect"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegwarmup"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// CallerProtocol decodes callers' requests and encodes the fleet's own responses.
type CallerProtocol interface {
	Decode(r *http.Request) (nutmegcall.RequestInfo, error)
	Refuse(w http.ResponseWriter, id nutmegid.RequestID, r *nutmegcall.Refusal)
	PassHeader(to, from http.Header)
}

// Platform holds the protocols, object keys and decoders for the platform that
// the instance runs on.
type Platform struct {
	Dialect        nutmegstore.Dialect
	CallerProtocol CallerProtocol
	UpstreamCodec  nutmegrelay.Codec
	ConfigKey      nutmegstore.Key // object that holds the configuration
	UpstreamKind   string          // kind of the objects that list upstreams
	EvacuationKind string          // kind of the objects that evacuate failure domains; named after them
	DecodeConfig   func(value []byte) (*nutmegview.Config, error)
	DecodeUpstream func(nutmegstore.Object) (nutmegview.Upstream, error)
}

// Config configures an entry instance.
type Config struct {
	Settings nutmegconf.EntrySettings
	Platform Platform
	Log      *logrus.Logger
}

// Entry is an entry instance.
type Entry struct {
	cfg         Config
	incarnation nutmegid.Incarnation
	log         *logrus.Entry
	metrics     metrics.Registry
	start       time.Time

	dialer           *nutmegconn.Dialer // for the store, peers and upstreams
	client           *nutmegstore.Client
	writer           *nutmegstore.Writer
	view             *nutmegview.View
	configFeed       *nutmegfeed.Feed
	upstreamFeed     *nutmegfeed.Feed
	configFollower   *nutmegfollow.ConfigFollower
	upstreamFollower *nutmegfollow.UpstreamFollower
	evacuations      *evacuations // nil unless the settings ask for it
	roster           *nutmegroster.Roster
	placer           *nutmegplace.Placer
	pool             *nutmegconn.Pool
	retries          *nutmegretry.Budget
	meter            *nutmegmeter.Meter
	suspects         *nutmegsuspect.Tracker
	suspectStore     *suspectStore
	notices          *nutmegnotice.Tracker
	warmup           *nutmegwarmup.Tracker
	streams          *nutmegstream.Registry
	granter          *nutmegpermit.Granter
	rateInformer     *rateInformer
	relay            *nutmegrelay.Relay

	callers       *nutmegserve.Server
	readiness     *nutmegserve.Server
	metricsServer *nutmegserve.Server                    // nil if the metrics address is not available
	drain         atomic.Pointer[drain]                  // nil until a stop is requested
	loggedAmounts map[nutmegid.Workspace]nutmegid.Tokens // prepaid amounts of the latest configuration, for logging
	overload      *overload
	reach         *reach
	callerTraffic *nutmegconn.Traffic // of callers' connections
	running       atomic.Int64        // requests in progress
	bodies        *bodyMemory         // of requests in progress
	limits        *callerLimits
	abortRequests context.CancelCauseFunc
	requestsCtx   context.Context // canceled to abort running requests
	stopFollowing context.CancelFunc

	configFetchDone chan struct{} // closed when fetchConfigLoop has returned
}

// New returns an entry instance that does not listen yet.
func New(cfg Config) (*Entry, error) {
	if cfg.Log == nil {
		return nil, errors.New("nutmegentry: Config.Log is nil")
	}
	e := &Entry{
		cfg:             cfg,
		incarnation:     nutmegid.NewIncarnation(),
		metrics:         metrics.NewRegistry(),
		start:           time.Now(),
		view:            nutmegview.New(),
		configFetchDone: make(chan struct{}),
	}
	e.log = cfg.Log.WithFields(logrus.Fields{"instance": cfg.Settings.Instance.Name, "incarnation": e.incarnation})
	e.requestsCtx, e.abortRequests = context.WithCancelCause(context.Background())
	e.bodies = &bodyMemory{limit: int64(bodyMemoryShare * float64(cfg.Settings.Limits.MemoryMB) * (1 << 20))}
	e.limits = newCallerLimits(e)
	e.callerTraffic = &nutmegconn.Traffic{}
	e.dialer = nutmegconn.NewDialer(nutmegconn.DialerConfig{})
	e.reach = &reach{entry: e}
	e.overload = &overload{entry: e, done: make(chan struct{})}
	e.view.SetRegions(cfg.Settings.Regions)
	e.buildSuspects()
	e.buildNotices()
	e.buildWarmup()
	e.buildStore()
	e.buildTraffic()
	return e, nil
}

func (e *Entry) buildStore() {
	s := e.cfg.Settings
	e.client = nutmegstore.NewClient(nutmegstore.ClientConfig{
		BaseURL: "http://" + s.Store.Address,
		Dialect: e.cfg.Platform.Dialect,
		HTTP: &http.Client{Transport: &http.Transport{
			DialContext:         e.reach.dial,
			MaxIdleConnsPerHost: storeConnections,
			IdleConnTimeout:     storeIdleTimeout,
			// The default is too much for an instance with little memory.
			MaxResponseHeaderBytes: maxHeaderBytes,
		}},
		Timeout:         storeTimeout,
		MinTimeout:      storeMinTimeout,
		WritesPerSecond: s.Store.WritesPerSecond * storeRateShare,
		ReadsPerSecond:  s.Store.ReadsPerSecond * storeRateShare,
		Metrics:         e.metrics,
		OutageAfter:     storeOutageAfter,
		OnStateChange:   e.storeStateChanged,
		OnRestore:       e.storeRestored,
	})
	e.writer = nutmegstore.NewWriter(e.client, e.incarnation)
	e.buildFeeds()
	e.evacuations = newEvacuations(e)
	e.configFollower = nutmegfollow.NewConfigFollower(nutmegfollow.ConfigFollowerConfig{
		Store: e.client, Source: e.configFeed, Key: e.cfg.Platform.ConfigKey, Decode: e.cfg.Platform.DecodeConfig, View: e.view, OnDecodeError: e.configUnreadable, OnNotNewer: e.configNotNewer,
	})
	e.upstreamFollower = nutmegfollow.NewUpstreamFollower(nutmegfollow.UpstreamFollowerConfig{
		Store: e.client, Source: e.upstreamFeed, Kind: e.cfg.Platform.UpstreamKind, Decode: e.cfg.Platform.DecodeUpstream, View: e.view, OnChange: e.upstreamChanged,
	})
	e.roster = nutmegroster.New(nutmegroster.Config{
		Client: e.client, Writer: e.writer, Dial: e.reach.dial, Log: e.log, Metrics: e.metrics, OnChange: e.instancesChanged,
		Budgets: budgetServer{e}, Reservations: reservationServer{e}, Permits: permitServer{e}, HomesPerDomain: s.Budget.HomesPerDomain, HomeDomains: s.Budget.HomeDomains, ConfigSource: configSource{e}, ChangeFeed: changeFeed{e}, OnPanic: e.peerCallPanicked, Shards: e.budgetShards, OnShards: e.peersStarted, Items: e.items(),
		Self: nutmegview.Instance{
			Name: s.Instance.Name, Incarnation: e.incarnation, FailureDomain: s.Instance.FailureDomain, PeerAddress: s.Listen.Peers,
			Cores: s.Limits.Cores, LinkMbps: s.Limits.LinkMbps,
		},
	})
	e.meter = nutmegmeter.New(nutmegmeter.Config{
		Writer: e.writer, StoreUp: e.client.Up, TimeSinceStoreSuccess: e.client.TimeSinceSuccess, View: e.view, Incarnation: e.incarnation, Instance: s.Instance.Name,
		Horizon: time.Duration(s.Budget.Horizon), LeasedFraction: s.Budget.Leased, EvenFraction: s.Budget.Even, Spread: s.Budget.SpreadTokens, OnCommit: e.leaseCommitted,
		Peers: e.roster, OnTransfer: e.transferReceived,
		StoreEra: e.client.Era, OnRestate: e.leasesRestated,
		Homes: e.roster, OnHomeUnreachable: e.homeUnreachable, OnReservationsExpired: e.reservationsExpired, OnSettlementsDropped: e.settlementsDropped,
	})
}

func (e *Entry) buildTraffic() {
	s := e.cfg.Settings
	opened := metrics.GetOrRegisterCounter("upstream_connections_opened", e.metrics)
	e.pool = nutmegconn.NewPool(nutmegconn.PoolConfig{
		Dial: e.reach.dial, OnOpen: func() { opened.Inc(1) },
	})
	e.placer = nutmegplace.New(nutmegplace.Config{
		FailureDomain: s.Instance.FailureDomain, Seed: rand.Uint64(), Locations: e.view, Warmup: e.warmup,
	})
	e.buildStreams()
	e.retries = nutmegretry.NewBudget(nutmegretry.Config{
		Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: time.Duration(s.Retries.Window),
	})
	e.relay = nutmegrelay.New(nutmegrelay.Config{
		Codec: e.cfg.Platform.UpstreamCodec, Pool: e.pool, Placer: e.placer, Budget: e.meter, Retries: e.retries, View: e.view, Suspects: e.suspects, Notices: upstreamNotices{e}, Streams: e.streams, Admission: e.admission(),
		Instances: e.roster.Count, MayBegin: e.checkDrain, OnDecision: e.relayDecided, Elapsed: e.uptime,
	})
	e.view.OnConfig(e.placer.SetConfig)
	e.view.OnConfig(e.streams.SetConfig)
	e.view.OnConfig(e.configApplied)
	e.view.OnUpstreams(e.streams.SetUpstreams)
}

// admission returns nil, which admits all calls, unless the settings ask for another one.
func (e *Entry) admission() nutmegrelay.Admission {
	if !e.cfg.Settings.Admission.ByRoom {
		return nil
	}
	controller := nutmegadmit.New(nutmegadmit.Config{Seed: rand.Uint64()})
	e.view.OnConfig(controller.SetConfig)
	return controller
}

// peersStarted continues the start once the fleet's key and number of shards are
// known. The instance is ready only after that, with the suspects of the fleet.
func (e *Entry) peersStarted(shards int) {
	e.evacuations.peersStarted()
	e.suspectStore.read(e.requestsCtx)
	e.meter.Open(shards)
	e.resendReports()
}

// uptime returns the monotonic time since the instance was created.
func (e *Entry) uptime() time.Duration {
	return time.Since(e.start)
}

// Start opens the listeners and starts serving requests.
func (e *Entry) Start() error {
	l := e.cfg.Settings.Listen
	readiness, err := listen("listen.readiness", l.Readiness)
	if err != nil {
		return err
	}
	callers, err := listen("listen.callers", l.Callers)
	if err != nil {
		_ = readiness.Close()
		return err
	}
	peers, err := listen("listen.peers", l.Peers)
	if err != nil {
		_ = readiness.Close()
		_ = callers.Close()
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	e.stopFollowing = cancel
	e.configFollower.Start(ctx)
	e.upstreamFollower.Start(ctx)
	e.evacuations.start(ctx)
	e.roster.Start(ctx, e.limitPeers(peers))
	go e.fetchConfigLoop(ctx)
	go e.overload.loop(ctx)
	go e.suspectStore.run(ctx)
	go e.rateInformer.run(ctx)
	e.streams.Start(ctx)
	e.pool.Start()
	e.readiness = e.serve(readiness, e.readinessHandler(), e.probeLimits())
	e.callers = e.serve(e.callerTraffic.Listener(callers), http.HandlerFunc(e.handle), e.limits.serverLimits())
	e.serveMetrics()
	e.event("start").WithFields(logrus.Fields{"callers": l.Callers, "store": e.cfg.Settings.Store.Address}).Info("instance started")
	return nil
}

// serveMetrics opens the metrics listener. If the address is not available, the
// instance serves callers without metrics.
func (e *Entry) serveMetrics() {
	l, err := listen("listen.metrics", e.cfg.Settings.Listen.Metrics)
	if err != nil {
		e.event("metrics_unavailable").WithError(err).Error("cannot open the metrics listener; metrics are not served")
		return
	}
	e.metricsServer = e.serve(l, e.metricsHandler(), e.probeLimits())
}

// Reload applies the settings that can change without a restart: the retry budget
// and the log level.
func (e *Entry) Reload(s nutmegconf.EntrySettings) {
	e.retries.SetConfig(nutmegretry.Config{Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: time.Duration(s.Retries.Window)})
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		e.cfg.Log.SetLevel(level)
	}
}

// Ready reports whether the instance accepts new callers.
func (e *Entry) Ready() bool {
	informed := e.view.Config() != nil && len(e.view.Upstreams().ByID) > 0 && e.evacuations.known() && e.streams.Known()
	return informed && e.meter.IsOpen() && e.drain.Load() == nil && !e.overload.active()
}

func (e *Entry) serve(l net.Listener, h http.Handler, limits *nutmegserve.Limits) *nutmegserve.Server {
	return nutmegserve.Start(l, nutmegserve.Config{
		Handler:        h,
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    callerIdleTimeout,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		Limits:         limits,
		Log:            e.log,
	})
}

func listen(setting, address string) (net.Listener, error) {
	cfg := net.ListenConfig{KeepAliveConfig: nutmegconn.KeepAlive()}
	l, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &ListenError{Setting: setting, Address: address, Err: err}
	}
	return l, nil
}
