// Package nutmegentry is one entry instance on a managed platform: it joins
// the view of the deployment, the prepaid budgets and the relay behind a door
// for callers. It keeps nothing: what must last lies in the platform's store.
//
// # Usage
//
//	entry, err := nutmegentry.New(nutmegentry.Config{Settings: settings, Platform: platform, Log: log})
//	err = entry.Start()
//	// ... serve until told to stop ...
//	err = entry.Stop(ctx)
//
// Stop answers that the instance is not ready, goes on serving until the
// platform's balancer has seen that, lets running requests end and returns the
// leases.
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
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfollow"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegroster"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegplace"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegretry"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// Door decodes callers' requests and encodes the fleet's own answers.
type Door interface {
	Decode(r *http.Request) (nutmegcall.Incoming, error)
	Refuse(w http.ResponseWriter, id nutmegid.RequestID, r *nutmegcall.Refusal)
	PassHeader(to, from http.Header)
}

// Platform is how the instance speaks to the platform around it.
type Platform struct {
	Dialect        nutmegstore.Dialect
	Door           Door
	Wire           nutmegrelay.Wire
	ConfigKey      nutmegstore.Key // of the object that holds the configuration
	UpstreamKind   string          // of the objects that name upstreams
	DecodeConfig   func(value []byte) (*nutmegview.Config, error)
	DecodeUpstream func(nutmegstore.Object) (nutmegview.Upstream, error)
}

// Config configures an entry instance.
type Config struct {
	Settings nutmegconf.EntrySettings
	Platform Platform
	Log      *logrus.Logger
}

// Entry is one entry instance.
type Entry struct {
	cfg         Config
	incarnation nutmegid.Incarnation
	log         *logrus.Entry
	metrics     metrics.Registry
	start       time.Time

	dialer    *nutmegconn.Dialer // of the store, peers and upstreams
	client    *nutmegstore.Client
	writer    *nutmegstore.Writer
	view      *nutmegview.View
	config    *nutmegfollow.Config
	upstreams *nutmegfollow.Upstreams
	roster    *nutmegroster.Roster
	placer    *nutmegplace.Placer
	pool      *nutmegconn.Pool
	retries   *nutmegretry.Budget
	meter     *nutmegmeter.Meter
	relay     *nutmegrelay.Relay

	callers   *nutmegserve.Server
	readiness *nutmegserve.Server
	exposed   *nutmegserve.Server                    // metrics; nil where the address is taken
	stopping  atomic.Pointer[stopping]               // nil until the instance stops
	amounts   map[nutmegid.Workspace]nutmegid.Tokens // of the latest configuration, for the log
	overload  *overload
	traffic   *nutmegconn.Traffic
	running   atomic.Int64 // requests in progress
	bodyBytes atomic.Int64 // of requests in progress
	endRuns   context.CancelCauseFunc
	runs      context.Context // ends when running requests are cut
	unfollow  context.CancelFunc

	askedPeers chan struct{} // closed when the loop that asks peers has ended
}

// New builds an entry instance that does not listen yet.
func New(cfg Config) (*Entry, error) {
	if cfg.Log == nil {
		return nil, errors.New("entry instance has no logger; set Config.Log")
	}
	e := &Entry{
		cfg:         cfg,
		incarnation: nutmegid.NewIncarnation(),
		metrics:     metrics.NewRegistry(),
		start:       time.Now(),
		view:        nutmegview.New(),
		askedPeers:  make(chan struct{}),
	}
	e.log = cfg.Log.WithFields(logrus.Fields{"instance": cfg.Settings.Instance.Name, "incarnation": e.incarnation})
	e.runs, e.endRuns = context.WithCancelCause(context.Background())
	e.traffic = &nutmegconn.Traffic{}
	e.dialer = nutmegconn.NewDialer(nutmegconn.DialerConfig{Traffic: e.traffic})
	e.overload = &overload{entry: e, done: make(chan struct{})}
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
			DialContext:         e.dialer.Dial,
			MaxIdleConnsPerHost: storeConnections,
			IdleConnTimeout:     storeIdle,
		}},
		Timeout:         storeTimeout,
		WritesPerSecond: s.Store.WritesPerSecond * storeShare,
		ReadsPerSecond:  s.Store.ReadsPerSecond * storeShare,
		Metrics:         e.metrics,
		OutageAfter:     storeSilent,
		OnStateChange:   e.storeChanged,
	})
	e.writer = nutmegstore.NewWriter(e.client, e.incarnation)
	e.config = nutmegfollow.NewConfig(nutmegfollow.ConfigConfig{
		Store: e.client, Key: e.cfg.Platform.ConfigKey, Decode: e.cfg.Platform.DecodeConfig, View: e.view, OnBad: e.configUnreadable,
	})
	e.upstreams = nutmegfollow.NewUpstreams(nutmegfollow.UpstreamsConfig{
		Store: e.client, Kind: e.cfg.Platform.UpstreamKind, Decode: e.cfg.Platform.DecodeUpstream, View: e.view, OnChange: e.upstreamChanged,
	})
	e.roster = nutmegroster.New(nutmegroster.Config{
		Client: e.client, Writer: e.writer, Dial: e.dialer.Dial, Log: e.log, Metrics: e.metrics, OnChange: e.instancesChanged,
		Budgets: budgetServer{e}, Reservations: reservationServer{e}, HomesPerDomain: s.Budget.HomesPerDomain, Library: library{e}, Shards: e.budgetShards, OnFleet: func(shards int) { e.meter.Open(shards) },
		Self: nutmegview.Instance{
			Name: s.Instance.Name, Incarnation: e.incarnation, FailureDomain: s.Instance.FailureDomain, PeerAddress: s.Listen.Peers,
			Cores: s.Limits.Cores, LinkMbps: s.Limits.LinkMbps,
		},
	})
	e.meter = nutmegmeter.New(nutmegmeter.Config{
		Writer: e.writer, StoreUp: e.client.Up, StoreSilence: e.client.TimeSinceSuccess, View: e.view, Incarnation: e.incarnation, Instance: s.Instance.Name,
		Horizon: time.Duration(s.Budget.Horizon), Leased: s.Budget.Leased, Even: s.Budget.Even, Spread: s.Budget.SpreadTokens, OnCommit: e.committed,
		Peers: e.roster, OnTransfer: e.received,
		Homes: e.roster, OnHomeLost: e.homeLost, OnExpired: e.expired, OnUnsettled: e.unsettled,
	})
}

func (e *Entry) buildTraffic() {
	s := e.cfg.Settings
	opened := metrics.GetOrRegisterCounter("upstream_connections_opened", e.metrics)
	e.pool = nutmegconn.NewPool(nutmegconn.PoolConfig{
		Dial: e.dialer.Dial, OnOpen: func() { opened.Inc(1) },
	})
	e.placer = nutmegplace.New(nutmegplace.Config{FailureDomain: s.Instance.FailureDomain, Seed: rand.Uint64()})
	e.retries = nutmegretry.NewBudget(nutmegretry.Config{
		Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: time.Duration(s.Retries.Window),
	})
	e.relay = nutmegrelay.New(nutmegrelay.Config{
		Wire: e.cfg.Platform.Wire, Pool: e.pool, Placer: e.placer, Budget: e.meter, Retries: e.retries, View: e.view,
		Instances: e.roster.Count, Decided: e.decided, Moment: e.moment,
	})
	e.view.OnApply(e.placer.SetConfig)
	e.view.OnApply(e.configApplied)
	e.view.OnUpstreams(e.placer.SetUpstreams)
}

// moment is the monotonic time since the instance's start.
func (e *Entry) moment() time.Duration {
	return time.Since(e.start)
}

// Start listens and takes requests.
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
	e.unfollow = cancel
	e.config.Start(ctx)
	e.upstreams.Start(ctx)
	e.roster.Start(ctx, e.traffic.Listener(peers))
	go e.askPeersLoop(ctx)
	go e.overload.loop(ctx)
	e.pool.Start()
	e.readiness = e.serve(readiness, e.readinessHandler())
	e.callers = e.serve(e.traffic.Listener(callers), http.HandlerFunc(e.handle))
	e.serveMetrics()
	e.event("start").WithFields(logrus.Fields{"callers": l.Callers, "store": e.cfg.Settings.Store.Address}).Info("instance started")
	return nil
}

// serveMetrics opens the metrics address. An instance whose metrics address is
// taken serves callers all the same.
func (e *Entry) serveMetrics() {
	l, err := listen("listen.metrics", e.cfg.Settings.Listen.Metrics)
	if err != nil {
		e.event("metrics_unavailable").WithError(err).Error("metrics are not served")
		return
	}
	e.exposed = e.serve(l, e.metricsHandler())
}

// Reload takes changed settings in that need no restart: the bounds of repeats
// and the level of the log.
func (e *Entry) Reload(s nutmegconf.EntrySettings) {
	e.retries.SetConfig(nutmegretry.Config{Ratio: s.Retries.Ratio, Extra: s.Retries.Extra, Window: time.Duration(s.Retries.Window)})
	if level, err := logrus.ParseLevel(s.Log.Level); err == nil {
		e.cfg.Log.SetLevel(level)
	}
}

// Ready says whether the instance takes new callers.
func (e *Entry) Ready() bool {
	return e.stopping.Load() == nil && !e.overload.active() && e.view.Config() != nil && e.meter.IsOpen() && len(e.view.Upstreams().ByID) > 0
}

// Stop ends the instance gracefully within ctx.
func (e *Entry) Stop(ctx context.Context) error {
	s := newStopping(time.Now(), time.Duration(e.cfg.Settings.Limits.StopTimeout)-finishTime)
	e.stopping.Store(s)
	e.event("stop").WithField("running", e.running.Load()).Info("instance stops")
	serving, cancel := context.WithDeadline(ctx, s.end)
	defer cancel()
	e.awaitIdle(serving)
	failed := e.callers.Stop(serving)
	e.endRuns(errStopped)
	finish, cancelFinish := context.WithTimeout(context.WithoutCancel(ctx), finishTime)
	defer cancelFinish()
	failed = errors.Join(failed, e.meter.Stop(finish))
	e.unfollow()
	<-e.askedPeers
	<-e.overload.done
	e.roster.Stop()
	e.pool.Stop()
	e.readiness.Kill()
	if e.exposed != nil {
		e.exposed.Kill()
	}
	e.event("stopped").Info("instance stopped")
	return failed
}

// awaitIdle waits until the balancer has taken the instance out and no request
// runs here or with tokens that are held here, or ctx ends.
func (e *Entry) awaitIdle(ctx context.Context) {
	timer := time.NewTimer(balancerTime)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		if e.running.Load() == 0 && e.meter.Lent() == 0 {
			return
		}
		timer.Reset(idlePoll)
	}
}

func (e *Entry) serve(l net.Listener, h http.Handler) *nutmegserve.Server {
	return nutmegserve.Start(l, nutmegserve.Config{
		Handler:        h,
		HeaderTimeout:  headerTimeout,
		IdleTimeout:    callerIdle,
		WriteTimeout:   writeTimeout,
		MaxHeaderBytes: maxHeaderBytes,
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
