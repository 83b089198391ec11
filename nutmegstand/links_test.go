package nutmegstand

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// startEchoServer starts a TCP server that echoes what it reads and returns its
// address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(conn, conn) }()
		}
	}()
	return l.Addr().String()
}

func roundTrip(conn net.Conn) error {
	if _, err := conn.Write([]byte("pane")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

func TestLinkDelayAppliesInBothDirections(t *testing.T) {
	const delay = 30 * time.Millisecond
	address := startEchoServer(t)
	links := NewLinks()
	links.SetDelay(func(string, string) time.Duration { return delay })
	conn, err := links.Dialer("a")(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	if err := roundTrip(conn); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 2*delay {
		t.Errorf("a round trip took %v; want at least %v", took, 2*delay)
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("read past its deadline returned %v; want a timeout error", err)
	}
}

func TestFrozenLinkHoldsDataUntilThaw(t *testing.T) {
	address := startEchoServer(t)
	links := NewLinks()
	conn, err := links.Dialer("a")(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	links.Freeze("a")
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Millisecond)
	defer cancel()
	if _, err := links.Dialer("a")(ctx, "tcp", address); err == nil {
		t.Error("a frozen process opened a new connection")
	}
	done := make(chan error, 1)
	go func() { done <- roundTrip(conn) }()
	select {
	case err := <-done:
		t.Fatalf("a round trip over a frozen link ended with %v; want it to block", err)
	case <-time.After(20 * time.Millisecond):
	}
	links.Thaw("a")
	if err := <-done; err != nil {
		t.Errorf("the round trip failed after Thaw: %v", err)
	}
}

func TestCutLinkBreaksAndHeals(t *testing.T) {
	address := startEchoServer(t)
	links := NewLinks()
	dial := links.Dialer("a")
	conn, err := dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	links.Cut("a", address)
	if err := roundTrip(conn); err == nil {
		t.Error("a connection passed data after Cut")
	}
	if _, err := dial(t.Context(), "tcp", address); err == nil {
		t.Error("a cut link accepted a new connection")
	}
	links.Heal("a", address)
	conn, err = dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("a healed link refused a connection: %v", err)
	}
	defer func() { _ = conn.Close() }()
	if err := roundTrip(conn); err != nil {
		t.Errorf("a round trip over a healed link failed: %v", err)
	}
}
