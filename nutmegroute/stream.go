package nutmegroute

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

const (
	streamHeader = "X-Stream-Id"
	doneMarker   = "[DONE]"
	abortReason  = "abort" // finish reason of a cancelled stream
)

var (
	errSkippedEvents    = errors.New("the engine skipped events")
	errIdleConnection   = errors.New("the connection was idle for too long")
	errNoEvents         = errors.New("the engine's connections bring no events")
	errIncompleteStream = errors.New("the connection ended before the answer was complete")
)

// streamReader reads one engine stream to its end, across reconnects.
type streamReader struct {
	sender *Sender
	url    string
	ref    StreamRef
	sink   func(Event) error

	offset       Offset // of the last delivered event
	answerTokens nutmegid.Tokens
	usage        Usage
	finished     bool // the event with the finish reason was delivered
	lastEventAt  time.Time
	sentAt       time.Time // before the chat was sent
}

func (s *Sender) newStreamReader(url string, ref StreamRef, after Offset, sink func(Event) error) *streamReader {
	return &streamReader{
		sender: s, url: url, ref: ref, sink: sink, offset: after,
		answerTokens: nutmegid.Tokens(after),
		usage:        Usage{Upstream: ref.Upstream, Tokens: ref.ReservedTokens},
		lastEventAt:  time.Now(),
		sentAt:       time.Now(),
	}
}

// connection is an open streaming response of an engine.
type connection struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

func (c *connection) close() {
	c.cancel()
	_ = c.body.Close()
}

// run delivers events until the end of the stream. c is nil if no connection is open yet. A
// stream that cannot be read to its end is cancelled, and its usage is counted.
func (r *streamReader) run(ctx context.Context, c *connection) (Usage, error) {
	err := r.follow(ctx, c)
	ended := IsKind(err, KindLost) || IsKind(err, KindCancelled)
	if err != nil && (!ended || errors.Is(err, errNoEvents)) {
		r.cancel(ctx)
	}
	return r.usage, err
}

// recoverStream continues a chat whose connection failed after it was sent. If the engine has
// accepted the proposed stream name, the stream is resumed from its start. Otherwise the name
// is cancelled and sendErr is returned. If the engine confirms that the name is unknown and
// that it will refuse it from now on, the chat provably did not run.
func (r *streamReader) recoverStream(ctx context.Context, sentAt time.Time, onStream func(StreamRef), sendErr error) (Usage, error) {
	r.sentAt = sentAt
	var c *connection
	err := ctx.Err()
	if err == nil {
		c, err = r.reopen(ctx)
	}
	if err != nil {
		r.cancel(ctx)
		if r.usage.Exact && r.usage.Tokens == 0 {
			sendErr = notRunError(r.ref.Upstream, sendErr)
		}
		return r.usage, sendErr
	}
	if onStream != nil {
		onStream(r.ref)
	}
	return r.run(ctx, c)
}

func (r *streamReader) follow(ctx context.Context, c *connection) error {
	for emptyConnections := 0; emptyConnections < maxEmptyConnections; {
		if c != nil {
			before := r.offset
			err := r.read(c)
			if !IsKind(err, KindBroken) || r.ref.Stream == "" {
				return err
			}
			emptyConnections++
			if r.offset > before || errors.Is(err, errIdleConnection) {
				emptyConnections = 0
			}
		}
		var err error
		if c, err = r.reopen(ctx); err != nil {
			return err
		}
	}
	return r.streamError(KindLost, "send the request again", errNoEvents)
}

// read delivers the events of one connection and closes it. An idle connection ends with an
// error.
func (r *streamReader) read(c *connection) error {
	defer c.close()
	var idle atomic.Bool
	idleTimer := time.AfterFunc(r.sender.cfg.IdleTimeout, func() {
		idle.Store(true)
		c.cancel()
	})
	defer idleTimer.Stop()
	for ev, err := range sse.Read(c.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil && idle.Load() {
			err = errIdleConnection
		}
		if err != nil {
			return r.streamError(KindBroken, "send the request again", err)
		}
		idleTimer.Reset(r.sender.cfg.IdleTimeout)
		if ev.Data == doneMarker {
			return r.finish()
		}
		if err := r.accept(ev); err != nil {
			return err
		}
	}
	return r.streamError(KindBroken, "send the request again", errIncompleteStream)
}

// finish ends the answer. A done marker before a finish reason means that the answer was cut
// off.
func (r *streamReader) finish() error {
	if !r.finished {
		return r.streamError(KindLost, "send the request again", errIncompleteStream)
	}
	return nil
}

// accept delivers an event unless it was delivered before.
func (r *streamReader) accept(ev sse.Event) error {
	offset, err := r.offsetOf(ev)
	if err != nil {
		return r.streamError(KindBroken, "send the request again", err)
	}
	if offset <= r.offset {
		return nil
	}
	if err := r.inspect(ev.Data); err != nil {
		return err
	}
	r.offset = offset
	r.lastEventAt = time.Now()
	return r.sink(Event{Data: []byte(ev.Data), Offset: offset})
}

// offsetOf parses the event id. Events of an engine without event ids are counted instead.
func (r *streamReader) offsetOf(ev sse.Event) (Offset, error) {
	if r.ref.Stream == "" {
		return r.offset + 1, nil
	}
	n, err := strconv.ParseUint(ev.LastEventID, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("event id %q is not a number: %w", ev.LastEventID, err)
	}
	if Offset(n) > r.offset+1 {
		return 0, errSkippedEvents
	}
	return Offset(n), nil
}

// inspect counts the tokens of an event and detects the end of the answer.
func (r *streamReader) inspect(data string) error {
	chunk, err := parseChunk(data)
	if err != nil {
		return r.streamError(KindLost, "send the request again", err)
	}
	if chunk.Aborted {
		return r.streamError(KindCancelled, "send the request again", nil)
	}
	r.finished = r.finished || chunk.Ended
	r.answerTokens += nutmegid.Tokens(chunk.Texts)
	if r.ref.MaxAnswer > 0 && r.answerTokens > r.ref.MaxAnswer {
		return r.streamError(KindOverran, "ask an operator to inspect the upstream", nil)
	}
	if !chunk.Counted {
		return nil
	}
	r.usage.Tokens = chunk.Total
	r.usage.Exact = true
	if r.ref.ReservedTokens > 0 && r.usage.Tokens > r.ref.ReservedTokens {
		return r.streamError(KindOverran, "ask an operator to inspect the upstream", nil)
	}
	return nil
}

func (r *streamReader) streamError(kind ErrorKind, remedy string, err error) error {
	return &Error{Kind: kind, Ran: RanYes, Upstream: r.ref.Upstream, Remedy: remedy, Err: err}
}

// reopen resumes the stream on a new connection. While the engine is unreachable, it retries
// until the resume window ends.
func (r *streamReader) reopen(ctx context.Context) (*connection, error) {
	if time.Since(r.lastEventAt) > r.sender.cfg.SilenceLimit {
		return nil, r.streamError(KindSilent, "send the request again", nil)
	}
	deadline := time.Now().Add(r.sender.cfg.ResumeWindow)
	for delay := firstResumeDelay; ; delay = min(2*delay, maxResumeDelay) {
		if ctx.Err() != nil {
			return nil, contextError(ctx, r.ref.Upstream, RanYes)
		}
		c, err := r.resume(ctx)
		if err == nil || IsKind(err, KindLost) {
			return c, err
		}
		if time.Now().Add(delay).After(deadline) {
			return nil, r.streamError(KindBroken, "reconnect with the id of the last event", err)
		}
		sleep(ctx, delay)
	}
}

// resume makes one request for the events after the offset. It returns KindLost if the
// engine's process is down or does not know the stream.
func (r *streamReader) resume(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	c, err := r.sendResume(ctx, cancel)
	if err != nil {
		cancel()
	}
	return c, err
}

func (r *streamReader) sendResume(ctx context.Context, cancel context.CancelFunc) (*connection, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, r.url+"/v1/streams/"+r.ref.Stream, nil)
	if err != nil {
		return nil, r.streamError(KindLost, "correct the upstream's URL", err)
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(uint64(r.offset), 10))
	resp, err := r.sender.pooled.Do(req)
	if err != nil {
		if isConnectionRefused(err) {
			return nil, r.streamError(KindLost, "send the request again", err)
		}
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return &connection{body: resp.Body, cancel: cancel}, nil
	}
	defer func() { _ = resp.Body.Close() }()
	err = fmt.Errorf("resume request returned status %s", resp.Status)
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return nil, r.streamError(KindLost, "send the request again", err)
	}
	return nil, err
}

// cancelResponse is an engine's response to the cancellation of a stream.
type cancelResponse struct {
	PromptTokens nutmegid.Tokens `json:"prompt_tokens"`
	AnswerTokens nutmegid.Tokens `json:"answer_tokens"`
	NeverRan     bool            `json:"never_ran"` // the name was unknown and will be refused from now on
	UptimeMillis int64           `json:"uptime_ms"` // since the engine's last restart
}

// isConclusive reports whether the engine has stated the usage of a stream that was requested at
// the given time. An engine that has restarted since then cannot tell that a stream never ran.
func (r cancelResponse) isConclusive(sentAt time.Time) bool {
	if r.NeverRan {
		return time.Since(sentAt).Milliseconds() < r.UptimeMillis
	}
	return r.PromptTokens > 0 && r.AnswerTokens >= 0
}

// cancel ends the stream at the engine, so that it uses no more tokens, and records the
// engine's token count. If that fails, the whole reservation counts as used.
func (r *streamReader) cancel(ctx context.Context) {
	if r.ref.Stream == "" || r.sender.abandoned.Load() {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for delay := firstResumeDelay; delay < firstResumeDelay<<cancelAttempts; delay *= 2 {
		count, err := r.sendCancel(ctx)
		if err == nil {
			r.usage.Tokens = count
			r.usage.Exact = true
			return
		}
		time.Sleep(delay)
	}
}

func (r *streamReader) sendCancel(ctx context.Context) (nutmegid.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, r.url+"/v1/streams/"+r.ref.Stream, nil)
	if err != nil {
		return 0, err
	}
	resp, err := r.sender.pooled.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer cancelResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&answer); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || !answer.isConclusive(r.sentAt) {
		return 0, fmt.Errorf("cancel request returned status %s without a token count", resp.Status)
	}
	return answer.PromptTokens + answer.AnswerTokens, nil
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
