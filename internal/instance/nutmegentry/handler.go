package nutmegentry

import (
	"context"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

// handle serves one request of a caller.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.stopping.Load() != nil || e.overload.sheds() {
		w.Header()["Connection"] = []string{"close"}
	}
	in, err := e.cfg.Platform.Door.Decode(r)
	if err != nil {
		e.refuse(w, r, in, badRequest(err.Error()), arrived)
		return
	}
	call, refusal := e.admit(r, in, arrived)
	if refusal != nil {
		e.refuse(w, r, in, refusal, arrived)
		return
	}
	release, refusal := e.readBody(w, r, call)
	if refusal != nil {
		e.refuse(w, r, in, refusal, arrived)
		return
	}
	defer release()
	e.serveCall(w, r, in, call)
}

// serveCall relays a call and ends its answer.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, in nutmegcall.RequestInfo, call *nutmegcall.Call) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(e.runs, func() { cancel(errStopped) })
	defer stop()
	sink := newSink(w, e.cfg.Platform.Door, call.Deadline)
	outcome, refusal := e.relay.Serve(ctx, call, sink)
	e.served(call, outcome, refusal)
	switch {
	case refusal != nil && refusal.Reason == nutmegcall.ReasonCallerLeft:
		panic(http.ErrAbortHandler)
	case refusal != nil:
		e.cfg.Platform.Door.Refuse(w, in.ID, refusal)
	case outcome.Reason != nutmegcall.ReasonAnswered:
		panic(http.ErrAbortHandler) // the answer must not look whole
	}
}

// admit decides whether the configuration allows a request.
func (e *Entry) admit(r *http.Request, in nutmegcall.RequestInfo, arrived time.Time) (*nutmegcall.Call, *nutmegcall.Refusal) {
	config := e.view.Config()
	if config == nil {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonNoConfig, RetryAfter: noConfigRetry, Detail: "this instance has no configuration yet"}
	}
	route, ok := config.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonUnknownRoute, Detail: "no route matches " + r.Host + r.URL.Path}
	}
	call := &nutmegcall.Call{
		ID: in.ID, Revision: config.Revision, Route: route, Prompt: in.Prompt,
		Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: r.Header, Arrived: arrived,
		Deadline: arrived.Add(patience(in, route)),
	}
	workspace, refusal := authenticate(config, route, in)
	if refusal != nil {
		return nil, refusal
	}
	call.Priority = route.PriorityOf(workspace)
	if workspace != nil {
		call.Workspace = workspace.Name
		call.Metered = workspace.Metered
	}
	call.Service, ok = route.Choose(xxhash.Sum64String(string(in.ID)))
	if !ok {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonNoUpstream, Detail: "route " + string(route.Name) + " has no service"}
	}
	if s := e.stopping.Load(); s != nil {
		if refusal := s.refuse(call); refusal != nil {
			return nil, refusal
		}
	}
	return call, nil
}

// authenticate finds the workspace of a request, nil where none is needed.
func authenticate(config *nutmegview.Config, route *nutmegview.Route, in nutmegcall.RequestInfo) (*nutmegview.Workspace, *nutmegcall.Refusal) {
	if !config.HasWorkspaces() {
		return nil, nil
	}
	if workspace, ok := config.Authenticate(in.APIKey); ok {
		return workspace, nil
	}
	if route.Public {
		return nil, nil
	}
	return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonUnknownKey, Detail: "no workspace holds the key"}
}

// patience is how long a request may take: as long as its caller and its route
// wait.
func patience(in nutmegcall.RequestInfo, route *nutmegview.Route) time.Duration {
	longest := defaultPatience
	if in.Timeout > 0 {
		longest = in.Timeout
	}
	if route.Timeout > 0 {
		longest = min(longest, route.Timeout)
	}
	return longest
}

// readBody reads a request's body whole, so that it can be sent again, and
// returns what frees its memory.
func (e *Entry) readBody(w http.ResponseWriter, r *http.Request, call *nutmegcall.Call) (func(), *nutmegcall.Refusal) {
	if r.ContentLength == 0 {
		return func() {}, nil
	}
	limit := e.view.Config().Limits.BodyBytes
	if limit > 0 && r.ContentLength > limit {
		return nil, tooLarge()
	}
	room := int64(bodyMemoryShare * float64(e.cfg.Settings.Limits.MemoryMB) * (1 << 20))
	expected := max(r.ContentLength, 0)
	if e.bodyBytes.Add(expected) > room {
		e.bodyBytes.Add(-expected)
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonOutOfMemory, RetryAfter: noConfigRetry, Detail: "too many bytes of requests are in progress"}
	}
	release := func() { e.bodyBytes.Add(-expected) }
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(call.Deadline)
	from := r.Body
	if limit > 0 {
		from = http.MaxBytesReader(w, r.Body, limit)
	}
	body, err := readAll(from, expected)
	if err != nil {
		release()
		return nil, bodyRefusal(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	call.Body = body
	return release, nil
}

// readAll reads a body whose size may be known.
func readAll(from io.Reader, size int64) ([]byte, error) {
	if size == 0 {
		return io.ReadAll(from)
	}
	body := make([]byte, size)
	_, err := io.ReadFull(from, body)
	if err != nil {
		return nil, err
	}
	// The server sees the end of the body only when it is asked for more.
	var more [1]byte
	if n, err := from.Read(more[:]); n > 0 || !errors.Is(err, io.EOF) {
		return nil, errors.Join(errors.New("the body is longer than its stated size"), err)
	}
	return body, nil
}

func bodyRefusal(err error) *nutmegcall.Refusal {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return tooLarge()
	}
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonCallerLeft, Detail: "the body did not arrive: " + err.Error()}
}

func tooLarge() *nutmegcall.Refusal {
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonTooLarge, Detail: "the body is over the limit"}
}

func badRequest(detail string) *nutmegcall.Refusal {
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBadRequest, Detail: detail}
}

// refuse ends a request that no call was made of.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, in nutmegcall.RequestInfo, refusal *nutmegcall.Refusal, arrived time.Time) {
	e.refused(r, in, refusal, arrived)
	if refusal.Reason == nutmegcall.ReasonCallerLeft {
		panic(http.ErrAbortHandler)
	}
	e.cfg.Platform.Door.Refuse(w, in.ID, refusal)
}

// sink passes an answer to a caller.
type sink struct {
	w        http.ResponseWriter
	control  *http.ResponseController
	door     Door
	deadline time.Time
}

func newSink(w http.ResponseWriter, door Door, deadline time.Time) *sink {
	return &sink{w: w, control: http.NewResponseController(w), door: door, deadline: deadline}
}

// SendResponse implements nutmegrelay.Sink.
func (s *sink) SendResponse(status int, header http.Header, body []byte) error {
	s.head(header)
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return err
}

// SendHeader implements nutmegrelay.Sink.
func (s *sink) SendHeader(status int, header http.Header) {
	s.head(header)
	s.w.Header().Del("Content-Length")
	// A failure shows at the first write, which the same deadline bounds.
	_ = s.control.SetWriteDeadline(s.deadline.Add(writeSlack))
	s.w.WriteHeader(status)
}

// Write implements nutmegrelay.Sink.
func (s *sink) Write(part []byte) error {
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.control.Flush()
}

// head copies the upstream's header. What this instance says of its own
// connection stays.
func (s *sink) head(header http.Header) {
	connection := s.w.Header()["Connection"]
	s.door.PassHeader(s.w.Header(), header)
	if connection != nil {
		s.w.Header()["Connection"] = connection
	}
}
