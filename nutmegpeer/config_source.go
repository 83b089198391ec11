package nutmegpeer

import (
	"context"
	"errors"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// ConfigSource provides the configuration in force, which peers fetch.
type ConfigSource interface {
	// Revision returns the revision in force and its head. The revision is 0
	// before the first one is accepted.
	Revision() (nutmegid.Revision, []byte)
	// Segment returns the segment of the configuration with the given hash.
	Segment(ctx context.Context, hash string) ([]byte, error)
}

// FetchRevision fetches from a peer the number and the head of the revision in
// force there.
func (p *Peers) FetchRevision(ctx context.Context, address string) (nutmegid.Revision, []byte, error) {
	req := &peerpb.RevisionRequest{Fleet: p.cfg.Fleet}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return 0, nil, err
	}
	var reply *peerpb.RevisionReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.FetchRevision(ctx, req)
		return err
	})
	if err != nil {
		return 0, nil, err
	}
	if err := p.verify(reply); err != nil {
		return 0, nil, err
	}
	return nutmegid.Revision(reply.GetRevision()), reply.GetHead(), nil
}

// FetchSegment fetches a segment from a peer. The reply is not authenticated: the
// caller checks the content against the hash.
func (p *Peers) FetchSegment(ctx context.Context, address, hash string) ([]byte, error) {
	req := &peerpb.SegmentRequest{Fleet: p.cfg.Fleet, Hash: hash}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return nil, err
	}
	var reply *peerpb.SegmentReply
	err = p.callContext(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.FetchSegment(ctx, req)
		return err
	})
	return reply.GetContent(), err
}

// errNoConfiguration rejects calls for a configuration that this instance does not
// have.
var errNoConfiguration = errors.New("this instance has no configuration; ask another peer")

// FetchRevision implements peerpb.DRPCPeerServer.
func (s *server) FetchRevision(_ context.Context, r *peerpb.RevisionRequest) (*peerpb.RevisionReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.ConfigSource == nil {
		return nil, errNoConfiguration
	}
	revision, head := s.peers.cfg.ConfigSource.Revision()
	if revision == 0 {
		return nil, errNoConfiguration
	}
	reply := &peerpb.RevisionReply{Fleet: s.peers.cfg.Fleet, Revision: uint64(revision), Head: head}
	var err error
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}

// FetchSegment implements peerpb.DRPCPeerServer.
func (s *server) FetchSegment(ctx context.Context, r *peerpb.SegmentRequest) (*peerpb.SegmentReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.ConfigSource == nil {
		return nil, errNoConfiguration
	}
	content, err := s.peers.cfg.ConfigSource.Segment(ctx, r.GetHash())
	if err != nil {
		return nil, err
	}
	return &peerpb.SegmentReply{Content: content}, nil
}
