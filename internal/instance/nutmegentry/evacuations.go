package nutmegentry

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfeed"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfollow"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// evacuations keeps an instance informed of evacuated failure domains.
type evacuations struct {
	entry    *Entry
	bound    time.Duration // within which no instance sends any more requests there
	feed     *nutmegfeed.Feed
	follower *nutmegfollow.EvacuationFollower
	listed   atomic.Bool // the store has told all evacuations once
	// connectedAt is when other instances could begin to tell this one, in nanoseconds of
	// uptime; 0 before.
	connectedAt atomic.Int64
	done        chan struct{} // closed when run has returned
}

// evacuationSource says from whom this instance has learned of a change.
type evacuationSource string

// The sources of changes of evacuations.
const (
	evacuationFromStore  evacuationSource = "store"
	evacuationFromFeeder evacuationSource = "feeder"
	evacuationFromPeer   evacuationSource = "peer"
)

// evacuationItem is the gossip item about the latest change of a failure domain. Its
// version is that of the store.
type evacuationItem struct {
	FailureDomain nutmegid.FailureDomain `json:"failure_domain"`
	Evacuated     bool                   `json:"evacuated"`
	ReadAt        time.Time              `json:"read_at"` // from the store, by the clock of the sender
}

// newEvacuations returns nil if the settings do not ask to follow evacuations.
func newEvacuations(e *Entry) *evacuations {
	bound := time.Duration(e.cfg.Settings.Evacuation.Bound)
	if bound == 0 {
		return nil
	}
	v := &evacuations{entry: e, bound: bound, done: make(chan struct{})}
	wait := bound / evacuationWaitDivisor
	v.feed = e.newFeed(nutmegfeed.Config{
		Kind: e.cfg.Platform.EvacuationKind, FeederWait: wait, PeerWait: wait,
		MaxAge: func() time.Duration { return bound / evacuationAgeDivisor },
	})
	v.follower = nutmegfollow.NewEvacuationFollower(nutmegfollow.EvacuationFollowerConfig{
		Store: e.client, Source: v.feed, Kind: e.cfg.Platform.EvacuationKind, Wait: wait, View: e.view,
		OnChange: v.followed, OnUnusable: v.unusable, OnListed: func() { v.listed.Store(true) },
	})
	metrics.NewRegisteredFunctionalGauge("evacuated_domains", e.metrics, v.countEvacuated)
	metrics.NewRegisteredFunctionalGauge("requests_in_evacuated_domains", e.metrics, v.countRunning)
	return v
}

// start follows the evacuations until ctx ends.
func (v *evacuations) start(ctx context.Context) {
	if v == nil {
		return
	}
	v.follower.Start(ctx)
	go v.run(ctx)
}

// wait blocks until run has returned.
func (v *evacuations) wait() {
	if v == nil {
		return
	}
	<-v.done
}

// run tells other instances again of evacuations that last longer than gossip items.
func (v *evacuations) run(ctx context.Context) {
	defer close(v.done)
	ticker := time.NewTicker(evacuationResendInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			v.resend()
		}
	}
}

// resend sends the items of all evacuations that last. An item that others still hold
// changes nothing there.
func (v *evacuations) resend() {
	for _, c := range v.entry.view.Evacuations() {
		if c.Evacuated {
			v.send(c)
		}
	}
}

// known reports whether this instance knows the evacuated domains: from the store, or
// because other instances have had time to tell.
func (v *evacuations) known() bool {
	if v == nil || v.listed.Load() {
		return true
	}
	connectedAt := time.Duration(v.connectedAt.Load())
	return connectedAt != 0 && v.entry.uptime()-connectedAt > v.bound
}

// peersStarted tells other instances what this one has learned before it could.
func (v *evacuations) peersStarted() {
	if v == nil {
		return
	}
	v.connectedAt.Store(int64(v.entry.uptime()))
	for _, c := range v.entry.view.Evacuations() {
		v.send(c)
	}
}

// followed logs a change that the view has applied. One that was read from the store
// is told to other instances, some of which may be cut off from it.
func (v *evacuations) followed(c nutmegview.EvacuationChange, relayed bool) {
	if relayed {
		v.changed(c, evacuationFromFeeder, 0)
		return
	}
	v.changed(c, evacuationFromStore, 0)
	v.send(c)
}

func (v *evacuations) send(c nutmegview.EvacuationChange) {
	item := evacuationItem{FailureDomain: c.FailureDomain, Evacuated: c.Evacuated, ReadAt: time.Now()}
	v.entry.putItem(itemEvacuation, string(c.FailureDomain), uint64(c.Version), item)
}

// receive applies a change that another instance has told.
func (v *evacuations) receive(i nutmegpeer.Item) {
	var item evacuationItem
	if err := json.Unmarshal(i.Value, &item); err != nil {
		v.entry.itemUnreadable(i, err)
		return
	}
	c := nutmegview.EvacuationChange{FailureDomain: item.FailureDomain, Evacuated: item.Evacuated, Version: nutmegid.Version(i.Version)}
	if v.entry.view.ApplyEvacuation(c) {
		v.changed(c, evacuationFromPeer, time.Since(item.ReadAt))
	}
}

// changed logs a change that the view has applied. age is the time since a peer has read
// it from the store; 0 for other sources.
func (v *evacuations) changed(c nutmegview.EvacuationChange, source evacuationSource, age time.Duration) {
	e := v.entry
	e.count("evacuation_changes")
	fields := logrus.Fields{
		"failure_domain": c.FailureDomain, "version": c.Version.String(), "source": source, "age_ms": age.Milliseconds(),
		"running": e.placer.Running(c.FailureDomain),
	}
	if !c.Evacuated {
		e.event("evacuation_ended").WithFields(fields).Info("the upstreams of a failure domain take requests again")
		return
	}
	e.event("evacuation_began").WithFields(fields).Warn("no new requests go to the upstreams of a failure domain")
	if !v.isKnownDomain(c.FailureDomain) {
		e.event("evacuation_unknown_domain").WithFields(fields).Warn("no upstream or setting names the evacuated failure domain")
	}
}

// isKnownDomain reports whether the settings or an upstream name a failure domain.
func (v *evacuations) isKnownDomain(d nutmegid.FailureDomain) bool {
	e := v.entry
	if d == e.cfg.Settings.Instance.FailureDomain || e.view.RegionOf(d) != "" {
		return true
	}
	for _, u := range e.view.Upstreams().ByID {
		if u.FailureDomain == d {
			return true
		}
	}
	return false
}

// unusable logs an object that evacuates nothing.
func (v *evacuations) unusable(o nutmegstore.Object) {
	v.entry.count("evacuations_unusable")
	v.entry.event("evacuation_unusable").WithFields(logrus.Fields{"name": o.Key.Name, "version": o.Version.String()}).Error("the name of an evacuation is not that of a failure domain; ignoring it")
}

func (v *evacuations) countEvacuated() int64 {
	var n int64
	for _, c := range v.entry.view.Evacuations() {
		if c.Evacuated {
			n++
		}
	}
	return n
}

func (v *evacuations) countRunning() int64 {
	n := 0
	for _, c := range v.entry.view.Evacuations() {
		if c.Evacuated {
			n += v.entry.placer.Running(c.FailureDomain)
		}
	}
	return int64(n)
}
