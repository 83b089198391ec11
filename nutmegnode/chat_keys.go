package nutmegnode

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
)

// keyScopeHeader tells a caller how far its idempotency key holds.
const keyScopeHeader = "X-Idempotency-Scope"

// The scopes of an idempotency key.
const (
	scopeFleet    = "fleet"
	scopeInstance = "instance" // the store was out or its rate used up
)

// chatKeyKind is the object kind of chats with idempotency keys.
const chatKeyKind = "chat_key"

// chatKeyRecord is the body of a chat key object. It has no claimant after its
// chat has failed and may have run: the next try under the key keeps the
// request's id, so that the request is billed once.
type chatKeyRecord struct {
	Claimant  nutmegid.Incarnation  `json:"claimant"`
	Request   nutmegid.RequestID    `json:"request"`
	BodyHash  string                `json:"body_hash"`
	Place     nutmegroute.StreamRef `json:"place"` // without a stream before it started
	Ran       nutmegroute.Ran       `json:"ran"`   // of all tries that have ended
	CreatedAt time.Time             `json:"created_at"`
}

func chatKeyObject(key answerKey) nutmegstore.Key {
	name := string(key.workspace) + "\x00" + key.target + "\x00" + string(key.key)
	return nutmegstore.Key{Kind: chatKeyKind, Name: nutmegconf.HashKey(name)}
}

// claimChat claims a chat's key in the store. It returns the record that holds
// the key, and whether this instance runs the chat; the scope is the instance
// where the store is not asked or does not answer.
func (n *Node) claimChat(ctx context.Context, a *answer) (chatKeyRecord, bool, string, error) {
	own := chatKeyRecord{Claimant: n.incarnation, Request: a.request, BodyHash: a.bodyHash, CreatedAt: time.Now()}
	if !n.chatKeyRate.AllowN(time.Now(), chatKeyWrites) {
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
		record, mine, err := n.followChat(ctx, a.key, own)
		if !nutmegstore.IsKind(err, nutmegstore.KindNotFound) {
			return record, mine, scopeFleet, err
		}
	}
}

// followChat reads the chat that holds a key. A chat whose stream has not begun
// is taken over when its instance is gone; else its caller is told to wait.
func (n *Node) followChat(ctx context.Context, name answerKey, own chatKeyRecord) (chatKeyRecord, bool, error) {
	key := chatKeyObject(name)
	for {
		doc, err := nutmegstore.Read[chatKeyRecord](ctx, n.writer, key)
		switch {
		case err != nil:
			return own, false, err
		case doc.Body.BodyHash != own.BodyHash:
			return own, false, keyReusedError(name.key)
		case doc.Body.Place.Stream != "":
			return doc.Body, false, nil
		case n.isGone(doc.Body):
			return n.takeOverChat(ctx, key, doc.Body)
		}
		select {
		case <-ctx.Done():
			return own, false, &APIError{
				Status: http.StatusConflict, Kind: "key_in_progress", Run: nutmegroute.RanUnknown,
				Message: "the request with this idempotency key is waiting at another instance; send it again later under the same key",
			}
		case <-time.After(chatKeyPoll):
		}
	}
}

// takeOverChat becomes the claimant of a chat whose instance is gone. The chat
// keeps its request id, so that it is billed once.
func (n *Node) takeOverChat(ctx context.Context, key nutmegstore.Key, seen chatKeyRecord) (chatKeyRecord, bool, error) {
	doc, err := nutmegstore.Update(ctx, n.writer, key, func(r *chatKeyRecord) error {
		if r.Claimant != seen.Claimant || r.Place.Stream != "" {
			return nutmegstore.ErrUnchanged
		}
		if r.Claimant != "" {
			// A claimant that is gone may have sent the chat without noting it.
			r.Ran = r.Ran.Combine(nutmegroute.RanUnknown)
		}
		r.Claimant = n.incarnation
		return nil
	})
	return doc.Body, err == nil && doc.Body.Claimant == n.incarnation, err
}

// isGone reports whether a chat's claimant seems to have ended. It decides on
// waiting only: budgets hold also where it is wrong.
func (n *Node) isGone(record chatKeyRecord) bool {
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
	return time.Since(record.CreatedAt) > claimantUnknown
}

// chatKeyNote records in the store what became of a chat with a key.
type chatKeyNote struct {
	node    *Node
	key     nutmegstore.Key
	request nutmegid.RequestID
	place   nutmegroute.StreamRef // without a stream when the chat has failed
	ran     nutmegroute.Ran       // of a chat that has failed
}

func (c *chatKeyNote) run(ctx context.Context) {
	defer c.node.running.Done()
	ctx, cancel := context.WithTimeout(ctx, streamStoreTimeout)
	defer cancel()
	if c.write(ctx) != nil {
		c.node.count("chat_keys_unwritten")
	}
}

// write puts the place down, or frees the key of a failed chat for a new try.
func (c *chatKeyNote) write(ctx context.Context) error {
	if c.ran == nutmegroute.RanNo {
		return c.remove(ctx)
	}
	_, err := nutmegstore.Update(ctx, c.node.writer, c.key, func(r *chatKeyRecord) error {
		if !c.owns(*r) {
			return nutmegstore.ErrUnchanged
		}
		r.Place = c.place
		if c.place.Stream == "" {
			r.Claimant = ""
			r.Ran = r.Ran.Combine(c.ran)
		}
		return nil
	})
	return err
}

// remove deletes the record of a chat of which no try ran: the next one is
// another request.
func (c *chatKeyNote) remove(ctx context.Context) error {
	doc, err := nutmegstore.Read[chatKeyRecord](ctx, c.node.writer, c.key)
	if err != nil || !c.owns(doc.Body) {
		return err
	}
	return c.node.client.Delete(ctx, c.key, doc.Version)
}

func (c *chatKeyNote) owns(r chatKeyRecord) bool {
	return r.Claimant == c.node.incarnation && r.Request == c.request
}

// noteStream notes where a keyed chat's answer comes from.
func (n *Node) noteStream(a *answer, place nutmegroute.StreamRef) {
	n.note(a, &chatKeyNote{node: n, place: place})
}

// noteFailure frees the key of a chat that has failed.
func (n *Node) noteFailure(a *answer, err error) {
	n.note(a, &chatKeyNote{node: n, ran: apiError(err).Run})
}

// note writes beside the chat, so that nobody waits for the store.
func (n *Node) note(a *answer, note *chatKeyNote) {
	if a.scope != scopeFleet {
		return
	}
	note.key, note.request = chatKeyObject(a.key), a.request
	n.running.Add(1)
	go note.run(context.Background())
}

// afterTries returns a refusal with what all tries under the key say about
// running.
func afterTries(err error, before nutmegroute.Ran) error {
	refused := *apiError(err)
	refused.Run = before.Combine(refused.Run)
	return &refused
}

// sweepLoop deletes old records of moved streams and chat keys, a small part at
// a time. The whole fleet lists at a constant rate.
func (n *Node) sweepLoop(ctx context.Context) {
	for {
		members := len(n.peers.Members()) + 1
		select {
		case <-ctx.Done():
			return
		case <-time.After(sweepInterval * time.Duration(members)):
		}
		for _, kind := range []string{chatKeyKind, streamKind} {
			n.sweep(ctx, kind, fmt.Sprintf("%02x", n.sweepNext.Add(1)%sweepShards))
		}
	}
}

// sweep deletes the records of a kind whose names begin with prefix and that
// are past their time. A wrong clock costs a repeat, never a budget.
func (n *Node) sweep(ctx context.Context, kind, prefix string) {
	objects, err := n.client.List(ctx, kind, prefix)
	if err != nil {
		return
	}
	for _, o := range objects {
		doc, err := nutmegstore.Decode[struct {
			CreatedAt time.Time `json:"created_at"`
		}](o)
		if err == nil && time.Since(doc.Body.CreatedAt) > recordsKept {
			_ = n.client.Delete(ctx, o.Key, o.Version)
		}
	}
}
