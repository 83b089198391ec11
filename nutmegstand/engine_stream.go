package nutmegstand

import (
	"cmp"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"
)

// ChatRequest is the part of a chat completion request that engines use.
type ChatRequest struct {
	Model     string          `json:"model"`
	Messages  json.RawMessage `json:"messages"`
	MaxTokens int64           `json:"max_tokens"`
	Stream    bool            `json:"stream"`
}

// EngineCall is one request to an engine.
type EngineCall struct {
	ChatRequest

	Request   string
	Workspace string
	Priority  int // lower goes first
	Body      string
	Stream    string // name that the caller gives the stream; made when empty
}

// Ticket follows one request at an engine.
type Ticket struct {
	First <-chan struct{} // closed at the first token, never closed without one
	End   <-chan struct{} // closed at the end, a crash or a cancel
}

type stream struct {
	run      EngineRun
	model    string
	seed     string // of the answer's text
	head     []byte // of each event, up to the token's text
	max      int64
	priority int
	crash    bool
	prompt   int64 // tokens that are not computed yet
	planned  int64 // of them in the present step
	blocks   []uint64
	first    chan struct{}
	closed   chan struct{}
}

func (s *stream) ended() bool {
	return s.run.Ended || s.run.Cancelled || s.run.Crashed
}

func (s *stream) end(now time.Time) {
	s.run.EndedAt = now
	close(s.closed)
}

// Submit starts a request without HTTP. It is false where the engine refuses.
func (e *Engine) Submit(call EngineCall) (Ticket, bool) {
	s, ok := e.accept(call)
	if !ok {
		return Ticket{}, false
	}
	return Ticket{First: s.first, End: s.closed}, true
}

func (e *Engine) accept(call EngineCall) (*stream, bool) {
	s := newStream(call)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse || len(e.waiting) >= e.cfg.MaxQueue || time.Now().Before(e.downTo) {
		return nil, false
	}
	s.crash = e.faults.CrashOn != "" && strings.Contains(call.Body, e.faults.CrashOn)
	e.streams[s.run.Stream] = s
	e.order = append(e.order, s)
	e.enqueue(s)
	e.rouse()
	return s, true
}

// taken reports whether a stream of the name exists.
func (e *Engine) taken(name string) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	_, ok := e.streams[name]
	return ok
}

func newStream(call EngineCall) *stream {
	maxTokens := call.MaxTokens
	if maxTokens <= 0 {
		maxTokens = defaultMaxTokens
	}
	sum := sha256.Sum256(call.Messages)
	s := &stream{
		run: EngineRun{
			Stream:       cmp.Or(call.Stream, uuid.NewString()),
			Request:      call.Request,
			Workspace:    call.Workspace,
			Priority:     call.Priority,
			PromptTokens: PromptTokens(call.Messages),
			StartedAt:    time.Now(),
		},
		model:    call.Model,
		seed:     hex.EncodeToString(sum[:4]),
		max:      maxTokens,
		priority: call.Priority,
		blocks:   prefixBlocks(call.Messages),
		first:    make(chan struct{}),
		closed:   make(chan struct{}),
	}
	s.prompt = s.run.PromptTokens
	s.head = eventHead(s.run.Stream, s.model)
	return s
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
	return seed + "-" + strconv.FormatInt(n, 10) + " "
}
