package nutmegstore

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Types of watch lines without a new value.
const (
	lineBookmark = "bookmark"
	lineDeleted  = "deleted"
)

// Watch calls fn with each existing object of the kind and then with each
// change, until ctx ends, the stream breaks, or no message has arrived for three
// heartbeats. After an error the caller has to watch again; Follow does so.
func (c *Client) Watch(ctx context.Context, kind, prefix string, fn func(Object)) error {
	key := Key{Kind: kind, Name: prefix}
	if err := c.admit(ctx, key, c.readLimiter, callWatch); err != nil {
		return err
	}
	streamer, ok := c.cfg.Dialect.(Streamer)
	if !ok {
		return newError(KindUnavailable, key, errors.New("the platform's API does not support streaming watches"))
	}
	watchCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.request(watchCtx, streamer.Watch(kind, prefix))
	if err != nil {
		return newError(KindUnavailable, key, err)
	}
	silenceTimer := time.AfterFunc(maxMissedHeartbeats*c.cfg.WatchHeartbeat, cancel)
	defer silenceTimer.Stop()
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		c.recordFailure(ctx)
		return newError(KindUnavailable, key, err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.readLimiter.adjust(resp.StatusCode == http.StatusTooManyRequests)
	if resp.StatusCode != http.StatusOK {
		c.recordResult(resp.StatusCode < http.StatusInternalServerError)
		return c.statusError(Response{Status: resp.StatusCode}, key, KindUnavailable)
	}
	err = c.readLines(resp.Body, kind, func(o Object, isObject bool) {
		c.recordResult(true)
		silenceTimer.Reset(maxMissedHeartbeats * c.cfg.WatchHeartbeat)
		if isObject {
			fn(o)
		}
	})
	if watchCtx.Err() != nil && ctx.Err() == nil {
		c.count("store_silent_watches")
		err = fmt.Errorf("watch received no message for %d heartbeats: %w", maxMissedHeartbeats, err)
	}
	return newError(KindUnavailable, key, err)
}

// readLines decodes the lines of a watch until the stream ends.
func (c *Client) readLines(body io.Reader, kind string, fn func(o Object, isObject bool)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 64<<10), 2*MaxValueBytes)
	for lines.Scan() {
		var item listItem
		if err := json.Unmarshal(lines.Bytes(), &item); err != nil {
			return fmt.Errorf("watch line is not valid JSON: %w", err)
		}
		o := item.object(kind)
		o.Deleted = item.Type == lineDeleted
		fn(o, item.Type != lineBookmark)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return fmt.Errorf("watch stream ended: %w", io.ErrUnexpectedEOF)
}

// Batch is a set of changes that are delivered together.
type Batch struct {
	Objects      []Object
	StoreVersion nutmegid.Version // version of the store; 0 if not reported
	// Gap is how long the store could not be watched before the batch; zero if
	// the preceding read succeeded.
	Gap time.Duration
	// Relayed means that another instance has read the changes and passed them on.
	Relayed bool
	// Listed means that all objects were listed: those that no batch has named since
	// do not exist at StoreVersion. It is false for a list that a restore may have made
	// incomplete.
	Listed bool
}

// Follow calls fn with each existing object of a kind, each newer version and
// each deletion, until ctx ends. It lists and watches again when a watch breaks
// or stops sending, and when the store has been restored. The versions of one object
// that fn receives never decrease, except when a deleted object is created again.
func (c *Client) Follow(ctx context.Context, kind, prefix string, fn func(Object)) {
	c.FollowBatches(ctx, FollowRequest{Kind: kind, Prefix: prefix}, func(b Batch) {
		for _, o := range b.Objects {
			fn(o)
		}
	})
}

// ChangeSource polls for the changes of a kind. Its versions are those of the
// store, so that one source can continue where another ended.
type ChangeSource interface {
	// Poll returns the changes after a version, like Client.Poll.
	Poll(ctx context.Context, kind string, since nutmegid.Version, wait time.Duration) (Changes, error)
}

// FollowRequest states what to follow.
type FollowRequest struct {
	Kind   string
	Prefix string       // of the names of objects
	Source ChangeSource // the client itself when nil; used only with a dialect that polls
	// Wait is how long a poll waits for a change; pollTimeout when zero. A dead
	// connection is noticed only after it.
	Wait time.Duration
	// Lists asks for a batch after each list, also if it brings no change.
	Lists bool
}

// FollowBatches is like Follow, but passes changes that arrive together to fn in
// one call. A batch without changes is passed if it ends a gap.
//
// When the store has been restored from an older copy, objects that the copy lacks
// are reported as deleted only if they are still missing after a grace period, in
// which their writers can write them again.
func (c *Client) FollowBatches(ctx context.Context, r FollowRequest, fn func(Batch)) {
	if r.Source == nil {
		r.Source = c
	}
	if r.Wait == 0 {
		r.Wait = pollTimeout
	}
	f := follower{client: c, FollowRequest: r, fn: fn, known: make(map[string]nutmegid.Version)}
	f.run(ctx)
}

// follower keeps one watch running and tracks the versions already delivered.
type follower struct {
	FollowRequest
	client      *Client
	fn          func(Batch)
	known       map[string]nutmegid.Version
	interrupted bool      // the last read of the store failed
	lastSuccess time.Time // time of the last successful read

	era       nutmegid.Era // of the latest list
	settlesAt time.Time    // from then on a list proves that an object is gone
	unsettled bool         // the latest list did not prove it
}

func (f *follower) run(ctx context.Context) {
	delay := minRewatchDelay
	for ctx.Err() == nil {
		start := time.Now()
		if storeVersion, err := f.relist(ctx); err == nil {
			f.watch(ctx, storeVersion)
		}
		delay = min(2*delay, maxRewatchDelay)
		if time.Since(start) > maxRewatchDelay {
			delay = minRewatchDelay
		}
		if !sleep(ctx, delay/2+rand.N(delay/2)) {
			return
		}
	}
}

// watch delivers changes until the watch breaks.
func (f *follower) watch(ctx context.Context, storeVersion nutmegid.Version) {
	if _, ok := f.client.cfg.Dialect.(Poller); ok {
		f.poll(ctx, storeVersion)
		return
	}
	_ = f.client.Watch(ctx, f.Kind, f.Prefix, func(o Object) { f.deliver(Changes{Objects: []Object{o}}, false) })
	f.interrupted = ctx.Err() == nil
}

// poll delivers changes until the platform has compacted the version to continue
// from, or a list is due because of a restore. A failed poll is retried from the same
// version, so that an outage does
// not require a new list.
func (f *follower) poll(ctx context.Context, storeVersion nutmegid.Version) {
	delay := minRewatchDelay
	for ctx.Err() == nil {
		if f.unsettled && time.Now().After(f.settlesAt) {
			return
		}
		changes, err := f.Source.Poll(ctx, f.Kind, storeVersion, f.Wait)
		if IsKind(err, KindCompacted) {
			f.client.count("store_compacted_watches")
			return
		}
		if err != nil {
			f.interrupted = true
			delay = min(2*delay, maxRewatchDelay)
			if !sleep(ctx, delay/2+rand.N(delay/2)) {
				return
			}
			continue
		}
		delay = minRewatchDelay
		storeVersion = changes.StoreVersion
		f.deliver(changes, false)
	}
}

// relist delivers what changed while no watch was open and returns the version
// of the store.
func (f *follower) relist(ctx context.Context) (nutmegid.Version, error) {
	objects, storeVersion, err := f.client.listAll(ctx, ListRequest{Kind: f.Kind, Prefix: f.Prefix})
	if err != nil {
		f.interrupted = true
		return 0, err
	}
	f.unsettled = f.isUnsettled(storeVersion.Era(), time.Now())
	if !f.unsettled {
		objects = append(objects, f.missing(objects)...)
	}
	f.deliver(Changes{Objects: objects, StoreVersion: storeVersion}, !f.unsettled)
	return storeVersion, nil
}

// isUnsettled records the era of a list and reports whether the writers of objects may
// still have to write again what a restore has undone.
func (f *follower) isUnsettled(era nutmegid.Era, now time.Time) bool {
	if f.era != 0 && era > f.era {
		f.settlesAt = now.Add(restoreGrace)
	}
	f.era = era
	return now.Before(f.settlesAt)
}

// missing returns the deletions of the known objects that a list does not hold.
func (f *follower) missing(objects []Object) []Object {
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key.Name] = true
	}
	var gone []Object
	for name, version := range f.known {
		if !present[name] {
			gone = append(gone, Object{Key: Key{Kind: f.Kind, Name: name}, Version: version, Deleted: true})
		}
	}
	return gone
}

// deliver passes on the objects that are newer than the known versions.
func (f *follower) deliver(changes Changes, listed bool) {
	b := Batch{StoreVersion: changes.StoreVersion, Relayed: changes.Relayed, Listed: listed}
	now := time.Now()
	if f.interrupted && !f.lastSuccess.IsZero() {
		b.Gap = now.Sub(f.lastSuccess)
	}
	f.lastSuccess = now
	for _, o := range changes.Objects {
		if strings.HasPrefix(o.Key.Name, f.Prefix) && f.updateKnown(o) {
			b.Objects = append(b.Objects, o)
		}
	}
	if len(b.Objects) > 0 || b.Gap > 0 || listed && f.Lists {
		f.fn(b)
	}
	f.interrupted = false
}

// updateKnown records an object's version and reports whether it is newer than the
// known one.
func (f *follower) updateKnown(o Object) bool {
	version, known := f.known[o.Key.Name]
	if o.Deleted {
		delete(f.known, o.Key.Name)
		return known
	}
	if known && o.Version <= version {
		f.client.count("store_changes_not_newer")
		return false
	}
	f.known[o.Key.Name] = o.Version
	return true
}
