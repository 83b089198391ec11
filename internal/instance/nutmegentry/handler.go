package nutmegentry

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// handle serves a request of a caller.
func (e *Entry) handle(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	e.running.Add(1)
	defer e.running.Add(-1)
	if e.drain.Load() != nil || e.overload.closesConnections() {
		w.Header()["Connection"] = []string{"close"}
	}
	info, err := e.cfg.Platform.CallerProtocol.Decode(r)
	if err != nil {
		e.refuse(w, r, info, badRequest(err.Error()), arrived)
		return
	}
	call, refusal := e.admit(r, info, arrived)
	if refusal != nil {
		e.refuse(w, r, info, refusal, arrived)
		return
	}
	release, refusal := e.readBody(w, r, call)
	if refusal != nil {
		e.refuse(w, r, info, refusal, arrived)
		return
	}
	defer release()
	if nutmegserve.HasLeft(r.Context()) {
		e.refuse(w, r, info, &nutmegcall.Refusal{Reason: nutmegcall.ReasonCallerLeft, Detail: "the caller left before its request was handled"}, arrived)
		return
	}
	e.serveCall(w, r, info, call)
}

// serveCall relays a call and completes its response.
func (e *Entry) serveCall(w http.ResponseWriter, r *http.Request, info nutmegcall.RequestInfo, call *nutmegcall.Call) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	stop := context.AfterFunc(e.requestsCtx, func() { cancel(errStopped) })
	defer stop()
	sink := newSink(w, e.cfg.Platform.CallerProtocol, call.Deadline)
	outcome, refusal := e.relay.Serve(ctx, call, sink)
	e.callEnded(call, outcome, refusal)
	sink.allowWriting()
	switch {
	case refusal != nil && refusal.Reason == nutmegcall.ReasonCallerLeft:
		panic(http.ErrAbortHandler)
	case refusal != nil:
		e.cfg.Platform.CallerProtocol.Refuse(w, info.ID, refusal)
	case outcome.Reason != nutmegcall.ReasonAnswered:
		panic(http.ErrAbortHandler) // the caller must not treat the response as complete
	}
}

// admit resolves a request's route, workspace and service, or refuses the request.
func (e *Entry) admit(r *http.Request, info nutmegcall.RequestInfo, arrived time.Time) (*nutmegcall.Call, *nutmegcall.Refusal) {
	config := e.view.Config()
	if config == nil {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonNoConfig, RetryAfter: refusalRetryAfter, Detail: "this instance has no configuration yet"}
	}
	if !e.evacuations.known() {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonNoConfig, RetryAfter: refusalRetryAfter, Detail: "this instance does not know yet which failure domains are evacuated"}
	}
	route, ok := config.Match(r.Host, r.URL.EscapedPath())
	if !ok {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonUnknownRoute, Detail: "no route matches " + r.Host + r.URL.Path}
	}
	call := &nutmegcall.Call{
		ID: info.ID, Revision: config.Revision, Route: route, Prompt: info.Prompt, Resumed: info.Resumed,
		Method: r.Method, Host: r.Host, Target: r.RequestURI, Header: r.Header, Arrived: arrived,
		Deadline: arrived.Add(requestTimeout(info, route)), Limits: config.Limits, Memory: e.memoryOf(r.Context()),
	}
	workspace, refusal := authenticate(config, route, info)
	if refusal != nil {
		return nil, refusal
	}
	call.Priority = route.PriorityOf(workspace)
	call.Regions = nutmegview.LimitRegions(route, workspace)
	if workspace != nil {
		call.Workspace = workspace.Name
		call.Metered = workspace.Metered
	}
	call.Service, ok = route.ChooseService(xxhash.Sum64String(string(serviceDraw(info))))
	if !ok {
		return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonNoUpstream, Detail: "route " + string(route.Name) + " has no service"}
	}
	call.Engine = config.Services[call.Service].Engine
	if refusal := e.reach.check(); refusal != nil {
		return nil, refusal
	}
	return call, e.checkDrain(call)
}

// serviceDraw returns the ID that decides to which service of a route a request goes: a
// stream that is taken up goes to the one where it began.
func serviceDraw(info nutmegcall.RequestInfo) nutmegid.RequestID {
	if info.Resumed.First != "" {
		return info.Resumed.First
	}
	return info.ID
}

// authenticate returns the workspace of a request, or nil if none is required.
func authenticate(config *nutmegview.Config, route *nutmegview.Route, info nutmegcall.RequestInfo) (*nutmegview.Workspace, *nutmegcall.Refusal) {
	if !config.HasWorkspaces() {
		return nil, nil
	}
	if workspace, ok := config.Authenticate(info.APIKey); ok {
		return workspace, nil
	}
	if route.Public {
		return nil, nil
	}
	return nil, &nutmegcall.Refusal{Reason: nutmegcall.ReasonUnknownKey, Detail: "no workspace holds the key"}
}

// requestTimeout returns how long a request may take: the shorter of the caller's
// and the route's timeouts.
func requestTimeout(info nutmegcall.RequestInfo, route *nutmegview.Route) time.Duration {
	timeout := defaultRequestTimeout
	if info.Timeout > 0 {
		timeout = info.Timeout
	}
	if route.Timeout > 0 {
		timeout = min(timeout, route.Timeout)
	}
	return timeout
}

func badRequest(detail string) *nutmegcall.Refusal {
	return &nutmegcall.Refusal{Reason: nutmegcall.ReasonBadRequest, Detail: detail}
}

// refuse refuses a request that did not become a call.
func (e *Entry) refuse(w http.ResponseWriter, r *http.Request, info nutmegcall.RequestInfo, refusal *nutmegcall.Refusal, arrived time.Time) {
	e.requestRefused(r, info, refusal, arrived)
	if refusal.Reason == nutmegcall.ReasonCallerLeft {
		panic(http.ErrAbortHandler)
	}
	e.cfg.Platform.CallerProtocol.Refuse(w, info.ID, refusal)
}

// sink writes a response to a caller.
type sink struct {
	w          http.ResponseWriter
	controller *http.ResponseController
	protocol   CallerProtocol
	deadline   time.Time
	headerSent bool // of a response whose body follows in parts
}

func newSink(w http.ResponseWriter, protocol CallerProtocol, deadline time.Time) *sink {
	return &sink{w: w, controller: http.NewResponseController(w), protocol: protocol, deadline: deadline}
}

// SendResponse implements nutmegrelay.Sink.
func (s *sink) SendResponse(status int, header http.Header, body []byte) error {
	s.allowWriting()
	s.copyHeader(header)
	s.w.WriteHeader(status)
	_, err := s.w.Write(body)
	return err
}

// allowWriting gives the caller time to take a whole response from now on. The server's
// own limit counts from the request, which may have waited longer for its upstream.
func (s *sink) allowWriting() {
	if s.headerSent {
		return
	}
	// A failure shows up at the first write, which has the same deadline.
	_ = s.controller.SetWriteDeadline(time.Now().Add(writeTimeout))
}

// SendHeader implements nutmegrelay.Sink.
func (s *sink) SendHeader(status int, header http.Header) {
	s.headerSent = true
	s.copyHeader(header)
	s.w.Header().Del("Content-Length")
	// A failure shows up at the first write, which has the same deadline.
	_ = s.controller.SetWriteDeadline(s.deadline.Add(writeGrace))
	s.w.WriteHeader(status)
}

// Write implements nutmegrelay.Sink.
func (s *sink) Write(part []byte) error {
	if _, err := s.w.Write(part); err != nil {
		return err
	}
	return s.controller.Flush()
}

// copyHeader copies the upstream's header but keeps a Connection header set by
// this instance.
func (s *sink) copyHeader(header http.Header) {
	connection := s.w.Header()["Connection"]
	s.protocol.PassHeader(s.w.Header(), header)
	if connection != nil {
		s.w.Header()["Connection"] = connection
	}
}
