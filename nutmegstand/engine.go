package nutmegstand

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/google/uuid"
)

// EngineConfig configures the engine stand-in.
type EngineConfig struct {
	Name      string
	TokenTime time.Duration // of one step, which gives every running stream a token
	MaxBatch  int           // streams that run at once; DefaultMaxBatch when zero
	MaxQueue  int           // streams that wait; DefaultMaxQueue when zero
}

// Defaults of the engine stand-in.
const (
	DefaultMaxBatch  = 64
	DefaultMaxQueue  = 256
	DefaultTokenTime = 2 * time.Millisecond

	defaultMaxTokens = 16
)

// EngineFaults are the faults of an engine that can be switched.
type EngineFaults struct {
	CrashOn string `json:"crash_on"` // requests whose body holds this text end the engine's streams
	Silent  bool   `json:"silent"`   // open streams say nothing more
	Refuse  bool   `json:"refuse"`   // new requests are refused as not run
}

// EngineRun is what an engine did for one request.
type EngineRun struct {
	Stream       string    `json:"stream"`
	Request      string    `json:"request"`
	Workspace    string    `json:"workspace"`
	PromptTokens int64     `json:"prompt_tokens"`
	AnswerTokens int64     `json:"answer_tokens"`
	Ended        bool      `json:"ended"`
	Cancelled    bool      `json:"cancelled"`
	Crashed      bool      `json:"crashed"`
	StartedAt    time.Time `json:"started_at"`
}

type stream struct {
	run      EngineRun
	model    string
	seed     string // of the answer's text
	max      int64
	priority int
	crash    bool
}

func (s *stream) ended() bool {
	return s.run.Ended || s.run.Cancelled || s.run.Crashed
}

// Engine is a small stand-in of a model engine with continuous batching.
type Engine struct {
	cfg  EngineConfig
	quit chan struct{}
	done chan struct{}

	mu      sync.Mutex
	faults  EngineFaults
	streams map[string]*stream
	order   []*stream // in order of arrival
	running []*stream
	waiting []*stream
	crashes int
	stepped chan struct{} // closed at each step
}

// NewEngine returns an engine that steps until Close.
func NewEngine(cfg EngineConfig) *Engine {
	if cfg.MaxBatch == 0 {
		cfg.MaxBatch = DefaultMaxBatch
	}
	if cfg.MaxQueue == 0 {
		cfg.MaxQueue = DefaultMaxQueue
	}
	if cfg.TokenTime == 0 {
		cfg.TokenTime = DefaultTokenTime
	}
	e := &Engine{
		cfg:     cfg,
		quit:    make(chan struct{}),
		done:    make(chan struct{}),
		streams: make(map[string]*stream),
		stepped: make(chan struct{}),
	}
	go e.loop()
	return e
}

// Close stops the engine.
func (e *Engine) Close() {
	close(e.quit)
	<-e.done
}

// Handler serves the engine's API, /faults and /records.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Post("/v1/chat/completions", e.chat)
	r.Get("/v1/streams/{stream}", e.resume)
	r.Delete("/v1/streams/{stream}", e.cancel)
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.Put("/faults", e.putFaults)
	r.Get("/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	return r
}

// SetFaults replaces the faults.
func (e *Engine) SetFaults(f EngineFaults) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = f
}

// Runs returns what the engine did, in order of arrival.
func (e *Engine) Runs() []EngineRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make([]EngineRun, 0, len(e.order))
	for _, s := range e.order {
		runs = append(runs, s.run)
	}
	return runs
}

// Crashes returns how often a request has crashed the engine.
func (e *Engine) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

func (e *Engine) loop() {
	defer close(e.done)
	ticker := time.NewTicker(e.cfg.TokenTime)
	defer ticker.Stop()
	for {
		select {
		case <-e.quit:
			return
		case <-ticker.C:
			e.step()
		}
	}
}

// step admits waiting streams by priority and gives each running one a token.
func (e *Engine) step() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.admit()
	if len(e.running) == 0 {
		return
	}
	if slices.ContainsFunc(e.running, func(s *stream) bool { return s.crash }) {
		e.crashAll()
	}
	for _, s := range e.running {
		s.run.AnswerTokens++
		s.run.Ended = s.run.AnswerTokens >= s.max
	}
	e.running = slices.DeleteFunc(e.running, (*stream).ended)
	close(e.stepped)
	e.stepped = make(chan struct{})
}

func (e *Engine) admit() {
	free := e.cfg.MaxBatch - len(e.running)
	n := min(free, len(e.waiting))
	e.running = append(e.running, e.waiting[:n]...)
	e.waiting = e.waiting[n:]
}

// crashAll ends every running stream, as a crash of the engine's process does.
func (e *Engine) crashAll() {
	e.crashes++
	for _, s := range e.running {
		s.run.Crashed = true
	}
	e.running = nil
}

// ChatRequest is the part of a chat completion request that engines use.
type ChatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		http.Error(w, "the body was not read whole", http.StatusBadRequest)
		return
	}
	var req ChatRequest
	if err := json.Unmarshal(body, &req); err != nil {
		http.Error(w, "the body is no chat request", http.StatusBadRequest)
		return
	}
	s, ok := e.begin(r, req, body)
	if !ok {
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "the engine takes no more requests", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Stream-Id", s.run.Stream)
	e.send(w, r, s, 0)
}

func (e *Engine) begin(r *http.Request, req ChatRequest, body []byte) (*stream, bool) {
	maxTokens := req.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	sum := sha256.Sum256(req.Messages)
	priority, err := strconv.Atoi(r.Header.Get("X-Priority"))
	if err != nil {
		priority = 0
	}
	s := &stream{
		run: EngineRun{
			Stream:       uuid.NewString(),
			Request:      r.Header.Get("X-Request-Id"),
			Workspace:    r.Header.Get("X-Workspace"),
			PromptTokens: PromptTokens(req.Messages),
			StartedAt:    time.Now(),
		},
		model:    req.Model,
		seed:     hex.EncodeToString(sum[:4]),
		max:      maxTokens,
		priority: priority,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse || len(e.waiting) >= e.cfg.MaxQueue {
		return nil, false
	}
	s.crash = e.faults.CrashOn != "" && strings.Contains(string(body), e.faults.CrashOn)
	e.streams[s.run.Stream] = s
	e.order = append(e.order, s)
	e.enqueue(s)
	return s, true
}

// enqueue keeps the queue ordered by priority, then by arrival.
func (e *Engine) enqueue(s *stream) {
	at := slices.IndexFunc(e.waiting, func(other *stream) bool { return other.priority > s.priority })
	if at < 0 {
		at = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, at, s)
}

// PromptTokens is the engine's token count of a prompt: one for four bytes.
func PromptTokens(messages []byte) int64 {
	return int64(len(messages)+3) / 4
}

// AnswerToken returns the n-th token's text of the answer to messages.
func AnswerToken(messages []byte, n int64) string {
	sum := sha256.Sum256(messages)
	return tokenText(hex.EncodeToString(sum[:4]), n)
}

func tokenText(seed string, n int64) string {
	return fmt.Sprintf("%s-%d ", seed, n)
}

type chunk struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

type choice struct {
	Index        int     `json:"index"`
	Delta        delta   `json:"delta"`
	FinishReason *string `json:"finish_reason"`
}

type delta struct {
	Content string `json:"content,omitempty"`
}

type usage struct {
	PromptTokens     int64 `json:"prompt_tokens"`
	CompletionTokens int64 `json:"completion_tokens"`
	TotalTokens      int64 `json:"total_tokens"`
}

// send streams the answer from an offset until its end, a crash or the
// caller's leaving. A stream goes on when its connection ends.
func (e *Engine) send(w http.ResponseWriter, r *http.Request, s *stream, offset int64) {
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	if out.Flush() != nil {
		return
	}
	for {
		e.mu.Lock()
		run, silent, stepped := s.run, e.faults.Silent, e.stepped
		e.mu.Unlock()
		for ; offset < run.AnswerTokens && !silent; offset++ {
			if e.writeToken(w, s, offset) != nil {
				return
			}
		}
		if out.Flush() != nil {
			return
		}
		if run.Crashed {
			panic(http.ErrAbortHandler)
		}
		if (run.Ended || run.Cancelled) && !silent {
			writeEnd(w, s, run)
			return
		}
		select {
		case <-stepped:
		case <-r.Context().Done():
			return
		case <-e.quit:
			return
		}
	}
}

func (e *Engine) writeToken(w io.Writer, s *stream, offset int64) error {
	c := chunk{
		ID:      s.run.Stream,
		Object:  "chat.completion.chunk",
		Model:   s.model,
		Choices: []choice{{Delta: delta{Content: tokenText(s.seed, offset)}}},
	}
	return writeEvent(w, offset+1, c)
}

// writeEnd sends the finish reason and the usage, then the end mark.
func writeEnd(w io.Writer, s *stream, run EngineRun) {
	reason := "length"
	if run.Cancelled {
		reason = "abort"
	}
	c := chunk{
		ID:      run.Stream,
		Object:  "chat.completion.chunk",
		Model:   s.model,
		Choices: []choice{{FinishReason: &reason}},
		Usage: &usage{
			PromptTokens:     run.PromptTokens,
			CompletionTokens: run.AnswerTokens,
			TotalTokens:      run.PromptTokens + run.AnswerTokens,
		},
	}
	if writeEvent(w, run.AnswerTokens+1, c) == nil {
		_, _ = io.WriteString(w, "data: [DONE]\n\n")
	}
}

func writeEvent(w io.Writer, id int64, c chunk) error {
	data, err := json.Marshal(c)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
	return err
}

// resume streams the rest of an answer after the offset in Last-Event-ID.
func (e *Engine) resume(w http.ResponseWriter, r *http.Request) {
	offset, err := strconv.ParseInt(r.Header.Get("Last-Event-ID"), 10, 64)
	if err != nil || offset < 0 {
		offset = 0
	}
	e.mu.Lock()
	s, ok := e.streams[chi.URLParam(r, "stream")]
	e.mu.Unlock()
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	w.Header().Set("X-Stream-Id", s.run.Stream)
	e.send(w, r, s, offset)
}

func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.streams[chi.URLParam(r, "stream")]
	if !ok {
		http.Error(w, "no such stream", http.StatusNotFound)
		return
	}
	if !s.ended() {
		s.run.Cancelled = true
		e.running = slices.DeleteFunc(e.running, (*stream).ended)
		e.waiting = slices.DeleteFunc(e.waiting, (*stream).ended)
	}
	writeJSON(w, s.run)
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if readJSON(w, r, &faults) {
		e.SetFaults(faults)
	}
}
