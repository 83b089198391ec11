// Package nutmegtrace runs recorded traces against a fleet and judges the
// outcome by the stand-ins' own records.
//
// # Usage
//
//	fleet, err := nutmegtrace.NewFleet(nutmegtrace.FleetConfig{Instances: 2, Engines: 2})
//	defer fleet.Close()
//	trace, err := nutmegtrace.Load("traces/demo.toml")
//	measures, err := nutmegtrace.Replay(ctx, fleet, trace)
//	failures := measures.Check(trace.Outcome)
//
// Fleet embeds the stand-ins and the instances in one process on loopback.
package nutmegtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

const (
	operatorKey  = "embedded-operator-key"
	peerKey      = "embedded-peer-key"
	readyTimeout = 10 * time.Second
	pollInterval = 5 * time.Millisecond
)

// FleetConfig configures an embedded fleet.
type FleetConfig struct {
	Instances      int
	Engines        int
	Services       int
	Model          nutmegid.Model
	TokenTime      time.Duration
	CommitInterval time.Duration
	Log            io.Writer // discarded when nil
	Platform       nutmegstand.PlatformConfig
	// Adjust changes the settings of one instance before it is made.
	Adjust func(s *nutmegconf.Settings)
}

// Fleet is a platform, upstreams and instances in one process.
type Fleet struct {
	cfg      FleetConfig
	Platform *nutmegstand.Platform
	Engines  []*nutmegstand.Engine
	Services []*nutmegstand.Service
	Links    *nutmegstand.Links
	Nodes    []*nutmegnode.Node

	platformURL string
	upstreams   map[nutmegid.Upstream]nutmegconf.UpstreamConfig
	servers     []*http.Server
	seeds       []string
	client      *http.Client
}

// Defaults of an embedded fleet.
const (
	DefaultModel                 = nutmegid.Model("drafter")
	DefaultRoute                 = nutmegid.Route("orders")
	DefaultLookUp                = nutmegid.Route("stock")
	DefaultFleetInterval         = 100 * time.Millisecond
	DefaultFleetTokenTime        = time.Millisecond
	fleetName                    = "embedded"
	embeddedDomain               = nutmegid.FailureDomain("loopback")
	loopback                     = "127.0.0.1:0"
	embeddedPlatformConnsPerHost = 64
)

// NewFleet starts the stand-ins and the instances.
func NewFleet(cfg FleetConfig) (*Fleet, error) {
	if cfg.Model == "" {
		cfg.Model = DefaultModel
	}
	if cfg.CommitInterval == 0 {
		cfg.CommitInterval = DefaultFleetInterval
	}
	if cfg.TokenTime == 0 {
		cfg.TokenTime = DefaultFleetTokenTime
	}
	if cfg.Log == nil {
		cfg.Log = io.Discard
	}
	f := &Fleet{
		cfg:       cfg,
		Platform:  nutmegstand.NewPlatform(cfg.Platform),
		Links:     nutmegstand.NewLinks(),
		upstreams: make(map[nutmegid.Upstream]nutmegconf.UpstreamConfig),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: embeddedPlatformConnsPerHost}},
	}
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

func (f *Fleet) startStandIns() error {
	var err error
	if f.platformURL, err = f.listen(f.Platform.Handler()); err != nil {
		return err
	}
	for i := range f.cfg.Engines {
		name := fmt.Sprintf("engine-%d", i+1)
		e := nutmegstand.NewEngine(nutmegstand.EngineConfig{Name: name, TokenTime: f.cfg.TokenTime})
		f.Engines = append(f.Engines, e)
		url, err := f.listen(e.Handler())
		if err != nil {
			return err
		}
		f.upstreams[nutmegid.Upstream(name)] = nutmegconf.UpstreamConfig{
			Kind: nutmegconf.KindEngine, URL: url, FailureDomain: embeddedDomain, Models: []nutmegid.Model{f.cfg.Model},
		}
	}
	for i := range f.cfg.Services {
		name := fmt.Sprintf("service-%d", i+1)
		s := nutmegstand.NewService(nutmegstand.ServiceConfig{Name: name})
		f.Services = append(f.Services, s)
		url, err := f.listen(s.Handler())
		if err != nil {
			return err
		}
		f.upstreams[nutmegid.Upstream(name)] = nutmegconf.UpstreamConfig{
			Kind: nutmegconf.KindService, URL: url, FailureDomain: embeddedDomain,
			Routes: []nutmegid.Route{DefaultRoute, DefaultLookUp},
		}
	}
	return nil
}

func (f *Fleet) listen(h http.Handler) (string, error) {
	l, err := net.Listen("tcp", loopback)
	if err != nil {
		return "", err
	}
	s := &http.Server{Handler: h, ReadHeaderTimeout: readyTimeout, ErrorLog: nil}
	f.servers = append(f.servers, s)
	go func() { _ = s.Serve(l) }()
	return "http://" + l.Addr().String(), nil
}

// AddNode starts one more instance.
func (f *Fleet) AddNode() (*nutmegnode.Node, error) {
	log := logrus.New()
	log.SetOutput(f.cfg.Log)
	name := fmt.Sprintf("instance-%d", len(f.Nodes)+1)
	settings := f.settings(name)
	if f.cfg.Adjust != nil {
		f.cfg.Adjust(&settings)
	}
	n, err := nutmegnode.New(nutmegnode.Config{Settings: settings, Log: log, Dial: f.Links.Dialer(name)})
	if err != nil {
		return nil, err
	}
	if err := n.Start(); err != nil {
		return nil, err
	}
	f.Nodes = append(f.Nodes, n)
	f.seeds = append(f.seeds, n.Addresses().Peers)
	return n, nil
}

func (f *Fleet) settings(name string) nutmegconf.Settings {
	s := nutmegconf.DefaultSettings()
	s.Instance = nutmegconf.InstanceSettings{
		Name:             nutmegid.Instance(name),
		FailureDomain:    embeddedDomain,
		Fleet:            fleetName,
		BootstrapKeyHash: nutmegconf.HashKey(operatorKey),
	}
	s.Listen = nutmegconf.ListenSettings{Callers: loopback, Operators: loopback, Peers: loopback}
	s.Platform.URL = f.platformURL
	s.Peers = nutmegconf.PeerSettings{Key: peerKey, Seeds: f.seeds}
	s.Budget.CommitInterval = nutmegconf.Duration(f.cfg.CommitInterval)
	return s
}

// Close stops all instances and stand-ins.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), readyTimeout)
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
	return failed
}

// CallerKey is the key of a workspace's callers in an embedded fleet.
func CallerKey(w nutmegid.Workspace) string {
	return "key-of-" + string(w)
}

// WorkspaceSpec is a workspace with prepaid tokens for it.
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

// Setup plans and confirms owners, workspaces, budgets, routes and upstreams,
// and waits until every instance has them in force.
func (f *Fleet) Setup(ctx context.Context, owners []OwnerSpec, workspaces []WorkspaceSpec) error {
	intents := []nutmegconf.Intent{
		{Kind: nutmegconf.IntentAddRoute, Route: DefaultRoute, Rule: nutmegconf.RuleProtected},
		{Kind: nutmegconf.IntentAddRoute, Route: DefaultLookUp, Rule: nutmegconf.RuleRepeatable},
	}
	for _, o := range owners {
		intents = append(intents,
			nutmegconf.Intent{Kind: nutmegconf.IntentAddOwner, Owner: o.Name},
			nutmegconf.Intent{Kind: nutmegconf.IntentAddBudget, Budget: nutmegid.OwnerBudget(o.Name), Tokens: o.Tokens})
	}
	for _, w := range workspaces {
		intents = append(intents,
			nutmegconf.Intent{
				Kind: nutmegconf.IntentAddWorkspace, Workspace: w.Name, Owner: w.Owner, Priority: w.Priority,
				KeyHashes: []string{nutmegconf.HashKey(CallerKey(w.Name))},
			},
			nutmegconf.Intent{Kind: nutmegconf.IntentAddBudget, Budget: nutmegid.WorkspaceBudget(w.Name), Tokens: w.Tokens})
	}
	for name, u := range f.upstreams {
		intents = append(intents, nutmegconf.Intent{
			Kind: nutmegconf.IntentAddUpstream, Upstreams: []nutmegid.Upstream{name}, Upstream: &u,
		})
	}
	revision, err := f.Intend(ctx, 0, intents...)
	if err != nil {
		return err
	}
	return f.WaitRevision(ctx, revision)
}

// Intend plans intents at one instance and confirms the plan.
func (f *Fleet) Intend(ctx context.Context, node int, intents ...nutmegconf.Intent) (nutmegid.Revision, error) {
	var plan nutmegconf.Plan
	if err := f.operate(ctx, node, http.MethodPost, "/v1/plans", nutmegnode.PlanRequest{Intents: intents}, &plan); err != nil {
		return 0, err
	}
	var done nutmegnode.Confirmation
	err := f.operate(ctx, node, http.MethodPost, "/v1/plans/"+string(plan.ID)+"/confirm", nil, &done)
	return done.Revision, err
}

// WaitRevision waits until every instance has the revision in force.
func (f *Fleet) WaitRevision(ctx context.Context, revision nutmegid.Revision) error {
	for node := range f.Nodes {
		for {
			var status nutmegnode.Status
			if err := f.operate(ctx, node, http.MethodGet, "/v1/status", nil, &status); err != nil {
				return err
			}
			if status.Revision >= revision {
				break
			}
			select {
			case <-ctx.Done():
				return fmt.Errorf("instance %d has revision %d, not %d: %w", node+1, status.Revision, revision, ctx.Err())
			case <-time.After(pollInterval):
			}
		}
	}
	return nil
}

// operate calls the operators' API of one instance.
func (f *Fleet) operate(ctx context.Context, node int, method, path string, body, into any) error {
	raw, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+f.Nodes[node].Addresses().Operators+path, bytes.NewReader(raw))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := f.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s answered %s: %s", method, path, resp.Status, answer)
	}
	return json.Unmarshal(answer, into)
}

// TimeLine merges the events of all instances.
func (f *Fleet) TimeLine(filter nutmegtime.Filter) []nutmegtime.Event {
	var lists [][]nutmegtime.Event
	for _, n := range f.Nodes {
		lists = append(lists, n.Ring().Events(filter))
	}
	return nutmegtime.Merge(lists...)
}
