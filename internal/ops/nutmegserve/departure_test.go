package nutmegserve

import (
	"bufio"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
)

const request = "POST /first HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab"

// testServer serves requests whose handlers wait until their context ends or the test
// lets them answer.
type testServer struct {
	address string
	began   chan string // path of each request
	left    chan string // path of each request whose context has ended
	answer  chan struct{}
}

func newTestServer(t *testing.T, wrap func(net.Listener) net.Listener) *testServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &testServer{address: l.Addr().String(), began: make(chan string, 2), left: make(chan string, 2), answer: make(chan struct{})}
	server := Start(wrap(l), Config{Handler: s, Log: logrus.NewEntry(log)})
	t.Cleanup(server.Kill)
	return s
}

// ServeHTTP implements http.Handler.
func (s *testServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body) // net/http watches the connection only then
	s.began <- r.URL.Path
	select {
	case <-r.Context().Done():
		s.left <- r.URL.Path
		panic(http.ErrAbortHandler)
	case <-s.answer:
		_, _ = io.WriteString(w, r.URL.Path)
	}
}

func plain(l net.Listener) net.Listener { return l }

// withTLS wraps a listener with TLS over watched connections.
func withTLS(t *testing.T) func(net.Listener) net.Listener {
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)
	return func(l net.Listener) net.Listener { return tls.NewListener(Watch(l), certificate.TLS) }
}

func dial(t testing.TB, address string) net.Conn {
	t.Helper()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	return c
}

func send(t *testing.T, c net.Conn, text string) {
	t.Helper()
	if _, err := io.WriteString(c, text); err != nil {
		t.Fatal(err)
	}
}

func TestCallerThatLeavesIsNoticedBehindFurtherBytes(t *testing.T) {
	tests := []struct {
		name   string
		behind []string // each in a packet of its own
		reset  bool
	}{
		{"nothing", nil, false},
		{"line end", []string{"\r\n"}, false},
		{"line end, reset", []string{"\r\n"}, true},
		{"next request", []string{"GET /next HTTP/1.1\r\nHost: h\r\n\r\n"}, false},
		{"many bytes", []string{"G", "ET /next HTTP/1.1\r\n", "Host: h\r\n\r\n"}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			s := newTestServer(t, plain)
			c := dial(t, s.address)
			send(t, c, request)
			<-s.began
			for _, text := range tt.behind {
				time.Sleep(5 * time.Millisecond)
				send(t, c, text)
			}
			time.Sleep(5 * time.Millisecond)
			if tt.reset {
				_ = c.(*net.TCPConn).SetLinger(0)
			}
			_ = c.Close()
			<-s.left
		})
	}
}

func TestServerMayBeKilledAfterItsStop(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := Start(l, Config{Handler: http.NotFoundHandler(), Log: logrus.NewEntry(logrus.New())})
	if err := server.Stop(t.Context()); err != nil {
		t.Error(err)
	}
	server.Kill()
}

func TestCallerThatLeavesOverTLSIsNoticedBehindFurtherBytes(t *testing.T) {
	s := newTestServer(t, withTLS(t))
	raw := dial(t, s.address)
	c := tls.Client(raw, &tls.Config{InsecureSkipVerify: true})
	send(t, c, request)
	<-s.began
	send(t, c, "\r\n")
	time.Sleep(5 * time.Millisecond)
	_ = raw.Close()
	<-s.left
}

func TestBytesBehindARequestAreServedInTheirTurn(t *testing.T) {
	for _, name := range []string{"plain", "tls"} {
		t.Run(name, func(t *testing.T) {
			wrap := plain
			if name == "tls" {
				wrap = withTLS(t)
			}
			s := newTestServer(t, wrap)
			c := dial(t, s.address)
			if name == "tls" {
				c = tls.Client(c, &tls.Config{InsecureSkipVerify: true})
			}
			send(t, c, request)
			<-s.began
			send(t, c, "GET /next HTTP/1.1\r\nHost: h\r\n\r\n")
			// Several checks pass while the caller waits.
			time.Sleep(4 * departureInterval)
			reader := bufio.NewReader(c)
			for _, want := range []string{"/first", "/next"} {
				s.answer <- struct{}{}
				resp, err := http.ReadResponse(reader, nil)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(resp.Body)
				_ = resp.Body.Close()
				if err != nil || string(body) != want {
					t.Errorf("answer %q, %v; want %q", body, err, want)
				}
			}
			if len(s.left) > 0 {
				t.Errorf("the request of a caller that waits was canceled")
			}
		})
	}
}
