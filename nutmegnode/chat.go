package nutmegnode

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

const (
	lastEventHeader = "Last-Event-ID"
	keyHeader       = "Idempotency-Key"
	replayedHeader  = "Idempotent-Replayed"
)

// chat serves a chat completion request. With a Last-Event-ID it resumes an
// answer of which the caller has received a part.
func (n *Node) chat(w http.ResponseWriter, r *request) error {
	if id := r.Header.Get(lastEventHeader); id != "" {
		return n.resume(w, r, id)
	}
	chat, parsed, err := newChat(r)
	if err != nil {
		return err
	}
	ctx, cancelDeadline, err := withDeadline(context.WithoutCancel(r.Context()), r.Header, time.Now())
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancelCause(ctx)
	a := &answer{
		key:             answerKey{workspace: r.caller.Workspace, target: "chat", key: nutmegid.OrderKey(r.Header.Get(keyHeader))},
		bodyHash:        nutmegconf.HashKey(string(r.body)),
		request:         r.id,
		log:             nutmegroute.NewAnswerLog(0, maxBufferedAnswerBytes),
		cancel:          cancel,
		releaseDeadline: cancelDeadline,
		ready:           make(chan struct{}),
	}
	a.onUnread = func() { n.cancelUnread(a) }
	a, created, err := n.answers.register(a)
	if err != nil || !created {
		cancelDeadline()
		cancel(nil)
	}
	if err != nil {
		return err
	}
	if created {
		n.startChat(ctx, r, a, chat)
	} else {
		w.Header().Set(replayedHeader, "true")
	}
	select {
	case <-a.ready:
	case <-r.Context().Done():
		return context.Cause(r.Context())
	}
	if a.key.key != "" {
		w.Header().Set(keyScopeHeader, a.scope)
	}
	w.Header().Set(requestHeader, string(a.request))
	return n.deliver(w, r, a, 0, parsed.Stream)
}

// startChat runs a new chat, or reads the answer that another instance has
// started under the same idempotency key. If the key cannot be claimed, the
// answer ends with that error.
func (n *Node) startChat(ctx context.Context, r *request, a *answer, chat nutmegroute.Chat) {
	defer close(a.ready)
	record, claimed := chatKeyRecord{Request: a.request}, true
	if a.key.key != "" {
		var err error
		record, claimed, a.scope, err = n.claimChatKey(ctx, a)
		if err != nil {
			a.log.Finish(err)
			n.answers.finish(a, false)
			return
		}
		n.answers.setRequest(a, record.Request)
	}
	n.inFlight.Add(1)
	if !claimed {
		a.log.SetStream(record.StreamRef)
		go (&resumeRun{node: n, ref: record.StreamRef, answer: a}).run(ctx)
		return
	}
	chat.Request = record.Request
	go (&chatRun{node: n, caller: r.caller, chat: chat, answer: a, earlierRan: record.Ran}).run(ctx)
}

// deliver writes an answer to one caller, starting after the given offset.
func (n *Node) deliver(w http.ResponseWriter, r *request, a *answer, after nutmegroute.Offset, stream bool) error {
	out := n.newAnswerWriter(w, stream, after)
	a.attach()
	defer a.detach(n.unreadTimeout)
	err := a.log.Follow(r.Context(), after, out.writeEvents)
	if errors.Is(err, nutmegroute.ErrEvicted) {
		err = n.followEngine(r.Context(), a.log.Stream(), out)
	}
	return out.finish(err)
}

// followEngine reads the rest of an answer from its engine for one caller. It is
// used when the caller is so far behind that the local log has dropped events.
func (n *Node) followEngine(ctx context.Context, ref nutmegroute.StreamRef, out *answerWriter) error {
	_, err := n.sender.Read(ctx, ref, out.offset, func(e nutmegroute.Event) error {
		return out.writeEvents(ref, []nutmegroute.Event{e})
	})
	return err
}

// chatRun runs one chat independently of the callers that read its answer.
type chatRun struct {
	node         *Node
	caller       nutmegconf.Caller
	chat         nutmegroute.Chat
	answer       *answer
	earlierRan   nutmegroute.Ran // outcome of earlier attempts under the same idempotency key
	reservations []nutmegbudget.Reservation
}

// run reserves tokens, sends the chat, settles and bills it. The answer is
// finished last, so that a complete answer has always been billed.
func (c *chatRun) run(ctx context.Context) {
	defer c.node.inFlight.Done()
	c.chat.OnStream = c.recordStream
	c.chat.ReserveAgain = c.reserve
	err := c.reserve(ctx)
	if err == nil {
		var usage nutmegroute.Usage
		usage, err = c.node.sender.Chat(ctx, c.chat, c.answer.log.Append)
		c.settle(usage, err)
	}
	if err != nil && c.earlierRan.Combine(nutmegroute.RanNo) != nutmegroute.RanNo {
		err = withEarlierRan(err, c.earlierRan)
	}
	if err != nil && !errors.Is(context.Cause(ctx), errAbandoned) {
		c.node.recordFailure(c.answer, err)
	}
	c.recordEnd(err)
	c.answer.log.Finish(err)
	c.node.answers.finish(c.answer, err == nil)
}

// recordEnd records an event with the outcome of the chat.
func (c *chatRun) recordEnd(err error) {
	detail := "whole"
	if err != nil {
		detail = err.Error()
	}
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindAnswer, Request: c.chat.Request, Detail: detail})
}

// recordStream records which engine stream the answer is read from.
func (c *chatRun) recordStream(ref nutmegroute.StreamRef) {
	c.answer.log.SetStream(ref)
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSend, Request: c.chat.Request, Upstream: ref.Upstream, Detail: ref.Stream})
	c.node.recordStream(c.answer, ref)
}

// reserve reserves the token bound of one attempt on the budgets of the
// workspace and of its owner.
func (c *chatRun) reserve(ctx context.Context) error {
	reservation, err := c.node.leaseHolder.Acquire(ctx, c.caller.WorkspaceBudget, c.caller.OwnerBudget, c.chat.ReservedTokens)
	if err != nil {
		return err
	}
	c.reservations = append(c.reservations, reservation)
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindReserve, Request: c.chat.Request, Budget: c.caller.WorkspaceBudget, Tokens: c.chat.ReservedTokens})
	return nil
}

// settle charges the tokens that the request used to its reservations and adds
// a line to the ledger.
func (c *chatRun) settle(usage nutmegroute.Usage, err error) {
	unsettled := usage.Tokens
	var settled nutmegid.Tokens
	for _, r := range c.reservations {
		used := min(unsettled, r.Tokens())
		r.Settle(used)
		unsettled -= used
		settled += used
	}
	if settled == 0 && err != nil {
		return
	}
	c.node.addLine(nutmegledger.Line{
		Request: c.chat.Request, Workspace: c.caller.Workspace, Owner: c.caller.Owner,
		Upstream: usage.Upstream, Model: c.chat.Model, Tokens: settled, Exact: usage.Exact,
	})
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSettle, Request: c.chat.Request, Budget: c.caller.WorkspaceBudget, Upstream: usage.Upstream, Tokens: settled})
}

// cancelUnread cancels an answer that no caller reads, unless another instance
// has taken over its stream.
func (n *Node) cancelUnread(a *answer) {
	ctx, cancel := context.WithTimeout(context.Background(), streamStoreTimeout)
	defer cancel()
	if !n.streams.markClosed(ctx, a.request) {
		n.count("unread_answers_left")
		return
	}
	if a.cancelUnread(errUnread) {
		n.count("unread_answers_cancelled")
	}
}

// drain waits for in-flight requests. When ctx is done it cancels them and keeps
// waiting until the context finish is done.
func (n *Node) drain(ctx, finish context.Context) error {
	stop := context.AfterFunc(ctx, func() { n.answers.cancelAll(errShutdown) })
	defer stop()
	return n.inFlight.wait(finish)
}

func keyReusedError(key nutmegid.OrderKey) error {
	return refusal(http.StatusUnprocessableEntity, "key_reused",
		fmt.Sprintf("idempotency key %q was used with another body; use a new key for another request", key))
}
