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

// resumeStream is the GET form of resume.
func (n *Node) resumeStream(w http.ResponseWriter, r *request) error {
	id := r.Header.Get(lastEventHeader)
	if id == "" {
		return refusal(http.StatusBadRequest, "no_event_id", "the request has no Last-Event-ID; send the id of the last event that arrived")
	}
	return n.resume(w, r, id)
}

// resume goes on with an answer after the event that the caller had last, from
// this instance's own log or from the engine that holds the stream.
func (n *Node) resume(w http.ResponseWriter, r *request, id string) error {
	place, after, err := n.signer.Open(id, r.caller.Workspace)
	if err != nil {
		return err
	}
	w.Header().Set(requestHeader, string(place.Request))
	a, ok := n.answers.find(place.Request)
	if !ok || a.log.Stream() != place {
		a = n.takeOver(place, after)
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindResume, Request: place.Request, Upstream: place.Upstream})
	return n.deliver(w, r, a, after, true)
}

// takeOver begins to read an answer that another instance has begun. Nothing is
// reserved: the tokens were debited where the request was accepted.
func (n *Node) takeOver(place nutmegroute.StreamRef, after nutmegroute.Offset) *answer {
	ctx, cancel := context.WithCancelCause(context.Background())
	a := &answer{
		request: place.Request, log: nutmegroute.NewAnswerLog(after, maxHeldBytes),
		cancel: cancel, release: func() {},
	}
	a.onUnread = func() { n.abandon(a) }
	a.log.SetStream(place)
	if known, ok := n.answers.join(a); ok {
		cancel(nil)
		return known
	}
	n.count("answers_taken_over")
	n.running.Add(1)
	go (&resumeRun{node: n, place: place, after: after, answer: a}).run(ctx)
	go (&streamClaim{node: n, request: place.Request}).run(ctx)
	return a
}

// resumeRun reads an answer that was begun at another instance.
type resumeRun struct {
	node   *Node
	place  nutmegroute.StreamRef
	after  nutmegroute.Offset
	answer *answer
}

// run reads to the end and bills the request, in case that the instance which
// accepted it is gone; the ledger's fold counts each request once.
func (r *resumeRun) run(ctx context.Context) {
	defer r.node.running.Done()
	use, err := r.node.sender.Resume(ctx, r.place, r.after, r.answer.log.Append)
	r.node.addLine(nutmegledger.Line{
		Request: r.place.Request, Workspace: r.place.Workspace, Owner: r.place.Owner,
		Upstream: r.place.Upstream, Model: r.place.Model, Tokens: min(use.Tokens, r.place.Bound), Exact: use.Exact,
	})
	r.answer.log.Finish(err)
	r.node.answers.finish(r.answer, false)
}

// streamKind is the object kind that says which instance reads a moved stream.
const streamKind = "stream"

// streamRecord is the body of a stream object. There is none while the instance
// that accepted the request reads its stream.
type streamRecord struct {
	Reader    nutmegid.Incarnation `json:"reader"`
	Closed    bool                 `json:"closed"`
	CreatedAt time.Time            `json:"created_at"`
}

// streamOwners decides which instance may cancel a stream: the one that read it
// last. It decides by compare and set, so that no reader's answer is cut.
type streamOwners struct {
	store       *nutmegstore.Writer
	incarnation nutmegid.Incarnation
}

func streamObject(request nutmegid.RequestID) nutmegstore.Key {
	return nutmegstore.Key{Kind: streamKind, Name: string(request)}
}

// take makes this instance the reader of a request's stream.
func (s streamOwners) take(ctx context.Context, request nutmegid.RequestID) error {
	_, err := nutmegstore.Update(ctx, s.store, streamObject(request), func(r *streamRecord) error {
		r.Reader = s.incarnation
		r.CreatedAt = time.Now()
		return nil
	})
	return err
}

// close reports whether this instance may cancel a request's stream.
func (s streamOwners) close(ctx context.Context, request nutmegid.RequestID) bool {
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

// streamClaim writes the take-over of a stream beside the reading of it, so that
// the caller need not wait for the store. It is in time as long as the first
// instance keeps the stream, and takes little of the store's rate.
type streamClaim struct {
	node    *Node
	request nutmegid.RequestID
}

func (c *streamClaim) run(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.node.keepUnread)
	defer cancel()
	err := c.node.streamRate.Wait(ctx)
	if err == nil {
		err = c.node.streams.take(ctx, c.request)
	}
	if err != nil {
		c.node.count("stream_claims_unwritten")
	}
}
