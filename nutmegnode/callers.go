package nutmegnode

import (
	"fmt"
	"net/http"
	"strings"

	"github.com/go-chi/chi/v5"
	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// callerHandler returns the handler of the callers' API.
func (n *Node) callerHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/healthz", n.healthz)
	r.Get("/readyz", n.readyz)
	r.Group(func(r chi.Router) {
		r.Use(n.admit)
		r.Post("/v1/chat/completions", n.withCaller(n.chat))
		r.Get("/v1/chat/completions/stream", n.withCaller(n.resumeStream))
		r.Get("/v1/models", n.withCaller(n.models))
		r.Get("/v1/orders/{route}/{key}", n.withCaller(n.orderStatus))
		r.HandleFunc("/v1/services/{route}", n.withCaller(n.service))
		r.HandleFunc("/v1/services/{route}/*", n.withCaller(n.service))
	})
	return r
}

func (n *Node) healthz(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (n *Node) readyz(w http.ResponseWriter, _ *http.Request) {
	if reason := n.notReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// notReadyReason returns why the instance refuses requests, or "" if it is ready.
func (n *Node) notReadyReason() string {
	if n.stopping.Load() {
		return "the instance is stopping"
	}
	if n.view.Current() == nil {
		return n.noConfigurationReason()
	}
	return ""
}

// admit refuses requests while the instance is not ready and counts the requests
// in flight. The request is counted before the check, so that Stop waits for it.
func (n *Node) admit(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n.inFlight.Add(1)
		defer n.inFlight.Done()
		if reason := n.notReadyReason(); reason != "" {
			writeError(w, refusal(http.StatusServiceUnavailable, "not_ready", reason+"; send the request to another instance"))
			return
		}
		next.ServeHTTP(w, r)
	})
}

const requestHeader = "X-Request-Id"

// request is one authenticated request of a caller.
type request struct {
	*http.Request
	id     nutmegid.RequestID
	caller nutmegconf.Caller
	config *nutmegconf.Config
	body   []byte
}

// withCaller authenticates a request, reads its body and writes the error that
// handler returns.
func (n *Node) withCaller(handler func(http.ResponseWriter, *request) error) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		req, err := n.readRequest(w, r)
		if err == nil {
			w.Header().Set(requestHeader, string(req.id))
			err = handler(w, req)
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
	if len(r.Header.Get(keyHeader)) > maxKeyBytes {
		return nil, refusal(http.StatusBadRequest, "bad_key", fmt.Sprintf("the %s is over %d bytes; send a shorter one", keyHeader, maxKeyBytes))
	}
	body, err := n.readBody(w, r)
	if err != nil {
		return nil, err
	}
	req := &request{Request: r, id: nutmegid.NewRequestID(), caller: caller, config: config, body: body}
	n.count("requests")
	n.ring.Record(nutmegtime.Event{Kind: nutmegtime.KindRequest, Request: req.id, Budget: caller.WorkspaceBudget, Detail: r.Method + " " + r.URL.Path})
	return req, nil
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
