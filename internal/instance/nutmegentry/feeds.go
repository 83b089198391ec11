package nutmegentry

import (
	"context"
	"fmt"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfeed"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegfollow"
	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// buildFeeds builds the sources of configurations and upstreams.
func (e *Entry) buildFeeds() {
	e.configFeed = e.newFeed(nutmegfeed.Config{
		Kind: e.cfg.Platform.ConfigKey.Kind, MaxAge: func() time.Duration { return nutmegfeed.FeederWait + feedMargin },
	})
	e.upstreamFeed = e.newFeed(nutmegfeed.Config{
		Kind: e.cfg.Platform.UpstreamKind,
		MaxAge: func() time.Duration {
			return nutmegfollow.BatchPause(len(e.view.Upstreams().ByID)) + nutmegfeed.FeederWait + feedMargin
		},
	})
}

// newFeed returns a feed with this instance's store and peers.
func (e *Entry) newFeed(cfg nutmegfeed.Config) *nutmegfeed.Feed {
	cfg.Store = e.client
	cfg.OnConfirmed = e.client.ConfirmUp
	cfg.OnSwitch = e.sourceSwitched
	cfg.Sources = func(skip func(nutmegid.Incarnation) bool) nutmegfeed.Sources { return e.roster.Sources(skip) }
	cfg.Fetch = func(ctx context.Context, feeder nutmegview.Instance, request nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error) {
		return e.roster.FetchChanges(ctx, feeder, request)
	}
	return nutmegfeed.New(cfg)
}

// sourceSwitched logs from whom this instance gets changes of the store.
func (e *Entry) sourceSwitched(s nutmegfeed.Switch) {
	e.count("change_source_switches")
	entry := e.event("change_source").WithFields(logrus.Fields{"kind": s.Kind, "feeder": s.Feeder, "since": s.Since.String()})
	if s.Err != nil {
		entry = entry.WithError(s.Err)
	}
	entry.Info("changes of the store come from another source")
}

// peerCallPanicked logs a panic in the handler of a peer's call.
func (e *Entry) peerCallPanicked(method string, cause any, stack []byte) {
	e.event("peer_call_panicked").WithFields(logrus.Fields{"method": method, "cause": cause, "stack": string(stack)}).Error("the handler of a peer's call panicked")
}

// changeFeed serves changes of the store to peers.
type changeFeed struct {
	entry *Entry
}

// ChangesSince implements nutmegpeer.ChangeFeed.
func (f changeFeed) ChangesSince(ctx context.Context, request nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error) {
	e := f.entry
	switch request.Kind {
	case e.cfg.Platform.ConfigKey.Kind:
		return e.configFeed.ChangesSince(ctx, request)
	case e.cfg.Platform.UpstreamKind:
		return e.upstreamFeed.ChangesSince(ctx, request)
	}
	if e.evacuations != nil && request.Kind == e.cfg.Platform.EvacuationKind {
		return e.evacuations.feed.ChangesSince(ctx, request)
	}
	return nutmegpeer.ChangesReply{}, fmt.Errorf("this instance does not follow objects of kind %q", request.Kind)
}
