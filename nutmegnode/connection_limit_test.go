package nutmegnode

import (
	"bufio"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/rcrowley/go-metrics"
)

// startLimited starts a server for h with a limit on open connections.
func startLimited(t *testing.T, limit int, h http.Handler) (*httptest.Server, *connectionLimit) {
	t.Helper()
	conns := newConnectionLimit(limit, metrics.NewGauge())
	s := httptest.NewUnstartedServer(conns.enforce(h))
	s.Config.ConnState = conns.trackState
	s.Start()
	t.Cleanup(s.Close)
	return s, conns
}

// get sends one request on a connection and returns the response's status and, if
// it is an error, its kind.
func get(t *testing.T, conn net.Conn) (int, string) {
	t.Helper()
	req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://instance/", nil)
	if err != nil {
		t.Fatal(err)
	}
	if err := req.Write(conn); err != nil {
		t.Fatal(err)
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusOK {
		return resp.StatusCode, ""
	}
	var body errorBody
	if err := json.NewDecoder(resp.Body).Decode(&body); err != nil {
		t.Fatal(err)
	}
	return resp.StatusCode, body.Error.Kind
}

func dial(t *testing.T, address string) net.Conn {
	t.Helper()
	var d net.Dialer
	conn, err := d.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = conn.Close() })
	if err := conn.SetDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	return conn
}

func TestConnectionsOverTheLimitAreRefusedByKind(t *testing.T) {
	ok := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	s, conns := startLimited(t, 2, ok)
	address := s.Listener.Addr().String()
	first, second := dial(t, address), dial(t, address)
	for _, conn := range []net.Conn{first, second} {
		if status, kind := get(t, conn); status != http.StatusOK {
			t.Errorf("response within the limit is %d %s, want 200", status, kind)
		}
	}
	third := dial(t, address)
	status, kind := get(t, third)
	if diff := cmp.Diff([]any{http.StatusServiceUnavailable, "too_many_connections"}, []any{status, kind}); diff != "" {
		t.Errorf("response on the third connection (-want +got):\n%s", diff)
	}
	_ = first.Close()
	for conns.open.Load() > 1 {
		time.Sleep(time.Millisecond)
	}
	if status, kind := get(t, dial(t, address)); status != http.StatusOK {
		t.Errorf("response after a connection was closed is %d %s, want 200", status, kind)
	}
}

// stalledWriter is a ResponseWriter that records its write deadline.
type stalledWriter struct {
	http.ResponseWriter
	deadline time.Time
}

func (s *stalledWriter) SetWriteDeadline(at time.Time) error {
	s.deadline = at
	return nil
}

func TestEachWriteGetsADeadline(t *testing.T) {
	under := &stalledWriter{ResponseWriter: httptest.NewRecorder()}
	var writer http.ResponseWriter
	h := withWriteDeadlines(time.Minute, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { writer = w }))
	h.ServeHTTP(under, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
	if !under.deadline.IsZero() {
		t.Fatal("a write deadline is set before the first write")
	}
	if _, err := writer.Write([]byte("event")); err != nil {
		t.Fatal(err)
	}
	if under.deadline.IsZero() {
		t.Error("a write has no deadline; a caller that does not read can hold its connection forever")
	}
}
