package nutmegroute

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/tmaxmax/go-sse"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// SenderConfig configures a sender.
type SenderConfig struct {
	Pool        *Pool
	HTTP        *http.Client  // without overall timeout; made when nil
	Dial        DialFunc      // of connections to upstreams; net.Dialer when nil
	IdleTimeout time.Duration // DefaultIdleTimeout when zero
}

// DialFunc opens a connection to an upstream.
type DialFunc = func(ctx context.Context, network, address string) (net.Conn, error)

// Sender sends requests to the upstreams of a pool.
type Sender struct {
	cfg SenderConfig
}

// NewSender returns a sender.
func NewSender(cfg SenderConfig) *Sender {
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = DefaultIdleTimeout
	}
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: DefaultConnectTimeout}).DialContext
	}
	if cfg.HTTP == nil {
		cfg.HTTP = &http.Client{Transport: &http.Transport{
			MaxIdleConnsPerHost:   256,
			ResponseHeaderTimeout: DefaultConnectTimeout,
			DialContext:           cfg.Dial,
		}}
	}
	return &Sender{cfg: cfg}
}

// Chat is one chat completion request.
type Chat struct {
	Request   nutmegid.RequestID
	Workspace nutmegid.Workspace
	Model     nutmegid.Model
	Body      []byte          // the JSON body to send, with stream set
	Bound     nutmegid.Tokens // the reserved tokens
	Priority  int             // lower goes first

	PromptTokens int64    // estimate
	Prefix       []uint64 // of PrefixBlocks
}

// Event is one server-sent event of an answer.
type Event struct {
	Data []byte
	Last bool // the end mark
}

// Use is what a request consumed.
type Use struct {
	Upstream nutmegid.Upstream
	Tokens   nutmegid.Tokens
	Exact    bool // the upstream reported its own count
}

// engineChunk is the part of a chunk that the sender reads.
type engineChunk struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
	} `json:"choices"`
	Usage *struct {
		TotalTokens nutmegid.Tokens `json:"total_tokens"`
	} `json:"usage"`
}

var endMark = []byte("[DONE]")

// Chat sends a request to one upstream of its model and passes each event to
// sink. After an error that leaves RanYes or RanUnknown, Use holds the tokens
// that must be counted as spent.
func (s *Sender) Chat(ctx context.Context, chat Chat, sink func(Event) error) (Use, error) {
	c, err := s.cfg.Pool.Pick(ctx, chat.ask())
	if err != nil {
		return Use{}, err
	}
	use, err := s.chat(ctx, c, chat, sink)
	c.Done(err)
	return use, err
}

func (c *Chat) ask() Ask {
	return Ask{
		Model: c.Model, Workspace: c.Workspace, Priority: Priority(c.Priority),
		PromptTokens: c.PromptTokens, Tokens: int64(c.Bound), Prefix: c.Prefix,
	}
}

// chat is one attempt at the picked upstream.
func (s *Sender) chat(ctx context.Context, c *Pick, chat Chat, sink func(Event) error) (Use, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.URL+"/v1/chat/completions", bytes.NewReader(chat.Body))
	if err != nil {
		return Use{}, &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: c.Upstream, Remedy: "correct the upstream's URL", Err: err}
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("X-Request-Id", string(chat.Request))
	req.Header.Set("X-Workspace", string(chat.Workspace))
	req.Header.Set("X-Priority", fmt.Sprint(chat.Priority))
	resp, err := s.cfg.HTTP.Do(req)
	if err != nil {
		return Use{Upstream: c.Upstream, Tokens: chat.Bound}, dialError(c.Upstream, err)
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode != http.StatusOK {
		return Use{Upstream: c.Upstream}, codeError(c.Upstream, resp)
	}
	return s.stream(cancel, c, chat, resp.Body, sink)
}

// stream passes events on until the end mark. Silence longer than the idle
// timeout cancels the request.
func (s *Sender) stream(cancel func(), c *Pick, chat Chat, body io.Reader, sink func(Event) error) (Use, error) {
	silence := time.AfterFunc(s.cfg.IdleTimeout, cancel)
	defer silence.Stop()
	use := Use{Upstream: c.Upstream, Tokens: chat.Bound}
	for ev, err := range sse.Read(body, &sse.ReadConfig{MaxEventSize: maxEventBytes}) {
		if err != nil {
			return use, broken(c.Upstream, err)
		}
		silence.Reset(s.cfg.IdleTimeout)
		c.FirstToken()
		data := []byte(ev.Data)
		if bytes.Equal(data, endMark) {
			return use, sink(Event{Data: data, Last: true})
		}
		var chunk engineChunk
		if err := json.Unmarshal(data, &chunk); err != nil {
			return use, broken(c.Upstream, err)
		}
		if chunk.Usage != nil {
			use.Tokens = chunk.Usage.TotalTokens
			use.Exact = true
		}
		if err := sink(Event{Data: data}); err != nil {
			return use, err
		}
	}
	return use, broken(c.Upstream, io.ErrUnexpectedEOF)
}

func broken(u nutmegid.Upstream, err error) error {
	return &Error{Kind: KindBroken, Ran: RanYes, Upstream: u, Remedy: "send the request again", Err: err}
}

// dialError tells a connection that was never made from one that broke.
func dialError(u nutmegid.Upstream, err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: u, Remedy: "try again", Err: err}
	}
	return &Error{Kind: KindUnreachable, Ran: RanUnknown, Upstream: u, Remedy: "ask for the request's state before sending it again", Err: err}
}

func codeError(u nutmegid.Upstream, resp *http.Response) error {
	ran := RanUnknown
	kind := KindUpstreamCode
	if resp.Header.Get("X-Not-Run") == "1" || (resp.StatusCode >= 400 && resp.StatusCode < 500) {
		ran = RanNo
		kind = KindRefused
	}
	return &Error{Kind: kind, Ran: ran, Upstream: u, Remedy: "try again later", Err: fmt.Errorf("answered %s", resp.Status)}
}

// Call is one call of a routed plain service.
type Call struct {
	Request nutmegid.RequestID
	Route   nutmegid.Route
	Key     nutmegid.OrderKey

	Workspace nutmegid.Workspace
	Priority  Priority

	Method string
	Path   string
	Header http.Header
	Body   []byte
}

// Answer is a plain service's whole answer.
type Answer struct {
	Upstream nutmegid.Upstream
	Status   int
	Header   http.Header
	Body     []byte
}

// Call sends a call to one upstream of its route, once.
func (s *Sender) Call(ctx context.Context, call Call) (Answer, error) {
	c, err := s.cfg.Pool.Pick(ctx, Ask{Route: call.Route, Workspace: call.Workspace, Priority: call.Priority})
	if err != nil {
		return Answer{}, err
	}
	answer, err := s.call(ctx, c, call)
	c.Done(err)
	return answer, err
}

// call is one attempt at the picked upstream.
func (s *Sender) call(ctx context.Context, c *Pick, call Call) (Answer, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, c.URL+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return Answer{}, &Error{Kind: KindUnreachable, Ran: RanNo, Upstream: c.Upstream, Remedy: "correct the path", Err: err}
	}
	if contentType := call.Header.Get("Content-Type"); contentType != "" {
		req.Header.Set("Content-Type", contentType)
	}
	req.Header.Set("X-Request-Id", string(call.Request))
	if call.Key != "" {
		req.Header.Set("Idempotency-Key", string(call.Key))
	}
	resp, err := s.cfg.HTTP.Do(req)
	if err != nil {
		return Answer{Upstream: c.Upstream}, dialError(c.Upstream, err)
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerSize))
	if err != nil {
		return Answer{Upstream: c.Upstream}, broken(c.Upstream, err)
	}
	if resp.Header.Get("X-Not-Run") == "1" {
		return Answer{Upstream: c.Upstream}, codeError(c.Upstream, resp)
	}
	return Answer{Upstream: c.Upstream, Status: resp.StatusCode, Header: resp.Header, Body: body}, nil
}
