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

// Report is an engine's account of its load, taken some time before it is read.
type Report struct {
	Running       int64        `json:"running"`        // streams
	Waiting       int64        `json:"waiting"`        // streams
	WaitingTokens int64        `json:"waiting_tokens"` // prompt tokens that are not computed yet
	Slots         int64        `json:"slots"`          // streams that run at once
	AgeMillis     int64        `json:"age_ms"`         // of the report
	Leaving       bool         `json:"leaving"`        // the engine ends when its streams have ended
	CacheNext     uint64       `json:"cache_next"`     // sequence to ask cache events from next time
	Cache         []CacheEvent `json:"cache,omitempty"`
}

// CacheEvent says that an engine has stored or evicted a prefix. Events come
// late and may be missing; sequences rise by one.
type CacheEvent struct {
	Sequence uint64 `json:"sequence"`
	Block    uint64 `json:"block,string"` // as PrefixBlocks names it
	Evicted  bool   `json:"evicted"`
}

// TakeReport takes in a report of an upstream's load.
func (p *Pool) TakeReport(u nutmegid.Upstream, r Report) {
	p.mu.RLock()
	c, ok := p.all[u]
	p.mu.RUnlock()
	if !ok {
		return
	}
	c.report(r, p.now())
	if r.Leaving {
		p.MergeLeaving([]LeavingNote{p.leaving.told(u)})
	}
	p.mu.RLock()
	defer p.mu.RUnlock()
	for _, m := range c.Models {
		if l := p.lanes[laneKey{model: m}]; l != nil {
			l.set.index.apply(c, r.Cache)
			l.queue.SetCapacity(l.set.capacity(p.now()))
		}
	}
}

// report works out what others have at the upstream: the reported load less
// the own load at the time of the report.
func (c *Candidate) report(r Report, now moment) {
	taken := now - moment(time.Duration(r.AgeMillis)*time.Millisecond)
	c.mu.Lock()
	own := c.history.at(taken)
	c.mu.Unlock()
	c.slots.Store(r.Slots)
	c.reported.Store(r.Running + r.Waiting)
	c.others.Store(max(r.Running+r.Waiting-own.inFlight, 0))
	c.othersPending.Store(max(r.WaitingTokens-own.pending, 0))
	c.reportedAt.Store(int64(taken))
}

// apply takes in cache events of a candidate.
func (x *prefixIndex) apply(c *Candidate, events []CacheEvent) {
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
	Interval time.Duration // between two probes of one upstream; DefaultProbeInterval when zero
	Rate     float64       // probes a second over all upstreams, at most; DefaultProbeRate when zero
}

// Prober asks each upstream of a pool for its load or health at intervals.
// The interval grows with the number of upstreams, so that the cost does not.
type Prober struct {
	cfg  ProberConfig
	quit chan struct{}
	done chan struct{}

	mu     sync.Mutex
	probes map[*Candidate]*probe
}

// NewProber returns a prober that has not started.
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

// Start begins to probe.
func (b *Prober) Start() {
	go b.run()
}

// Stop ends all probes.
func (b *Prober) Stop() {
	close(b.quit)
	<-b.done
}

// run starts a probe for each new upstream and ends those of removed ones.
func (b *Prober) run() {
	defer close(b.done)
	ticker := time.NewTicker(b.cfg.Interval)
	defer ticker.Stop()
	var all sync.WaitGroup
	for {
		b.adjust(&all)
		select {
		case <-b.quit:
			b.stopAll()
			all.Wait()
			return
		case <-ticker.C:
		}
	}
}

func (b *Prober) adjust(all *sync.WaitGroup) {
	members := b.cfg.Pool.watched()
	interval := max(b.cfg.Interval, time.Duration(float64(len(members))/b.cfg.Rate*float64(time.Second)))
	b.mu.Lock()
	defer b.mu.Unlock()
	for c, set := range members {
		if p, ok := b.probes[c]; ok {
			p.set.Store(set)
			p.interval.Store(int64(interval))
			continue
		}
		p := newProbe(b.cfg, c, set, interval)
		b.probes[c] = p
		all.Go(p.loop)
	}
	for c, p := range b.probes {
		if members[c] == nil {
			p.cancel()
			delete(b.probes, c)
		}
	}
}

func (b *Prober) stopAll() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, p := range b.probes {
		p.cancel()
	}
}

// watched returns the candidates that this instance uses, with one set of each.
func (p *Pool) watched() map[*Candidate]*Set {
	p.mu.RLock()
	defer p.mu.RUnlock()
	members := make(map[*Candidate]*Set)
	for _, l := range p.lanes {
		for _, c := range l.set.Members {
			members[c] = l.set
		}
	}
	return members
}

// once asks an upstream for its load, or a plain service for its health.
func (p *probe) once() error {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	url := p.candidate.URL + "/healthz"
	engine := len(p.candidate.Models) > 0
	if engine {
		url = p.candidate.URL + "/load?after=" + strconv.FormatUint(p.after, 10)
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
		return nil // an engine that reports no load is up
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("upstream %q answered its probe with %s", p.candidate.Upstream, resp.Status)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err != nil || !engine {
		return err
	}
	var r Report
	if err := json.Unmarshal(body, &r); err != nil {
		return fmt.Errorf("upstream %q sent a report that is no JSON: %w", p.candidate.Upstream, err)
	}
	p.after = r.CacheNext
	p.cfg.Pool.TakeReport(p.candidate.Upstream, r)
	return nil
}

// isStopped says whether err comes from the end of the probe itself.
func (p *probe) isStopped(err error) bool {
	return errors.Is(err, context.Canceled) && p.ctx.Err() != nil
}
