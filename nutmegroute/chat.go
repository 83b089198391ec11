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

// Chat is one chat completion request.
type Chat struct {
	Request   nutmegid.RequestID
	Workspace nutmegid.Workspace
	Owner     nutmegid.Owner
	Model     nutmegid.Model
	Body      []byte          // the JSON body to send, with stream set
	Bound     nutmegid.Tokens // reserved for each attempt
	MaxAnswer nutmegid.Tokens // tokens that the answer may have
	Priority  Priority

	PromptTokens int64    // estimate
	Prefix       []uint64 // of PrefixBlocks

	// OnPlace is told of the stream that the events after it come from.
	OnPlace func(Place)
	// Again reserves the bound once more, before an attempt that follows one
	// which may have run. An error ends the request.
	Again func(ctx context.Context) error
}

// Fingerprint identifies the chat's content among those of all callers.
func (c Chat) Fingerprint() Fingerprint {
	return NewFingerprint(c.Workspace, string(c.Model), c.Body)
}

// Event is one server-sent event of an answer.
type Event struct {
	Data   []byte
	Offset Offset
}

// Use is what a request consumed over all of its attempts.
type Use struct {
	Upstream nutmegid.Upstream // of the last attempt
	Tokens   nutmegid.Tokens
	Exact    bool // the upstreams reported all counts
}

func (u Use) add(next Use) Use {
	return Use{Upstream: next.Upstream, Tokens: u.Tokens + next.Tokens, Exact: u.Exact && next.Exact}
}

// chatRun is one chat over its attempts.
type chatRun struct {
	sender      *Sender
	chat        Chat
	sink        func(Event) error
	fingerprint Fingerprint
	avoid       []nutmegid.Upstream
	passed      bool // an event has reached the sink
	proved      func()
	ran         Ran // over all attempts
	use         Use
}

// Chat sends a request to an upstream of its model and passes each event to
// sink, in order and once. It returns nil only after a whole answer. Broken
// connections are resumed; the request is sent again only while no event has
// been passed on. Use counts the tokens of all attempts, also after an error.
func (s *Sender) Chat(ctx context.Context, chat Chat, sink func(Event) error) (Use, error) {
	r := &chatRun{sender: s, chat: chat, fingerprint: chat.Fingerprint(), use: Use{Exact: true}, ran: RanNo}
	r.sink = func(e Event) error {
		if !r.passed {
			r.passed = true
			r.proved()
		}
		return sink(e)
	}
	s.retries.Deposit(modelName(chat.Model))
	var err error
	for attempt := 1; attempt <= s.cfg.MaxAttempts; attempt++ {
		if attempt > 1 && !r.prepareAgain(ctx, err) {
			break
		}
		err = r.attempt(ctx)
		if err != nil {
			r.ran = r.ran.Worse(RanOf(err))
		}
		if err == nil || !r.mayRepeat(ctx, err) {
			break
		}
	}
	return r.use, withRan(err, r.ran)
}

// mayRepeat reports whether a failed chat is sent again: nobody has seen a part
// of its answer, and another upstream may do better.
func (r *chatRun) mayRepeat(ctx context.Context, err error) bool {
	if r.passed || ctx.Err() != nil {
		return false
	}
	return IsKind(err, KindRefused) || IsKind(err, KindUnreachable) || IsKind(err, KindUpstreamCode) ||
		IsKind(err, KindLost) || IsKind(err, KindBroken)
}

// prepareAgain pays for one more attempt from the retry budget and, where the
// last one may have run, from the token budgets.
func (r *chatRun) prepareAgain(ctx context.Context, err error) bool {
	if !r.sender.retries.Take(modelName(r.chat.Model)) {
		return false
	}
	if RanOf(err) == RanNo {
		return true
	}
	return r.chat.Again != nil && r.chat.Again(ctx) == nil
}

// attempt sends the chat once. A request that has crashed an upstream is sent
// once more at most, under the rules of Suspects.
func (r *chatRun) attempt(ctx context.Context) error {
	r.proved = r.sender.twins.enter(ctx, r.fingerprint)
	defer r.proved()
	suspects := r.sender.cfg.Suspects
	switch suspects.Check(r.fingerprint) {
	case VerdictQuarantined:
		return quarantinedError()
	case VerdictSuspect:
		return r.tryAlone(ctx)
	}
	pick, err := r.pick(ctx, r.avoid)
	if err != nil {
		return err
	}
	if len(r.avoid) == 0 {
		r.sender.retries.Deposit(upstreamName(pick.Upstream))
	} else if !r.sender.retries.Take(upstreamName(pick.Upstream)) {
		err = noRetryError(pick.Upstream)
		pick.Done(err)
		return err
	}
	err = r.send(ctx, pick)
	if IsKind(err, KindLost) {
		suspects.Crashed(ctx, r.accused(pick.Upstream))
	}
	return err
}

// pick waits for the chat's turn and chooses an upstream.
func (r *chatRun) pick(ctx context.Context, avoid []nutmegid.Upstream) (*Pick, error) {
	return r.sender.cfg.Pool.Pick(ctx, Ask{
		Model: r.chat.Model, Workspace: r.chat.Workspace, Priority: r.chat.Priority,
		PromptTokens: r.chat.PromptTokens, Tokens: int64(r.chat.Bound), Prefix: r.chat.Prefix, Avoid: avoid,
	})
}

// tryAlone sends a suspect request to an upstream where no other suspect runs.
func (r *chatRun) tryAlone(ctx context.Context) error {
	trial := &trial{run: r}
	suspects := r.sender.cfg.Suspects
	if err := suspects.BeginTrial(ctx, r.fingerprint, trial); err != nil {
		return err
	}
	err := r.send(ctx, trial.pick)
	suspects.EndTrial(ctx, r.fingerprint, r.trialOutcome(err))
	if IsKind(err, KindLost) {
		return withRan(quarantinedError(), RanYes)
	}
	return err
}

// trial picks the upstream of a suspect request's second try.
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

// trialOutcome judges a trial: a crash, or what may have been one, condemns the
// request; an answer that the engine survived clears it.
func (r *chatRun) trialOutcome(err error) Verdict {
	if err == nil || IsKind(err, KindOverran) {
		return VerdictClear
	}
	ended := IsKind(err, KindDeadline) || IsKind(err, KindInterrupted) || IsKind(err, KindCancelled)
	if ended && r.passed {
		return VerdictClear
	}
	if ended || RanOf(err) == RanNo {
		return VerdictSuspect
	}
	return VerdictQuarantined
}

func (r *chatRun) accused(u nutmegid.Upstream) Accused {
	return Accused{
		Fingerprint: r.fingerprint, Workspace: r.chat.Workspace, Target: string(r.chat.Model), Upstream: u,
	}
}

func (r *chatRun) send(ctx context.Context, c *Pick) error {
	r.avoid = append(r.avoid, c.Upstream)
	use, err := r.sender.sendChat(ctx, c, r.chat, r.sink)
	c.Done(err)
	if err != nil && RanOf(err) == RanNo {
		use = Use{Upstream: c.Upstream, Exact: true}
	}
	r.use = r.use.add(use)
	return err
}

// sendChat sends the chat to one upstream and follows its stream.
func (s *Sender) sendChat(ctx context.Context, c *Pick, chat Chat, sink func(Event) error) (Use, error) {
	use := Use{Upstream: c.Upstream, Tokens: chat.Bound}
	if ctx.Err() != nil {
		return use, endedError(ctx, c.Upstream, RanNo)
	}
	place := Place{
		Request: chat.Request, Workspace: chat.Workspace, Owner: chat.Owner, Model: chat.Model,
		Upstream: c.Upstream, Stream: uuid.NewString(), Bound: chat.Bound, MaxAnswer: chat.MaxAnswer,
	}
	first := func(e Event) error {
		c.FirstToken()
		return sink(e)
	}
	asked := time.Now()
	conn, stream, err := s.openChat(ctx, c, chat, place.Stream)
	if err != nil && RanOf(err) == RanUnknown {
		return s.newFollower(c.URL, place, 0, first).findStream(ctx, asked, chat.OnPlace, err)
	}
	if err != nil {
		return use, err
	}
	place.Stream = stream
	if chat.OnPlace != nil {
		chat.OnPlace(place)
	}
	return s.newFollower(c.URL, place, 0, first).run(ctx, conn)
}

// openChat posts the chat under a proposed name of its stream, and returns the
// connection and the name that the engine gave it.
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
	resp, err := s.streams.Do(req)
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

// Resume takes over an answer: it passes on the events after an offset, and
// cancels the stream where it cannot be read to its end. It reserves nothing:
// the place's first request did.
func (s *Sender) Resume(ctx context.Context, place Place, after Offset, sink func(Event) error) (Use, error) {
	url, ok := s.cfg.Pool.URL(place.Upstream)
	if !ok || place.Stream == "" {
		return Use{Upstream: place.Upstream, Tokens: place.Bound}, lostError(place)
	}
	return s.newFollower(url, place, after, sink).run(ctx, nil)
}

// Read passes on the events of an answer after an offset, for one more reader
// beside the one that owns it: it never cancels the stream.
func (s *Sender) Read(ctx context.Context, place Place, after Offset, sink func(Event) error) (Use, error) {
	url, ok := s.cfg.Pool.URL(place.Upstream)
	if !ok || place.Stream == "" {
		return Use{Upstream: place.Upstream}, lostError(place)
	}
	f := s.newFollower(url, place, after, sink)
	err := f.follow(ctx, nil)
	return f.use, err
}

func lostError(place Place) error {
	return &Error{
		Kind: KindLost, Ran: RanYes, Upstream: place.Upstream,
		Remedy: "the upstream or its stream is gone; send the request again",
	}
}
