package nutmegfollow

import (
	"context"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	// reappearGrace is how long entries that vanished during a store outage remain
	// in use: live upstreams write theirs again within this time.
	reappearGrace = 1700 * time.Millisecond
	// minLapseGap is the shortest outage in which entries of live upstreams can
	// expire; they are renewed more often than that.
	minLapseGap = 2500 * time.Millisecond
	// minBatchPause and maxBatchPause bound the pause between batches of changes.
	// batchPausePerUpstream scales it with the number of upstreams, because each
	// upstream changes its entry about once a second.
	minBatchPause         = 400 * time.Millisecond
	maxBatchPause         = time.Second
	batchPausePerUpstream = 10 * time.Millisecond
	// doubtTime is how long an entry of a restored store is not used if its process had
	// gone before: by then the store has removed the entry again, or it lives.
	doubtTime = 5 * time.Second
	// departureLifetime is how long gone processes are remembered. A copy of the store
	// that is older would bring them back.
	departureLifetime = 2 * time.Minute
	// maxExpiryPause is the longest time between two checks for expired entries.
	maxExpiryPause = time.Minute
)

// UpstreamFollowerConfig configures an UpstreamFollower.
type UpstreamFollowerConfig struct {
	Store    Store
	Source   nutmegstore.ChangeSource // of changes; the store when nil
	Kind     string
	Decode   func(nutmegstore.Object) (nutmegview.Upstream, error)
	View     *nutmegview.View
	OnChange func(UpstreamChange) // called for each change of an upstream
}

// UpstreamChange is a change in the state of an upstream.
type UpstreamChange struct {
	Upstream nutmegid.Upstream
	Version  nutmegid.Version
	Software nutmegview.SoftwareVersion
	Kind     string
	Err      error
}

// Kinds of upstream changes.
const (
	UpstreamReady      = "ready"
	UpstreamLeaving    = "leaving"
	UpstreamGone       = "gone"
	UpstreamMissing    = "missing_after_gap"
	UpstreamUnreadable = "unreadable"
	// UpstreamDoubted is an entry of a restored store whose process had gone before.
	UpstreamDoubted = "doubted"
)

// UpstreamFollower keeps the view's upstreams up to date.
type UpstreamFollower struct {
	cfg     UpstreamFollowerConfig
	table   *upstreamTable
	batches chan nutmegstore.Batch
	done    chan struct{}
}

// NewUpstreamFollower returns a follower. Call Start to run it.
func NewUpstreamFollower(cfg UpstreamFollowerConfig) *UpstreamFollower {
	if cfg.OnChange == nil {
		cfg.OnChange = func(UpstreamChange) {}
	}
	return &UpstreamFollower{
		cfg: cfg, table: newUpstreamTable(cfg.Decode, cfg.OnChange),
		batches: make(chan nutmegstore.Batch), done: make(chan struct{}),
	}
}

// Start follows the upstreams until ctx ends.
func (f *UpstreamFollower) Start(ctx context.Context) {
	go f.run(ctx)
}

// Wait blocks until the follower has stopped.
func (f *UpstreamFollower) Wait() {
	<-f.done
}

func (f *UpstreamFollower) run(ctx context.Context) {
	defer close(f.done)
	w := &watcher{
		store: f.cfg.Store, request: nutmegstore.FollowRequest{Kind: f.cfg.Kind, Source: f.cfg.Source}, view: f.cfg.View,
		batches: f.batches, done: make(chan struct{}),
	}
	go w.run(ctx)
	defer func() { <-w.done }()
	expiry := time.NewTimer(maxExpiryPause)
	defer expiry.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case b := <-f.batches:
			f.table.apply(b, time.Now())
		case <-expiry.C:
		}
		expiry.Reset(f.table.expire(time.Now()))
		f.cfg.View.SetUpstreams(f.table.version, f.table.byID)
	}
}

// watcher passes the store's batches to the follower.
type watcher struct {
	store   Store
	request nutmegstore.FollowRequest
	view    *nutmegview.View
	batches chan<- nutmegstore.Batch
	done    chan struct{}
}

// run pauses after each batch that it has read from the store, so that the store
// combines the changes of that time: with many upstreams, something changes all
// the time. Another instance that passes batches on has paused already.
func (w *watcher) run(ctx context.Context) {
	defer close(w.done)
	w.store.FollowBatches(ctx, w.request, func(b nutmegstore.Batch) {
		select {
		case w.batches <- b:
		case <-ctx.Done():
		}
		if b.Relayed {
			return
		}
		select {
		case <-time.After(BatchPause(len(w.view.Upstreams().ByID))):
		case <-ctx.Done():
		}
	})
}

// BatchPause returns the pause between batches for a number of upstreams.
func BatchPause(upstreams int) time.Duration {
	return min(max(time.Duration(upstreams)*batchPausePerUpstream, minBatchPause), maxBatchPause)
}
