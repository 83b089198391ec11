package nutmegpeer

import (
	"context"
	"errors"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer/peerpb"
)

// ChangesRequest asks a peer for the changes of one kind of objects in the store.
type ChangesRequest struct {
	Kind  string
	Since nutmegid.Version // version of the store; only later changes are wanted
	Wait  time.Duration    // how long the peer waits for a change
}

// ObjectChange is a new version of an object, or its deletion.
type ObjectChange struct {
	Name    string
	Version nutmegid.Version
	Deleted bool
	Value   []byte
}

// ChangesReply holds the changes that a peer has seen, in order.
type ChangesReply struct {
	At      nutmegid.Version // version of the store that the peer has seen
	Age     time.Duration    // since the store last confirmed this version to the peer
	Changes []ObjectChange
	// Compacted means that the peer does not hold all changes since the requested
	// version, Unconfirmed that the store did not answer the peer's latest poll.
	// Changes is empty in both cases.
	Compacted   bool
	Unconfirmed bool
}

// ChangeFeed serves to peers the changes of the store that this instance has seen.
type ChangeFeed interface {
	// ChangesSince returns when there are changes, or once the request's wait has
	// passed.
	ChangesSince(ctx context.Context, request ChangesRequest) (ChangesReply, error)
}

// errNoChangeFeed rejects calls where the instance does not follow the store.
var errNoChangeFeed = errors.New("this instance does not follow the store; ask another peer")

// Changes asks a peer for changes. The call is limited by ctx, not by CallTimeout.
func (p *Peers) Changes(ctx context.Context, address string, request ChangesRequest) (ChangesReply, error) {
	req := &peerpb.ChangesRequest{
		Fleet: p.cfg.Fleet, Kind: request.Kind, Since: uint64(request.Since), WaitMicros: request.Wait.Microseconds(),
	}
	var err error
	if req.Mac, err = sign(p.cfg.Key, req); err != nil {
		return ChangesReply{}, err
	}
	var reply *peerpb.ChangesReply
	err = p.conns.call(ctx, address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Changes(ctx, req)
		return err
	})
	if err != nil {
		return ChangesReply{}, err
	}
	if err := p.verify(reply); err != nil {
		return ChangesReply{}, err
	}
	if reply.GetKind() != request.Kind || reply.GetSince() != req.GetSince() {
		return ChangesReply{}, errMalformed
	}
	return decodeChanges(reply), nil
}

func decodeChanges(reply *peerpb.ChangesReply) ChangesReply {
	decoded := ChangesReply{
		At: nutmegid.Version(reply.GetAt()), Age: time.Duration(reply.GetAgeMicros()) * time.Microsecond, Compacted: reply.GetCompacted(),
		Unconfirmed: reply.GetUnconfirmed(),
	}
	for _, c := range reply.GetChanges() {
		decoded.Changes = append(decoded.Changes, ObjectChange{
			Name: c.GetName(), Version: nutmegid.Version(c.GetVersion()), Deleted: c.GetDeleted(), Value: c.GetValue(),
		})
	}
	return decoded
}

// Changes implements peerpb.DRPCPeerServer.
func (s *server) Changes(ctx context.Context, r *peerpb.ChangesRequest) (*peerpb.ChangesReply, error) {
	if err := s.peers.verify(r); err != nil {
		return nil, err
	}
	if s.peers.cfg.ChangeFeed == nil {
		return nil, errNoChangeFeed
	}
	answer, err := s.peers.cfg.ChangeFeed.ChangesSince(ctx, ChangesRequest{
		Kind: r.GetKind(), Since: nutmegid.Version(r.GetSince()),
		Wait: min(time.Duration(r.GetWaitMicros())*time.Microsecond, maxChangesWait),
	})
	if err != nil {
		return nil, err
	}
	reply := &peerpb.ChangesReply{
		Fleet: s.peers.cfg.Fleet, Kind: r.GetKind(), Since: r.GetSince(), At: uint64(answer.At), AgeMicros: answer.Age.Microseconds(),
		Compacted: answer.Compacted, Unconfirmed: answer.Unconfirmed,
	}
	for _, c := range answer.Changes {
		reply.Changes = append(reply.Changes, &peerpb.ObjectChange{Name: c.Name, Version: uint64(c.Version), Deleted: c.Deleted, Value: c.Value})
	}
	reply.Mac, err = sign(s.peers.cfg.Key, reply)
	return reply, err
}
