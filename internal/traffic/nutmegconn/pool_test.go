package nutmegconn

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// script is an upstream that answers each connection's requests in turn with
// raw bytes, then closes it or leaves it open.
type script struct {
	listener net.Listener
	answers  [][]string // of each connection
	stay     bool       // leave connections open after the last answer
	requests chan string
	done     chan struct{}
}

func newScript(t *testing.T, stay bool, answers ...[]string) *script {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &script{listener: l, answers: answers, stay: stay, requests: make(chan string, 100), done: make(chan struct{})}
	go s.run()
	t.Cleanup(func() {
		_ = l.Close()
		<-s.done
	})
	return s
}

func (s *script) run() {
	defer close(s.done)
	for _, answers := range s.answers {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.serve(conn, answers)
	}
}

func (s *script) serve(conn net.Conn, answers []string) {
	reader := bufio.NewReader(conn)
	for _, answer := range answers {
		req, err := http.ReadRequest(reader)
		if err != nil {
			break
		}
		body, _ := io.ReadAll(req.Body)
		s.requests <- req.Method + " " + req.RequestURI + " " + string(body)
		if _, err := io.WriteString(conn, answer); err != nil {
			break
		}
	}
	if !s.stay {
		_ = conn.Close()
	}
}

func (s *script) address() string {
	return s.listener.Addr().String()
}

func get(address, id string) Request {
	return Request{
		Address: address,
		HTTP: &http.Request{
			Method: http.MethodGet, URL: &url.URL{Scheme: "http", Opaque: "/" + id}, Host: "desk", Header: http.Header{"User-Agent": {""}},
			Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		},
		Belongs: func(resp *http.Response) bool { return resp.Header.Get("Id") == id },
	}
}

func newTestPool(t *testing.T) *Pool {
	t.Helper()
	p := NewPool(PoolConfig{Dial: NewDialer(DialerConfig{}).Dial})
	p.Start()
	t.Cleanup(p.Stop)
	return p
}

func answer(id, body string) string {
	return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + string(rune('0'+len(body))) + "\r\n\r\n" + body
}

// read sends a request and reads its answer whole.
func read(t *testing.T, p *Pool, r Request) (string, error) {
	t.Helper()
	resp, err := p.Send(t.Context(), r)
	if err != nil {
		return "", err
	}
	defer resp.Close()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

func TestAConnectionServesManyRequests(t *testing.T) {
	s := newScript(t, true, []string{answer("a", "one"), answer("b", "two")})
	p := newTestPool(t)
	for id, want := range map[string]string{"a": "one"} {
		got, err := read(t, p, get(s.address(), id))
		if err != nil || got != want {
			t.Errorf("answer %q, %v; want %q", got, err, want)
		}
	}
	got, err := read(t, p, get(s.address(), "b"))
	if err != nil || got != "two" {
		t.Errorf("answer on the kept connection %q, %v; want \"two\"", got, err)
	}
}

func TestALateSecondAnswerIsGivenToNobody(t *testing.T) {
	// The second answer to the first request comes when the next one is due.
	s := newScript(t, true, []string{answer("a", "one"), answer("a", "dup") + answer("b", "two")})
	p := newTestPool(t)
	if _, err := read(t, p, get(s.address(), "a")); err != nil {
		t.Fatal(err)
	}
	got, err := read(t, p, get(s.address(), "b"))
	if err != nil || got != "two" {
		t.Errorf("answer %q, %v; want the request's own", got, err)
	}
}

func TestBytesThatNobodyAskedForEndTheConnection(t *testing.T) {
	s := newScript(t, true, []string{answer("a", "one") + "HTTP/1.1 200 OK\r\n"}, []string{answer("b", "two")})
	p := newTestPool(t)
	if _, err := read(t, p, get(s.address(), "a")); err != nil {
		t.Fatal(err)
	}
	got, err := read(t, p, get(s.address(), "b"))
	if err != nil || got != "two" {
		t.Errorf("answer %q, %v; want one of a new connection", got, err)
	}
}

func TestAClosedKeptConnectionIsNotUsed(t *testing.T) {
	s := newScript(t, false, []string{answer("a", "one")}, []string{answer("b", "two")})
	p := newTestPool(t)
	if _, err := read(t, p, get(s.address(), "a")); err != nil {
		t.Fatal(err)
	}
	// The close of the other end arrives at some time; the test waits for it as
	// the pool sees it.
	for p.idle[s.address()][0].quiet() {
		time.Sleep(time.Millisecond)
	}
	got, err := read(t, p, get(s.address(), "b"))
	if err != nil || got != "two" {
		t.Errorf("answer %q, %v; want one of a new connection", got, err)
	}
}

func TestARequestIsNeverSentTwice(t *testing.T) {
	s := newScript(t, false, []string{answer("a", "one"), ""}, []string{answer("b", "two")})
	p := newTestPool(t)
	if _, err := read(t, p, get(s.address(), "a")); err != nil {
		t.Fatal(err)
	}
	_, err := read(t, p, get(s.address(), "b"))
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent != SentAll || !failed.Reused {
		t.Fatalf("error is %v; want one that says that all was sent on a used connection", err)
	}
	want := []string{"GET /a ", "GET /b "}
	got := []string{<-s.requests, <-s.requests}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("requests (-want +got):\n%s", diff)
	}
	select {
	case more := <-s.requests:
		t.Errorf("request %q was sent by the pool itself", more)
	default:
	}
}

func TestAShortAnswerIsAnError(t *testing.T) {
	s := newScript(t, false, []string{"HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 9\r\n\r\nshort"})
	_, err := read(t, newTestPool(t), get(s.address(), "a"))
	if !errors.Is(err, io.ErrUnexpectedEOF) {
		t.Errorf("error is %v, want %v", err, io.ErrUnexpectedEOF)
	}
}

func TestAnAnswerWithoutLengthEndsWithItsConnection(t *testing.T) {
	s := newScript(t, false, []string{"HTTP/1.1 200 OK\r\nId: a\r\n\r\nall of it"})
	got, err := read(t, newTestPool(t), get(s.address(), "a"))
	if err != nil || got != "all of it" {
		t.Errorf("answer %q, %v", got, err)
	}
}

func TestACancelledRequestClosesItsConnection(t *testing.T) {
	s := newScript(t, true, []string{""})
	ctx, cancel := context.WithCancelCause(t.Context())
	cause := errors.New("the caller left")
	go func() {
		<-s.requests
		cancel(cause)
	}()
	_, err := newTestPool(t).Send(ctx, get(s.address(), "a"))
	if !errors.Is(err, cause) {
		t.Errorf("error is %v, want %v", err, cause)
	}
}

func TestAnUnreachableUpstreamHasSeenNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	_ = l.Close()
	_, err = newTestPool(t).Send(t.Context(), get(l.Addr().String(), "a"))
	var failed *Error
	if !errors.As(err, &failed) || failed.Sent != SentNothing {
		t.Errorf("error is %v, want one that says that nothing was sent", err)
	}
}

func TestTheUpstreamsIdleLimitIsKept(t *testing.T) {
	resp := &http.Response{Header: http.Header{"Keep-Alive": {"timeout=3, max=100"}}}
	if diff := cmp.Diff(3*time.Second-idleMargin, idleLimitOf(resp, time.Minute)); diff != "" {
		t.Errorf("limit (-want +got):\n%s", diff)
	}
	resp.Header = http.Header{"Keep-Alive": {strings.Repeat("x", 10)}}
	if diff := cmp.Diff(time.Minute, idleLimitOf(resp, time.Minute)); diff != "" {
		t.Errorf("limit without a stated one (-want +got):\n%s", diff)
	}
}
