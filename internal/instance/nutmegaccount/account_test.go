package nutmegaccount

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fakeConn records whether it has been closed.
type fakeConn struct {
	closed bool
}

// Close implements io.Closer.
func (c *fakeConn) Close() error {
	c.closed = true
	return nil
}

// testAccount opens connections and knows which are closed.
type testAccount struct {
	*Account
	t     *testing.T
	now   time.Duration
	conns []*fakeConn
}

func newTestAccount(t *testing.T, cfg Config) *testAccount {
	t.Helper()
	return &testAccount{Account: New(cfg), t: t}
}

// mustOpen opens the next connection.
func (a *testAccount) mustOpen() *Conn {
	a.t.Helper()
	c, ok := a.tryOpen()
	if !ok {
		a.t.Fatal("a connection was turned away")
	}
	return c
}

func (a *testAccount) tryOpen() (*Conn, bool) {
	f := &fakeConn{}
	a.conns = append(a.conns, f)
	return a.Open(f, a.now)
}

// closed returns the numbers of the connections that were given up.
func (a *testAccount) closed() []int {
	var numbers []int
	for n, c := range a.conns {
		if c.closed {
			numbers = append(numbers, n)
		}
	}
	return numbers
}

func (a *testAccount) wantClosed(want ...int) {
	a.t.Helper()
	if diff := cmp.Diff(want, a.closed()); diff != "" {
		a.t.Errorf("connections given up (-want +got):\n%s", diff)
	}
}

const plenty = 1 << 30

func TestConnectionsLeftIdleMakeRoom(t *testing.T) {
	a := newTestAccount(t, Config{Connections: 3, Memory: plenty})
	first := a.mustOpen()
	a.now += time.Second
	a.mustOpen()
	a.mustOpen()
	// The first has been used since, so that the second has been idle for longest.
	first.Read(100, a.now)
	first.Begin(a.now)
	first.End(a.now)
	a.now += minAge
	a.mustOpen()
	a.wantClosed(1)
	a.mustOpen()
	a.wantClosed(1, 2)
}

// TestCallersThatSendHeadsSlowlyMakeRoom plays callers that hold all connections with a
// byte of a request now and then. Those whose latest byte is oldest make room.
func TestCallersThatSendHeadsSlowlyMakeRoom(t *testing.T) {
	a := newTestAccount(t, Config{Connections: 2, Memory: plenty})
	for range 2 {
		a.mustOpen().Read(1, a.now)
		a.now += time.Millisecond
	}
	if _, ok := a.tryOpen(); ok {
		t.Error("a connection was given up that has just sent bytes")
	}
	a.now += minAge
	a.mustOpen()
	a.wantClosed(0)
}

func TestRequestsThatWereReadAreNeverGivenUp(t *testing.T) {
	a := newTestAccount(t, Config{Connections: 1, Memory: plenty})
	c := a.mustOpen()
	c.Read(10, a.now)
	c.Begin(a.now)
	a.now += time.Hour
	if _, ok := a.tryOpen(); ok {
		t.Error("a second connection was opened")
	}
	a.wantClosed()
	c.End(a.now)
	a.now += minAge
	a.mustOpen()
	a.wantClosed(0)
}

// TestManyLargeHeadsLeaveRoomForOrdinaryRequests plays callers whose requests each take
// much memory while they wait for an answer.
func TestManyLargeHeadsLeaveRoomForOrdinaryRequests(t *testing.T) {
	const large = 10 * smallAmount
	a := newTestAccount(t, Config{Connections: 1000, Memory: 100 * smallAmount})
	refused := 0
	for range 50 {
		if c := a.mustOpen(); !c.Read(large, a.now) {
			refused++
			c.Close()
		}
	}
	if refused == 0 || refused == 50 {
		t.Errorf("%d of 50 large requests were refused", refused)
	}
	for range 20 {
		if !a.mustOpen().Read(smallAmount/2, a.now) {
			t.Fatal("an ordinary request was refused")
		}
	}
	if u := a.Usage(); u.Memory > a.cfg.Memory {
		t.Errorf("%d bytes are taken of %d", u.Memory, a.cfg.Memory)
	}
	a.wantClosed()
}

func TestIdleConnectionsMakeRoomForHeads(t *testing.T) {
	a := newTestAccount(t, Config{Connections: 100, Memory: 4 * ConnectionMemory})
	busy := a.mustOpen()
	busy.Begin(a.now)
	a.mustOpen()
	a.mustOpen()
	a.now += minAge
	if !busy.Take(ConnectionMemory+1, a.now) {
		t.Error("memory was refused although a connection is idle")
	}
	a.wantClosed(1)
}

func TestMemoryIsReleased(t *testing.T) {
	a := newTestAccount(t, Config{Connections: 10, Memory: plenty})
	c := a.mustOpen()
	c.Read(500, a.now)
	c.Begin(a.now)
	c.Take(300, a.now)
	c.Release(300)
	if diff := cmp.Diff(Usage{Busy: 1, Memory: ConnectionMemory + 500}, a.Usage()); diff != "" {
		t.Errorf("during the request (-want +got):\n%s", diff)
	}
	c.End(a.now)
	if diff := cmp.Diff(Usage{Idle: 1, Memory: ConnectionMemory}, a.Usage()); diff != "" {
		t.Errorf("after the request (-want +got):\n%s", diff)
	}
	c.Close()
	c.Close()
	c.Release(10)
	c.End(a.now)
	if c.Read(10, a.now) {
		t.Error("a closed connection took memory")
	}
	if diff := cmp.Diff(Usage{}, a.Usage()); diff != "" {
		t.Errorf("after the end (-want +got):\n%s", diff)
	}
}

func BenchmarkRequest(b *testing.B) {
	a := New(Config{Connections: 10, Memory: plenty})
	c, _ := a.Open(&fakeConn{}, 0)
	b.ReportAllocs()
	for n := range b.N {
		now := time.Duration(n)
		c.Read(4000, now)
		c.Begin(now)
		c.Take(800, now)
		c.Release(800)
		c.End(now)
	}
}
