package nutmegconn

import (
	"bufio"
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// TestManyInterimResponsesPrecedeFinalOne guards against a request that fails
// because its upstream reports progress often.
func TestManyInterimResponsesPrecedeFinalOne(t *testing.T) {
	s := newScriptedServer(t, true, []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 20) + response("a", "one")})
	got, err := fetch(t, newTestPool(t), newGet(s.address(), "a"))
	if err != nil || got != "one" {
		t.Errorf("response %q, error %v; want \"one\"", got, err)
	}
}

func TestInterimResponsesWithoutEndFail(t *testing.T) {
	s := newScriptedServer(t, true, []string{strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 1000)})
	if got, err := fetch(t, newTestPool(t), newGet(s.address(), "a")); err == nil {
		t.Errorf("response %q; want an error", got)
	}
}

// TestUnidentifiedCopyOnReusedConnectionIsDiscarded guards against a late copy of
// an earlier response that does not name its request.
func TestUnidentifiedCopyOnReusedConnectionIsDiscarded(t *testing.T) {
	copied := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	s := newScriptedServer(t, true, []string{response("a", "one"), copied + response("b", "two")})
	p := newTestPool(t)
	request := func(id string) Request {
		r := newGet(s.address(), id)
		check := r.Check
		r.Check = func(resp *http.Response, reused bool) error {
			if resp.Header.Get("Id") == "" && reused {
				return ErrNoRequest
			}
			return check(resp, reused)
		}
		return r
	}
	if _, err := fetch(t, p, request("a")); err != nil {
		t.Fatal(err)
	}
	got, err := fetch(t, p, request("b"))
	if err != nil || got != "two" {
		t.Errorf("response %q, error %v; want \"two\"", got, err)
	}
}

// endlessServer answers each connection with a start and then with the same bytes
// until the caller closes it.
type endlessServer struct {
	listener net.Listener
	start    string
	more     string
	done     chan struct{}
}

func newEndlessServer(t *testing.T, start, more string) *endlessServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &endlessServer{listener: l, start: start, more: strings.Repeat(more, 100), done: make(chan struct{})}
	go s.run()
	t.Cleanup(func() {
		_ = l.Close()
		<-s.done
	})
	return s
}

// run serves until the listener is closed and ends only when callers have closed
// their connections.
func (s *endlessServer) run() {
	defer close(s.done)
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		_, err = io.WriteString(conn, s.start)
		for err == nil {
			_, err = io.WriteString(conn, s.more)
		}
		_ = conn.Close()
	}
}

func TestHeadWithoutEndFails(t *testing.T) {
	starts := map[string]string{
		"header fields": "HTTP/1.1 200 OK\r\n",
		"status line":   "HTTP/1.1 200 ",
		"no response":   "",
	}
	for name, start := range starts {
		t.Run(name, func(t *testing.T) {
			s := newEndlessServer(t, start, "X-Field: value\r\n")
			if name == "no response" {
				s = newEndlessServer(t, start, "garbage ")
			}
			_, err := fetch(t, newTestPool(t), newGet(s.listener.Addr().String(), "a"))
			var failed *Error
			if !errors.As(err, &failed) || failed.Sent != SentAll {
				t.Errorf("error is %v, want *Error with Sent = SentAll", err)
			}
		})
	}
}

func TestTrailerWithoutEndFails(t *testing.T) {
	s := newEndlessServer(t, "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\none\r\n0\r\n", "X-Field: value\r\n")
	if got, err := fetch(t, newTestPool(t), newGet(s.listener.Addr().String(), "a")); err == nil {
		t.Errorf("response %q; want an error", got)
	}
}

func TestUnrelatedResponseWithoutEndFails(t *testing.T) {
	s := newEndlessServer(t, "HTTP/1.1 200 OK\r\nId: other\r\n\r\n", "more")
	_, err := fetch(t, newTestPool(t), newGet(s.listener.Addr().String(), "a"))
	if !errors.Is(err, ErrUnexpectedResponse) {
		t.Errorf("error is %v, want %v", err, ErrUnexpectedResponse)
	}
}

// TestConnectionWithUnnamedResponseIsNotReused guards against another request on a
// connection on which bytes of unknown origin have come.
func TestConnectionWithUnnamedResponseIsNotReused(t *testing.T) {
	unnamed := "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\none"
	s := newScriptedServer(t, true, []string{unnamed + response("a", "one")})
	p := newTestPool(t)
	r := newGet(s.address(), "a")
	r.Check = func(resp *http.Response, _ bool) error {
		if resp.Header.Get("Id") == "" {
			return ErrNoRequest
		}
		return nil
	}
	if got, err := fetch(t, p, r); err != nil || got != "one" {
		t.Fatalf("response %q, error %v; want \"one\"", got, err)
	}
	if idle := len(p.idle[s.address()]); idle != 0 {
		t.Errorf("%d connections are kept, want none", idle)
	}
}

// errNotThis is an error of Request.Check that ends a request.
var errNotThis = errors.New("not this one")

// TestResponseThatIsNoAnswerEndsItsConnection guards against waiting for another
// response behind one that stands in the place of the answer.
func TestResponseThatIsNoAnswerEndsItsConnection(t *testing.T) {
	s := newScriptedServer(t, true, []string{response("a", "one") + response("a", "two")})
	p := newTestPool(t)
	r := newGet(s.address(), "a")
	r.Check = func(*http.Response, bool) error { return errNotThis }
	_, err := fetch(t, p, r)
	var failed *Error
	if !errors.Is(err, errNotThis) || !errors.As(err, &failed) || failed.Sent != SentAll {
		t.Errorf("error is %v, want *Error with Sent = SentAll and cause %v", err, errNotThis)
	}
	if idle := len(p.idle[s.address()]); idle != 0 {
		t.Errorf("%d connections are kept, want none", idle)
	}
}

// newHastyServer starts a server that answers each request before it has read the body,
// without a length, and resets the connection. It returns the server's address.
func newHastyServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	go serveHasty(l, done)
	return l.Addr().String()
}

func serveHasty(l net.Listener, done chan<- struct{}) {
	defer close(done)
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReaderSize(conn, 16)); err == nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nId: a\r\n\r\npart")
		}
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

// A write of the request was told of the reset, so that the end of the connection looked
// like the end of the response (MIXED).
func TestResponseThatIsResetDuringAnUploadFails(t *testing.T) {
	address := newHastyServer(t)
	p := newTestPool(t)
	for _, size := range []int{20, 90_000, 200_000, 3_500_000} {
		for range 50 {
			r := newGet(address, "a")
			r.Body = make([]byte, size)
			if got, err := fetch(t, p, r); err == nil {
				t.Fatalf("%d bytes: %q was taken as a whole response", size, got)
			}
		}
	}
}
