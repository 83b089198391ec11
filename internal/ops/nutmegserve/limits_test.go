package nutmegserve

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegaccount"
)

// limitedServer serves requests with their bodies under limits.
type limitedServer struct {
	address string
	account *nutmegaccount.Account
	refused chan Refusal
}

func startLimited(t *testing.T, bounds nutmegaccount.Config, head HeadLimits) *limitedServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	s := &limitedServer{address: l.Addr().String(), account: nutmegaccount.New(bounds), refused: make(chan Refusal, 100)}
	start := time.Now()
	server := Start(l, Config{
		Log: logrus.NewEntry(log), HeaderTimeout: time.Hour, IdleTimeout: time.Hour,
		Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { _, _ = io.Copy(w, r.Body) }),
		Limits: &Limits{
			Account: s.account,
			Elapsed: func() time.Duration { return time.Since(start) },
			Head:    func() HeadLimits { return head },
			Refuse: func(r Refusal) []byte {
				s.refused <- r
				return []byte("HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
			},
		},
	})
	t.Cleanup(server.Kill)
	return s
}

// exchange sends a request on a connection and returns the status of the answer, 0 if
// there is none.
func exchange(t *testing.T, c net.Conn, request string) int {
	t.Helper()
	if _, err := io.WriteString(c, request); err != nil {
		return 0
	}
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	return resp.StatusCode
}

const plentyOfMemory = 1 << 30

func TestHeadOverTheLimitIsRefused(t *testing.T) {
	s := startLimited(t, nutmegaccount.Config{Connections: 10, Memory: plentyOfMemory}, HeadLimits{Bytes: 1000})
	long := "A: " + strings.Repeat("x", 1000) + "\r\n"
	c := dial(t, s.address)
	// A body is no part of the head, and each request has a limit of its own.
	for range 3 {
		if status := exchange(t, c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000\r\n\r\n"+strings.Repeat("\n", 2000)); status != http.StatusOK {
			t.Fatalf("request inside the limit: status %d", status)
		}
	}
	if status := exchange(t, c, "GET / HTTP/1.1\r\nHost: h\r\n"+long+"\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("request over the limit: status %d", status)
	}
	if r := <-s.refused; r != RefusedHeadSize {
		t.Errorf("refused for %q", r)
	}
	if status := exchange(t, dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Errorf("next connection: status %d", status)
	}
}

func TestHeadWithoutMemoryIsRefused(t *testing.T) {
	s := startLimited(t, nutmegaccount.Config{Connections: 10, Memory: 8 * nutmegaccount.ConnectionMemory}, HeadLimits{})
	lines := strings.Repeat("a:\r\n", 1000)
	if status := exchange(t, dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n"+lines+"\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("request with many lines: status %d", status)
	}
	if r := <-s.refused; r != RefusedMemory {
		t.Errorf("refused for %q", r)
	}
	if status := exchange(t, dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Errorf("ordinary request: status %d", status)
	}
}

func TestConnectionsOverTheLimitAreRefusedWithAnAnswer(t *testing.T) {
	s := startLimited(t, nutmegaccount.Config{Connections: 1, Memory: plentyOfMemory}, HeadLimits{})
	first := dial(t, s.address)
	if status := exchange(t, first, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Fatalf("first connection: status %d", status)
	}
	if status := exchange(t, dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusServiceUnavailable {
		t.Errorf("second connection: status %d", status)
	}
	if r := <-s.refused; r != RefusedConnection {
		t.Errorf("refused for %q", r)
	}
	_ = first.Close()
	for u := s.account.Usage(); u.Idle+u.Busy > 0; u = s.account.Usage() {
		time.Sleep(time.Millisecond)
	}
	if status := exchange(t, dial(t, s.address), "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Errorf("third connection: status %d", status)
	}
}

// TestSlowHeadsEndInTime guards against callers that hold connections with parts of a
// head, also of one that follows a request.
func TestSlowHeadsEndInTime(t *testing.T) {
	s := startLimited(t, nutmegaccount.Config{Connections: 10, Memory: plentyOfMemory}, HeadLimits{Timeout: 20 * time.Millisecond, IdleTimeout: time.Hour})
	silent, partly, kept := dial(t, s.address), dial(t, s.address), dial(t, s.address)
	send(t, partly, "GET /")
	if status := exchange(t, kept, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
		t.Fatalf("kept connection: status %d", status)
	}
	send(t, kept, "G")
	for _, c := range []net.Conn{silent, partly, kept} {
		if _, err := io.Copy(io.Discard, c); err != nil {
			t.Errorf("connection did not end: %v", err)
		}
	}
}

// TestIdleConnectionsMayWait checks that the time of a head does not end a connection
// between two requests.
func TestIdleConnectionsMayWait(t *testing.T) {
	s := startLimited(t, nutmegaccount.Config{Connections: 10, Memory: plentyOfMemory}, HeadLimits{Timeout: 20 * time.Millisecond, IdleTimeout: time.Hour})
	c := dial(t, s.address)
	for range 2 {
		if status := exchange(t, c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n"); status != http.StatusOK {
			t.Fatalf("status %d", status)
		}
		time.Sleep(100 * time.Millisecond)
	}
}

func TestBytesWithoutAnswerAreLimited(t *testing.T) {
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	account := nutmegaccount.New(nutmegaccount.Config{Connections: 10, Memory: 10 * nutmegaccount.ConnectionMemory})
	l := LimitListener(raw, &Limits{Account: account, Elapsed: func() time.Duration { return 0 }})
	t.Cleanup(func() { _ = l.Close() })
	c := dial(t, l.Addr().String())
	accepted, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	part := make([]byte, 4<<10)
	for range 100 { // each is answered
		send(t, c, string(part))
		if _, err := io.ReadFull(accepted, part); err != nil {
			t.Fatal(err)
		}
		if _, err := accepted.Write(part[:1]); err != nil {
			t.Fatal(err)
		}
	}
	go func() {
		for {
			if _, err := c.Write(part); err != nil {
				return
			}
		}
	}()
	read, err := io.Copy(io.Discard, accepted)
	if err == nil || read > int64(account.Usage().Memory) {
		t.Errorf("%d bytes were read without an answer, error %v", read, err)
	}
	_ = accepted.Close()
	if u := account.Usage(); u.Memory != 0 {
		t.Errorf("%d bytes are taken after the end", u.Memory)
	}
}

// BenchmarkRequests compares the cost of requests on a kept connection with and without
// limits.
func BenchmarkRequests(b *testing.B) {
	handler := http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "answer") })
	request := "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("X-Some-Header: some value\r\n", 15) + "\r\n"
	start := time.Now()
	limits := &Limits{
		Account: nutmegaccount.New(nutmegaccount.Config{Connections: 10, Memory: plentyOfMemory}),
		Elapsed: func() time.Duration { return time.Since(start) },
		Head: func() HeadLimits {
			return HeadLimits{Bytes: 16 << 10, Timeout: 3 * time.Second, IdleTimeout: 15 * time.Second}
		},
	}
	for name, cfg := range map[string]Config{"none": {Handler: handler}, "limits": {Handler: handler, Limits: limits}} {
		b.Run(name, func(b *testing.B) {
			cfg.Log = logrus.NewEntry(logrus.New())
			cfg.HeaderTimeout, cfg.IdleTimeout = time.Hour, time.Hour
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := Start(l, cfg)
			defer server.Kill()
			c := dial(b, l.Addr().String())
			answer := make([]byte, 4<<10)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := io.WriteString(c, request); err != nil {
					b.Fatal(err)
				}
				if _, err := c.Read(answer); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
