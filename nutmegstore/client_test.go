package nutmegstore

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

const testHeartbeat = 20 * time.Millisecond

// scriptedPlatform serves lists from its items and runs a script for each watch.
type scriptedPlatform struct {
	mu      sync.Mutex
	items   []listItem
	watches int
	script  func(watch int, send func(listItem))
}

func (p *scriptedPlatform) set(items ...listItem) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items = items
}

func (p *scriptedPlatform) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	items := p.items
	if r.URL.Query().Get("watch") == "" {
		p.mu.Unlock()
		_ = json.NewEncoder(w).Encode(items)
		return
	}
	p.watches++
	watch := p.watches
	p.mu.Unlock()
	w.WriteHeader(http.StatusOK)
	_ = http.NewResponseController(w).Flush()
	p.script(watch, func(i listItem) {
		_ = json.NewEncoder(w).Encode(i)
		_ = http.NewResponseController(w).Flush()
	})
	<-r.Context().Done()
}

func testClient(t *testing.T, h http.Handler) *Client {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	return NewClient(ClientConfig{BaseURL: server.URL, WatchHeartbeat: testHeartbeat})
}

// follow collects the objects that Follow delivers until there are n of them.
func follow(t *testing.T, c *Client, n int, onObject func(Object)) []Object {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	var objects []Object
	c.Follow(ctx, "k", "", func(o Object) {
		objects = append(objects, o)
		onObject(o)
		if len(objects) == n {
			cancel()
		}
	})
	return objects
}

func TestFollowListsAgainAfterASilentWatch(t *testing.T) {
	p := &scriptedPlatform{script: func(int, func(listItem)) {}} // watches send no messages
	p.set(listItem{Name: "a", Version: 1, Value: []byte("1")}, listItem{Name: "b", Version: 2, Value: []byte("2")})
	c := testClient(t, p)
	got := follow(t, c, 4, func(o Object) {
		if o.Key.Name == "b" && !o.Deleted {
			p.set(listItem{Name: "a", Version: 3, Value: []byte("3")})
		}
	})
	want := []Object{
		{Key: Key{"k", "a"}, Version: 1, Value: []byte("1")},
		{Key: Key{"k", "b"}, Version: 2, Value: []byte("2")},
		{Key: Key{"k", "a"}, Version: 3, Value: []byte("3")},
		{Key: Key{"k", "b"}, Version: 2, Deleted: true},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("objects (-want +got):\n%s", diff)
	}
	if n := metrics.GetOrRegisterCounter("store_silent_watches", c.cfg.Metrics).Count(); n == 0 {
		t.Error("no silent watch was counted")
	}
}

func TestFollowReportsDeletionsAndNoOlderVersion(t *testing.T) {
	p := &scriptedPlatform{script: func(_ int, send func(listItem)) {
		send(listItem{Type: lineBookmark})
		send(listItem{Name: "a", Version: 2, Value: []byte("2")})
		send(listItem{Name: "a", Version: 1, Value: []byte("1")})
		send(listItem{Type: lineDeleted, Name: "a", Version: 4})
		send(listItem{Name: "a", Version: 5, Value: []byte("5")})
	}}
	got := follow(t, testClient(t, p), 3, func(Object) {})
	want := []Object{
		{Key: Key{"k", "a"}, Version: 2, Value: []byte("2")},
		{Key: Key{"k", "a"}, Version: 4, Value: []byte{}, Deleted: true},
		{Key: Key{"k", "a"}, Version: 5, Value: []byte("5")},
	}
	opt := cmp.Transformer("text", func(b []byte) string { return string(b) })
	if diff := cmp.Diff(want, got, opt); diff != "" {
		t.Errorf("objects (-want +got):\n%s", diff)
	}
}

// TestKindsOfWriteFailures checks that failed writes that may have taken effect
// are distinguished from those that did not.
func TestKindsOfWriteFailures(t *testing.T) {
	answer := func(status int, etag string) http.HandlerFunc {
		return func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("ETag", etag)
			w.WriteHeader(status)
		}
	}
	tests := []struct {
		name    string
		handler http.Handler
		want    ErrorKind
	}{
		{"limited", answer(http.StatusTooManyRequests, ""), KindUnavailable},
		{"out", answer(http.StatusServiceUnavailable, ""), KindUnavailable},
		{"gateway's timeout", answer(http.StatusGatewayTimeout, ""), KindUnknown},
		{"crash", answer(http.StatusInternalServerError, ""), KindUnknown},
		{"no version", answer(http.StatusOK, ""), KindUnknown},
		{"damaged version", answer(http.StatusOK, `"x"`), KindUnknown},
		{"other version", answer(http.StatusPreconditionFailed, ""), KindConflict},
		{"broken connection", http.HandlerFunc(func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }), KindUnknown},
	}
	for _, test := range tests {
		_, err := testClient(t, test.handler).Create(t.Context(), testKey, []byte("1"))
		if !IsKind(err, test.want) {
			t.Errorf("%s: error is %v; want kind %s", test.name, err, test.want)
		}
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	c := NewClient(ClientConfig{BaseURL: "http://" + l.Addr().String()})
	if _, err := c.Create(t.Context(), testKey, []byte("1")); !IsKind(err, KindUnavailable) {
		t.Errorf("refused connection: error is %v; want kind %s", err, KindUnavailable)
	}
}

func TestOutageStateAndCounters(t *testing.T) {
	var mu sync.Mutex
	status := http.StatusServiceUnavailable
	h := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		w.Header().Set("ETag", `"1"`)
		w.WriteHeader(status)
	})
	server := httptest.NewServer(h)
	defer server.Close()
	var states []bool
	registry := metrics.NewRegistry()
	c := NewClient(ClientConfig{BaseURL: server.URL, Metrics: registry, OnStateChange: func(up bool) { states = append(states, up) }})
	for range outageThreshold + 2 {
		_, _ = c.Get(t.Context(), testKey)
	}
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	_, _ = c.Get(cancelledCtx, testKey)
	mu.Lock()
	status = http.StatusOK
	mu.Unlock()
	_, _ = c.Get(t.Context(), testKey)
	_, _ = c.Create(t.Context(), testKey, nil)
	_ = c.Delete(t.Context(), testKey, 1)
	if diff := cmp.Diff([]bool{false, true}, states); diff != "" {
		t.Errorf("states (-want +got):\n%s", diff)
	}
	got := make(map[string]int64)
	registry.Each(func(name string, m any) { got[name] = m.(metrics.Counter).Count() })
	want := map[string]int64{
		"store_reads": outageThreshold + 4, "store_writes": 1, "store_deletes": 1,
		"store_failures": outageThreshold + 2, "store_not_admitted": 1,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("counters (-want +got):\n%s", diff)
	}
}

func TestAdaptiveLimiterDecreasesAndRecovers(t *testing.T) {
	a := newAdaptiveLimiter(100)
	a.adjust(true)
	a.adjust(true)
	if diff := cmp.Diff(25.0, float64(a.limiter.Limit())); diff != "" {
		t.Errorf("rate after two rate-limited calls (-want +got):\n%s", diff)
	}
	for range 1000 {
		a.adjust(true)
	}
	if diff := cmp.Diff(100*minRateFactor, float64(a.limiter.Limit())); diff != "" {
		t.Errorf("minimum rate (-want +got):\n%s", diff)
	}
	for range 1000 {
		a.adjust(false)
	}
	if diff := cmp.Diff(100.0, float64(a.limiter.Limit())); diff != "" {
		t.Errorf("rate after admitted calls (-want +got):\n%s", diff)
	}
}
