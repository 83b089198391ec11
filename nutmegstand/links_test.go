package nutmegstand

import (
	"context"
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// echo serves a listener that sends back what it reads.
func echo(t *testing.T) string {
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

func exchange(conn net.Conn) error {
	if _, err := conn.Write([]byte("pane")); err != nil {
		return err
	}
	_, err := io.ReadFull(conn, make([]byte, 4))
	return err
}

func TestDelayedLinkTakesBothWays(t *testing.T) {
	const delay = 30 * time.Millisecond
	address := echo(t)
	links := NewLinks()
	links.SetDelay(func(string, string) time.Duration { return delay })
	conn, err := links.Dialer("a")(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = conn.Close() }()
	began := time.Now()
	if err := exchange(conn); err != nil {
		t.Fatal(err)
	}
	if took := time.Since(began); took < 2*delay {
		t.Errorf("an exchange took %v; want at least %v", took, 2*delay)
	}
	if err := conn.SetReadDeadline(time.Now().Add(time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	var timeout net.Error
	if _, err := conn.Read(make([]byte, 1)); !errors.As(err, &timeout) || !timeout.Timeout() {
		t.Errorf("a read past its deadline gave %v; want a timeout", err)
	}
}

func TestFrozenLinkHoldsDataUntilThaw(t *testing.T) {
	address := echo(t)
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
		t.Error("a frozen process made a new connection")
	}
	done := make(chan error, 1)
	go func() { done <- exchange(conn) }()
	select {
	case err := <-done:
		t.Fatalf("an exchange over a frozen link ended with %v", err)
	case <-time.After(20 * time.Millisecond):
	}
	links.Thaw("a")
	if err := <-done; err != nil {
		t.Errorf("the exchange failed after the thaw: %v", err)
	}
}

func TestCutLinkBreaksAndHeals(t *testing.T) {
	address := echo(t)
	links := NewLinks()
	dial := links.Dialer("a")
	conn, err := dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	links.Cut("a", address)
	if err := exchange(conn); err == nil {
		t.Error("a cut connection passed data")
	}
	if _, err := dial(t.Context(), "tcp", address); err == nil {
		t.Error("a cut link took a new connection")
	}
	links.Heal("a", address)
	conn, err = dial(t.Context(), "tcp", address)
	if err != nil {
		t.Fatalf("a healed link refused a connection: %v", err)
	}
	defer func() { _ = conn.Close() }()
	if err := exchange(conn); err != nil {
		t.Errorf("a healed link passed nothing: %v", err)
	}
}
