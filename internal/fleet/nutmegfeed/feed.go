// Package nutmegfeed passes the changes of one kind of objects in the store from
// the few instances of a failure domain that poll for them to all others. The
// calls to the store then grow with the number of failure domains and not with
// the number of instances.
//
// A feed is a nutmegstore.ChangeSource: with each poll it asks a feeder or, if it
// is one itself or no feeder gives a recent answer, the store. Versions are those
// of the store, so that the source can change with every poll. Each answer states
// how long ago the store confirmed it, and a feeder that is stopped, silent or cut
// off from the store is replaced within Config.MaxAge.
//
// # Usage
//
//	feed := nutmegfeed.New(nutmegfeed.Config{Kind: "servers", Store: client, Feeders: feeders, Fetch: fetch, MaxAge: maxAge})
//	client.FollowBatches(ctx, nutmegstore.FollowRequest{Kind: "servers", Source: feed}, apply)
//	reply, err := feed.ChangesSince(ctx, request) // serves a peer
package nutmegfeed

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

const (
	// FeederWait is how long a feeder's poll of the store waits for a change by default.
	FeederWait = 800 * time.Millisecond

	peerWait   = 700 * time.Millisecond // how long a feeder lets others wait for a change by default
	peerMargin = 400 * time.Millisecond // added to Config.PeerWait until the feeder counts as silent
	minBackoff = 2 * time.Second        // until a feeder that failed is asked again
	maxBackoff = 16 * time.Second
	// minStorePause and maxStorePause bound the pause between polls of a store that
	// answers neither this instance nor its feeder.
	minStorePause = 500 * time.Millisecond
	maxStorePause = 2 * time.Second
)

// Sources states whom an instance asks for changes.
type Sources struct {
	// Feeders are the instances to ask, the preferred one first. It is empty if this
	// instance polls the store.
	Feeders []nutmegview.Instance
	// Feeding means that other instances may ask this one.
	Feeding bool
}

// Config configures a Feed.
type Config struct {
	Kind  string
	Store nutmegstore.ChangeSource
	// Sources returns whom to ask, without the instances for which skip returns true.
	Sources func(skip func(nutmegid.Incarnation) bool) Sources
	// Fetch asks a feeder for changes.
	Fetch func(ctx context.Context, feeder nutmegview.Instance, request nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error)
	// MaxAge returns the greatest age of a feeder's answer that is used.
	MaxAge func() time.Duration
	// FeederWait is how long a feeder's poll of the store waits for a change, and
	// PeerWait how long a feeder lets others wait. Zero means the package's defaults.
	FeederWait time.Duration
	PeerWait   time.Duration
	// OnConfirmed, if not nil, is called when a feeder's answer shows that the store
	// answered at a time.
	OnConfirmed func(at time.Time)
	// OnSwitch, if not nil, is called when the source of changes is another one.
	OnSwitch func(s Switch)
}

// Switch is a change of the source.
type Switch struct {
	Kind   string
	Feeder nutmegid.Instance // empty for the store
	Since  nutmegid.Version
	Err    error // why the previous feeder is not used; nil if it is not at fault
}

var (
	errUnconfirmed = errors.New("the store does not answer the feeder")
	errCompacted   = errors.New("the feeder does not hold all changes")
	errStale       = errors.New("the feeder's answer is too old")
)

// Feed is a source of changes of one kind. Polls must not overlap; ChangesSince
// may be called at any time.
type Feed struct {
	cfg Config
	log *changeLog

	mu       sync.Mutex
	backoffs map[nutmegid.Incarnation]backoff
	current  nutmegid.Instance // feeder of the latest poll; empty for the store

	store backoff // of failed polls of the store; used by Poll only
}

// backoff is the pause after failed calls.
type backoff struct {
	pause time.Duration
	until time.Time
}

// next returns the backoff after one more failure.
func (b backoff) next(shortest, longest time.Duration) backoff {
	pause := min(max(2*b.pause, shortest), longest)
	return backoff{pause: pause, until: time.Now().Add(pause)}
}

func (b backoff) active() bool {
	return time.Now().Before(b.until)
}

// New returns a Feed that has not polled yet.
func New(cfg Config) *Feed {
	if cfg.OnConfirmed == nil {
		cfg.OnConfirmed = func(time.Time) {}
	}
	if cfg.OnSwitch == nil {
		cfg.OnSwitch = func(Switch) {}
	}
	if cfg.FeederWait == 0 {
		cfg.FeederWait = FeederWait
	}
	if cfg.PeerWait == 0 {
		cfg.PeerWait = peerWait
	}
	return &Feed{cfg: cfg, log: newChangeLog(), backoffs: make(map[nutmegid.Incarnation]backoff)}
}

// Poll implements nutmegstore.ChangeSource. The wait applies to a poll of the store
// by an instance that has no feeder. While the store answers neither, an instance
// with feeders polls it less often than them.
func (f *Feed) Poll(ctx context.Context, kind string, since nutmegid.Version, wait time.Duration) (nutmegstore.Changes, error) {
	sources := f.cfg.Sources(f.backedOff)
	if len(sources.Feeders) == 0 {
		if sources.Feeding {
			wait = min(wait, f.cfg.FeederWait)
		}
		return f.pollStore(ctx, kind, since, wait, nil)
	}
	var changes nutmegstore.Changes
	var err error
	for _, feeder := range sources.Feeders {
		changes, err = f.fetch(ctx, feeder, since)
		// Another feeder is asked only after an answer: waiting for two silent ones
		// takes too long.
		if !errors.Is(err, errUnconfirmed) && !errors.Is(err, errCompacted) {
			break
		}
	}
	if err == nil || ctx.Err() != nil || f.store.active() {
		return changes, err
	}
	return f.pollStore(ctx, kind, since, min(wait, f.cfg.FeederWait), err)
}

// pollStore polls the store, because of the error of a feeder if it is not nil.
func (f *Feed) pollStore(ctx context.Context, kind string, since nutmegid.Version, wait time.Duration, cause error) (nutmegstore.Changes, error) {
	f.use("", since, cause)
	changes, err := f.cfg.Store.Poll(ctx, kind, since, wait)
	if err != nil {
		if !nutmegstore.IsKind(err, nutmegstore.KindCompacted) {
			f.store = f.store.next(minStorePause, maxStorePause)
		}
		f.log.fail()
		return changes, err
	}
	f.store = backoff{}
	changes.StoreVersion = max(changes.StoreVersion, since)
	f.log.add(since, changes, time.Now())
	return changes, nil
}

// fetch asks a feeder for changes. A feeder that gives no recent answer is not
// asked again for some time.
func (f *Feed) fetch(ctx context.Context, feeder nutmegview.Instance, since nutmegid.Version) (nutmegstore.Changes, error) {
	callCtx, cancel := context.WithTimeout(ctx, f.cfg.PeerWait+peerMargin)
	defer cancel()
	reply, err := f.cfg.Fetch(callCtx, feeder, nutmegpeer.ChangesRequest{Kind: f.cfg.Kind, Since: since, Wait: f.cfg.PeerWait})
	switch {
	case err == nil && reply.Unconfirmed:
		return nutmegstore.Changes{}, errUnconfirmed
	case err == nil && reply.Compacted:
		return nutmegstore.Changes{}, errCompacted
	case err == nil && reply.Age > f.cfg.MaxAge():
		err = fmt.Errorf("%w: %v", errStale, reply.Age)
	}
	if err != nil {
		f.backOff(feeder.Incarnation)
		return nutmegstore.Changes{}, err
	}
	f.recover(feeder.Incarnation)
	f.use(feeder.Name, since, nil)
	confirmedAt := time.Now().Add(-reply.Age)
	f.cfg.OnConfirmed(confirmedAt)
	changes := nutmegstore.Changes{StoreVersion: max(reply.At, since), Relayed: true}
	if reply.At > since {
		changes.Objects = decodeObjects(f.cfg.Kind, reply.Changes)
	}
	f.log.add(since, changes, confirmedAt)
	return changes, nil
}

func decodeObjects(kind string, list []nutmegpeer.ObjectChange) []nutmegstore.Object {
	objects := make([]nutmegstore.Object, 0, len(list))
	for _, c := range list {
		objects = append(objects, nutmegstore.Object{Key: nutmegstore.Key{Kind: kind, Name: c.Name}, Version: c.Version, Value: c.Value, Deleted: c.Deleted})
	}
	return objects
}

// use reports a change of the source.
func (f *Feed) use(feeder nutmegid.Instance, since nutmegid.Version, cause error) {
	f.mu.Lock()
	changed := f.current != feeder
	f.current = feeder
	f.mu.Unlock()
	if changed {
		f.cfg.OnSwitch(Switch{Kind: f.cfg.Kind, Feeder: feeder, Since: since, Err: cause})
	}
}

// backedOff reports whether a feeder is not asked now.
func (f *Feed) backedOff(i nutmegid.Incarnation) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.backoffs[i].active()
}

// backOff doubles the pause until the feeder is asked again.
func (f *Feed) backOff(i nutmegid.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.backoffs[i] = f.backoffs[i].next(minBackoff, maxBackoff)
}

func (f *Feed) recover(i nutmegid.Incarnation) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.backoffs, i)
}

// ChangesSince returns the changes after a version to a peer, at the latest when
// the request's wait has passed.
func (f *Feed) ChangesSince(ctx context.Context, request nutmegpeer.ChangesRequest) (nutmegpeer.ChangesReply, error) {
	timer := time.NewTimer(request.Wait)
	defer timer.Stop()
	for expired := false; ; {
		s := f.log.after(request.Since)
		switch {
		case !s.usable:
			return nutmegpeer.ChangesReply{Unconfirmed: true}, nil
		case s.compacted || expired || s.at > request.Since && len(s.objects) > 0:
			return s.reply(time.Now()), nil
		}
		select {
		case <-ctx.Done():
			return nutmegpeer.ChangesReply{}, ctx.Err()
		case <-s.changed:
		case <-timer.C:
			expired = true
		}
	}
}

// reply encodes a state for a peer.
func (s state) reply(now time.Time) nutmegpeer.ChangesReply {
	reply := nutmegpeer.ChangesReply{At: s.at, Age: now.Sub(s.confirmedAt), Compacted: s.compacted}
	if s.compacted {
		return reply
	}
	for _, o := range s.objects {
		reply.Changes = append(reply.Changes, nutmegpeer.ObjectChange{Name: o.Key.Name, Version: o.Version, Deleted: o.Deleted, Value: o.Value})
	}
	return reply
}
