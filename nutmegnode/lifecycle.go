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

// requestCounter counts requests in flight and signals when none is left.
type requestCounter struct {
	mu   sync.Mutex
	n    int
	idle chan struct{} // closed when n drops to zero; nil if nothing is waiting
}

// Add adds requests that have started.
func (c *requestCounter) Add(requests int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n += requests
}

// Done removes one request that has ended.
func (c *requestCounter) Done() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n--
	if c.n == 0 && c.idle != nil {
		close(c.idle)
		c.idle = nil
	}
}

// count returns the number of requests in flight.
func (c *requestCounter) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// wait blocks until no request is in flight or ctx is done.
func (c *requestCounter) wait(ctx context.Context) error {
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

// Start opens the listeners, starts the background loops and accepts requests.
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
	n.gossip.register()
	n.registerSuspectGossip()
	if err := n.peers.Start(peers); err != nil {
		return errors.Join(err, callers.Close(), operators.Close(), peers.Close())
	}
	n.leaseHolder.Start()
	n.witness.Start()
	n.ledger.Start()
	n.orders.Start()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancelLoops = cancel
	n.completer.Start()
	go n.follower.run(ctx)
	go n.gossip.run(ctx)
	go n.watchHead(ctx)
	go n.replicator.run(ctx)
	go n.watchSuspects(ctx)
	go n.sweepLoop(ctx)
	n.upstreams.start()
	n.callerServer = n.serve("callers", callers, n.callerHandler())
	n.operatorServer = n.serve("operators", operators, n.operatorHandler())
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStart, Detail: string(n.incarnation)})
	n.log.WithField("incarnation", n.incarnation).Info("instance started")
	return nil
}

// listenAll opens all listeners. If one fails, it closes those already open.
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

// listenPeers opens the peers' listener and loads the client certificates for
// connections to peers.
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

// dialPeer connects to a peer, over TLS if the settings enable it.
func (n *Node) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
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

// Stop shuts the instance down gracefully: /readyz fails, new requests are
// refused, in-flight requests finish, leases are returned, the ledger is
// flushed and the peers are notified. Requests still running when ctx is done
// are cancelled and settled. Further calls return the first call's result.
func (n *Node) Stop(ctx context.Context) error {
	n.stopOnce.Do(func() { n.stopErr = n.stop(ctx) })
	return n.stopErr
}

func (n *Node) stop(ctx context.Context) error {
	n.stopping.Store(true)
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStop, Detail: "draining"})
	n.log.Info("draining instance")
	n.peers.Leave()
	select {
	case <-time.After(time.Duration(n.cfg.Settings.Limits.DrainDelay)):
	case <-ctx.Done():
	}
	failed := n.callerServer.Stop(ctx)
	// Outcomes, leases and ledger lines are written even if draining used up ctx.
	finish, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(n.cfg.Settings.Limits.FinishTimeout))
	defer cancel()
	failed = errors.Join(failed, n.drain(ctx, finish), n.orders.Stop(finish), n.leaseHolder.Stop(finish), n.ledger.Stop(finish))
	n.stopLoops()
	n.upstreams.stop()
	n.witness.Stop()
	n.peers.Stop()
	failed = errors.Join(failed, n.operatorServer.Stop(finish))
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindStop, Detail: "stopped"})
	n.log.Info("instance stopped")
	return failed
}

// Kill stops the instance at once, like a crash of its process: nothing is
// settled, no lease is returned and no peer is notified.
func (n *Node) Kill() {
	n.stopOnce.Do(n.kill)
}

func (n *Node) kill() {
	n.stopping.Store(true)
	n.callerServer.Kill()
	n.operatorServer.Kill()
	n.stopLoops()
	n.upstreams.stop()
	n.sender.Abandon()
	n.leaseHolder.Abandon()
	n.witness.Stop()
	n.ledger.Abandon()
	n.orders.Abandon()
	n.answers.cancelAll(errAbandoned)
	n.peers.Stop()
}
