package nutmegnode

import (
	"context"
	"net/http"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegstore"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// resumeStream serves GET /v1/chat/completions/stream.
func (n *Node) resumeStream(w http.ResponseWriter, r *request) error {
	id := r.Header.Get(lastEventHeader)
	if id == "" {
		return refusal(http.StatusBadRequest, "no_event_id", "the request has no Last-Event-ID; send the id of the last event that arrived")
	}
	return n.resume(w, r, id)
}

// resume continues an answer after the last event that the caller received, from
// this instance's log or from the engine that has the stream.
func (n *Node) resume(w http.ResponseWriter, r *request, id string) error {
	ref, after, err := n.signer.Open(id, r.caller.Workspace)
	if err != nil {
		return err
	}
	w.Header().Set(requestHeader, string(ref.Request))
	a, ok := n.answers.find(ref.Request)
	if !ok || a.log.Stream() != ref {
		a = n.takeOverStream(ref, after)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindResume, Request: ref.Request, Upstream: ref.Upstream})
	return n.deliver(w, r, a, after, true)
}

// takeOverStream starts reading an answer that another instance has started. It
// reserves no tokens, because the instance that accepted the request has done so.
func (n *Node) takeOverStream(ref nutmegroute.StreamRef, after nutmegroute.Offset) *answer {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &answer{
		request: ref.Request, log: nutmegroute.NewAnswerLog(after, maxBufferedAnswerBytes),
		cancel: cancel, releaseDeadline: func() {},
	}
	a.onUnread = func() { n.cancelUnread(a) }
	a.log.SetStream(ref)
	if existing, ok := n.answers.joinStream(a); ok {
		cancel(nil)
		return existing
	}
	n.count("answers_taken_over")
	n.inFlight.Add(1)
	go (&resumeRun{node: n, ref: ref, after: after, answer: a}).run(ctx)
	go (&streamClaim{node: n, request: ref.Request}).run(ctx)
	return a
}

// resumeRun reads an answer that was started at another instance.
type resumeRun struct {
	node   *Node
	ref    nutmegroute.StreamRef
	after  nutmegroute.Offset
	answer *answer
}

// run reads the answer to its end and bills the request, because the instance
// that accepted it may be gone. Folding the ledger counts each request once.
func (r *resumeRun) run(ctx context.Context) {
	defer r.node.inFlight.Done()
	usage, err := r.node.sender.Resume(ctx, r.ref, r.after, r.answer.log.Append)
	r.node.addLine(nutmegledger.Line{
		Request: r.ref.Request, Workspace: r.ref.Workspace, Owner: r.ref.Owner,
		Upstream: r.ref.Upstream, Model: r.ref.Model, Tokens: min(usage.Tokens, r.ref.ReservedTokens), Exact: usage.Exact,
	})
	r.answer.log.Finish(err)
	r.node.answers.finish(r.answer, false)
}

// streamKind is the kind of the objects that record which instance reads a stream
// that was taken over.
const streamKind = "stream"

// streamRecord is the body of a stream object. No object exists as long as only
// the instance that accepted the request reads its stream.
type streamRecord struct {
	Reader    nutmegid.Incarnation `json:"reader"`
	Closed    bool                 `json:"closed"`
	CreatedAt time.Time            `json:"created_at"`
}

// streamOwners decides which instance may cancel a stream: the last one that
// claimed it. It uses compare-and-swap, so that no instance cancels a stream that
// another one is reading.
type streamOwners struct {
	store       *nutmegstore.Writer
	incarnation nutmegid.Incarnation
}

func streamObject(request nutmegid.RequestID) nutmegstore.Key {
	return nutmegstore.Key{Kind: streamKind, Name: string(request)}
}

// claim records this instance as the reader of a request's stream.
func (s streamOwners) claim(ctx context.Context, request nutmegid.RequestID) error {
	_, err := nutmegstore.Update(ctx, s.store, streamObject(request), func(r *streamRecord) error {
		r.Reader = s.incarnation
		r.CreatedAt = time.Now()
		return nil
	})
	return err
}

// markClosed marks a request's stream as closed and reports whether this instance
// may cancel it. It may not if another instance has claimed the stream or the
// store fails.
func (s streamOwners) markClosed(ctx context.Context, request nutmegid.RequestID) bool {
	allowed := false
	_, err := nutmegstore.Update(ctx, s.store, streamObject(request), func(r *streamRecord) error {
		allowed = r.Reader == "" || r.Reader == s.incarnation
		if !allowed {
			return nutmegstore.ErrUnchanged
		}
		r.Closed = true
		r.CreatedAt = time.Now()
		return nil
	})
	return err == nil && allowed
}

// streamClaim records the take-over of a stream in the background, so that the
// caller does not wait for the store. The claim is in time if it is written before
// the first instance cancels the unread stream, that is within unreadTimeout. It
// is rate limited to spare the store's write limit.
type streamClaim struct {
	node    *Node
	request nutmegid.RequestID
}

func (c *streamClaim) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.node.unreadTimeout)
	defer cancel()
	err := c.node.streamClaimLimiter.Wait(ctx)
	if err == nil {
		err = c.node.streams.claim(ctx, c.request)
	}
	if err != nil {
		c.node.count("stream_claims_unwritten")
	}
}
