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
	errIncompleteStream = errors.New("the connection ended before the answer was complete")
)

// streamReader reads one engine stream to its end, across reconnects.
type streamReader struct {
	sender *Sender
	url    string
	place  Place
	sink   func(Event) error

	offset       Offset // of the last delivered event
	answerTokens nutmegid.Tokens
	use          Use
	finished     bool // the event with the finish reason was delivered
	lastEventAt  time.Time
	sentAt       time.Time // before the chat was sent
}

func (s *Sender) newStreamReader(url string, place Place, after Offset, sink func(Event) error) *streamReader {
	return &streamReader{
		sender: s, url: url, place: place, sink: sink, offset: after,
		answerTokens: nutmegid.Tokens(after),
		use:          Use{Upstream: place.Upstream, Tokens: place.Bound},
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
// stream that cannot be read to its end is cancelled, and its use is counted.
func (f *streamReader) run(ctx context.Context, c *connection) (Use, error) {
	err := f.follow(ctx, c)
	if err != nil && !IsKind(err, KindLost) && !IsKind(err, KindCancelled) {
		f.cancel(ctx)
	}
	return f.use, err
}

// recoverStream continues a chat whose connection failed after it was sent. If the engine has
// accepted the proposed stream name, the stream is resumed from its start. Otherwise the name
// is cancelled and sendErr is returned. If the engine confirms that the name is unknown and
// that it will refuse it from now on, the chat provably did not run.
func (f *streamReader) recoverStream(ctx context.Context, sentAt time.Time, onPlace func(Place), sendErr error) (Use, error) {
	f.sentAt = sentAt
	var c *connection
	err := ctx.Err()
	if err == nil {
		c, err = f.reopen(ctx)
	}
	if err != nil {
		f.cancel(ctx)
		if f.use.Exact && f.use.Tokens == 0 {
			sendErr = notRunError(f.place.Upstream, sendErr)
		}
		return f.use, sendErr
	}
	if onPlace != nil {
		onPlace(f.place)
	}
	return f.run(ctx, c)
}

func (f *streamReader) follow(ctx context.Context, c *connection) error {
	for emptyConnections := 0; emptyConnections < maxEmptyConnections; {
		if c != nil {
			before := f.offset
			err := f.read(c)
			if !IsKind(err, KindBroken) || f.place.Stream == "" {
				return err
			}
			emptyConnections++
			if f.offset > before || errors.Is(err, errIdleConnection) {
				emptyConnections = 0
			}
		}
		var err error
		if c, err = f.reopen(ctx); err != nil {
			return err
		}
	}
	return f.streamError(KindLost, "send the request again", errIncompleteStream)
}

// read delivers the events of one connection and closes it. An idle connection ends with an
// error.
func (f *streamReader) read(c *connection) error {
	defer c.close()
	var idle atomic.Bool
	idleTimer := time.AfterFunc(f.sender.cfg.IdleTimeout, func() {
		idle.Store(true)
		c.cancel()
	})
	defer idleTimer.Stop()
	for ev, err := range sse.Read(c.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil && idle.Load() {
			err = errIdleConnection
		}
		if err != nil {
			return f.streamError(KindBroken, "send the request again", err)
		}
		idleTimer.Reset(f.sender.cfg.IdleTimeout)
		if ev.Data == doneMarker {
			return f.finish()
		}
		if err := f.accept(ev); err != nil {
			return err
		}
	}
	return f.streamError(KindBroken, "send the request again", errIncompleteStream)
}

// finish ends the answer. A done marker before a finish reason means that the answer was cut
// off.
func (f *streamReader) finish() error {
	if !f.finished {
		return f.streamError(KindLost, "send the request again", errIncompleteStream)
	}
	return nil
}

// accept delivers an event unless it was delivered before.
func (f *streamReader) accept(ev sse.Event) error {
	offset, err := f.offsetOf(ev)
	if err != nil {
		return f.streamError(KindBroken, "send the request again", err)
	}
	if offset <= f.offset {
		return nil
	}
	if err := f.inspect(ev.Data); err != nil {
		return err
	}
	f.offset = offset
	f.lastEventAt = time.Now()
	return f.sink(Event{Data: []byte(ev.Data), Offset: offset})
}

// offsetOf parses the event id. Events of an engine without event ids are counted instead.
func (f *streamReader) offsetOf(ev sse.Event) (Offset, error) {
	if f.place.Stream == "" {
		return f.offset + 1, nil
	}
	n, err := strconv.ParseUint(ev.LastEventID, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("event id %q is not a number: %w", ev.LastEventID, err)
	}
	if Offset(n) > f.offset+1 {
		return 0, errSkippedEvents
	}
	return Offset(n), nil
}

// inspect counts the tokens of an event and detects the end of the answer.
func (f *streamReader) inspect(data string) error {
	chunk, err := parseChunk(data)
	if err != nil {
		return f.streamError(KindLost, "send the request again", err)
	}
	if chunk.Aborted {
		return f.streamError(KindCancelled, "send the request again", nil)
	}
	f.finished = f.finished || chunk.Ended
	f.answerTokens += nutmegid.Tokens(chunk.Texts)
	if f.place.MaxAnswer > 0 && f.answerTokens > f.place.MaxAnswer {
		return f.streamError(KindOverran, "ask an operator to inspect the upstream", nil)
	}
	if !chunk.Counted {
		return nil
	}
	f.use.Tokens = chunk.Total
	f.use.Exact = true
	if f.place.Bound > 0 && f.use.Tokens > f.place.Bound {
		return f.streamError(KindOverran, "ask an operator to inspect the upstream", nil)
	}
	return nil
}

func (f *streamReader) streamError(kind ErrorKind, remedy string, err error) error {
	return &Error{Kind: kind, Ran: RanYes, Upstream: f.place.Upstream, Remedy: remedy, Err: err}
}

// reopen resumes the stream on a new connection. While the engine is unreachable, it retries
// until the resume window ends.
func (f *streamReader) reopen(ctx context.Context) (*connection, error) {
	if time.Since(f.lastEventAt) > f.sender.cfg.SilenceLimit {
		return nil, f.streamError(KindSilent, "send the request again", nil)
	}
	deadline := time.Now().Add(f.sender.cfg.ResumeWindow)
	for delay := firstResumeDelay; ; delay = min(2*delay, maxResumeDelay) {
		if ctx.Err() != nil {
			return nil, contextError(ctx, f.place.Upstream, RanYes)
		}
		c, err := f.resume(ctx)
		if err == nil || IsKind(err, KindLost) {
			return c, err
		}
		if time.Now().Add(delay).After(deadline) {
			return nil, f.streamError(KindBroken, "reconnect with the id of the last event", err)
		}
		sleep(ctx, delay)
	}
}

// resume makes one request for the events after the offset. It returns KindLost if the
// engine's process is down or does not know the stream.
func (f *streamReader) resume(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	c, err := f.sendResume(ctx, cancel)
	if err != nil {
		cancel()
	}
	return c, err
}

func (f *streamReader) sendResume(ctx context.Context, cancel context.CancelFunc) (*connection, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/v1/streams/"+f.place.Stream, nil)
	if err != nil {
		return nil, f.streamError(KindLost, "correct the upstream's URL", err)
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(uint64(f.offset), 10))
	resp, err := f.sender.pooled.Do(req)
	if err != nil {
		if isConnectionRefused(err) {
			return nil, f.streamError(KindLost, "send the request again", err)
		}
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return &connection{body: resp.Body, cancel: cancel}, nil
	}
	defer func() { _ = resp.Body.Close() }()
	err = fmt.Errorf("resume request returned status %s", resp.Status)
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return nil, f.streamError(KindLost, "send the request again", err)
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

// isConclusive reports whether the engine has stated the use of a stream that was requested at
// the given time. An engine that has restarted since then cannot tell that a stream never ran.
func (a cancelResponse) isConclusive(sentAt time.Time) bool {
	if a.NeverRan {
		return time.Since(sentAt).Milliseconds() < a.UptimeMillis
	}
	return a.PromptTokens > 0 && a.AnswerTokens >= 0
}

// cancel ends the stream at the engine, so that it uses no more tokens, and records the
// engine's token count. If that fails, the whole reservation counts as used.
func (f *streamReader) cancel(ctx context.Context) {
	if f.place.Stream == "" || f.sender.abandoned.Load() {
		return
	}
	ctx = context.WithoutCancel(ctx)
	for delay := firstResumeDelay; delay < firstResumeDelay<<cancelAttempts; delay *= 2 {
		count, err := f.sendCancel(ctx)
		if err == nil {
			f.use.Tokens = count
			f.use.Exact = true
			return
		}
		time.Sleep(delay)
	}
}

func (f *streamReader) sendCancel(ctx context.Context) (nutmegid.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, f.url+"/v1/streams/"+f.place.Stream, nil)
	if err != nil {
		return 0, err
	}
	resp, err := f.sender.pooled.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer cancelResponse
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&answer); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || !answer.isConclusive(f.sentAt) {
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
