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
	endMark      = "[DONE]"
	abortReason  = "abort" // finish reason of a cancelled stream
)

var (
	errGap     = errors.New("the engine left out events")
	errSilence = errors.New("the connection went silent")
	errDropped = errors.New("the connection ended before the answer")
)

// follower reads one engine stream to its end over as many connections as it takes.
type follower struct {
	sender *Sender
	url    string
	place  Place
	sink   func(Event) error

	offset   Offset // of the last event that was passed on
	answered nutmegid.Tokens
	use      Use
	ended    bool      // the finishing event was passed on
	progress time.Time // of the last event
	asked    time.Time // before the chat was sent
}

func (s *Sender) newFollower(url string, place Place, after Offset, sink func(Event) error) *follower {
	return &follower{
		sender: s, url: url, place: place, sink: sink, offset: after,
		answered: nutmegid.Tokens(after),
		use:      Use{Upstream: place.Upstream, Tokens: place.Bound},
		progress: time.Now(),
		asked:    time.Now(),
	}
}

// connection is one open answer of an engine.
type connection struct {
	body   io.ReadCloser
	cancel context.CancelFunc
}

func (c *connection) close() {
	c.cancel()
	_ = c.body.Close()
}

// run passes events on until the end of the stream. The first connection is nil
// where none is open yet. A stream that cannot be read to its end is cancelled,
// and its use is counted.
func (f *follower) run(ctx context.Context, c *connection) (Use, error) {
	err := f.follow(ctx, c)
	if err != nil && !IsKind(err, KindLost) && !IsKind(err, KindCancelled) {
		f.cancel(ctx)
	}
	return f.use, err
}

// findStream goes on with a chat whose first connection failed after it was
// sent: an engine that took the proposed name resumes the stream from its
// start. Where no stream of that name is found, the name is cancelled, and
// failed stays the outcome; an engine that refuses a cancelled name from then on
// has proved that the chat did not run.
func (f *follower) findStream(ctx context.Context, asked time.Time, onPlace func(Place), failed error) (Use, error) {
	f.asked = asked
	var c *connection
	err := ctx.Err()
	if err == nil {
		c, err = f.reopen(ctx)
	}
	if err != nil {
		f.cancel(ctx)
		if f.use.Exact && f.use.Tokens == 0 {
			failed = notRunError(f.place.Upstream, failed)
		}
		return f.use, failed
	}
	if onPlace != nil {
		onPlace(f.place)
	}
	return f.run(ctx, c)
}

func (f *follower) follow(ctx context.Context, c *connection) error {
	for barren := 0; barren < maxBarrenConnections; {
		if c != nil {
			before := f.offset
			err := f.read(c)
			if !IsKind(err, KindBroken) || f.place.Stream == "" {
				return err
			}
			barren++
			if f.offset > before || errors.Is(err, errSilence) {
				barren = 0
			}
		}
		var err error
		if c, err = f.reopen(ctx); err != nil {
			return err
		}
	}
	return f.fail(KindLost, "send the request again", errDropped)
}

// read passes the events of one connection on, and closes it. Silence ends it.
func (f *follower) read(c *connection) error {
	defer c.close()
	var silent atomic.Bool
	silence := time.AfterFunc(f.sender.cfg.IdleTimeout, func() {
		silent.Store(true)
		c.cancel()
	})
	defer silence.Stop()
	for ev, err := range sse.Read(c.body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil && silent.Load() {
			err = errSilence
		}
		if err != nil {
			return f.fail(KindBroken, "send the request again", err)
		}
		silence.Reset(f.sender.cfg.IdleTimeout)
		if ev.Data == endMark {
			return f.finish()
		}
		if err := f.take(ev); err != nil {
			return err
		}
	}
	return f.fail(KindBroken, "send the request again", errDropped)
}

// finish ends the answer; an end mark before the finishing event is a cut answer.
func (f *follower) finish() error {
	if !f.ended {
		return f.fail(KindLost, "send the request again", errDropped)
	}
	return nil
}

// take passes one event on, unless it was passed on before.
func (f *follower) take(ev sse.Event) error {
	offset, err := f.offsetOf(ev)
	if err != nil {
		return f.fail(KindBroken, "send the request again", err)
	}
	if offset <= f.offset {
		return nil
	}
	if err := f.inspect(ev.Data); err != nil {
		return err
	}
	f.offset = offset
	f.progress = time.Now()
	return f.sink(Event{Data: []byte(ev.Data), Offset: offset})
}

// offsetOf reads the event's id; events of an engine without ids are counted.
func (f *follower) offsetOf(ev sse.Event) (Offset, error) {
	if f.place.Stream == "" {
		return f.offset + 1, nil
	}
	n, err := strconv.ParseUint(ev.LastEventID, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("event id %q is no number: %w", ev.LastEventID, err)
	}
	if Offset(n) > f.offset+1 {
		return 0, errGap
	}
	return Offset(n), nil
}

// inspect counts the event's tokens and looks for the end of the answer.
func (f *follower) inspect(data string) error {
	chunk, err := parseChunk(data)
	if err != nil {
		return f.fail(KindLost, "send the request again", err)
	}
	if chunk.Aborted {
		return f.fail(KindCancelled, "send the request again", nil)
	}
	f.ended = f.ended || chunk.Ended
	f.answered += nutmegid.Tokens(chunk.Texts)
	if f.place.MaxAnswer > 0 && f.answered > f.place.MaxAnswer {
		return f.fail(KindOverran, "ask an operator to inspect the upstream", nil)
	}
	if !chunk.Counted {
		return nil
	}
	f.use.Tokens = chunk.Total
	f.use.Exact = true
	if f.place.Bound > 0 && f.use.Tokens > f.place.Bound {
		return f.fail(KindOverran, "ask an operator to inspect the upstream", nil)
	}
	return nil
}

func (f *follower) fail(kind ErrorKind, remedy string, err error) error {
	return &Error{Kind: kind, Ran: RanYes, Upstream: f.place.Upstream, Remedy: remedy, Err: err}
}

// reopen resumes the stream on a new connection. It keeps trying while the
// engine cannot be reached, up to the resume window.
func (f *follower) reopen(ctx context.Context) (*connection, error) {
	if time.Since(f.progress) > f.sender.cfg.SilenceLimit {
		return nil, f.fail(KindSilent, "send the request again", nil)
	}
	deadline := time.Now().Add(f.sender.cfg.ResumeWindow)
	for delay := firstResumeDelay; ; delay = min(2*delay, maxResumeDelay) {
		if ctx.Err() != nil {
			return nil, endedError(ctx, f.place.Upstream, RanYes)
		}
		c, err := f.resume(ctx)
		if err == nil || IsKind(err, KindLost) {
			return c, err
		}
		if time.Now().Add(delay).After(deadline) {
			return nil, f.fail(KindBroken, "reconnect with the id of the last event", err)
		}
		sleep(ctx, delay)
	}
}

// resume asks the engine once for the events after the offset. KindLost is
// given where the engine's process is gone or does not know the stream.
func (f *follower) resume(ctx context.Context) (*connection, error) {
	ctx, cancel := context.WithCancel(ctx)
	c, err := f.sendResume(ctx, cancel)
	if err != nil {
		cancel()
	}
	return c, err
}

func (f *follower) sendResume(ctx context.Context, cancel context.CancelFunc) (*connection, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, f.url+"/v1/streams/"+f.place.Stream, nil)
	if err != nil {
		return nil, f.fail(KindLost, "correct the upstream's URL", err)
	}
	req.Header.Set("Last-Event-ID", strconv.FormatUint(uint64(f.offset), 10))
	resp, err := f.sender.streams.Do(req)
	if err != nil {
		if isProcessDown(err) {
			return nil, f.fail(KindLost, "send the request again", err)
		}
		return nil, err
	}
	if resp.StatusCode == http.StatusOK {
		return &connection{body: resp.Body, cancel: cancel}, nil
	}
	defer func() { _ = resp.Body.Close() }()
	err = fmt.Errorf("resume answered %s", resp.Status)
	if resp.StatusCode == http.StatusNotFound || resp.StatusCode == http.StatusGone {
		return nil, f.fail(KindLost, "send the request again", err)
	}
	return nil, err
}

// cancelAnswer is what an engine says of a cancelled stream.
type cancelAnswer struct {
	PromptTokens nutmegid.Tokens `json:"prompt_tokens"`
	AnswerTokens nutmegid.Tokens `json:"answer_tokens"`
	NeverRan     bool            `json:"never_ran"` // the name was unknown and is refused from now on
	UptimeMillis int64           `json:"uptime_ms"` // since the engine's last restart
}

// counts reports whether the engine has stated the use of a stream that was
// asked for at a time. One that has restarted since knows nothing of before.
func (a cancelAnswer) counts(asked time.Time) bool {
	if a.NeverRan {
		return time.Since(asked).Milliseconds() < a.UptimeMillis
	}
	return a.PromptTokens > 0 && a.AnswerTokens >= 0
}

// cancel ends the stream at the engine, so that no further tokens are used, and
// takes over the engine's count. Where that fails the whole bound counts.
func (f *follower) cancel(ctx context.Context) {
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

func (f *follower) sendCancel(ctx context.Context) (nutmegid.Tokens, error) {
	ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodDelete, f.url+"/v1/streams/"+f.place.Stream, nil)
	if err != nil {
		return 0, err
	}
	resp, err := f.sender.streams.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	var answer cancelAnswer
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&answer); err != nil {
		return 0, err
	}
	if resp.StatusCode != http.StatusOK || !answer.counts(f.asked) {
		return 0, fmt.Errorf("cancel answered %s without a count", resp.Status)
	}
	return answer.PromptTokens + answer.AnswerTokens, nil
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
