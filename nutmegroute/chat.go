package nutmegroute

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/google/uuid"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Chat is a chat completion request.
type Chat struct {
	Request        nutmegid.RequestID
	Workspace      nutmegid.Workspace
	Owner          nutmegid.Owner
	Model          nutmegid.Model
	Body           []byte          // JSON body, with stream set
	ReservedTokens nutmegid.Tokens // tokens reserved for each attempt
	MaxAnswer      nutmegid.Tokens // maximum length of the answer
	Priority       Priority

	PromptTokens int64    // estimated
	Prefix       []uint64 // from PrefixBlocks

	// OnStream is called with the stream that subsequent events come from.
	OnStream func(StreamRef)
	// ReserveAgain reserves ReservedTokens again before an attempt that follows one that may have
	// run. An error ends the request.
	ReserveAgain func(ctx context.Context) error
}

// Fingerprint identifies the chat by its content, across all callers.
func (c Chat) Fingerprint() Fingerprint {
	return NewFingerprint(c.Workspace, string(c.Model), c.Body)
}

// Event is a server-sent event of an answer.
type Event struct {
	Data   []byte
	Offset Offset
}

// Usage is what a request consumed over all of its attempts.
type Usage struct {
	Upstream nutmegid.Upstream // of the last attempt
	Tokens   nutmegid.Tokens
	Exact    bool // all counts were reported by the upstreams
}

func (u Usage) add(next Usage) Usage {
	return Usage{Upstream: next.Upstream, Tokens: u.Tokens + next.Tokens, Exact: u.Exact && next.Exact}
}

// chatRun tracks a chat across its attempts.
type chatRun struct {
	sender           *Sender
	chat             Chat
	sink             func(Event) error
	fingerprint      Fingerprint
	avoid            []nutmegid.Upstream
	delivered        bool // an event has reached the sink
	releaseDuplicate func()
	ran              Ran // over all attempts
	usage            Usage
}

// Chat sends a request to an upstream of its model and passes each event to sink exactly once
// and in order. It returns nil only after a complete answer. Broken connections are resumed;
// the request is retried only while no event has been delivered. The returned usage covers the
// tokens of all attempts, even if an error is returned.
func (s *Sender) Chat(ctx context.Context, chat Chat, sink func(Event) error) (Usage, error) {
	r := &chatRun{sender: s, chat: chat, fingerprint: chat.Fingerprint(), usage: Usage{Exact: true}, ran: RanNo}
	r.sink = func(e Event) error {
		if !r.delivered {
			r.delivered = true
			r.releaseDuplicate()
		}
		return sink(e)
	}
	s.retries.Deposit(modelKey(chat.Model))
	var err error
	for attempt := 1; attempt <= s.cfg.MaxAttempts; attempt++ {
		if attempt > 1 && !r.prepareRetry(ctx, err) {
			break
		}
		err = r.attempt(ctx)
		if err != nil {
			r.ran = r.ran.Combine(RanOf(err))
		}
		if err == nil || !r.mayRetry(ctx, err) {
			break
		}
	}
	return r.usage, withRan(err, r.ran)
}

// mayRetry reports whether a failed chat may be retried: no event was delivered, and another
// upstream may succeed.
func (r *chatRun) mayRetry(ctx context.Context, err error) bool {
	if r.delivered || ctx.Err() != nil {
		return false
	}
	return IsKind(err, KindRefused) || IsKind(err, KindUnreachable) || IsKind(err, KindUpstreamCode) ||
		IsKind(err, KindLost) || IsKind(err, KindBroken)
}

// prepareRetry takes a retry from the retry budget and, if the last attempt may have run,
// reserves tokens again.
func (r *chatRun) prepareRetry(ctx context.Context, err error) bool {
	if !r.sender.retries.Take(modelKey(r.chat.Model)) {
		return false
	}
	if RanOf(err) == RanNo {
		return true
	}
	return r.chat.ReserveAgain != nil && r.chat.ReserveAgain(ctx) == nil
}

// attempt sends the chat once. A request that has crashed an upstream is sent at most once
// more, as a trial controlled by Suspects.
func (r *chatRun) attempt(ctx context.Context) error {
	r.releaseDuplicate = r.sender.duplicates.acquire(ctx, r.fingerprint)
	defer r.releaseDuplicate()
	suspects := r.sender.cfg.Suspects
	switch suspects.Check(r.fingerprint) {
	case VerdictQuarantined:
		return quarantinedError()
	case VerdictSuspect:
		return r.runTrial(ctx)
	}
	pick, err := r.pick(ctx, r.avoid)
	if err != nil {
		return err
	}
	if len(r.avoid) == 0 {
		r.sender.retries.Deposit(upstreamKey(pick.Upstream))
	} else if !r.sender.retries.Take(upstreamKey(pick.Upstream)) {
		err = retryBudgetError(pick.Upstream)
		pick.Done(err)
		return err
	}
	err = r.send(ctx, pick)
	if IsKind(err, KindLost) {
		suspects.RecordCrash(ctx, r.crashReport(pick.Upstream))
	}
	return err
}

// pick waits in the queue and chooses an upstream.
func (r *chatRun) pick(ctx context.Context, avoid []nutmegid.Upstream) (*Pick, error) {
	return r.sender.cfg.Pool.Pick(ctx, PickRequest{
		Model: r.chat.Model, Workspace: r.chat.Workspace, Priority: r.chat.Priority,
		PromptTokens: r.chat.PromptTokens, Tokens: int64(r.chat.ReservedTokens), Prefix: r.chat.Prefix, Avoid: avoid,
	})
}

// runTrial sends a suspect request to an upstream where no other suspect request runs.
func (r *chatRun) runTrial(ctx context.Context) error {
	trial := &trial{run: r}
	suspects := r.sender.cfg.Suspects
	if err := suspects.BeginTrial(ctx, r.fingerprint, trial); err != nil {
		return err
	}
	err := r.send(ctx, trial.pick)
	suspects.EndTrial(ctx, r.fingerprint, r.trialVerdict(err))
	if IsKind(err, KindLost) {
		return withRan(quarantinedError(), RanYes)
	}
	return err
}

// trial picks the upstream for the trial of a suspect request.
type trial struct {
	run  *chatRun
	pick *Pick
}

// Pick implements TrialPicker.
func (t *trial) Pick(ctx context.Context, avoid []nutmegid.Upstream) (nutmegid.Upstream, error) {
	var err error
	t.pick, err = t.run.pick(ctx, append(avoid, t.run.avoid...))
	if err != nil {
		return "", err
	}
	return t.pick.Upstream, nil
}

// Release implements TrialPicker.
func (t *trial) Release(err error) {
	t.pick.Done(err)
}

// trialVerdict returns the verdict after a trial. A crash, or a failure that may have been
// one, quarantines the request; an answer that the engine survived clears it.
func (r *chatRun) trialVerdict(err error) Verdict {
	if err == nil || IsKind(err, KindOverran) {
		return VerdictClear
	}
	ended := IsKind(err, KindDeadline) || IsKind(err, KindInterrupted) || IsKind(err, KindCancelled)
	if ended && r.delivered {
		return VerdictClear
	}
	if ended || RanOf(err) == RanNo {
		return VerdictSuspect
	}
	return VerdictQuarantined
}

func (r *chatRun) crashReport(u nutmegid.Upstream) CrashReport {
	return CrashReport{
		Fingerprint: r.fingerprint, Workspace: r.chat.Workspace, Target: string(r.chat.Model), Upstream: u,
	}
}

func (r *chatRun) send(ctx context.Context, c *Pick) error {
	r.avoid = append(r.avoid, c.Upstream)
	usage, err := r.sender.sendChat(ctx, c, r.chat, r.sink)
	c.Done(err)
	if err != nil && RanOf(err) == RanNo {
		usage = Usage{Upstream: c.Upstream, Exact: true}
	}
	r.usage = r.usage.add(usage)
	return err
}

// sendChat sends the chat to one upstream and reads its stream.
func (s *Sender) sendChat(ctx context.Context, c *Pick, chat Chat, sink func(Event) error) (Usage, error) {
	usage := Usage{Upstream: c.Upstream, Tokens: chat.ReservedTokens}
	if ctx.Err() != nil {
		return usage, contextError(ctx, c.Upstream, RanNo)
	}
	ref := StreamRef{
		Request: chat.Request, Workspace: chat.Workspace, Owner: chat.Owner, Model: chat.Model,
		Upstream: c.Upstream, Stream: uuid.NewString(), ReservedTokens: chat.ReservedTokens, MaxAnswer: chat.MaxAnswer,
	}
	first := func(e Event) error {
		c.FirstToken()
		return sink(e)
	}
	sentAt := time.Now()
	conn, stream, err := s.openChat(ctx, c, chat, ref.Stream)
	if err != nil && RanOf(err) == RanUnknown {
		return s.newStreamReader(c.URL, ref, 0, first).recoverStream(ctx, sentAt, chat.OnStream, err)
	}
	if err != nil {
		return usage, err
	}
	ref.Stream = stream
	if chat.OnStream != nil {
		chat.OnStream(ref)
	}
	return s.newStreamReader(c.URL, ref, 0, first).run(ctx, conn)
}

// openChat posts the chat with a proposed stream name. It returns the connection and the name
// that the engine assigned.
func (s *Sender) openChat(ctx context.Context, c *Pick, chat Chat, name string) (*connection, string, error) {
	connCtx, cancel := context.WithCancel(ctx)
	req, err := http.NewRequestWithContext(connCtx, http.MethodPost, c.URL+"/v1/chat/completions", bytes.NewReader(chat.Body))
	if err != nil {
		cancel()
		return nil, "", &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: c.Upstream, Remedy: "correct the upstream's URL", Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", string(chat.Request))
	req.Header.Set("X-Workspace", string(chat.Workspace))
	req.Header.Set("X-Priority", fmt.Sprint(chat.Priority))
	req.Header.Set(streamHeader, name)
	resp, err := s.pooled.Do(req)
	if err != nil {
		cancel()
		return nil, "", sendError(ctx, c.Upstream, err)
	}
	if resp.StatusCode != http.StatusOK {
		defer cancel()
		defer func() { _ = resp.Body.Close() }()
		return nil, "", engineStatusError(c.Upstream, resp)
	}
	return &connection{body: resp.Body, cancel: cancel}, resp.Header.Get(streamHeader), nil
}

// Resume takes over an answer: it passes on the events after an offset and cancels the stream
// if it cannot be read to its end. It makes no reservation, because the original request did.
func (s *Sender) Resume(ctx context.Context, ref StreamRef, after Offset, sink func(Event) error) (Usage, error) {
	url, ok := s.cfg.Pool.URL(ref.Upstream)
	if !ok || ref.Stream == "" {
		return Usage{Upstream: ref.Upstream, Tokens: ref.ReservedTokens}, streamLostError(ref)
	}
	return s.newStreamReader(url, ref, after, sink).run(ctx, nil)
}

// Read passes the events of an answer after an offset to an additional reader. Unlike Resume,
// it never cancels the stream.
func (s *Sender) Read(ctx context.Context, ref StreamRef, after Offset, sink func(Event) error) (Usage, error) {
	url, ok := s.cfg.Pool.URL(ref.Upstream)
	if !ok || ref.Stream == "" {
		return Usage{Upstream: ref.Upstream}, streamLostError(ref)
	}
	f := s.newStreamReader(url, ref, after, sink)
	err := f.follow(ctx, nil)
	return f.usage, err
}

func streamLostError(ref StreamRef) error {
	return &Error{
		Kind: KindLost, Ran: RanYes, Upstream: ref.Upstream,
		Remedy: "the upstream or its stream is gone; send the request again",
	}
}
