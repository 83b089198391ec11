package nutmegnode

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// liveEntry is one entry of the platform's list of live and leaving instances,
// engines and services.
type liveEntry struct {
	Name    string `json:"name"`
	Kind    string `json:"kind"` // instance, engine or service
	Address string `json:"address"`
	State   string `json:"state"`
}

const (
	liveKindInstance = "instance"
	liveStateLeaving = "leaving"
)

// upstreamManager keeps the pool up to date from load reports, the platform's
// live list and the fleet's membership, and executes orders to engines.
type upstreamManager struct {
	node         *Node
	client       *http.Client
	prober       *nutmegroute.Prober
	engineOrders *nutmegroute.Orderer
	leaving      chan nutmegroute.LeavingRecord
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}

	mu         sync.Mutex
	orderRuns  map[nutmegconf.EffectID]*engineOrderRun
	background sync.WaitGroup
}

func newUpstreamManager(n *Node) *upstreamManager {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{
		DialContext:     n.cfg.Dial,
		IdleConnTimeout: probeIdleTimeout,
	}}
	return &upstreamManager{
		node:   n,
		client: client,
		prober: nutmegroute.NewProber(nutmegroute.ProberConfig{Pool: n.pool, HTTP: client}),
		engineOrders: nutmegroute.NewOrderer(nutmegroute.OrdererConfig{
			Pool:           n.pool,
			Store:          engineOrderStore{n},
			HTTP:           client,
			Incarnation:    n.incarnation,
			BytesPerSecond: n.cfg.Settings.Platform.WeightBytesPerSecond,
		}),
		leaving: make(chan nutmegroute.LeavingRecord, maxLeavingQueue),
		ctx:     ctx,
		cancel:  cancel,
		done:    make(chan struct{}),

		orderRuns: make(map[nutmegconf.EffectID]*engineOrderRun),
	}
}

func (m *upstreamManager) start() {
	m.prober.Start()
	go m.pollLive()
	m.background.Go(m.moveCaches)
}

func (m *upstreamManager) stop() {
	m.cancel()
	<-m.done
	m.background.Wait()
	m.prober.Stop()
	m.client.CloseIdleConnections()
}

// pollLive polls the live list. The interval grows with the fleet, so that the
// read rate at the platform stays constant; instances also learn of leaving
// upstreams from their peers.
func (m *upstreamManager) pollLive() {
	defer close(m.done)
	for {
		instances := m.updateInstances()
		if err := m.fetchLive(); err != nil && m.ctx.Err() == nil {
			m.node.count("live_list_failures")
		}
		interval := max(liveInterval, time.Duration(instances)*time.Second/liveReadsPerSecond)
		select {
		case <-m.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// updateInstances passes the known instances to the pool, which divides the
// upstreams among them, and returns their number.
func (m *upstreamManager) updateInstances() int {
	instances := []nutmegid.Instance{m.node.cfg.Settings.Instance.Name}
	for _, member := range m.node.peers.Members() {
		if member.State != nutmegpeer.StateDead {
			instances = append(instances, member.Instance)
		}
	}
	m.node.pool.SetInstances(instances)
	return len(instances)
}

func (m *upstreamManager) fetchLive() error {
	ctx, cancel := context.WithTimeout(m.ctx, liveTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, m.node.cfg.Settings.Platform.URL+"/v1/live", nil)
	if err != nil {
		return err
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("GET /v1/live: unexpected status %s", resp.Status)
	}
	var entries []liveEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLiveBytes)).Decode(&entries); err != nil {
		return err
	}
	m.node.pool.ApplyLiveList(leavingUpstreams(entries))
	m.node.peers.SetSeeds(append(peerSeeds(entries), m.node.cfg.Settings.Peers.Seeds...))
	return nil
}

// peerSeeds returns the peer addresses of the listed instances that are not
// leaving.
func peerSeeds(entries []liveEntry) []string {
	var seeds []string
	for _, e := range entries {
		if e.Kind == liveKindInstance && e.State != liveStateLeaving && e.Address != "" {
			seeds = append(seeds, e.Address)
		}
	}
	return seeds
}

// leavingUpstreams returns the listed upstreams and whether each is leaving.
func leavingUpstreams(entries []liveEntry) map[nutmegid.Upstream]bool {
	list := make(map[nutmegid.Upstream]bool)
	for _, e := range entries {
		if e.Kind != liveKindInstance {
			list[nutmegid.Upstream(e.Name)] = e.State == liveStateLeaving
		}
	}
	return list
}
