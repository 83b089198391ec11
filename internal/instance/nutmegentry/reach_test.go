package nutmegentry

import (
	"context"
	"fmt"
	"io"
	"net"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
)

func newTestReach(dialTimeout time.Duration) *reach {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return &reach{entry: &Entry{
		log: logrus.NewEntry(log), metrics: metrics.NewRegistry(), start: time.Now(),
		dialer: nutmegconn.NewDialer(nutmegconn.DialerConfig{Timeout: dialTimeout}),
	}}
}

// TestInstanceThatReachesNobodyRefusesAtOnce cuts an instance off: no host accepts its
// connections in time. Requests are refused as not run, and are served again once a
// host answers, also one that only refuses the connection.
func TestInstanceThatReachesNobodyRefusesAtOnce(t *testing.T) {
	r := newTestReach(time.Nanosecond) // every attempt takes longer
	deadline := time.Now().Add(10 * time.Second)
	for n := 0; !r.lostNow(); n++ {
		if time.Now().After(deadline) {
			t.Fatal("reach is not lost although no host answers")
		}
		if _, err := r.dial(context.Background(), "tcp", fmt.Sprintf("127.0.0.%d:1", 1+n%100)); err == nil {
			t.Fatal("a connection within a nanosecond")
		}
	}
	if refusal := r.check(); refusal != nil {
		t.Errorf("the first request may not try: %s", refusal.Detail)
	}
	refusal := r.check()
	if refusal == nil || refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter < cutOffRetryAfter {
		t.Fatalf("refusal %+v, want one that says not run and when to retry", refusal)
	}

	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := l.Addr().String()
	_ = l.Close()
	r.entry.dialer = nutmegconn.NewDialer(nutmegconn.DialerConfig{})
	if _, err := r.dial(context.Background(), "tcp", address); err == nil {
		t.Fatal("a closed port accepted a connection")
	}
	if refusal := r.check(); refusal != nil {
		t.Errorf("a host answers, but requests are refused: %s", refusal.Detail)
	}
}

// TestCanceledAttemptsDoNotLoseReach cancels attempts to connect, as callers that leave
// do. That says nothing about the hosts.
func TestCanceledAttemptsDoNotLoseReach(t *testing.T) {
	r := newTestReach(time.Second)
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	for n := range 20 {
		_, _ = r.dial(ctx, "tcp", fmt.Sprintf("127.0.0.%d:1", 1+n))
	}
	if r.detector.Silence() != 0 || r.lostNow() {
		t.Error("canceled attempts count as failures")
	}
}

func (r *reach) lostNow() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.detector.Lost()
}
