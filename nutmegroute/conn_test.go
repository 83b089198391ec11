package nutmegroute

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"
)

// resetConn is a connection whose peer resets it during a write, which is the only call
// that is told so.
type resetConn struct {
	net.Conn
	writing chan struct{} // closed when the write has begun
	ended   chan struct{} // closed when a read has ended
}

func (c *resetConn) Write([]byte) (int, error) {
	close(c.writing)
	<-c.ended
	return 0, syscall.ECONNRESET
}

func (c *resetConn) Read([]byte) (int, error) {
	<-c.writing
	close(c.ended)
	return 0, io.EOF
}

// A write of a request was told of the reset, so that the response's end looked
// complete (MIXED), also while the write had not returned yet.
func TestReadFailsAfterFailedWrite(t *testing.T) {
	raw := &resetConn{writing: make(chan struct{}), ended: make(chan struct{})}
	c, err := dialUploads(func(context.Context, string, string) (net.Conn, error) { return raw, nil })(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = c.Write([]byte("x"))
	}()
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, syscall.ECONNRESET) {
		t.Errorf("read failed with %v; want the write's error", err)
	}
	<-done
}

// A connection that its peer has closed after the whole request ends without an error.
func TestReadEndsAfterWholeWrite(t *testing.T) {
	here, there := net.Pipe()
	c, err := dialUploads(func(context.Context, string, string) (net.Conn, error) { return here, nil })(t.Context(), "tcp", "")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = there.Read(make([]byte, 1))
		_ = there.Close()
	}()
	if _, err := c.Write([]byte("x")); err != nil {
		t.Fatal(err)
	}
	<-done
	if _, err := c.Read(make([]byte, 1)); !errors.Is(err, io.EOF) {
		t.Errorf("read failed with %v; want io.EOF", err)
	}
}
