package nutmegnode

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegroute"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// callerHandler serves the callers' API.
func (n *Node) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", n.healthz)
	r.Get("/readyz", n.readyz)
	r.Group(func(r chi.Router) {
		r.Use(n.admit)
		r.Post("/v1/chat/completions", n.caller(n.chat))
		r.Get("/v1/models", n.caller(n.models))
		r.HandleFunc("/v1/services/{route}", n.caller(n.service))
		r.HandleFunc("/v1/services/{route}/*", n.caller(n.service))
	})
	return r
}

func (n *Node) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReady(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReady says why the instance takes no work, empty when it does.
func (n *Node) notReady() string {
	if n.stopping.Load() {
		return "the instance is stopping"
	}
	if n.view.Current() == nil {
		return "the instance has no configuration yet"
	}
	return ""
}

// admit refuses new work while the instance is not ready, and tracks what runs.
func (n *Node) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.running.Add(1)
		defer n.running.Done()
		if reason := n.notReady(); reason != "" {
			writeError(w, refusal(http.StatusServiceUnavailable, "not_ready", reason+"; send the request to another instance"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

// request is one authenticated request of a caller.
type request struct {
	*http.Request
	id     nutmegid.RequestID
	caller nutmegconf.Caller
	config *nutmegconf.Config
	body   []byte
}

// caller authenticates a request, reads its body and reports the error of h.
func (n *Node) caller(h func(http.ResponseWriter, *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := n.readRequest(w, r)
		if err == nil {
			w.Header().Set("X-Request-Id", string(req.id))
			err = h(w, req)
		}
		if err == nil {
			return
		}
		n.count("refused_" + apiError(err).Kind)
		if req != nil {
			n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindRefuse, Request: req.id, Detail: err.Error()})
		}
		writeError(w, err)
	}
}

func (n *Node) readRequest(w http.ResponseWriter, r *http.Request) (*request, error) {
	config := n.view.Current()
	key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	if !ok {
		return nil, refusal(http.StatusUnauthorized, "no_key", "the request has no key; send Authorization: Bearer KEY")
	}
	caller, ok := config.Authenticate(key)
	if !ok {
		return nil, refusal(http.StatusUnauthorized, "unknown_key", "the key belongs to no workspace; ask an operator for one")
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyReadTimeout))
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, n.cfg.Settings.Limits.MaxBodyBytes))
	if err != nil {
		return nil, bodyError(err)
	}
	_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	req := &request{Request: r, id: nutmegid.NewRequestID(), caller: caller, config: config, body: body}
	n.count("requests")
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindRequest, Request: req.id, Budget: caller.WorkspaceBudget, Detail: r.Method + " " + r.URL.Path})
	return req, nil
}

func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return refusal(http.StatusRequestEntityTooLarge, "body_too_large", fmt.Sprintf("the body is over %d bytes; send less", tooLarge.Limit))
	}
	return refusal(http.StatusBadRequest, "body_incomplete", "the body did not arrive whole; send it again")
}

func (n *Node) count(name string) {
	metrics.GetOrRegisterCounter(name, n.metrics).Inc(1)
}

func (n *Node) models(w http.ResponseWriter, _ *request) error {
	type model struct {
		ID     nutmegid.Model `json:"id"`
		Object string         `json:"object"`
	}
	list := []model{}
	for _, id := range n.pool.Models() {
		list = append(list, model{ID: id, Object: "model"})
	}
	writeJSON(w, http.StatusOK, map[string]any{"object": "list", "data": list})
	return nil
}

// chatRequest is the part of a chat completion request that is read here; all
// other fields pass through.
type chatRequest struct {
	Model     nutmegid.Model  `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens nutmegid.Tokens `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (n *Node) chat(w http.ResponseWriter, r *request) error {
	chat, parsed, err := newChat(r)
	if err != nil {
		return err
	}
	reservation, err := n.holder.Acquire(r.Context(), r.caller.WorkspaceBudget, r.caller.OwnerBudget, chat.Bound)
	if err != nil {
		return err
	}
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindReserve, Request: r.id, Budget: r.caller.WorkspaceBudget, Tokens: chat.Bound})
	out := newAnswerWriter(w, parsed.Stream)
	use, err := n.sender.Chat(r.Context(), chat, out.event)
	n.settle(r, reservation, chat, use, err)
	if err == nil {
		return out.end()
	}
	if out.started {
		// The status is sent; closing the connection is the only way to say that the answer is cut.
		panic(http.ErrAbortHandler)
	}
	return err
}

// newChat checks the body and works out the tokens to reserve.
func newChat(r *request) (nutmegroute.Chat, chatRequest, error) {
	var parsed chatRequest
	if err := json.Unmarshal(r.body, &parsed); err != nil {
		return nutmegroute.Chat{}, parsed, refusal(http.StatusBadRequest, "bad_body", "the body is no JSON chat request: "+err.Error())
	}
	if parsed.Model == "" || len(parsed.Messages) == 0 {
		return nutmegroute.Chat{}, parsed, refusal(http.StatusBadRequest, "bad_body", "the body needs model and messages")
	}
	if parsed.MaxTokens < 0 {
		return nutmegroute.Chat{}, parsed, refusal(http.StatusBadRequest, "bad_body", "max_tokens is negative; give a positive number")
	}
	if parsed.MaxTokens == 0 {
		parsed.MaxTokens = defaultMaxTokens
	}
	body, err := engineBody(r.body, parsed.MaxTokens)
	if err != nil {
		return nutmegroute.Chat{}, parsed, err
	}
	return nutmegroute.Chat{
		Request:   r.id,
		Workspace: r.caller.Workspace,
		Model:     parsed.Model,
		Body:      body,
		Bound:     nutmegid.Tokens(len(parsed.Messages)) + parsed.MaxTokens + requestOverhead,
		Priority:  int(priorityLevel(r.caller.Priority)),

		PromptTokens: promptTokens(parsed.Messages),
		Prefix:       nutmegroute.PrefixBlocks(parsed.Messages),
	}, parsed, nil
}

// engineBody is the caller's body with streaming, usage and the bound set.
func engineBody(body []byte, maxTokens nutmegid.Tokens) ([]byte, error) {
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(body, &fields); err != nil {
		return nil, refusal(http.StatusBadRequest, "bad_body", "the body is no JSON object: "+err.Error())
	}
	fields["stream"] = json.RawMessage("true")
	fields["stream_options"] = json.RawMessage(`{"include_usage":true}`)
	fields["max_tokens"] = json.RawMessage(fmt.Sprint(maxTokens))
	return json.Marshal(fields)
}

// settle counts what a request used, on budgets and in the ledger.
func (n *Node) settle(r *request, reservation nutmegbudget.Reservation, chat nutmegroute.Chat, use nutmegroute.Use, err error) {
	if err != nil && nutmegroute.RanOf(err) == nutmegroute.RanNo {
		reservation.Settle(0)
		return
	}
	reservation.Settle(use.Tokens)
	n.ledger.Add(nutmegledger.Line{
		Request:   r.id,
		Workspace: r.caller.Workspace,
		Owner:     r.caller.Owner,
		Upstream:  use.Upstream,
		Model:     chat.Model,
		Tokens:    min(use.Tokens, chat.Bound),
		EndedAt:   time.Now(),
	})
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindSettle, Request: r.id, Budget: r.caller.WorkspaceBudget, Upstream: use.Upstream, Tokens: use.Tokens})
}

// answerWriter passes an answer on as events, or gathers it into one body.
type answerWriter struct {
	w       http.ResponseWriter
	stream  bool
	started bool
	text    strings.Builder
	last    json.RawMessage
}

func newAnswerWriter(w http.ResponseWriter, stream bool) *answerWriter {
	return &answerWriter{w: w, stream: stream}
}

func (a *answerWriter) event(e nutmegroute.Event) error {
	if a.stream {
		return a.pass(e)
	}
	return a.gather(e)
}

func (a *answerWriter) pass(e nutmegroute.Event) error {
	if !a.started {
		a.started = true
		a.w.Header().Set("Content-Type", "text/event-stream")
		a.w.Header().Set("Cache-Control", "no-store")
	}
	var line bytes.Buffer
	line.WriteString("data: ")
	line.Write(e.Data)
	line.WriteString("\n\n")
	if _, err := a.w.Write(line.Bytes()); err != nil {
		return err
	}
	return http.NewResponseController(a.w).Flush()
}

func (a *answerWriter) gather(e nutmegroute.Event) error {
	if e.Last {
		return nil
	}
	var chunk struct {
		Choices []struct {
			Delta struct {
				Content string `json:"content"`
			} `json:"delta"`
		} `json:"choices"`
		Usage json.RawMessage `json:"usage"`
	}
	if err := json.Unmarshal(e.Data, &chunk); err != nil {
		return err
	}
	for _, c := range chunk.Choices {
		a.text.WriteString(c.Delta.Content)
	}
	if len(chunk.Usage) > 0 {
		a.last = chunk.Usage
	}
	return nil
}

// end writes the gathered answer of a request without streaming.
func (a *answerWriter) end() error {
	if a.stream {
		return nil
	}
	writeJSON(a.w, http.StatusOK, map[string]any{
		"object": "chat.completion",
		"choices": []map[string]any{{
			"index":         0,
			"message":       map[string]string{"role": "assistant", "content": a.text.String()},
			"finish_reason": "length",
		}},
		"usage": a.last,
	})
	return nil
}
