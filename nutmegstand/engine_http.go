package nutmegstand

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
)

const maxBodyBytes = 16 << 20

// Handler returns the handler of the engine's API, of /faults, /hush and
// /records.
func (e *Engine) Handler() http.Handler {
	r := chi.NewRouter()
	r.Group(func(r chi.Router) {
		r.Use(e.rejectDuringRestart)
		r.Post("/v1/chat/completions", e.chat)
		r.Get("/v1/streams/{stream}", e.resume)
		r.Delete("/v1/streams/{stream}", e.cancel)
		r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
		r.Get("/load", e.getLoad)
		r.Get("/state", e.getState)
		r.Post("/orders", e.postOrder)
		r.Post("/kv/export", e.exportKV)
		r.Post("/kv/import", e.importKV)
	})
	r.Put("/faults", e.putFaults)
	r.Post("/hush", func(http.ResponseWriter, *http.Request) { e.SilenceConnections() })
	r.Get("/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Runs()) })
	r.Get("/records/orders", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, e.Orders()) })
	return r
}

// rejectDuringRestart aborts connections while the engine is restarting.
func (e *Engine) rejectDuringRestart(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.restarting() {
			panic(http.ErrAbortHandler)
		}
		next.ServeHTTP(w, r)
	})
}

func (e *Engine) chat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, "the body was not read whole", http.StatusBadRequest)
		return
	}
	call := EngineCall{
		Request:   r.Header.Get("X-Request-Id"),
		Workspace: r.Header.Get("X-Workspace"),
		Body:      string(body),
		Stream:    r.Header.Get("X-Stream-Id"),
	}
	if err := json.Unmarshal(body, &call.ChatRequest); err != nil {
		http.Error(w, "the body is no chat request", http.StatusBadRequest)
		return
	}
	if priority, err := strconv.Atoi(r.Header.Get("X-Priority")); err == nil {
		call.Priority = priority
	}
	if e.streamExists(call.Stream) {
		http.Error(w, "a stream of this name exists; resume it", http.StatusConflict)
		return
	}
	s, ok := e.accept(call)
	if !ok {
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "the engine takes no more requests", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("X-Stream-Id", s.run.Stream)
	e.sendAnswer(w, r, s, 0)
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

// encodeEventPrefix returns the part of a stream's token events that precedes
// the token text.
func encodeEventPrefix(id, model string) []byte {
	quoted, err := json.Marshal(model)
	if err != nil {
		quoted = []byte(`""`)
	}
	return fmt.Appendf(nil, `data: {"id":%q,"object":"chat.completion.chunk","model":%s,"choices":[{"index":0,"delta":{"content":"`, id, quoted)
}

const eventSuffix = `"},"finish_reason":null}]}` + "\n\n"

// appendToken appends the server-sent event of the token at offset to buf.
func (s *stream) appendToken(buf []byte, offset int64) []byte {
	buf = append(buf, "id: "...)
	buf = strconv.AppendInt(buf, offset+1, 10)
	buf = append(buf, '\n')
	buf = append(buf, s.eventPrefix...)
	buf = append(buf, s.textSeed...)
	buf = append(buf, '-')
	buf = strconv.AppendInt(buf, offset, 10)
	buf = append(buf, ' ')
	return append(buf, eventSuffix...)
}

// streamView is the state of a stream that one connection observes at one step.
type streamView struct {
	run     EngineRun
	silent  bool
	stepped <-chan struct{}
}

func (e *Engine) observe(s *stream, conn uint64) streamView {
	e.mu.Lock()
	defer e.mu.Unlock()
	return streamView{run: s.run, silent: e.faults.Silent || conn <= e.silencedConns, stepped: e.stepped}
}

func (e *Engine) nextConn() uint64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.lastConn++
	return e.lastConn
}

// sendAnswer sends the answer from offset until it ends, the engine crashes or
// the caller disconnects. The stream itself outlives the connection.
func (e *Engine) sendAnswer(w http.ResponseWriter, r *http.Request, s *stream, offset int64) {
	conn := e.nextConn()
	w.Header().Set("Content-Type", "text/event-stream")
	out := http.NewResponseController(w)
	if out.Flush() != nil {
		return
	}
	var buf []byte
	for {
		v := e.observe(s, conn)
		buf = buf[:0]
		for ; offset < v.run.AnswerTokens && !v.silent; offset++ {
			buf = s.appendToken(buf, offset)
		}
		if len(buf) > 0 && !writeAndFlush(w, out, buf) {
			return
		}
		if v.run.Crashed {
			panic(http.ErrAbortHandler)
		}
		if (v.run.Ended || v.run.Cancelled) && !v.silent {
			writeEnd(w, s, v.run)
			return
		}
		select {
		case <-v.stepped:
		case <-r.Context().Done():
			return
		case <-e.ctx.Done():
			return
		}
	}
}

func writeAndFlush(w io.Writer, out *http.ResponseController, buf []byte) bool {
	_, err := w.Write(buf)
	return err == nil && out.Flush() == nil
}

// writeEnd sends the finish reason and the usage, followed by [DONE].
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
	data, err := json.Marshal(c)
	if err != nil {
		return
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\ndata: [DONE]\n\n", run.AnswerTokens+1, data)
}

// resume sends the rest of an answer after the offset given in Last-Event-ID.
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
	e.sendAnswer(w, r, s, offset)
}

// cancelResponse reports the usage of a canceled stream.
type cancelResponse struct {
	EngineRun
	NeverRan     bool  `json:"never_ran"` // the stream name was unknown; it is now reserved so that no request can use it
	UptimeMillis int64 `json:"uptime_ms"` // time since the engine's last restart
}

// cancel ends a stream. It reserves an unknown stream name, so that a chat
// request that arrives later under that name does not run.
func (e *Engine) cancel(w http.ResponseWriter, r *http.Request) {
	name := chi.URLParam(r, "stream")
	e.mu.Lock()
	defer e.mu.Unlock()
	response := cancelResponse{UptimeMillis: time.Since(e.upSince).Milliseconds()}
	s, ok := e.streams[name]
	if !ok {
		s = newStream(EngineCall{Stream: name})
		s.run.PromptTokens, s.run.Cancelled = 0, true
		s.end(time.Now())
		e.streams[name] = s
	}
	if !s.ended() {
		s.run.Cancelled = true
		s.end(time.Now())
		e.running = slices.DeleteFunc(e.running, (*stream).ended)
		e.waiting = slices.DeleteFunc(e.waiting, (*stream).ended)
		e.notifyStep()
	}
	response.EngineRun = s.run
	response.NeverRan = s.run.PromptTokens == 0
	writeJSON(w, response)
}

func (e *Engine) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults EngineFaults
	if readJSON(w, r, &faults) {
		e.SetFaults(faults)
	}
}
