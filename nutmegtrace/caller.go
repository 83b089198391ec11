package nutmegtrace

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
)

// Attempt is one attempt to send a request to one instance.
type Attempt struct {
	Request  nutmegid.RequestID `json:"request"`
	Instance int                `json:"instance"`
	Status   int                `json:"status"` // 0 if there was no response
	Kind     string             `json:"kind,omitempty"`
	Ran      nutmegroute.Ran    `json:"run,omitempty"`
	Resumed  bool               `json:"resumed,omitempty"` // asked for the remainder of an answer
	EndedAt  time.Time          `json:"ended_at"`
}

// CallerRequest is one request of a caller with all of its attempts.
type CallerRequest struct {
	Step         Step
	Number       int
	DueAt        time.Time // scheduled time of sending; latency counts from here
	FirstTokenAt time.Time // of the first token, or of an answer that is not streamed
	EndedAt      time.Time
	Attempts     []Attempt
	Text         string
	Complete     bool            // the whole answer arrived
	Started      bool            // at least one token arrived
	TokenGaps    []time.Duration // between consecutive tokens

	lastEventID string // empty before the first event
}

// chat returns the chat request. Each repetition of a step gets its own prompt.
func (r *CallerRequest) chat(model nutmegid.Model) Chat {
	prompt := r.Step.Prompt
	if r.Step.Repeat > 1 {
		prompt += " #" + strconv.Itoa(r.Number)
	}
	return Chat{Workspace: r.Step.Workspace, Model: model, MaxTokens: r.Step.MaxTokens, Prompt: prompt}
}

// tokenBound returns the most tokens that the request may use.
func (r *CallerRequest) tokenBound() nutmegid.Tokens {
	return nutmegid.Tokens(len(messages(r.chat("").Prompt))) + r.Step.MaxTokens
}

// lastAttempt returns the latest attempt, or the zero value if there is none.
func (r *CallerRequest) lastAttempt() Attempt {
	if len(r.Attempts) == 0 {
		return Attempt{}
	}
	return r.Attempts[len(r.Attempts)-1]
}

// Refused reports whether the request ended with a refusal that says it did not
// run.
func (r *CallerRequest) Refused() bool {
	a := r.lastAttempt()
	return !r.Complete && !r.Started && a.Kind != "" && a.Ran == nutmegroute.RanNo
}

// callers sends the requests of a trace as real callers do: load-balanced, with
// an idempotency key, retried at another instance if an attempt fails, and with
// the ID of the latest event if an answer broke off.
type callers struct {
	target         *Target
	requestTimeout time.Duration
	idleTimeout    time.Duration
	nextInstance   atomic.Int64 // for the next request that names no instance
}

func (c *callers) send(ctx context.Context, r *CallerRequest) {
	ctx, cancel := context.WithTimeout(ctx, c.requestTimeout)
	defer cancel()
	instance := r.Step.Instance
	if instance == AnyInstance {
		instance = int(c.nextInstance.Add(1)) % c.target.Instances()
	}
	for attempt := 0; ; attempt++ {
		instance = c.target.nextUp(instance)
		a := c.attempt(ctx, r, instance)
		a.EndedAt = time.Now()
		r.Attempts = append(r.Attempts, a)
		if r.Complete || c.isFinal(r, a) || !backoff(ctx, attempt) {
			break
		}
		instance++
		instance %= c.target.Instances()
	}
	r.EndedAt = time.Now()
}

// isFinal reports whether a caller accepts the outcome and does not retry.
func (c *callers) isFinal(r *CallerRequest, a Attempt) bool {
	switch {
	case a.Status == 0, a.Status >= http.StatusInternalServerError, a.Status == http.StatusTooManyRequests:
		return false
	case a.Status == http.StatusOK, a.Resumed:
		return false // the answer broke off; ask for it again
	case a.Status == http.StatusConflict:
		return a.Ran == nutmegroute.RanNo && r.Step.Action == ActionOrder
	}
	return true
}

// backoff waits before the next attempt. It reports whether there is time for one.
func backoff(ctx context.Context, attempt int) bool {
	timer := time.NewTimer(min(minRetryDelay<<min(attempt, 10), maxRetryDelay))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

func (c *callers) attempt(ctx context.Context, r *CallerRequest, instance int) Attempt {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a := Attempt{Instance: instance, Resumed: r.lastEventID != ""}
	req, err := c.newRequest(ctx, r, instance)
	if err != nil {
		return a
	}
	headers := time.AfterFunc(c.requestTimeout/2, cancel) // gives up an instance that does not respond at all
	resp, err := c.target.callerClient.Do(req)
	headers.Stop()
	if err != nil {
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	a.Request, a.Status = nutmegid.RequestID(resp.Header.Get("X-Request-Id")), resp.StatusCode
	if resp.StatusCode != http.StatusOK {
		c.recordRefusal(r, &a, resp.Body)
		return a
	}
	if r.Step.Action == ActionChat && !r.Step.NonStreaming {
		c.readEvents(r, resp.Body, cancel)
		return a
	}
	c.readCompletion(r, resp.Body)
	return a
}

func (c *callers) recordRefusal(r *CallerRequest, a *Attempt, body io.Reader) {
	var result Result
	if readRefusal(body, &result) != nil {
		return
	}
	a.Kind, a.Ran = result.Kind, result.Ran
	if a.Resumed && a.Status < http.StatusInternalServerError {
		r.lastEventID = "" // the remainder is unavailable; the next attempt asks for the whole answer
	}
}

func (c *callers) newRequest(ctx context.Context, r *CallerRequest, instance int) (*http.Request, error) {
	address, _ := c.target.Address(instance)
	method, path, body := http.MethodPost, "/v1/chat/completions", []byte(r.Step.Body)
	key := r.Step.Key
	switch r.Step.Action {
	case ActionOrder:
		path = "/v1/services/" + string(DefaultRoute) + "/book"
	case ActionLookUp:
		method, path, key = http.MethodGet, "/v1/services/"+string(DefaultLookUpRoute)+"/item/"+strconv.Itoa(r.Number), ""
	default:
		chat := r.chat(c.target.Model)
		raw, err := json.Marshal(map[string]any{
			"model": chat.Model, "messages": messages(chat.Prompt), "max_tokens": chat.MaxTokens, "stream": !r.Step.NonStreaming,
		})
		if err != nil {
			return nil, err
		}
		body, key = raw, "request-"+strconv.Itoa(r.Number)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address.Callers+path, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Authorization", "Bearer "+CallerKey(r.Step.Workspace))
	req.Header.Set("Content-Type", "application/json")
	if key != "" {
		req.Header.Set("Idempotency-Key", key)
	}
	if r.lastEventID != "" {
		req.Header.Set("Last-Event-ID", r.lastEventID)
	}
	return req, nil
}

// readEvents reads the events of a streamed answer. If the stream breaks or goes
// silent, the answer stays incomplete.
func (c *callers) readEvents(r *CallerRequest, body io.Reader, cancel func()) {
	if r.lastEventID == "" {
		r.Text = ""
	}
	text := strings.Builder{}
	defer func() { r.Text += text.String() }()
	silence := time.AfterFunc(c.requestTimeout/2, cancel)
	defer silence.Stop()
	var before time.Time
	for ev, err := range sse.Read(body, nil) {
		if err != nil {
			return
		}
		silence.Reset(c.idleTimeout)
		if ev.Data == "[DONE]" {
			r.Complete = true
			return
		}
		token, err := chunkContent(ev.Data)
		if err != nil {
			return
		}
		if ev.LastEventID != "" {
			r.lastEventID = ev.LastEventID
		}
		if token == "" {
			continue
		}
		text.WriteString(token)
		before = r.recordToken(before)
	}
}

// recordToken records the arrival of a token and returns its time.
func (r *CallerRequest) recordToken(before time.Time) time.Time {
	now := time.Now()
	if !r.Started {
		r.Started, r.FirstTokenAt = true, now
	}
	if !before.IsZero() {
		r.TokenGaps = append(r.TokenGaps, now.Sub(before))
	}
	return now
}

var errErrorEvent = errors.New("stream ended with an error event")

// chunkContent returns the text of one event.
func chunkContent(data string) (string, error) {
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Error json.RawMessage `json:"error"`
	}
	if err := json.Unmarshal([]byte(data), &chunk); err != nil {
		return "", err
	}
	if len(chunk.Error) > 0 {
		return "", errErrorEvent
	}
	var text strings.Builder
	for _, choice := range chunk.Choices {
		text.WriteString(choice.Delta.Content)
	}
	return text.String(), nil
}

// readCompletion reads an answer that is not streamed.
func (c *callers) readCompletion(r *CallerRequest, body io.Reader) {
	raw, err := io.ReadAll(body)
	if err != nil {
		return
	}
	r.FirstTokenAt = time.Now()
	r.Text = string(raw)
	r.Complete = true
	if r.Step.Action != ActionChat {
		return
	}
	var completion struct {
		Choices []struct {
			Message struct {
				Content string `json:"content"`
			} `json:"message"`
		} `json:"choices"`
	}
	if json.Unmarshal(raw, &completion) != nil || len(completion.Choices) == 0 {
		return // the raw body stays as the text and counts as a wrong answer
	}
	r.Text = completion.Choices[0].Message.Content
}
