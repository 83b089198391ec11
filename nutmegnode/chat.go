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

// chat answers a chat completion request, or goes on with an answer whose
// events the caller has in part.
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
		key:      answerKey{workspace: r.caller.Workspace, target: "chat", key: nutmegid.OrderKey(r.Header.Get(keyHeader))},
		bodyHash: nutmegconf.HashKey(string(r.body)),
		request:  r.id,
		log:      nutmegroute.NewAnswerLog(0, maxHeldBytes),
		cancel:   cancel,
		release:  cancelDeadline,
		ready:    make(chan struct{}),
	}
	a.onUnread = func() { n.abandon(a) }
	a, mine, err := n.answers.begin(a)
	if err != nil || !mine {
		cancelDeadline()
		cancel(nil)
	}
	if err != nil {
		return err
	}
	if mine {
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
// begun under the chat's key. A refusal ends the answer with it.
func (n *Node) startChat(ctx context.Context, r *request, a *answer, chat nutmegroute.Chat) {
	defer close(a.ready)
	record, mine := chatKeyRecord{Request: a.request}, true
	if a.key.key != "" {
		var err error
		record, mine, a.scope, err = n.claimChat(ctx, a)
		if err != nil {
			a.log.Finish(err)
			n.answers.finish(a, false)
			return
		}
		n.answers.rename(a, record.Request)
	}
	n.running.Add(1)
	if !mine {
		a.log.SetStream(record.Place)
		go (&resumeRun{node: n, place: record.Place, answer: a}).run(ctx)
		return
	}
	chat.Request = record.Request
	go (&chatRun{node: n, caller: r.caller, chat: chat, answer: a, before: record.Ran}).run(ctx)
}

// deliver writes an answer from an offset to one caller.
func (n *Node) deliver(w http.ResponseWriter, r *request, a *answer, after nutmegroute.Offset, stream bool) error {
	out := n.newAnswerWriter(w, stream, after)
	a.attach()
	defer a.detach(n.keepUnread)
	err := a.log.Follow(r.Context(), after, out.events)
	if errors.Is(err, nutmegroute.ErrEvicted) {
		err = n.followEngine(r.Context(), a.log.Stream(), out)
	}
	return out.end(err)
}

// followEngine reads the rest of an answer from the engine for one caller.
func (n *Node) followEngine(ctx context.Context, place nutmegroute.StreamRef, out *answerWriter) error {
	_, err := n.sender.Read(ctx, place, out.offset, func(e nutmegroute.Event) error {
		return out.events(place, []nutmegroute.Event{e})
	})
	return err
}

// chatRun runs one chat, apart from the callers that read its answer.
type chatRun struct {
	node         *Node
	caller       nutmegconf.Caller
	chat         nutmegroute.Chat
	answer       *answer
	before       nutmegroute.Ran // of earlier tries under the chat's key
	reservations []nutmegbudget.Reservation
}

// run reserves, sends, settles and bills. The answer ends only after that, so
// that a whole answer is always a billed one.
func (c *chatRun) run(ctx context.Context) {
	defer c.node.running.Done()
	c.chat.OnStream = c.started
	c.chat.ReserveAgain = c.reserve
	err := c.reserve(ctx)
	if err == nil {
		var use nutmegroute.Usage
		use, err = c.node.sender.Chat(ctx, c.chat, c.answer.log.Append)
		c.settle(use, err)
	}
	if err != nil && c.before.Combine(nutmegroute.RanNo) != nutmegroute.RanNo {
		err = afterTries(err, c.before)
	}
	if err != nil && !errors.Is(context.Cause(ctx), errAbandoned) {
		c.node.noteFailure(c.answer, err)
	}
	c.ended(err)
	c.answer.log.Finish(err)
	c.node.answers.finish(c.answer, err == nil)
}

// ended notes how the answer ended.
func (c *chatRun) ended(err error) {
	detail := "whole"
	if err != nil {
		detail = err.Error()
	}
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindAnswer, Request: c.chat.Request, Detail: detail})
}

// started notes the stream that the answer comes from.
func (c *chatRun) started(place nutmegroute.StreamRef) {
	c.answer.log.SetStream(place)
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSend, Request: c.chat.Request, Upstream: place.Upstream, Detail: place.Stream})
	c.node.noteStream(c.answer, place)
}

// reserve takes the bound of one attempt from both budgets.
func (c *chatRun) reserve(ctx context.Context) error {
	reservation, err := c.node.holder.Acquire(ctx, c.caller.WorkspaceBudget, c.caller.OwnerBudget, c.chat.Bound)
	if err != nil {
		return err
	}
	c.reservations = append(c.reservations, reservation)
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindReserve, Request: c.chat.Request, Budget: c.caller.WorkspaceBudget, Tokens: c.chat.Bound})
	return nil
}

// settle counts what the request used, on budgets and in the ledger.
func (c *chatRun) settle(use nutmegroute.Usage, err error) {
	left := use.Tokens
	var settled nutmegid.Tokens
	for _, r := range c.reservations {
		used := min(left, r.Tokens())
		r.Settle(used)
		left -= used
		settled += used
	}
	if settled == 0 && err != nil {
		return
	}
	c.node.addLine(nutmegledger.Line{
		Request: c.chat.Request, Workspace: c.caller.Workspace, Owner: c.caller.Owner,
		Upstream: use.Upstream, Model: c.chat.Model, Tokens: settled, Exact: use.Exact,
	})
	c.node.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSettle, Request: c.chat.Request, Budget: c.caller.WorkspaceBudget, Upstream: use.Upstream, Tokens: settled})
}

// abandon cancels an answer that no caller reads, unless another instance has
// taken its stream over.
func (n *Node) abandon(a *answer) {
	ctx, cancel := context.WithTimeout(context.Background(), streamStoreTimeout)
	defer cancel()
	if !n.streams.close(ctx, a.request) {
		n.count("unread_answers_left")
		return
	}
	n.count("unread_answers_cancelled")
	a.cancel(errUnread)
}

// drain waits for running requests. When ctx ends before, it cancels them and
// waits until finish ends.
func (n *Node) drain(ctx, finish context.Context) error {
	stop := context.AfterFunc(ctx, func() { n.answers.cancelAll(errShutdown) })
	defer stop()
	return n.running.wait(finish)
}

func keyReusedError(key nutmegid.OrderKey) error {
	return refusal(http.StatusUnprocessableEntity, "key_reused",
		fmt.Sprintf("idempotency key %q was used with another body; use a new key for another request", key))
}
