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

// liveEntry is one line of the platform's list of live and leaving instances.
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

// router follows what changes the choice of upstreams: load reports, the
// platform's live list and the fleet's members.
type router struct {
	node   *Node
	client *http.Client
	prober *nutmegroute.Prober
	orders *nutmegroute.Orderer
	leave  chan nutmegroute.LeavingRecord
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}

	mu      sync.Mutex
	ordered map[nutmegconf.EffectID]*orderRun
	running sync.WaitGroup
}

func newRouter(n *Node) *router {
	ctx, cancel := context.WithCancel(context.Background())
	client := &http.Client{Transport: &http.Transport{
		DialContext:     n.cfg.Dial,
		IdleConnTimeout: probeIdleLimit,
	}}
	return &router{
		node:   n,
		client: client,
		prober: nutmegroute.NewProber(nutmegroute.ProberConfig{Pool: n.pool, HTTP: client}),
		orders: nutmegroute.NewOrderer(nutmegroute.OrdererConfig{
			Pool:           n.pool,
			Store:          orderStore{n},
			HTTP:           client,
			Incarnation:    n.incarnation,
			BytesPerSecond: n.cfg.Settings.Platform.WeightBytesPerSecond,
		}),
		leave:  make(chan nutmegroute.LeavingRecord, maxLeavingQueue),
		ctx:    ctx,
		cancel: cancel,
		done:   make(chan struct{}),

		ordered: make(map[nutmegconf.EffectID]*orderRun),
	}
}

func (r *router) start() {
	r.prober.Start()
	go r.loop()
	r.running.Go(r.moveLoop)
}

func (r *router) stop() {
	r.cancel()
	<-r.done
	r.running.Wait()
	r.prober.Stop()
	r.client.CloseIdleConnections()
}

// loop reads the live list. The interval grows with the fleet, so that the
// platform's reads do not: peers tell what they have read.
func (r *router) loop() {
	defer close(r.done)
	for {
		instances := r.tellInstances()
		if err := r.readLive(); err != nil && r.ctx.Err() == nil {
			r.node.count("live_list_failures")
		}
		interval := max(liveInterval, time.Duration(instances)*time.Second/liveReadsPerSecond)
		select {
		case <-r.ctx.Done():
			return
		case <-time.After(interval):
		}
	}
}

// tellInstances divides the upstreams among the instances that are known.
func (r *router) tellInstances() int {
	instances := []nutmegid.Instance{r.node.cfg.Settings.Instance.Name}
	for _, m := range r.node.peers.Members() {
		if m.State != nutmegpeer.StateDead {
			instances = append(instances, m.Instance)
		}
	}
	r.node.pool.SetInstances(instances)
	return len(instances)
}

func (r *router) readLive() error {
	ctx, cancel := context.WithTimeout(r.ctx, liveTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.node.cfg.Settings.Platform.URL+"/v1/live", nil)
	if err != nil {
		return err
	}
	resp, err := r.client.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("live list answered %s", resp.Status)
	}
	var entries []liveEntry
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxLiveBytes)).Decode(&entries); err != nil {
		return err
	}
	r.node.pool.ApplyLiveList(upstreamsOf(entries))
	r.node.peers.SetSeeds(append(seedsOf(entries), r.node.cfg.Settings.Peers.Seeds...))
	return nil
}

// seedsOf returns the peers' addresses of the listed instances.
func seedsOf(entries []liveEntry) []string {
	var seeds []string
	for _, e := range entries {
		if e.Kind == liveKindInstance && e.State != liveStateLeaving && e.Address != "" {
			seeds = append(seeds, e.Address)
		}
	}
	return seeds
}

// upstreamsOf returns which upstreams of a list are leaving.
func upstreamsOf(entries []liveEntry) map[nutmegid.Upstream]bool {
	list := make(map[nutmegid.Upstream]bool)
	for _, e := range entries {
		if e.Kind != liveKindInstance {
			list[nutmegid.Upstream(e.Name)] = e.State == liveStateLeaving
		}
	}
	return list
}
