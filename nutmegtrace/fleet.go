// Package nutmegtrace runs recorded traces against a fleet and evaluates the
// outcome from the stand-ins' own records.
//
// # Usage
//
//	trace, err := nutmegtrace.ReadFile("traces/demo.toml")
//	fleet, err := nutmegtrace.NewFleet(trace.FleetConfig())
//	defer fleet.Close()
//	report, err := nutmegtrace.Replay(ctx, nutmegtrace.ReplayConfig{Fleet: fleet}, trace)
//	failures := trace.Check(report.Measures)
//
// Fleet runs the stand-ins and the instances in one process on the loopback
// interface. Target reaches a fleet of separate processes by address.
package nutmegtrace

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/BurntSushi/toml"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// FleetConfig configures an embedded fleet.
type FleetConfig struct {
	Instances      int
	Engines        int
	Services       int
	Model          nutmegid.Model
	TokenTime      time.Duration
	CommitInterval time.Duration
	Log            io.Writer // discarded if nil
	Platform       nutmegstand.PlatformConfig
	FailureDomains []nutmegid.FailureDomain // one if empty; instances and upstreams are assigned round-robin
	LinkDelay      time.Duration            // one way between failure domains
	CallerDelay    time.Duration            // one way between callers and instances
	Settings       string                   // TOML that overrides each instance's settings
	// Adjust changes the settings of each instance before it is created.
	Adjust func(s *nutmegconf.Settings)
}

// Fleet is a platform, upstreams and instances in one process.
type Fleet struct {
	*Target
	cfg      FleetConfig
	Platform *nutmegstand.Platform
	Engines  []*nutmegstand.Engine
	Services []*nutmegstand.Service
	Links    *nutmegstand.Links
	Nodes    []*nutmegnode.Node

	servers []*http.Server
	name    string // unique, because the system may reuse the addresses of another fleet

	stateMu sync.Mutex
	domains map[string]nutmegid.FailureDomain // by process name or address
}

// NewFleet starts the stand-ins and the instances.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	cfg = fleetDefaults(cfg)
	f := &Fleet{
		Target:   NewTarget("", operatorKey),
		cfg:      cfg,
		Platform: nutmegstand.NewPlatform(cfg.Platform),
		Links:    nutmegstand.NewLinks(),
		domains:  make(map[string]nutmegid.FailureDomain),
		name:     fleetName + "-" + string(nutmegid.NewIncarnation()),
	}
	f.Model = cfg.Model
	f.Links.SetDelay(f.linkDelay)
	f.callerClient = &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnsPerHost, DialContext: f.Links.Dialer(endpointCallers),
	}}
	if err := f.startStandIns(); err != nil {
		return nil, errors.Join(err, f.Close())
	}
	for range cfg.Instances {
		if _, err := f.AddNode(); err != nil {
			return nil, errors.Join(err, f.Close())
		}
	}
	return f, nil
}

func fleetDefaults(cfg FleetConfig) FleetConfig {
	if cfg.Model == "" {
		cfg.Model = DefaultModel
	}
	if cfg.CommitInterval == 0 {
		cfg.CommitInterval = DefaultFleetCommitInterval
	}
	if cfg.TokenTime == 0 {
		cfg.TokenTime = DefaultFleetTokenTime
	}
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	if len(cfg.FailureDomains) == 0 {
		cfg.FailureDomains = []nutmegid.FailureDomain{embeddedDomain}
	}
	return cfg
}

// FleetConfig returns the configuration of the embedded fleet that the trace asks
// for.
func (t Trace) FleetConfig() FleetConfig {
	return FleetConfig{
		Instances: t.Fleet.Instances, Engines: t.Fleet.Engines, Services: t.Fleet.Services,
		TokenTime:      time.Duration(t.Fleet.TokenTime),
		FailureDomains: t.Fleet.FailureDomains,
		LinkDelay:      time.Duration(t.Fleet.LinkDelay),
		CallerDelay:    time.Duration(t.Fleet.CallerDelay),
		Settings:       t.Fleet.Settings,
		CommitInterval: nutmegbudget.DefaultCommitInterval,
		Platform: nutmegstand.PlatformConfig{
			WritesPerSecond: t.Fleet.WritesPerSecond, ReadsPerSecond: t.Fleet.ReadsPerSecond, Seed: t.Seed, Rewindable: t.rewoundKind(),
		},
	}
}

// rewoundKind returns the kind of objects that the trace rewinds, if any.
func (t Trace) rewoundKind() string {
	for _, s := range t.Steps {
		if s.Action == ActionPlatformRewind {
			return s.Kind
		}
	}
	return ""
}

func (f *Fleet) slotDomain(n int) nutmegid.FailureDomain {
	return f.cfg.FailureDomains[n%len(f.cfg.FailureDomains)]
}

func (f *Fleet) setDomain(endpoint string, domain nutmegid.FailureDomain) {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	f.domains[endpoint] = domain
}

// linkDelay returns the one-way delay of a connection. The platform is present in
// every failure domain, so connections to it have no delay.
func (f *Fleet) linkDelay(from, to string) time.Duration {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	if from == endpointCallers {
		return f.cfg.CallerDelay
	}
	a, b := f.domains[from], f.domains[to]
	if a == "" || b == "" || a == b {
		return 0
	}
	return f.cfg.LinkDelay
}

func (f *Fleet) startStandIns() error {
	var err error
	if f.PlatformURL, err = f.listen(f.Platform.Handler(), ""); err != nil {
		return err
	}
	for i := range f.cfg.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		e := nutmegstand.NewEngine(nutmegstand.EngineConfig{Name: name, TokenTime: f.cfg.TokenTime})
		f.Engines = append(f.Engines, e)
		url, err := f.listen(e.Handler(), f.slotDomain(i))
		if err != nil {
			return err
		}
		f.Upstreams[nutmegid.Upstream(name)] = nutmegconf.UpstreamConfig{
			Kind: nutmegconf.KindEngine, URL: url, FailureDomain: f.slotDomain(i), Models: []nutmegid.Model{f.cfg.Model},
		}
	}
	for i := range f.cfg.Services {
		name := fmt.Sprintf("service-%d", i+1)
		s := nutmegstand.NewService(nutmegstand.ServiceConfig{Name: name})
		f.Services = append(f.Services, s)
		url, err := f.listen(s.Handler(), f.slotDomain(i))
		if err != nil {
			return err
		}
		f.Upstreams[nutmegid.Upstream(name)] = nutmegconf.UpstreamConfig{
			Kind: nutmegconf.KindService, URL: url, FailureDomain: f.slotDomain(i),
			Routes: []nutmegid.Route{DefaultRoute, DefaultLookUpRoute},
		}
	}
	return nil
}

func (f *Fleet) listen(h http.Handler, domain nutmegid.FailureDomain) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	f.setDomain(l.Addr().String(), domain)
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout, ErrorLog: nil}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// AddNode starts another instance.
func (f *Fleet) AddNode() (*nutmegnode.Node, error) {
	f.Nodes = append(f.Nodes, nil)
	slot := len(f.Nodes) - 1
	if err := f.StartNode(slot); err != nil {
		f.Nodes = f.Nodes[:slot]
		return nil, err
	}
	return f.Nodes[slot], nil
}

// StartNode starts a new instance in a slot whose previous one has ended.
func (f *Fleet) StartNode(slot int) error {
	log := logrus.New()
	log.SetOutput(f.cfg.Log)
	name := instanceName(slot)
	settings, err := f.settings(slot)
	if err != nil {
		return err
	}
	f.setDomain(name, f.slotDomain(slot))
	n, err := nutmegnode.New(nutmegnode.Config{Settings: settings, Log: log, Dial: f.Links.Dialer(name)})
	if err != nil {
		return err
	}
	if err := n.Start(); err != nil {
		return err
	}
	f.stateMu.Lock()
	f.Nodes[slot] = n
	f.stateMu.Unlock()
	f.setDomain(n.Addresses().Peers, f.slotDomain(slot))
	f.SetInstance(slot, InstanceAddress{Callers: n.Addresses().Callers, Operators: n.Addresses().Operators})
	f.publishLiveList()
	return nil
}

func instanceName(slot int) string {
	return fmt.Sprintf("instance-%d", slot+1)
}

// node returns the instance in a slot, or nil if it has ended.
func (f *Fleet) node(slot int) *nutmegnode.Node {
	f.stateMu.Lock()
	defer f.stateMu.Unlock()
	return f.Nodes[slot]
}

// settings returns the settings of the instance in a slot, with all running
// instances as seeds.
func (f *Fleet) settings(slot int) (nutmegconf.Settings, error) {
	s := nutmegconf.DefaultSettings()
	s.Instance = nutmegconf.InstanceSettings{
		Name:             nutmegid.Instance(instanceName(slot)),
		FailureDomain:    f.slotDomain(slot),
		Fleet:            f.name,
		BootstrapKeyHash: nutmegconf.HashKey(operatorKey),
	}
	s.Listen = nutmegconf.ListenSettings{Callers: loopback, Operators: loopback, Peers: loopback}
	s.Platform.URL = f.PlatformURL
	s.Peers.Key = peerKey
	s.Limits.DrainDelay = 0
	s.Limits.FinishTimeout = nutmegconf.Duration(finishTimeout)
	s.Budget.CommitInterval = nutmegconf.Duration(f.cfg.CommitInterval)
	for n := range f.Nodes {
		if other := f.node(n); other != nil {
			s.Peers.Seeds = append(s.Peers.Seeds, other.Addresses().Peers)
		}
	}
	if _, err := toml.Decode(f.cfg.Settings, &s); err != nil {
		return s, fmt.Errorf("fleet settings override is not valid TOML: %w", err)
	}
	if f.cfg.Adjust != nil {
		f.cfg.Adjust(&s)
	}
	return s, nil
}

// publishLiveList sets the platform's live list to the running instances and all
// upstreams.
func (f *Fleet) publishLiveList() {
	var entries []nutmegstand.LiveEntry
	for slot := range f.Nodes {
		if n := f.node(slot); n != nil {
			entries = append(entries, nutmegstand.LiveEntry{
				Name: instanceName(slot), Kind: "instance", Address: n.Addresses().Peers, State: nutmegstand.LiveServing,
			})
		}
	}
	for _, name := range sortedKeys(f.Upstreams) {
		u := f.Upstreams[name]
		entries = append(entries, nutmegstand.LiveEntry{
			Name: string(name), Kind: string(u.Kind), Address: u.URL, State: nutmegstand.LiveServing,
		})
	}
	f.Platform.SetLive(entries)
}

// Close stops all instances and stand-ins.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	var failed error
	for _, n := range f.Nodes {
		if n != nil {
			failed = errors.Join(failed, n.Stop(ctx))
		}
	}
	f.Nodes = nil
	for _, e := range f.Engines {
		e.Close()
	}
	f.Engines = nil
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.client.CloseIdleConnections()
	f.callerClient.CloseIdleConnections()
	return failed
}

// CallerKey returns the key that a workspace's callers use in an embedded fleet.
func CallerKey(w nutmegid.Workspace) string {
	return "key-of-" + string(w)
}

// WorkspaceSpec is a workspace with prepaid tokens.
type WorkspaceSpec struct {
	Name     nutmegid.Workspace  `toml:"name"`
	Owner    nutmegid.Owner      `toml:"owner"`
	Tokens   nutmegid.Tokens     `toml:"tokens"`
	Priority nutmegconf.Priority `toml:"priority"`
}

// OwnerSpec is an owner with prepaid tokens.
type OwnerSpec struct {
	Name   nutmegid.Owner  `toml:"name"`
	Tokens nutmegid.Tokens `toml:"tokens"`
}

// Timeline returns the merged events of all instances.
func (f *Fleet) Timeline(filter nutmegtime.Filter) []nutmegtime.Event {
	var lists [][]nutmegtime.Event
	for slot := range f.Nodes {
		if n := f.node(slot); n != nil {
			lists = append(lists, n.Ring().Events(filter))
		}
	}
	return nutmegtime.Merge(lists...)
}
