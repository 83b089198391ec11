package nutmegrelay

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// reusedAddress is an upstream that has taken the address of another one. It refuses
// the first request, which names the other one, and sends this refusal again when the
// next request comes on the same connection.
type reusedAddress struct {
	refused atomic.Bool
	runs    atomic.Int64
}

func (u *reusedAddress) run(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go u.serve(c)
	}
}

func (u *reusedAddress) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	reader := bufio.NewReader(c)
	refusal := ""
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		named := "Id: " + r.Header.Get("Id") + "\r\nSigned: 1\r\n"
		if u.refused.CompareAndSwap(false, true) {
			refusal = "HTTP/1.1 421 Misdirected Request\r\n" + named + "Content-Length: 0\r\n\r\n"
			_, _ = io.WriteString(c, refusal)
			continue
		}
		u.runs.Add(1)
		_, _ = io.WriteString(c, refusal+fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: 6\r\n\r\nbooked", named))
	}
}

// TestLateCopyOfARefusalIsNotBelievedTwice guards against a request that runs, and runs again or is refused as not
// run, because the copy of an upstream's refusal is taken for the answer to the next attempt.
func TestLateCopyOfARefusalIsNotBelievedTwice(t *testing.T) {
	f := newFleet(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	upstream := &reusedAddress{}
	go upstream.run(l)
	byID := make(map[nutmegid.Upstream]nutmegview.Upstream)
	for _, id := range []nutmegid.Upstream{"gone", "new"} {
		byID[id] = nutmegview.Upstream{ID: id, Service: "s", Address: l.Addr().String(), Slots: 4}
	}
	f.relay.cfg.Placer.SetUpstreams(&nutmegview.Upstreams{ByID: byID})
	sink := &recorder{}
	_, refusal := f.relay.Serve(t.Context(), newCall(nutmegview.Route{MaxUpstreams: 1}), sink)
	if refusal != nil || sink.Body != "booked" {
		t.Errorf("refusal %v, answer %q; want \"booked\"", refusal, sink.Body)
	}
	if runs := upstream.runs.Load(); runs != 1 {
		t.Errorf("the request ran %d times", runs)
	}
}
