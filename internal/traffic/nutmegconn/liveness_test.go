package nutmegconn

import (
	"errors"
	"fmt"
	"io"
	"net"
	"syscall"
	"testing"
)

func TestEndedProcessRefusesConnections(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := newTestPool(t)
	address := l.Addr().String()
	if p.HasEnded(t.Context(), address) {
		t.Errorf("a process that accepts connections counts as ended")
	}
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	if !p.HasEnded(t.Context(), address) {
		t.Errorf("a process whose host refuses connections does not count as ended")
	}
}

func TestOnlyClosedConnectionsCountAsLost(t *testing.T) {
	for err, want := range map[error]bool{
		io.ErrUnexpectedEOF:                        true,
		fmt.Errorf("read: %w", syscall.ECONNRESET): true,
		errors.New("malformed response"):           false,
		syscall.ECONNREFUSED:                       false,
	} {
		if got := IsConnectionLost(&Error{Address: "a", Err: err}); got != want {
			t.Errorf("%v: connection lost is %t, want %t", err, got, want)
		}
	}
}
