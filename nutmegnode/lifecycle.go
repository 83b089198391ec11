package nutmegnode

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// runCount counts running requests and tells when none is left.
type runCount struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n falls to zero; nil while nobody waits
}

// Add counts requests that start to run.
func (c *runCount) Add(requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += requests
}

// Done counts one request that has ended.
func (c *runCount) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// count returns the requests that run.
func (c *runCount) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// wait blocks until no request runs or ctx ends.
func (c *runCount) wait(ctx context.Context) error {
	c.mu.Lock()
	if c.n == 0 {
		c.mu.Unlock()
		return nil
	}
	if c.idle == nil {
		c.idle = make(chan struct{})
	}
	idle := c.idle
	c.mu.Unlock()
	select {
	case <-idle:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Start listens and takes requests.
func (n *Node) Start() error {
	callers, operators, peers, err := n.listenAll()
	if err != nil {
		return err
	}
	n.addresses = Addresses{
		Callers:   callers.Addr().String(),
		Operators: operators.Addr().String(),
		Peers:     peers.Addr().String(),
	}
	n.buildPeers()
	n.sharer.register()
	n.registerSuspects()
	if err := n.peers.Start(peers); err != nil {
		return err
	}
	n.holder.Start()
	n.witness.Start()
	n.ledger.Start()
	n.desk.Start()
	ctx, cancel := context.WithCancel(context.Background())
	n.watchStop = cancel
	n.completer.Start()
	go n.follower.run(ctx)
	go n.sharer.run(ctx)
	go n.watchLoop(ctx)
	go n.copies.loop(ctx)
	go n.suspectsLoop(ctx)
	go n.sweepLoop(ctx)
	n.router.start()
	n.callers = n.serve("callers", callers, n.callerHandler())
	n.operators = n.serve("operators", operators, n.operatorHandler())
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStart, Detail: string(n.incarnation)})
	n.log.WithField("incarnation", n.incarnation).Info("instance started")
	return nil
}

// listenAll opens all listeners, or none.
func (n *Node) listenAll() (callers, operators, peers net.Listener, err error) {
	l, certs := n.cfg.Settings.Listen, n.cfg.Settings.TLS
	if callers, err = n.listen(l.Callers, certs.Callers); err != nil {
		return nil, nil, nil, fmt.Errorf("listen.callers %q: %w", l.Callers, err)
	}
	if operators, err = n.listen(l.Operators, certs.Operators); err != nil {
		_ = callers.Close()
		return nil, nil, nil, fmt.Errorf("listen.operators %q: %w", l.Operators, err)
	}
	if peers, err = n.listenPeers(); err != nil {
		_ = callers.Close()
		_ = operators.Close()
		return nil, nil, nil, fmt.Errorf("listen.peers %q: %w", l.Peers, err)
	}
	return callers, operators, peers, nil
}

// listenPeers opens the peers' listener and prepares the certificates that
// connections to peers show.
func (n *Node) listenPeers() (net.Listener, error) {
	s := n.cfg.Settings
	if s.TLS.Peers.Enabled() {
		certs, err := newCertificates(s.TLS.Peers, n.certificateFailed)
		if err != nil {
			return nil, err
		}
		n.peerCerts = certs
	}
	return n.listen(s.Listen.Peers, s.TLS.Peers)
}

// peerDial connects to a peer, with TLS where the settings turn it on.
func (n *Node) peerDial(ctx context.Context, network, address string) (net.Conn, error) {
	raw, err := n.cfg.Dial(ctx, network, address)
	if err != nil || n.peerCerts == nil {
		return raw, err
	}
	conn := tls.Client(raw, n.peerCerts.clientConfig())
	if err := conn.HandshakeContext(ctx); err != nil {
		_ = raw.Close()
		return nil, err
	}
	return conn, nil
}

// Stop ends the instance gracefully: /readyz fails, new work is refused,
// running requests end, leases return, the ledger is written, peers are told.
// Requests that outlast ctx are cut and settled. Further calls return the
// first call's result.
func (n *Node) Stop(ctx context.Context) error {
	n.stopOnce.Do(func() { n.stopErr = n.stop(ctx) })
	return n.stopErr
}

func (n *Node) stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStop, Detail: "draining"})
	n.log.Info("instance drains")
	n.peers.Leave()
	select {
	case <-time.After(time.Duration(n.cfg.Settings.Limits.DrainDelay)):
	case <-ctx.Done():
	}
	failed := n.callers.Stop(ctx)
	// What must last is written even when the requests took all the time.
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(n.cfg.Settings.Limits.FinishTimeout))
	defer cancel()
	failed = errors.Join(failed, n.drain(ctx, finish), n.desk.Stop(finish), n.holder.Stop(finish), n.ledger.Stop(finish))
	n.stopFollowing()
	n.router.stop()
	n.witness.Stop()
	n.peers.Stop()
	failed = errors.Join(failed, n.operators.Stop(finish))
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStop, Detail: "stopped"})
	n.log.Info("instance stopped")
	return failed
}

// Kill ends the instance at once, as a crash of its process does: nothing is
// settled, returned or told.
func (n *Node) Kill() {
	n.stopOnce.Do(n.kill)
}

func (n *Node) kill() {
	n.stopping.Store(true)
	n.callers.Kill()
	n.operators.Kill()
	n.stopFollowing()
	n.router.stop()
	n.sender.Abandon()
	n.holder.Abandon()
	n.witness.Stop()
	n.ledger.Abandon()
	n.desk.Abandon()
	n.answers.cancelAll(errAbandoned)
	n.peers.Stop()
}
