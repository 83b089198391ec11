package nutmegroute

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// listenHasty starts a service that writes an answer to each request before it has read
// the body, and resets the connection.
func listenHasty(t *testing.T, answer string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go serveHasty(l, answer, done)
	t.Cleanup(func() {
		_ = l.Close()
		<-done
	})
	return "http://" + l.Addr().String()
}

func serveHasty(l net.Listener, answer string, done chan<- struct{}) {
	defer close(done)
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		if _, err := http.ReadRequest(bufio.NewReaderSize(c, 16)); err == nil {
			_, _ = io.WriteString(c, answer)
		}
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// A service answered a long upload before it had read it, without a length, sent a part
// and reset the connection: the caller got the part as a complete answer (MIXED).
func TestEarlyAnswerThatIsCutOffIsBroken(t *testing.T) {
	url := listenHasty(t, "HTTP/1.1 200 OK\r\n\r\npart")
	for _, policy := range []RetryPolicy{RetryIfNotRun, RetryAlways} {
		for _, size := range []int{0, 20, 200_000, 3_500_000} {
			sender := newTestSender(SenderConfig{}, url)
			answer, err := sender.Call(t.Context(), Call{Route: "r", Method: http.MethodPost, Path: "/x", Body: make([]byte, size), RetryPolicy: policy})
			if err == nil {
				t.Errorf("%v, %d bytes: the caller got status %d, %q as a whole answer", policy, size, answer.Status, answer.Body)
			}
		}
	}
}

// A service's answer had a status that no answer has, and the caller got it (MIXED), or
// its request panicked where the status could not be written.
func TestStatusThatNoAnswerHasIsBroken(t *testing.T) {
	for status, want := range map[string]Ran{
		"000 None": RanUnknown, "099 Low": RanUnknown, "600 High": RanUnknown, "999 High": RanUnknown,
		"+20 OK": RanUnknown, "101 Switching Protocols": RanUnknown,
	} {
		url := listenHasty(t, fmt.Sprintf("HTTP/1.1 %s\r\nContent-Length: 4\r\n\r\npart", status))
		sender := newTestSender(SenderConfig{}, url)
		answer, err := sender.Call(t.Context(), Call{Route: "r", Method: http.MethodGet, Path: "/x", RetryPolicy: RetryIfNotRun})
		if err == nil {
			t.Errorf("%s: the caller got status %d, %q", status, answer.Status, answer.Body)
			continue
		}
		if diff := cmp.Diff(want, RanOf(err)); diff != "" {
			t.Errorf("%s: %v: ran (-want +got):\n%s", status, err, diff)
		}
	}
}
