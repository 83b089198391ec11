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

// Types of watch lines that carry no new value.
const (
	lineBookmark = "bookmark"
	lineDeleted  = "deleted"
)

// Watch calls fn with each present object of the kind and then with each
// change, until ctx ends, the stream breaks, or no message has come for three
// heartbeats. The caller watches again after an error; Follow does so.
func (c *Client) Watch(ctx context.Context, kind, prefix string, fn func(Object)) error {
	key := Key{Kind: kind, Name: prefix}
	if err := c.admit(ctx, key, c.reads, callWatch); err != nil {
		return err
	}
	streamer, ok := c.cfg.Dialect.(Streamer)
	if !ok {
		return newError(KindUnavailable, key, errors.New("the platform's API has no streamed watches"))
	}
	watched, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.request(watched, streamer.Watch(kind, prefix))
	if err != nil {
		return newError(KindUnavailable, key, err)
	}
	silence := time.AfterFunc(watchSilence*c.cfg.WatchHeartbeat, cancel)
	defer silence.Stop()
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		c.noteFailure(ctx)
		return newError(KindUnavailable, key, err)
	}
	defer func() { _ = resp.Body.Close() }()
	c.reads.note(resp.StatusCode == http.StatusTooManyRequests)
	if resp.StatusCode != http.StatusOK {
		c.note(resp.StatusCode < http.StatusInternalServerError)
		return c.failure(Answer{Status: resp.StatusCode}, key, KindUnavailable)
	}
	err = c.readLines(resp.Body, kind, func(o Object, isObject bool) {
		c.note(true)
		silence.Reset(watchSilence * c.cfg.WatchHeartbeat)
		if isObject {
			fn(o)
		}
	})
	if watched.Err() != nil && ctx.Err() == nil {
		c.count("store_silent_watches")
		err = fmt.Errorf("watch said nothing for %d heartbeats: %w", watchSilence, err)
	}
	return newError(KindUnavailable, key, err)
}

// readLines decodes a watch's lines until the stream ends.
func (c *Client) readLines(body io.Reader, kind string, fn func(o Object, isObject bool)) error {
	lines := bufio.NewScanner(body)
	lines.Buffer(make([]byte, 64<<10), 2*MaxValueBytes)
	for lines.Scan() {
		var item listItem
		if err := json.Unmarshal(lines.Bytes(), &item); err != nil {
			return fmt.Errorf("watch line is not JSON: %w", err)
		}
		o := item.object(kind)
		o.Deleted = item.Type == lineDeleted
		fn(o, item.Type != lineBookmark)
	}
	if err := lines.Err(); err != nil {
		return err
	}
	return fmt.Errorf("watch ended: %w", io.ErrUnexpectedEOF)
}

// Batch is a number of changes that a follower saw at once.
type Batch struct {
	Objects []Object
	At      nutmegid.Version // of the store; 0 where it is not told
	// Gap is how long the store could not be watched before the batch; zero
	// where the last look at it was a good one.
	Gap time.Duration
}

// Follow keeps fn told of the objects of a kind until ctx ends: of each present
// object, of each newer version, and of each deletion. It lists and watches
// again after a broken or silent watch. Versions of one object that fn sees
// never fall, except that a deleted object may be created again.
func (c *Client) Follow(ctx context.Context, kind, prefix string, fn func(Object)) {
	c.FollowBatches(ctx, kind, prefix, func(b Batch) {
		for _, o := range b.Objects {
			fn(o)
		}
	})
}

// FollowBatches is Follow with all changes that come at once in one call.
// Batches without changes are told where they end a gap.
func (c *Client) FollowBatches(ctx context.Context, kind, prefix string, fn func(Batch)) {
	f := follower{client: c, kind: kind, prefix: prefix, fn: fn, known: make(map[string]nutmegid.Version)}
	f.run(ctx)
}

// follower is one endless watch.
type follower struct {
	client *Client
	kind   string
	prefix string
	fn     func(Batch)
	known  map[string]nutmegid.Version
	gap    bool      // the last look at the store failed
	seen   time.Time // of the last good look
}

func (f *follower) run(ctx context.Context) {
	wait := firstRewatch
	for ctx.Err() == nil {
		began := time.Now()
		if at, err := f.relist(ctx); err == nil {
			f.watch(ctx, at)
		}
		wait = min(2*wait, maxRewatch)
		if time.Since(began) > maxRewatch {
			wait = firstRewatch
		}
		if !sleep(ctx, wait/2+rand.N(wait/2)) {
			return
		}
	}
}

// watch reports changes until the watch breaks.
func (f *follower) watch(ctx context.Context, at nutmegid.Version) {
	if _, ok := f.client.cfg.Dialect.(Poller); ok {
		f.poll(ctx, at)
		return
	}
	_ = f.client.Watch(ctx, f.kind, f.prefix, func(o Object) { f.tell([]Object{o}, 0) })
	f.gap = ctx.Err() == nil
}

// poll reports changes until the platform forgets where it goes on. A poll
// that fails is made again from the same version, so that an outage costs no
// list.
func (f *follower) poll(ctx context.Context, at nutmegid.Version) {
	wait := firstRewatch
	for ctx.Err() == nil {
		changes, err := f.client.Poll(ctx, f.kind, at, pollWait)
		if IsKind(err, KindCompacted) {
			f.client.count("store_compacted_watches")
			return
		}
		if err != nil {
			f.gap = true
			wait = min(2*wait, maxRewatch)
			if !sleep(ctx, wait/2+rand.N(wait/2)) {
				return
			}
			continue
		}
		wait = firstRewatch
		at = changes.At
		f.tell(changes.Objects, at)
	}
}

// relist reports what changed while no watch was open and returns the
// store's version.
func (f *follower) relist(ctx context.Context) (nutmegid.Version, error) {
	objects, at, err := f.client.listAll(ctx, ListCall{Kind: f.kind, Prefix: f.prefix})
	if err != nil {
		f.gap = true
		return 0, err
	}
	present := make(map[string]bool, len(objects))
	for _, o := range objects {
		present[o.Key.Name] = true
	}
	for name, version := range f.known {
		if !present[name] {
			objects = append(objects, Object{Key: Key{Kind: f.kind, Name: name}, Version: version, Deleted: true})
		}
	}
	f.tell(objects, at)
	return at, nil
}

// tell passes on what is newer than the known versions.
func (f *follower) tell(objects []Object, at nutmegid.Version) {
	b := Batch{At: at}
	now := time.Now()
	if f.gap && !f.seen.IsZero() {
		b.Gap = now.Sub(f.seen)
	}
	f.seen = now
	for _, o := range objects {
		if strings.HasPrefix(o.Key.Name, f.prefix) && f.newer(o) {
			b.Objects = append(b.Objects, o)
		}
	}
	if len(b.Objects) > 0 || b.Gap > 0 {
		f.fn(b)
	}
	f.gap = false
}

// newer notes an object and says whether it is newer than the known version.
func (f *follower) newer(o Object) bool {
	version, known := f.known[o.Key.Name]
	if o.Deleted {
		delete(f.known, o.Key.Name)
		return known
	}
	if known && o.Version <= version {
		return false
	}
	f.known[o.Key.Name] = o.Version
	return true
}
