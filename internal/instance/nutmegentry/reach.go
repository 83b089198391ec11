package nutmegentry

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/instance/nutmegoverload"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// reach dials upstreams, peers and the store, and refuses requests while none of them
// answers.
type reach struct {
	entry *Entry

	mu       sync.Mutex
	detector nutmegoverload.Reach
	lost     bool // as logged last
}

// dial connects to an address and records whether its host answers.
func (r *reach) dial(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := r.entry.dialer.Dial(ctx, network, address)
	switch {
	case err == nil, errors.Is(err, syscall.ECONNREFUSED):
		r.succeeded()
	case isLocal(err): // says nothing about the host
	case !errors.Is(ctx.Err(), context.Canceled): // nobody waits for a canceled one any more
		r.failed(hostOf(address))
	}
	return c, err
}

// hostOf returns the host of an address: all ports of a machine fail together.
func hostOf(address string) string {
	host, _, err := net.SplitHostPort(address)
	if err != nil {
		return address
	}
	return host
}

// isLocal reports whether an attempt failed for a lack of this process's own resources.
func isLocal(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) || errors.Is(err, syscall.EADDRNOTAVAIL)
}

// succeeded records that a host has accepted a connection or answered a request.
func (r *reach) succeeded() {
	r.mu.Lock()
	defer r.mu.Unlock()
	silence := r.detector.Silence()
	r.detector.Succeeded()
	if r.lost {
		r.lost = false
		r.entry.event("reach_regained").WithField("silent_ms", silence.Milliseconds()).Info("hosts answer again; requests are served")
	}
}

func (r *reach) failed(host string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.detector.Failed(host, r.entry.uptime())
	if r.detector.Lost() && !r.lost {
		r.lost = true
		r.entry.count("reach_lost")
		r.entry.event("reach_lost").WithFields(logrus.Fields{
			"silent_ms": r.detector.Silence().Milliseconds(), "running": r.entry.running.Load(),
		}).Warn("no upstream, peer or store accepts a connection in time; refusing requests")
	}
}

// check returns a refusal if no upstream can be reached in time.
func (r *reach) check() *nutmegcall.Refusal {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.detector.Admit(r.entry.uptime()) {
		return nil
	}
	return &nutmegcall.Refusal{
		Reason: nutmegcall.ReasonInstanceCutOff, RetryAfter: cutOffRetryAfter + rand.N(cutOffRetryAfter),
		Detail: fmt.Sprintf("no host has accepted a connection of this instance for %d ms", r.detector.Silence().Milliseconds()),
	}
}
