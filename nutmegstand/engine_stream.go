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

// ChatRequest holds the fields of a chat completion request that engines use.
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
	Priority  int // lower values are admitted first
	Body      string
	Stream    string // stream name chosen by the caller; generated when empty
}

// PendingRequest signals the progress of one request at an engine.
type PendingRequest struct {
	FirstToken <-chan struct{} // closed at the first token; never closed if there is none
	Done       <-chan struct{} // closed at completion, crash or cancellation
}

type stream struct {
	run           EngineRun
	model         string
	textSeed      string // prefix of each token's text
	eventPrefix   []byte // start of each event, up to the token's text
	maxTokens     int64
	priority      int
	triggersCrash bool
	uncomputed    int64 // prompt tokens that are not computed yet
	planned       int64 // prompt tokens to compute in the current step
	blocks        []uint64
	firstToken    chan struct{}
	closed        chan struct{}
}

func (s *stream) ended() bool {
	return s.run.Ended || s.run.Cancelled || s.run.Crashed
}

func (s *stream) end(now time.Time) {
	s.run.EndedAt = now
	close(s.closed)
}

// Submit starts a request without HTTP. It reports false if the engine refuses
// the request.
func (e *Engine) Submit(call EngineCall) (PendingRequest, bool) {
	s, ok := e.accept(call)
	if !ok {
		return PendingRequest{}, false
	}
	return PendingRequest{FirstToken: s.firstToken, Done: s.closed}, true
}

func (e *Engine) accept(call EngineCall) (*stream, bool) {
	s := newStream(call)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.faults.Refuse || len(e.waiting) >= e.cfg.MaxQueue || time.Now().Before(e.downUntil) {
		return nil, false
	}
	s.triggersCrash = e.faults.CrashOn != "" && strings.Contains(call.Body, e.faults.CrashOn)
	e.streams[s.run.Stream] = s
	e.arrivals = append(e.arrivals, s)
	e.enqueue(s)
	e.wakeLoop()
	return s, true
}

// streamExists reports whether a stream with the given name exists.
func (e *Engine) streamExists(name string) bool {
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
		model:      call.Model,
		textSeed:   hex.EncodeToString(sum[:4]),
		maxTokens:  maxTokens,
		priority:   call.Priority,
		blocks:     hashPrefixes(call.Messages),
		firstToken: make(chan struct{}),
		closed:     make(chan struct{}),
	}
	s.uncomputed = s.run.PromptTokens
	s.eventPrefix = encodeEventPrefix(s.run.Stream, s.model)
	return s
}

// enqueue inserts s into the queue, which is ordered by priority, then arrival.
func (e *Engine) enqueue(s *stream) {
	index := slices.IndexFunc(e.waiting, func(other *stream) bool { return other.priority > s.priority })
	if index < 0 {
		index = len(e.waiting)
	}
	e.waiting = slices.Insert(e.waiting, index, s)
}

// PromptTokens returns the engine's token count of a prompt: one token per four
// bytes, rounded up.
func PromptTokens(messages []byte) int64 {
	return int64(len(messages)+3) / 4
}

// AnswerToken returns the text of the n-th token of the answer to messages.
func AnswerToken(messages []byte, n int64) string {
	sum := sha256.Sum256(messages)
	return tokenText(hex.EncodeToString(sum[:4]), n)
}

func tokenText(seed string, n int64) string {
	return seed + "-" + strconv.FormatInt(n, 10) + " "
}
