package nutmegroute

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// LoadReport is an engine's load report. It may be out of date by AgeMillis.
type LoadReport struct {
	Running       int64        `json:"running"`        // streams
	Waiting       int64        `json:"waiting"`        // streams
	WaitingTokens int64        `json:"waiting_tokens"` // prompt tokens not yet computed
	Slots         int64        `json:"slots"`          // concurrent streams
	AgeMillis     int64        `json:"age_ms"`         // age of the report
	Leaving       bool         `json:"leaving"`        // the engine exits when its streams have ended
	CacheNext     uint64       `json:"cache_next"`     // sequence from which to request cache events next time
	Cache         []CacheEvent `json:"cache,omitempty"`
}

// CacheEvent reports that an engine has stored or evicted a prefix. Events arrive late and may
// be missing; sequences increase by one.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"` // hash as returned by PrefixBlocks
	Evicted  bool   `json:"evicted"`
}

// ApplyReport applies a load report of an upstream.
func (p *Pool) ApplyReport(u nutmegid.Upstream, r LoadReport) {
	p.mu.RLock()
	c, ok := p.all[u]
	p.mu.RUnlock()
	if !ok {
		return
	}
	c.applyReport(r, p.now())
	if r.Leaving {
		p.MergeLeaving([]LeavingRecord{p.leaving.selfReported(u)})
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, m := range c.Models {
		if g := p.groups[groupKey{model: m}]; g != nil {
			g.set.index.applyEvents(c, r.Cache)
			g.queue.SetCapacity(g.set.capacity(p.now()))
		}
	}
}

// applyReport derives the load of other instances: the reported load minus this instance's
// load at the time of the report.
func (c *Candidate) applyReport(r LoadReport, now monotime) {
	taken := now - monotime(time.Duration(r.AgeMillis)*time.Millisecond)
	c.mu.Lock()
	own := c.history.at(taken)
	c.mu.Unlock()
	c.slots.Store(r.Slots)
	c.reportedStreams.Store(r.Running + r.Waiting)
	c.otherStreams.Store(max(r.Running+r.Waiting-own.inFlight, 0))
	c.otherPendingTokens.Store(max(r.WaitingTokens-own.pending, 0))
	c.reportedAt.Store(int64(taken))
}

// applyEvents applies the cache events of a candidate.
func (x *prefixIndex) applyEvents(c *Candidate, events []CacheEvent) {
	for _, e := range events {
		if e.Evicted {
			x.remove(e.Block, c)
			continue
		}
		x.add([]uint64{e.Block}, c)
	}
}

// ProberConfig configures a prober.
type ProberConfig struct {
	Pool     *Pool
	HTTP     *http.Client
	Interval time.Duration // between two probes of one upstream; DefaultProbeInterval if zero
	Rate     float64       // maximum probes per second over all upstreams; DefaultProbeRate if zero
}

// Prober periodically polls each upstream of a pool for its load or health. The interval grows
// with the number of upstreams, so that the total rate stays bounded.
type Prober struct {
	cfg  ProberConfig
	quit chan struct{}
	done chan struct{}

	mu     sync.Mutex
	probes map[*Candidate]*probe
}

// NewProber returns a prober that has not been started.
func NewProber(cfg ProberConfig) *Prober {
	if cfg.Interval == 0 {
		cfg.Interval = DefaultProbeInterval
	}
	if cfg.Rate == 0 {
		cfg.Rate = DefaultProbeRate
	}
	return &Prober{
		cfg:    cfg,
		quit:   make(chan struct{}),
		done:   make(chan struct{}),
		probes: make(map[*Candidate]*probe),
	}
}

// Start starts probing.
func (prober *Prober) Start() {
	go prober.run()
}

// Stop stops all probes and waits for them to end.
func (prober *Prober) Stop() {
	close(prober.quit)
	<-prober.done
}

// run starts a probe for each new upstream and stops those of removed ones.
func (prober *Prober) run() {
	defer close(prober.done)
	ticker := time.NewTicker(prober.cfg.Interval)
	defer ticker.Stop()
	var all sync.WaitGroup
	for {
		prober.syncProbes(&all)
		select {
		case <-prober.quit:
			prober.stopAll()
			all.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (prober *Prober) syncProbes(all *sync.WaitGroup) {
	members := prober.cfg.Pool.probeTargets()
	interval := max(prober.cfg.Interval, time.Duration(float64(len(members))/prober.cfg.Rate*float64(time.Second)))
	prober.mu.Lock()
	defer prober.mu.Unlock()
	for c, set := range members {
		if p, ok := prober.probes[c]; ok {
			p.set.Store(set)
			p.interval.Store(int64(interval))
			continue
		}
		p := newProbe(prober.cfg, c, set, interval)
		prober.probes[c] = p
		all.Go(p.loop)
	}
	for c, p := range prober.probes {
		if members[c] == nil {
			p.cancel()
			delete(prober.probes, c)
		}
	}
}

func (prober *Prober) stopAll() {
	prober.mu.Lock()
	defer prober.mu.Unlock()
	for _, p := range prober.probes {
		p.cancel()
	}
}

// probeTargets returns the candidates that this instance uses, each with one of its sets.
func (p *Pool) probeTargets() map[*Candidate]*CandidateSet {
	p.mu.RLock()
	defer p.mu.RUnlock()
	members := make(map[*Candidate]*CandidateSet)
	for _, g := range p.groups {
		for _, c := range g.set.Members {
			members[c] = g.set
		}
	}
	return members
}

// poll requests the load of an engine, or the health of a plain service.
func (p *probe) poll() error {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	url := p.candidate.URL + "/healthz"
	engine := len(p.candidate.Models) > 0
	if engine {
		url = p.candidate.URL + "/load?after=" + strconv.FormatUint(p.nextEvent, 10)
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := p.cfg.HTTP.Do(req)
	if err != nil {
		return err
	}
	defer func() { _ = resp.Body.Close() }()
	if engine && resp.StatusCode == http.StatusNotFound {
		return nil // an engine without load reports is healthy
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("probe of upstream %q returned status %s", p.candidate.Upstream, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil || !engine {
		return err
	}
	var r LoadReport
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("upstream %q sent a load report that is not valid JSON: %w", p.candidate.Upstream, err)
	}
	p.nextEvent = r.CacheNext
	p.cfg.Pool.ApplyReport(p.candidate.Upstream, r)
	return nil
}

// isStopped reports whether err is due to the probe being stopped.
func (p *probe) isStopped(err error) bool {
	return errors.Is(err, context.Canceled) && p.ctx.Err() != nil
}
