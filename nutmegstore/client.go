// Package nutmegstore is the client of the platform's object API: versioned
// objects, conditional updates and watches over HTTP.
//
// # Usage
//
//	client := nutmegstore.NewClient(nutmegstore.ClientConfig{BaseURL: "http://127.0.0.1:7000"})
//	writer := nutmegstore.NewWriter(client, incarnation)
//	doc, err := nutmegstore.Update(ctx, writer, key, func(shard *Shard) error {
//		shard.Prepaid += 100
//		return nil
//	})
//
// Client speaks plain HTTP: GET reads, PUT with If-Match replaces a version,
// PUT with If-None-Match: * creates, and GET with watch=1 streams changes as
// JSON lines with a bookmark each heartbeat. Each call draws from the
// instance's allowance of reads or writes a second.
//
// Follow watches without end: it lists again whenever a watch breaks or falls
// silent, and reports objects that were deleted meanwhile.
//
// Update resolves lost answers: every object remembers the write ids of its
// latest writes, so a writer that got no answer reads the object and sees
// whether its write took effect. Errors are of type *Error; their kind says
// whether a write had no effect, or may have had one.
package nutmegstore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ClientConfig configures a client.
type ClientConfig struct {
	BaseURL         string
	Dialect         Dialect          // HeaderDialect when nil
	HTTP            *http.Client     // a client without overall timeout; made when nil
	Timeout         time.Duration    // of one call; DefaultTimeout when zero
	WritesPerSecond float64          // DefaultWritesPerSecond when zero
	ReadsPerSecond  float64          // DefaultReadsPerSecond when zero
	WatchHeartbeat  time.Duration    // DefaultWatchHeartbeat when zero
	Metrics         metrics.Registry // a private registry when nil
	SilentAfter     time.Duration    // without a good answer, the platform counts as away; no limit when zero
	OnState         func(up bool)    // called when an outage starts or ends
}

// callKind is the counter of one kind of call.
type callKind string

const (
	callRead   callKind = "store_reads"
	callWrite  callKind = "store_writes"
	callDelete callKind = "store_deletes"
	callList   callKind = "store_lists"
	callWatch  callKind = "store_watches"
)

// Client calls the platform's object API.
type Client struct {
	cfg    ClientConfig
	writes *allowance
	reads  *allowance
	fails  atomic.Int64
	state  sync.Mutex
	down   bool

	answered time.Time // the last good answer
}

// NewClient returns a client for the platform at cfg.BaseURL.
func NewClient(cfg ClientConfig) *Client {
	cfg = withDefaults(cfg)
	return &Client{
		cfg:      cfg,
		writes:   newAllowance(cfg.WritesPerSecond),
		reads:    newAllowance(cfg.ReadsPerSecond),
		answered: time.Now(),
	}
}

func withDefaults(cfg ClientConfig) ClientConfig {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
	}
	if cfg.Dialect == nil {
		cfg.Dialect = HeaderDialect{}
	}
	if cfg.Timeout == 0 {
		cfg.Timeout = DefaultTimeout
	}
	if cfg.WritesPerSecond == 0 {
		cfg.WritesPerSecond = DefaultWritesPerSecond
	}
	if cfg.ReadsPerSecond == 0 {
		cfg.ReadsPerSecond = DefaultReadsPerSecond
	}
	if cfg.WatchHeartbeat == 0 {
		cfg.WatchHeartbeat = DefaultWatchHeartbeat
	}
	if cfg.Metrics == nil {
		cfg.Metrics = metrics.NewRegistry()
	}
	return cfg
}

// Up reports whether the platform answers: false from the third failure in a
// row, or after a long silence, until the next success.
func (c *Client) Up() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return !c.down && (c.cfg.SilentAfter == 0 || time.Since(c.answered) < c.cfg.SilentAfter)
}

// Silence returns how long ago the platform gave the latest good answer.
func (c *Client) Silence() time.Duration {
	c.state.Lock()
	defer c.state.Unlock()
	return time.Since(c.answered)
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	a, err := c.read(ctx, callRead, key, c.cfg.Dialect.Get(key), MaxValueBytes+maxEnvelopeBytes)
	if err != nil {
		return Object{}, err
	}
	object, err := c.cfg.Dialect.ReadObject(key, a)
	if err != nil {
		return Object{}, newError(KindUnavailable, key, err)
	}
	return object, nil
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, key Key, value []byte) (nutmegid.Version, error) {
	return c.put(ctx, key, len(value), c.cfg.Dialect.Create(key, value))
}

// Replace writes an object whose present version must be the given one.
func (c *Client) Replace(ctx context.Context, key Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	return c.put(ctx, key, len(value), c.cfg.Dialect.Replace(key, value, version))
}

func (c *Client) put(ctx context.Context, key Key, size int, call Call) (nutmegid.Version, error) {
	if size > MaxValueBytes {
		return 0, newError(KindTooLarge, key, fmt.Errorf("value has %d bytes", size))
	}
	a, err := c.write(ctx, callWrite, key, call)
	if err != nil {
		return 0, err
	}
	object, err := c.cfg.Dialect.ReadObject(key, a)
	if err != nil {
		return 0, newError(KindUnknown, key, err)
	}
	return object.Version, nil
}

// Delete removes an object whose present version must be the given one.
func (c *Client) Delete(ctx context.Context, key Key, version nutmegid.Version) error {
	_, err := c.write(ctx, callDelete, key, c.cfg.Dialect.Delete(key, version))
	return err
}

// List reads all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	objects, _, err := c.listAll(ctx, ListCall{Kind: kind, Prefix: prefix})
	return objects, err
}

// ListStale is List from a copy that may be seconds old and costs less.
func (c *Client) ListStale(ctx context.Context, kind string) ([]Object, error) {
	objects, _, err := c.listAll(ctx, ListCall{Kind: kind, Stale: true})
	return objects, err
}

// listAll reads all pages of a list and returns the store's version before the
// first page was read, 0 where the platform does not tell it.
func (c *Client) listAll(ctx context.Context, l ListCall) ([]Object, nutmegid.Version, error) {
	key := Key{Kind: l.Kind, Name: l.Prefix}
	var objects []Object
	var at nutmegid.Version
	for {
		a, err := c.read(ctx, callList, key, c.cfg.Dialect.List(l), maxListBytes)
		if err != nil {
			return nil, 0, err
		}
		page, err := c.cfg.Dialect.ReadPage(l.Kind, a)
		if err != nil {
			return nil, 0, newError(KindUnavailable, key, err)
		}
		if l.After == "" {
			at = page.At
		}
		objects = append(objects, page.Objects...)
		if page.Next == "" || page.Next == l.After {
			return objects, at, nil
		}
		l.After = page.Next
	}
}

// Poll returns the changes of a kind after a version as soon as there are
// some, or none after wait. An error of KindCompacted says that the platform
// has forgotten that version. The dialect must be a Poller.
func (c *Client) Poll(ctx context.Context, kind string, since nutmegid.Version, wait time.Duration) (Changes, error) {
	key := Key{Kind: kind}
	poller, ok := c.cfg.Dialect.(Poller)
	if !ok {
		return Changes{}, newError(KindUnavailable, key, errors.New("the platform's API has no polls"))
	}
	if err := c.admit(ctx, key, c.reads, callWatch); err != nil {
		return Changes{}, err
	}
	a, err := c.do(ctx, poller.Poll(kind, since, wait), c.reads, maxListBytes, c.cfg.Timeout+wait)
	if err != nil {
		return Changes{}, newError(KindUnavailable, key, err)
	}
	if a.Status != http.StatusOK {
		return Changes{}, c.failure(a, key, KindUnavailable)
	}
	changes, err := poller.ReadChanges(kind, a)
	if err != nil {
		return Changes{}, newError(KindUnavailable, key, err)
	}
	return changes, nil
}

// read makes a call that changes nothing and returns its successful answer.
func (c *Client) read(ctx context.Context, kind callKind, key Key, call Call, limit int64) (Answer, error) {
	if err := c.admit(ctx, key, c.reads, kind); err != nil {
		return Answer{}, err
	}
	a, err := c.do(ctx, call, c.reads, limit, c.cfg.Timeout)
	if err != nil {
		return Answer{}, newError(KindUnavailable, key, err)
	}
	if a.Status != http.StatusOK {
		return Answer{}, c.failure(a, key, KindUnavailable)
	}
	return a, nil
}

// write makes a call that changes an object and returns its successful answer.
func (c *Client) write(ctx context.Context, kind callKind, key Key, call Call) (Answer, error) {
	if err := c.admit(ctx, key, c.writes, kind); err != nil {
		return Answer{}, err
	}
	a, err := c.do(ctx, call, c.writes, MaxValueBytes+maxEnvelopeBytes, c.cfg.Timeout)
	if err != nil {
		return Answer{}, newError(writeFailure(err), key, err)
	}
	switch a.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return a, nil
	}
	return Answer{}, c.failure(a, key, KindUnknown)
}

// admit counts a call by its kind and waits for the instance's allowance.
func (c *Client) admit(ctx context.Context, key Key, a *allowance, call callKind) error {
	c.count(string(call))
	if err := a.wait(ctx); err != nil {
		c.count("store_not_admitted")
		return newError(KindUnavailable, key, err)
	}
	return nil
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter(name, c.cfg.Metrics).Inc(1)
}

// do sends a call and reads its answer of at most limit bytes.
func (c *Client) do(ctx context.Context, call Call, a *allowance, limit int64, timeout time.Duration) (Answer, error) {
	timed, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	req, err := c.request(timed, call)
	if err != nil {
		return Answer{}, err
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		c.noteFailure(ctx)
		return Answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		c.noteFailure(ctx)
		return Answer{}, err
	}
	if int64(len(body)) > limit {
		return Answer{}, fmt.Errorf("answer is over %d bytes", limit)
	}
	a.note(resp.StatusCode == http.StatusTooManyRequests)
	if resp.StatusCode == http.StatusTooManyRequests {
		c.count("store_limited")
	}
	c.note(resp.StatusCode < http.StatusInternalServerError)
	return Answer{Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}

func (c *Client) request(ctx context.Context, call Call) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.cfg.BaseURL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.Header {
		req.Header[name] = values
	}
	return req, nil
}

// noteFailure counts a call that got no answer, unless its caller gave it up.
func (c *Client) noteFailure(caller context.Context) {
	if caller.Err() == nil {
		c.note(false)
	}
}

// writeFailure tells a write that never reached the platform from one that
// may have.
func writeFailure(err error) ErrorKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindUnavailable
	}
	return KindUnknown
}

// note counts failures in a row and reports changes between outage and service.
func (c *Client) note(ok bool) {
	if ok {
		c.fails.Store(0)
		c.setDown(false)
		return
	}
	c.count("store_failures")
	if c.fails.Add(1) >= outageAfterFails {
		c.setDown(true)
	}
}

func (c *Client) setDown(down bool) {
	c.state.Lock()
	changed := c.down != down
	c.down = down
	if !down {
		c.answered = time.Now()
	}
	c.state.Unlock()
	if changed && c.cfg.OnState != nil {
		c.cfg.OnState(!down)
	}
}

// failure is the error of an answer whose status is no success. A conflict
// carries the present object where the platform sent it.
func (c *Client) failure(a Answer, key Key, otherwise ErrorKind) error {
	err := fmt.Errorf("platform answered %d: %s", a.Status, excerpt(a.Body))
	switch a.Status {
	case http.StatusNotFound:
		return newError(KindNotFound, key, err)
	case http.StatusPreconditionFailed, http.StatusConflict:
		conflict := newError(KindConflict, key, err)
		if object, ok := c.cfg.Dialect.ReadConflict(key, a); ok {
			conflict.Present = &object
		}
		return conflict
	case http.StatusGone:
		return newError(KindCompacted, key, err)
	case http.StatusRequestEntityTooLarge:
		return newError(KindTooLarge, key, err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return newError(KindUnavailable, key, err)
	}
	return newError(otherwise, key, err)
}

// excerpt is the beginning of an answer's text, for an error.
func excerpt(body []byte) []byte {
	body = bytes.TrimSpace(body)
	return body[:min(len(body), maxExcerptBytes)]
}
