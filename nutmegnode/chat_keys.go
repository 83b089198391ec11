package nutmegnode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// keyScopeHeader tells a caller within which scope its idempotency key is unique.
const keyScopeHeader = "X-Idempotency-Scope"

// The scopes of an idempotency key.
const (
	scopeFleet    = "fleet"
	scopeInstance = "instance" // the store was unavailable or the write limit was reached
)

// chatKeyKind is the kind of the objects that record idempotency keys of chats.
const chatKeyKind = "chat_key"

// chatKeyRecord is the body of a chat key object. The claimant is empty after a
// chat failed that may have run: the next attempt under the key reuses the
// request ID, so that the request is billed once.
type chatKeyRecord struct {
	Claimant  nutmegid.Incarnation  `json:"claimant"`
	Request   nutmegid.RequestID    `json:"request"`
	BodyHash  string                `json:"body_hash"`
	StreamRef nutmegroute.StreamRef `json:"place"` // has no stream before the chat has started
	Ran       nutmegroute.Ran       `json:"ran"`   // combined over all attempts that have ended
	CreatedAt time.Time             `json:"created_at"`
}

func chatKeyObject(key answerKey) nutmegstore.Key {
	name := string(key.workspace) + "\x00" + key.target + "\x00" + string(key.key)
	return nutmegstore.Key{Kind: chatKeyKind, Name: nutmegconf.HashKey(name)}
}

// claimChatKey claims a chat's idempotency key in the store. It returns the
// record stored under the key, whether this instance runs the chat, and the
// key's scope. The scope is this instance alone if the write limit is reached or
// the store fails.
func (n *Node) claimChatKey(ctx context.Context, a *answer) (chatKeyRecord, bool, string, error) {
	own := chatKeyRecord{Claimant: n.incarnation, Request: a.request, BodyHash: a.bodyHash, CreatedAt: time.Now()}
	if !n.chatKeyLimiter.AllowN(time.Now(), writesPerChatKey) {
		return own, true, scopeInstance, nil
	}
	ctx, cancel := context.WithTimeout(ctx, chatKeyTimeout)
	defer cancel()
	key := chatKeyObject(a.key)
	for {
		err := nutmegstore.Create(ctx, n.writer, key, own)
		if err == nil {
			return own, true, scopeFleet, nil
		}
		if !nutmegstore.IsKind(err, nutmegstore.KindConflict) {
			n.count("chat_keys_unclaimed")
			return own, true, scopeInstance, nil
		}
		record, claimed, err := n.joinChat(ctx, a.key, own)
		if !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
			return record, claimed, scopeFleet, err
		}
	}
}

// joinChat reads the record of the chat that holds a key and waits for its stream
// to start. If the claimant is gone before that, the chat is taken over; on
// timeout the caller is told to retry later.
func (n *Node) joinChat(ctx context.Context, name answerKey, own chatKeyRecord) (chatKeyRecord, bool, error) {
	key := chatKeyObject(name)
	for {
		doc, err := nutmegstore.Read[chatKeyRecord](ctx, n.writer, key)
		switch {
		case err != nil:
			return own, false, err
		case doc.Body.BodyHash != own.BodyHash:
			return own, false, keyReusedError(name.key)
		case doc.Body.StreamRef.Stream != "":
			return doc.Body, false, nil
		case n.claimantGone(doc.Body):
			return n.takeOverChatKey(ctx, key, doc.Body)
		}
		select {
		case <-ctx.Done():
			return own, false, &APIError{
				Status: http.StatusConflict, Kind: "key_in_progress", Ran: nutmegroute.RanUnknown,
				Message: "the request with this idempotency key is waiting at another instance; send it again later under the same key",
			}
		case <-time.After(chatKeyPollInterval):
		}
	}
}

// takeOverChatKey makes this instance the claimant of a chat whose claimant is
// gone. The chat keeps its request ID, so that it is billed once.
func (n *Node) takeOverChatKey(ctx context.Context, key nutmegstore.Key, seen chatKeyRecord) (chatKeyRecord, bool, error) {
	doc, err := nutmegstore.Update(ctx, n.writer, key, func(r *chatKeyRecord) error {
		if r.Claimant != seen.Claimant || r.StreamRef.Stream != "" {
			return nutmegstore.ErrUnchanged
		}
		if r.Claimant != "" {
			// The previous claimant may have sent the chat without recording it.
			r.Ran = r.Ran.Combine(nutmegroute.RanUnknown)
		}
		r.Claimant = n.incarnation
		return nil
	})
	return doc.Body, err == nil && doc.Body.Claimant == n.incarnation, err
}

// claimantGone reports whether a chat's claimant appears to be dead. It only
// decides how long to wait; a wrong answer does not break the budget limits.
func (n *Node) claimantGone(record chatKeyRecord) bool {
	switch record.Claimant {
	case n.incarnation:
		return false
	case "":
		return true
	}
	for _, m := range n.peers.Members() {
		if m.Incarnation == record.Claimant {
			return m.State != nutmegpeer.StateAlive
		}
	}
	return time.Since(record.CreatedAt) > unknownClaimantTimeout
}

// chatKeyUpdate writes the stream or the failure of a keyed chat to the store.
type chatKeyUpdate struct {
	node    *Node
	key     nutmegstore.Key
	request nutmegid.RequestID
	ref     nutmegroute.StreamRef // has no stream if the chat has failed
	ran     nutmegroute.Ran       // whether a failed chat ran
}

func (c *chatKeyUpdate) run(ctx context.Context) {
	defer c.node.inFlight.Done()
	ctx, cancel := context.WithTimeout(ctx, streamStoreTimeout)
	defer cancel()
	if c.write(ctx) != nil {
		c.node.count("chat_keys_unwritten")
	}
}

// write records the stream, or releases the key of a failed chat for a new attempt.
func (c *chatKeyUpdate) write(ctx context.Context) error {
	if c.ran == nutmegroute.RanNo {
		return c.remove(ctx)
	}
	_, err := nutmegstore.Update(ctx, c.node.writer, c.key, func(r *chatKeyRecord) error {
		if !c.owns(*r) {
			return nutmegstore.ErrUnchanged
		}
		r.StreamRef = c.ref
		if c.ref.Stream == "" {
			r.Claimant = ""
			r.Ran = r.Ran.Combine(c.ran)
		}
		return nil
	})
	return err
}

// remove deletes the record of a chat of which no attempt ran: the next attempt is
// a new request.
func (c *chatKeyUpdate) remove(ctx context.Context) error {
	doc, err := nutmegstore.Read[chatKeyRecord](ctx, c.node.writer, c.key)
	if err != nil || !c.owns(doc.Body) {
		return err
	}
	return c.node.client.Delete(ctx, c.key, doc.Version)
}

func (c *chatKeyUpdate) owns(r chatKeyRecord) bool {
	return r.Claimant == c.node.incarnation && r.Request == c.request
}

// recordStream records which stream a keyed chat's answer is read from.
func (n *Node) recordStream(a *answer, ref nutmegroute.StreamRef) {
	n.updateChatKey(a, &chatKeyUpdate{node: n, ref: ref})
}

// recordFailure releases the key of a chat that has failed.
func (n *Node) recordFailure(a *answer, err error) {
	n.updateChatKey(a, &chatKeyUpdate{node: n, ran: apiError(err).Ran})
}

// updateChatKey writes an update in the background, so that the chat does not
// wait for the store.
func (n *Node) updateChatKey(a *answer, update *chatKeyUpdate) {
	if a.scope != scopeFleet {
		return
	}
	update.key, update.request = chatKeyObject(a.key), a.request
	n.inFlight.Add(1)
	go update.run(context.Background())
}

// withEarlierRan returns err with its execution state combined with that of the
// earlier attempts under the same key.
func withEarlierRan(err error, earlier nutmegroute.Ran) error {
	refused := *apiError(err)
	refused.Ran = earlier.Combine(refused.Ran)
	return &refused
}

// sweptKinds are the kinds of records that expire.
var sweptKinds = []string{chatKeyKind, streamKind}

// sweepCursor steps through the name prefixes of records. All kinds are swept at
// the same prefix, so that no kind skips one.
type sweepCursor struct {
	step int
}

func (c *sweepCursor) nextPrefix() string {
	c.step = (c.step + 1) % sweepShards
	return fmt.Sprintf("%02x", c.step)
}

// sweepLoop deletes expired stream and chat key records, one name prefix at a
// time. The interval grows with the fleet, so that the fleet's total rate of
// list calls stays constant.
func (n *Node) sweepLoop(ctx context.Context) {
	defer close(n.sweepDone)
	for {
		members := len(n.peers.Members()) + 1
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval * time.Duration(members)):
		}
		prefix := n.sweep.nextPrefix()
		for _, kind := range sweptKinds {
			n.sweepRecords(ctx, kind, prefix)
		}
	}
}

// sweepRecords deletes the expired records of a kind whose names begin with
// prefix. Clock skew can delete a record too early and so let a request run
// again, but cannot break a budget limit.
func (n *Node) sweepRecords(ctx context.Context, kind, prefix string) {
	objects, err := n.client.List(ctx, kind, prefix)
	if err != nil {
		n.log.WithFields(logrus.Fields{"kind": kind, "prefix": prefix}).WithError(err).Info("cannot list records to delete expired ones; trying again in the next round")
		return
	}
	for _, o := range objects {
		doc, err := nutmegstore.Decode[struct {
			CreatedAt time.Time `json:"created_at"`
		}](o)
		if err == nil && time.Since(doc.Body.CreatedAt) > recordRetention {
			_ = n.client.Delete(ctx, o.Key, o.Version)
		}
	}
}
