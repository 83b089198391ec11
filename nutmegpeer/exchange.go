package nutmegpeer

import (
	"context"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// startExchange starts an exchange with one peer. With full, it asks the peer for
// all members.
func (p *Peers) startExchange(address string, full bool, wait *sync.WaitGroup) {
	digest, err := p.newDigest(address, maxDigestMembers, full)
	if err != nil {
		return
	}
	wait.Go(func() { p.exchange(address, digest) })
}

// exchange sends a digest to one peer and merges its reply. If the exchange fails,
// the peer is suspected. If the peer still lacks items after it, they are sent in a
// second digest.
func (p *Peers) exchange(address string, digest *peerpb.Digest) {
	err := p.call(address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := p.exchangeDigest(ctx, client, digest)
		if err != nil || reply.GetItemsHash() == p.gossip.hash() || !p.maySync() {
			return err
		}
		if digest, err = p.newSyncDigest(address, 0); err != nil {
			return err
		}
		_, err = p.exchangeDigest(ctx, client, digest)
		return err
	})
	if p.ctx.Err() != nil {
		return
	}
	if err != nil {
		p.count("peer_exchange_failures")
		p.table.suspect(address)
		return
	}
	p.count("peer_exchanges")
}

// exchangeDigest sends a digest, merges the reply and returns it.
func (p *Peers) exchangeDigest(ctx context.Context, client peerpb.DRPCPeerClient, digest *peerpb.Digest) (*peerpb.Digest, error) {
	reply, err := client.Exchange(ctx, digest)
	if err != nil {
		return nil, err
	}
	return reply, p.receive(reply)
}

// maySync reports whether a sample of all items may be sent now, and counts it if
// so. While items spread, peers differ all the time.
func (p *Peers) maySync() bool {
	now := time.Now().UnixNano()
	last := p.lastSync.Load()
	return (now < last || now-last >= int64(syncInterval)) && p.lastSync.CompareAndSwap(last, now)
}

// newSyncDigest returns a signed digest with a sample of all items.
func (p *Peers) newSyncDigest(receiver string, members int) (*peerpb.Digest, error) {
	return p.signDigest(receiver, members, p.gossip.sample(maxSyncBytes), false)
}

// newDigest returns a signed digest for receiver with up to the given number of
// members.
func (p *Peers) newDigest(receiver string, members int, full bool) (*peerpb.Digest, error) {
	return p.signDigest(receiver, members, p.gossip.selectItems(maxDigestItems, maxDigestItemBytes, p.table.size()), full)
}

// signDigest returns a signed digest with the items.
func (p *Peers) signDigest(receiver string, members int, items []*peerpb.Item, full bool) (*peerpb.Digest, error) {
	d := &peerpb.Digest{
		Fleet:    p.cfg.Fleet,
		Sender:   p.self().toProto(),
		Receiver: receiver,
		Full:     full,
		Revision: uint64(p.cfg.Revision()),
		Stamp:    p.cfg.Clock.Now().String(),
	}
	for _, m := range p.table.selectMembers(members, receiver) {
		d.Members = append(d.Members, m.toProto())
	}
	d.Items = items
	d.ItemsHash = p.gossip.hash()
	var err error
	d.Mac, err = sign(p.cfg.Key, d)
	return d, err
}

// receive checks a peer's digest and merges it.
func (p *Peers) receive(d *peerpb.Digest) error {
	if err := p.verify(d); err != nil {
		return err
	}
	sender := memberFromProto(d.GetSender())
	if !sender.valid() || len(d.GetMembers()) > maxFullMembers || len(d.GetItems()) > maxReceivedItems {
		p.count("peer_damaged_messages")
		return errMalformed
	}
	if stamp, err := nutmegtime.ParseStamp(d.GetStamp()); err == nil {
		p.cfg.Clock.Observe(stamp)
	}
	p.mergeMember(sender)
	for _, m := range d.GetMembers() {
		p.mergeMember(memberFromProto(m))
	}
	p.gossip.receive(d.GetItems())
	if sender.Revision > p.cfg.Revision() && p.cfg.OnRevision != nil {
		p.cfg.OnRevision(sender.Address, sender.Revision)
	}
	return nil
}

// mergeMember merges a received entry into the member table. An entry about this
// instance is refuted unless it says alive or leaving.
func (p *Peers) mergeMember(m Member) {
	if m.Incarnation == p.cfg.Self.Incarnation {
		p.refute(m)
		return
	}
	if !m.valid() {
		p.count("peer_damaged_members")
		return
	}
	p.table.merge(m)
}

// refute raises the heartbeat above that of an entry that reports this instance
// as suspected or dead.
func (p *Peers) refute(m Member) {
	if m.State == StateAlive || m.State == StateLeaving {
		return
	}
	for current := p.heartbeat.Load(); m.Heartbeat >= current; current = p.heartbeat.Load() {
		if p.heartbeat.CompareAndSwap(current, m.Heartbeat+1) {
			break
		}
	}
	p.count("peer_refutations")
}

// server implements the drpc service that peers call.
type server struct {
	peers *Peers
}

var _ peerpb.DRPCPeerServer = (*server)(nil)

// Exchange implements peerpb.DRPCPeerServer.
func (s *server) Exchange(_ context.Context, d *peerpb.Digest) (*peerpb.Digest, error) {
	if err := s.peers.receive(d); err != nil {
		return nil, err
	}
	members := maxDigestMembers
	if d.GetFull() {
		members = maxFullMembers
	}
	if d.GetItemsHash() != s.peers.gossip.hash() && s.peers.maySync() {
		return s.peers.newSyncDigest(d.GetSender().GetAddress(), members)
	}
	return s.peers.newDigest(d.GetSender().GetAddress(), members, false)
}
