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
// Client uses plain HTTP: GET reads, PUT with If-Match replaces a version, PUT
// with If-None-Match: * creates, and GET with watch=1 streams changes as JSON
// lines, with a bookmark at each heartbeat. Every call is subject to the
// instance's rate limit for reads or writes.
//
// Follow watches until its context ends: it lists the objects again whenever a
// watch breaks or stops sending, and reports objects deleted in the meantime.
//
// Update handles lost responses: every object stores the ids of its latest
// writes, so a writer that received no response reads the object to find out
// whether its write took effect. Errors are of type *Error; their kind tells
// whether a write had no effect or may have had one.
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
	HTTP            *http.Client     // must have no overall timeout; created when nil
	Timeout         time.Duration    // per call; DefaultTimeout when zero
	MinTimeout      time.Duration    // per call while the platform answers quickly; Timeout when zero
	WritesPerSecond float64          // DefaultWritesPerSecond when zero
	ReadsPerSecond  float64          // DefaultReadsPerSecond when zero
	WatchHeartbeat  time.Duration    // DefaultWatchHeartbeat when zero
	Metrics         metrics.Registry // a private registry when nil
	OutageAfter     time.Duration    // time without a good response after which Up reports false; no limit when zero
	OnStateChange   func(up bool)    // called when an outage starts or ends
	// OnRestore, if not nil, is called when the store has come back from an older copy.
	OnRestore func(before, after nutmegid.Era)
}

// callKind is the name of the metric that counts one kind of call.
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
	cfg                 ClientConfig
	writeLimiter        *adaptiveLimiter
	readLimiter         *adaptiveLimiter
	consecutiveFailures atomic.Int64
	callTimeout         *adaptiveTimeout // of calls that are answered at once
	pollMargin          *adaptiveTimeout // of polls, after their wait
	era                 eraTracker
	stateMu             sync.Mutex
	down                bool

	lastSuccess time.Time // time of the last response with a status below 500
	lastFailure time.Time // time of the last call that failed
}

// NewClient returns a client for the platform at cfg.BaseURL.
func NewClient(cfg ClientConfig) *Client {
	cfg = withDefaults(cfg)
	return &Client{
		cfg:          cfg,
		writeLimiter: newAdaptiveLimiter(cfg.WritesPerSecond),
		readLimiter:  newAdaptiveLimiter(cfg.ReadsPerSecond),
		callTimeout:  newAdaptiveTimeout(cfg.MinTimeout, cfg.Timeout),
		pollMargin:   newAdaptiveTimeout(minPollMargin, cfg.Timeout),
		lastSuccess:  time.Now(),
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
	if cfg.MinTimeout == 0 {
		cfg.MinTimeout = cfg.Timeout
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

// Up reports whether the platform is available. It returns false from the third
// consecutive failure on, or once there was no good response for OutageAfter,
// until the next one. A response is good if its status is below 500.
func (c *Client) Up() bool {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return !c.down && (c.cfg.OutageAfter == 0 || time.Since(c.lastSuccess) < c.cfg.OutageAfter)
}

// TimeSinceSuccess returns the time since the last good response, as defined for Up.
func (c *Client) TimeSinceSuccess() time.Duration {
	c.stateMu.Lock()
	defer c.stateMu.Unlock()
	return time.Since(c.lastSuccess)
}

// ConfirmUp records that the platform gave another instance a good response at a
// time. It ends an outage unless a call of this client has failed since
// OutageAfter.
func (c *Client) ConfirmUp(at time.Time) {
	c.stateMu.Lock()
	if at.After(c.lastSuccess) {
		c.lastSuccess = at
	}
	ended := c.down && at.Sub(c.lastFailure) > c.cfg.OutageAfter
	c.stateMu.Unlock()
	if ended {
		c.recordResult(true)
	}
}

// Era returns the era that the store has stated last.
func (c *Client) Era() EraState {
	return c.era.get()
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	resp, err := c.read(ctx, callRead, key, c.cfg.Dialect.Get(key), MaxValueBytes+maxEnvelopeBytes)
	if err != nil {
		return Object{}, err
	}
	object, err := c.cfg.Dialect.ReadObject(key, resp)
	if err != nil {
		return Object{}, newError(KindUnavailable, key, err)
	}
	return object, nil
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, key Key, value []byte) (nutmegid.Version, error) {
	return c.put(ctx, key, len(value), c.cfg.Dialect.Create(key, value))
}

// Replace writes an object if its current version is the given one.
func (c *Client) Replace(ctx context.Context, key Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	return c.put(ctx, key, len(value), c.cfg.Dialect.Replace(key, value, version))
}

func (c *Client) put(ctx context.Context, key Key, size int, request Request) (nutmegid.Version, error) {
	if size > MaxValueBytes {
		return 0, newError(KindTooLarge, key, fmt.Errorf("value has %d bytes", size))
	}
	resp, err := c.write(ctx, callWrite, key, request)
	if err != nil {
		return 0, err
	}
	object, err := c.cfg.Dialect.ReadObject(key, resp)
	if err != nil {
		return 0, newError(KindUnknown, key, err)
	}
	return object.Version, nil
}

// Delete removes an object if its current version is the given one.
func (c *Client) Delete(ctx context.Context, key Key, version nutmegid.Version) error {
	_, err := c.write(ctx, callDelete, key, c.cfg.Dialect.Delete(key, version))
	return err
}

// List returns all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	objects, _, err := c.listAll(ctx, ListRequest{Kind: kind, Prefix: prefix})
	return objects, err
}

// ListStale lists all objects of a kind from a cached copy, which is cheaper
// but may be seconds old.
func (c *Client) ListStale(ctx context.Context, kind string) ([]Object, error) {
	objects, _, err := c.listAll(ctx, ListRequest{Kind: kind, Stale: true})
	return objects, err
}

// listAll reads all pages of a list. It also returns the version of the store
// before the first page was read, or 0 if the platform does not report it.
func (c *Client) listAll(ctx context.Context, request ListRequest) ([]Object, nutmegid.Version, error) {
	key := Key{Kind: request.Kind, Name: request.Prefix}
	var objects []Object
	var storeVersion nutmegid.Version
	for {
		resp, err := c.read(ctx, callList, key, c.cfg.Dialect.List(request), maxListBytes)
		if err != nil {
			return nil, 0, err
		}
		page, err := c.cfg.Dialect.ReadPage(request.Kind, resp)
		if err != nil {
			return nil, 0, newError(KindUnavailable, key, err)
		}
		if request.After == "" {
			storeVersion = page.StoreVersion
		}
		if page.StoreVersion.Era() != storeVersion.Era() {
			return nil, 0, newError(KindUnavailable, key, errOtherEra)
		}
		objects = append(objects, page.Objects...)
		if page.Next == "" || page.Next == request.After {
			return objects, storeVersion, nil
		}
		request.After = page.Next
	}
}

// Poll returns the changes of a kind after a version as soon as there are any,
// or no changes once wait has passed. An error of KindCompacted means that the
// platform no longer keeps that version, or never had it in its present era. The
// dialect must be a Poller.
func (c *Client) Poll(ctx context.Context, kind string, since nutmegid.Version, wait time.Duration) (Changes, error) {
	key := Key{Kind: kind}
	poller, ok := c.cfg.Dialect.(Poller)
	if !ok {
		return Changes{}, newError(KindUnavailable, key, errors.New("the platform's API does not support polling for changes"))
	}
	if c.Era().Era > since.Era() {
		return Changes{}, newError(KindCompacted, key, errOtherEra)
	}
	if err := c.admit(ctx, key, c.readLimiter, callWatch); err != nil {
		return Changes{}, err
	}
	resp, err := c.do(ctx, call{Request: poller.Poll(kind, since, wait), limiter: c.readLimiter, maxBytes: maxListBytes, wait: wait, timeout: c.pollMargin})
	if err != nil {
		return Changes{}, newError(KindUnavailable, key, err)
	}
	if resp.Status != http.StatusOK {
		return Changes{}, c.statusError(resp, key, KindUnavailable)
	}
	changes, err := poller.ReadChanges(kind, resp)
	if err != nil {
		return Changes{}, newError(KindUnavailable, key, err)
	}
	if changes.StoreVersion.Era() != since.Era() {
		return Changes{}, newError(KindCompacted, key, errOtherEra)
	}
	return changes, nil
}

// read makes a read-only call and returns its successful response.
func (c *Client) read(ctx context.Context, kind callKind, key Key, request Request, limit int64) (Response, error) {
	if err := c.admit(ctx, key, c.readLimiter, kind); err != nil {
		return Response{}, err
	}
	resp, err := c.do(ctx, call{Request: request, limiter: c.readLimiter, maxBytes: limit, timeout: c.callTimeout})
	if err != nil {
		return Response{}, newError(KindUnavailable, key, err)
	}
	if resp.Status != http.StatusOK {
		return Response{}, c.statusError(resp, key, KindUnavailable)
	}
	return resp, nil
}

// write makes a call that changes an object and returns its successful response.
func (c *Client) write(ctx context.Context, kind callKind, key Key, request Request) (Response, error) {
	if err := c.admit(ctx, key, c.writeLimiter, kind); err != nil {
		return Response{}, err
	}
	resp, err := c.do(ctx, call{Request: request, limiter: c.writeLimiter, maxBytes: MaxValueBytes + maxEnvelopeBytes, timeout: c.callTimeout})
	if err != nil {
		return Response{}, newError(writeErrorKind(err), key, err)
	}
	switch resp.Status {
	case http.StatusOK, http.StatusCreated, http.StatusNoContent:
		return resp, nil
	}
	return Response{}, c.statusError(resp, key, KindUnknown)
}

// admit counts a call by its kind and waits until the rate limiter admits it.
func (c *Client) admit(ctx context.Context, key Key, limiter *adaptiveLimiter, call callKind) error {
	c.count(string(call))
	if err := limiter.wait(ctx); err != nil {
		c.count("store_not_admitted")
		return newError(KindUnavailable, key, err)
	}
	return nil
}

func (c *Client) count(name string) {
	metrics.GetOrRegisterCounter(name, c.cfg.Metrics).Inc(1)
}

// call is one call with its limits.
type call struct {
	Request
	limiter  *adaptiveLimiter
	maxBytes int64         // of the response's body
	wait     time.Duration // that the call asks for; zero for a response at once
	timeout  *adaptiveTimeout
}

// do sends a call and reads its response.
func (c *Client) do(ctx context.Context, r call) (Response, error) {
	start := time.Now()
	resp, err := c.exchange(ctx, r)
	if err != nil {
		c.recordFailure(ctx)
		if errors.Is(err, context.DeadlineExceeded) && ctx.Err() == nil {
			r.timeout.recordFailure()
			// The other kept connections may be silent as well.
			c.cfg.HTTP.CloseIdleConnections()
		}
		return Response{}, err
	}
	r.timeout.recordResponse(time.Since(start) - r.wait)
	if int64(len(resp.Body)) > r.maxBytes {
		return Response{}, fmt.Errorf("response exceeds %d bytes", r.maxBytes)
	}
	r.limiter.adjust(resp.Status == http.StatusTooManyRequests)
	if resp.Status == http.StatusTooManyRequests {
		c.count("store_limited")
	}
	c.recordResult(resp.Status < http.StatusInternalServerError)
	return resp, c.observeEra(resp)
}

// observeEra records the era that a response states. A response from an older era is
// an error.
func (c *Client) observeEra(resp Response) error {
	era, err := c.cfg.Dialect.ReadEra(resp)
	if err != nil {
		return err
	}
	if era == 0 {
		return nil
	}
	before, isNew, err := c.era.observe(era)
	if err != nil {
		c.count("store_old_responses")
		return err
	}
	if isNew && before.Era != 0 {
		c.count("store_restores")
		if c.cfg.OnRestore != nil {
			c.cfg.OnRestore(before.Era, era)
		}
	}
	return nil
}

// exchange sends a call and reads its response, of whose body it reads at most one
// byte more than allowed.
func (c *Client) exchange(ctx context.Context, r call) (Response, error) {
	ctx, cancel := context.WithTimeout(ctx, r.wait+r.timeout.get())
	defer cancel()
	req, err := c.request(ctx, r.Request)
	if err != nil {
		return Response{}, err
	}
	resp, err := c.cfg.HTTP.Do(req)
	if err != nil {
		return Response{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, r.maxBytes+1))
	return Response{Status: resp.StatusCode, Header: resp.Header, Body: body}, err
}

func (c *Client) request(ctx context.Context, request Request) (*http.Request, error) {
	req, err := http.NewRequestWithContext(ctx, request.Method, c.cfg.BaseURL+request.Path, bytes.NewReader(request.Body))
	if err != nil {
		return nil, err
	}
	for name, values := range request.Header {
		req.Header[name] = values
	}
	return req, nil
}

// recordFailure counts a call without a response as a failure, unless the caller
// cancelled it.
func (c *Client) recordFailure(caller context.Context) {
	if caller.Err() == nil {
		c.recordResult(false)
	}
}

// writeErrorKind returns KindUnavailable for a write that failed to connect and
// so had no effect, and KindUnknown for one that may have reached the platform.
func writeErrorKind(err error) ErrorKind {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return KindUnavailable
	}
	return KindUnknown
}

// recordResult counts consecutive failures and reports the start and end of an
// outage.
func (c *Client) recordResult(ok bool) {
	if ok {
		c.consecutiveFailures.Store(0)
		c.setDown(false)
		return
	}
	c.count("store_failures")
	c.stateMu.Lock()
	c.lastFailure = time.Now()
	c.stateMu.Unlock()
	if c.consecutiveFailures.Add(1) >= outageThreshold {
		c.setDown(true)
	}
}

func (c *Client) setDown(down bool) {
	c.stateMu.Lock()
	changed := c.down != down
	c.down = down
	if !down {
		c.lastSuccess = time.Now()
	}
	c.stateMu.Unlock()
	if changed && c.cfg.OnStateChange != nil {
		c.cfg.OnStateChange(!down)
	}
}

// statusError returns the error for a response with an unsuccessful status, of
// kind fallback where the status implies no other. A conflict carries the
// current object if the platform sent it.
func (c *Client) statusError(resp Response, key Key, fallback ErrorKind) error {
	err := fmt.Errorf("platform responded with status %d: %s", resp.Status, excerpt(resp.Body))
	switch resp.Status {
	case http.StatusNotFound:
		return newError(KindNotFound, key, err)
	case http.StatusPreconditionFailed, http.StatusConflict:
		conflict := newError(KindConflict, key, err)
		if object, ok := c.cfg.Dialect.ReadConflict(key, resp); ok {
			conflict.Current = &object
		}
		return conflict
	case http.StatusGone:
		return newError(KindCompacted, key, err)
	case http.StatusRequestEntityTooLarge:
		return newError(KindTooLarge, key, err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return newError(KindUnavailable, key, err)
	}
	return newError(fallback, key, err)
}

// excerpt returns the beginning of a response body for use in an error.
func excerpt(body []byte) []byte {
	body = bytes.TrimSpace(body)
	return body[:min(len(body), maxExcerptBytes)]
}
