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
// Update resolves lost answers: every object remembers the write ids of its
// latest writes, so a writer that got no answer reads the object and sees
// whether its write took effect. Errors are of type *Error; their kind says
// whether a write had no effect, or may have had one.
package nutmegstore

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"golang.org/x/time/rate"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// ClientConfig configures a client.
type ClientConfig struct {
	BaseURL         string
	HTTP            *http.Client     // a client without overall timeout; made when nil
	Timeout         time.Duration    // of one call; DefaultTimeout when zero
	WritesPerSecond float64          // DefaultWritesPerSecond when zero
	ReadsPerSecond  float64          // DefaultReadsPerSecond when zero
	WatchHeartbeat  time.Duration    // DefaultWatchHeartbeat when zero
	Metrics         metrics.Registry // a private registry when nil
	OnState         func(up bool)    // called when an outage starts or ends
}

// Client calls the platform's object API.
type Client struct {
	cfg    ClientConfig
	writes *rate.Limiter
	reads  *rate.Limiter
	fails  atomic.Int64
	state  sync.Mutex
	down   bool
}

// NewClient returns a client for the platform at cfg.BaseURL.
func NewClient(cfg ClientConfig) *Client {
	cfg = withDefaults(cfg)
	return &Client{
		cfg:    cfg,
		writes: rate.NewLimiter(rate.Limit(cfg.WritesPerSecond), int(cfg.WritesPerSecond)+1),
		reads:  rate.NewLimiter(rate.Limit(cfg.ReadsPerSecond), int(cfg.ReadsPerSecond)+1),
	}
}

func withDefaults(cfg ClientConfig) ClientConfig {
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 16}}
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
// row until the next success.
func (c *Client) Up() bool {
	c.state.Lock()
	defer c.state.Unlock()
	return !c.down
}

// Get reads one object.
func (c *Client) Get(ctx context.Context, key Key) (Object, error) {
	if err := c.admit(ctx, key, c.reads, "store_reads"); err != nil {
		return Object{}, err
	}
	req, err := c.request(ctx, http.MethodGet, key, nil)
	if err != nil {
		return Object{}, err
	}
	a, err := c.do(req)
	if err != nil {
		return Object{}, newError(KindUnavailable, key, err)
	}
	if a.status == http.StatusOK {
		return Object{Key: key, Version: a.version, Value: a.body}, nil
	}
	return Object{}, a.failure(key, KindUnavailable)
}

// Create writes an object that must not exist yet.
func (c *Client) Create(ctx context.Context, key Key, value []byte) (nutmegid.Version, error) {
	return c.put(ctx, key, value, "If-None-Match", "*")
}

// Replace writes an object whose present version must be the given one.
func (c *Client) Replace(ctx context.Context, key Key, value []byte, version nutmegid.Version) (nutmegid.Version, error) {
	return c.put(ctx, key, value, "If-Match", quoteVersion(version))
}

func (c *Client) put(ctx context.Context, key Key, value []byte, header, condition string) (nutmegid.Version, error) {
	if len(value) > MaxValueBytes {
		return 0, newError(KindTooLarge, key, fmt.Errorf("value has %d bytes", len(value)))
	}
	if err := c.admit(ctx, key, c.writes, "store_writes"); err != nil {
		return 0, err
	}
	req, err := c.request(ctx, http.MethodPut, key, value)
	if err != nil {
		return 0, err
	}
	req.Header.Set(header, condition)
	a, err := c.do(req)
	if err != nil {
		return 0, newError(KindUnknown, key, err)
	}
	if a.status == http.StatusOK || a.status == http.StatusCreated {
		return a.version, nil
	}
	return 0, a.failure(key, KindUnknown)
}

// Delete removes an object whose present version must be the given one.
func (c *Client) Delete(ctx context.Context, key Key, version nutmegid.Version) error {
	if err := c.admit(ctx, key, c.writes, "store_writes"); err != nil {
		return err
	}
	req, err := c.request(ctx, http.MethodDelete, key, nil)
	if err != nil {
		return err
	}
	req.Header.Set("If-Match", quoteVersion(version))
	a, err := c.do(req)
	if err != nil {
		return newError(KindUnknown, key, err)
	}
	if a.status == http.StatusNoContent || a.status == http.StatusOK {
		return nil
	}
	return a.failure(key, KindUnknown)
}

// listItem is one object in a list or watch answer of the platform.
type listItem struct {
	Type    string           `json:"type,omitempty"`
	Name    string           `json:"name"`
	Version nutmegid.Version `json:"version"`
	Value   []byte           `json:"value"`
}

// List reads all objects of a kind whose names start with prefix.
func (c *Client) List(ctx context.Context, kind, prefix string) ([]Object, error) {
	key := Key{Kind: kind, Name: prefix}
	if err := c.admit(ctx, key, c.reads, "store_lists"); err != nil {
		return nil, err
	}
	req, err := c.listRequest(ctx, kind, prefix, "")
	if err != nil {
		return nil, newError(KindUnavailable, key, err)
	}
	a, err := c.do(req)
	if err != nil {
		return nil, newError(KindUnavailable, key, err)
	}
	if a.status != http.StatusOK {
		return nil, a.failure(key, KindUnavailable)
	}
	var items []listItem
	if err := json.Unmarshal(a.body, &items); err != nil {
		return nil, newError(KindUnavailable, key, fmt.Errorf("list is not JSON: %w", err))
	}
	objects := make([]Object, 0, len(items))
	for _, item := range items {
		objects = append(objects, item.object(kind))
	}
	return objects, nil
}

func (i listItem) object(kind string) Object {
	return Object{Key: Key{Kind: kind, Name: i.Name}, Version: i.Version, Value: i.Value}
}

// Watch calls fn with each present object of the kind and then with each
// change, until ctx ends, the stream breaks, or no message has come for three
// heartbeats. The caller watches again after an error.
func (c *Client) Watch(ctx context.Context, kind, prefix string, fn func(Object)) error {
	key := Key{Kind: kind, Name: prefix}
	if err := c.admit(ctx, key, c.reads, "store_watches"); err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := c.listRequest(ctx, kind, prefix, "1")
	if err != nil {
		return newError(KindUnavailable, key, err)
	}
	silence := time.AfterFunc(c.cfg.Timeout+watchSilence*c.cfg.WatchHeartbeat, cancel)
	defer silence.Stop()
	resp, err := c.cfg.HTTP.Do(req)
	c.note(err == nil)
	if err != nil {
		return newError(KindUnavailable, key, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return answer{status: resp.StatusCode}.failure(key, KindUnavailable)
	}
	lines := bufio.NewScanner(resp.Body)
	lines.Buffer(make([]byte, 64<<10), 2*MaxValueBytes)
	for lines.Scan() {
		silence.Reset(watchSilence * c.cfg.WatchHeartbeat)
		var item listItem
		if err := json.Unmarshal(lines.Bytes(), &item); err != nil {
			return newError(KindUnavailable, key, fmt.Errorf("watch line is not JSON: %w", err))
		}
		if item.Type != "bookmark" {
			fn(item.object(kind))
		}
	}
	return newError(KindUnavailable, key, fmt.Errorf("watch ended: %w", io.ErrUnexpectedEOF))
}

func (c *Client) admit(ctx context.Context, key Key, limiter *rate.Limiter, counter string) error {
	metrics.GetOrRegisterCounter(counter, c.cfg.Metrics).Inc(1)
	if err := limiter.Wait(ctx); err != nil {
		return newError(KindUnavailable, key, err)
	}
	return nil
}

func (c *Client) request(ctx context.Context, method string, key Key, value []byte) (*http.Request, error) {
	target := c.cfg.BaseURL + "/v1/objects/" + url.PathEscape(key.Kind) + "/" + url.PathEscape(key.Name)
	req, err := http.NewRequestWithContext(ctx, method, target, bytes.NewReader(value))
	if err != nil {
		return nil, newError(KindUnavailable, key, err)
	}
	return req, nil
}

func (c *Client) listRequest(ctx context.Context, kind, prefix, watch string) (*http.Request, error) {
	query := url.Values{"prefix": {prefix}}
	if watch != "" {
		query.Set("watch", watch)
	}
	target := c.cfg.BaseURL + "/v1/objects/" + url.PathEscape(kind) + "?" + query.Encode()
	return http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
}

// answer is the platform's whole answer to one call.
type answer struct {
	status  int
	version nutmegid.Version
	body    []byte
}

func (c *Client) do(req *http.Request) (answer, error) {
	ctx, cancel := context.WithTimeout(req.Context(), c.cfg.Timeout)
	defer cancel()
	resp, err := c.cfg.HTTP.Do(req.WithContext(ctx))
	if err != nil {
		c.note(false)
		return answer{}, err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		c.note(false)
		return answer{}, err
	}
	c.note(resp.StatusCode < http.StatusInternalServerError)
	return answer{status: resp.StatusCode, version: versionOf(resp.Header), body: body}, nil
}

// note counts failures in a row and reports changes between outage and service.
func (c *Client) note(ok bool) {
	if ok {
		c.fails.Store(0)
		c.setDown(false)
		return
	}
	metrics.GetOrRegisterCounter("store_failures", c.cfg.Metrics).Inc(1)
	if c.fails.Add(1) >= outageAfterFails {
		c.setDown(true)
	}
}

func (c *Client) setDown(down bool) {
	c.state.Lock()
	changed := c.down != down
	c.down = down
	c.state.Unlock()
	if changed && c.cfg.OnState != nil {
		c.cfg.OnState(!down)
	}
}

// failure is the error of an answer whose status is no success.
func (a answer) failure(key Key, otherwise ErrorKind) error {
	err := fmt.Errorf("platform answered %d: %s", a.status, bytes.TrimSpace(a.body))
	switch a.status {
	case http.StatusNotFound:
		return newError(KindNotFound, key, err)
	case http.StatusPreconditionFailed, http.StatusConflict:
		return newError(KindConflict, key, err)
	case http.StatusRequestEntityTooLarge:
		return newError(KindTooLarge, key, err)
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return newError(KindUnavailable, key, err)
	}
	return newError(otherwise, key, err)
}

func versionOf(h http.Header) nutmegid.Version {
	text := strings.Trim(h.Get("ETag"), `"`)
	version, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0
	}
	return nutmegid.Version(version)
}

func quoteVersion(version nutmegid.Version) string {
	return `"` + strconv.FormatUint(uint64(version), 10) + `"`
}
