package main

import (
	"bytes"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// store is a small stand-in of the platform's object store. It loses nothing,
// answers at once and keeps its whole history.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]object // by kind and name
	history  []change
	changed  chan struct{} // closed at the next change
}

type object struct {
	Metadata      metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification,omitempty"`
	Status        json.RawMessage `json:"status,omitempty"`
}

type metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

type change struct {
	kind    string
	Object  object `json:"object"`
	Deleted bool   `json:"deleted"`
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, objects: make(map[string]map[string]object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put creates or replaces an object for a writer that is not an instance: the
// operator or a worker.
func (s *store) put(kind, name string, value any) {
	text, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(kind, name, text)
}

// remove deletes an object.
func (s *store) remove(kind, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	if !ok {
		return
	}
	s.revision++
	o.Metadata.Revision = s.revision
	delete(s.objects[kind], name)
	s.record(change{kind: kind, Object: o, Deleted: true})
}

// write stores a value. The caller holds mu.
func (s *store) write(kind, name string, value json.RawMessage) object {
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]object)
	}
	o, ok := s.objects[kind][name]
	if ok && bytes.Equal(o.Specification, value) {
		return o
	}
	s.revision++
	if !ok {
		o.Metadata = metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision = s.revision
	o.Specification = value
	s.objects[kind][name] = o
	s.record(change{kind: kind, Object: o})
	return o
}

func (s *store) record(c change) {
	s.history = append(s.history, c)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements the calls on objects.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	parts := strings.Split(strings.TrimPrefix(r.URL.Path, "/objects/"), "/")
	body, err := io.ReadAll(r.Body)
	if err != nil || !strings.HasPrefix(r.URL.Path, "/objects/") {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := parts[0]
	switch {
	case r.Method == http.MethodGet && len(parts) == 1 && r.URL.Query().Get("watch") != "":
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && len(parts) == 1:
		s.list(w, kind)
	case r.Method == http.MethodGet && len(parts) == 2:
		s.get(w, kind, parts[1])
	case r.Method == http.MethodPost && len(parts) == 1:
		s.create(w, kind, body)
	case r.Method == http.MethodPut && len(parts) == 2:
		s.replace(w, kind, parts[1], body)
	default:
		w.WriteHeader(http.StatusBadRequest)
	}
}

func (s *store) list(w http.ResponseWriter, kind string) {
	s.mu.Lock()
	items := []object{}
	for _, o := range s.objects[kind] {
		items = append(items, o)
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(items, func(a, b object) int { return strings.Compare(a.Metadata.Name, b.Metadata.Name) })
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": false, "at": at})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, err := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, err2 := strconv.Atoi(r.URL.Query().Get("waitMs"))
	if err != nil || err2 != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for expired := false; ; {
		s.mu.Lock()
		events := []change{}
		for _, c := range s.history {
			if c.kind == kind && c.Object.Metadata.Revision > since {
				events = append(events, c)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *store) create(w http.ResponseWriter, kind string, body []byte) {
	var sent object
	if json.Unmarshal(body, &sent) != nil || sent.Metadata.Name == "" {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if o, ok := s.objects[kind][sent.Metadata.Name]; ok {
		reply(w, http.StatusConflict, o)
		return
	}
	reply(w, http.StatusOK, s.write(kind, sent.Metadata.Name, sent.Specification))
}

func (s *store) replace(w http.ResponseWriter, kind, name string, body []byte) {
	var sent object
	if json.Unmarshal(body, &sent) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.objects[kind][name]
	switch {
	case !ok:
		reply(w, http.StatusNotFound, map[string]any{})
	case sent.Metadata.Revision != 0 && sent.Metadata.Revision != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	default:
		reply(w, http.StatusOK, s.write(kind, name, sent.Specification))
	}
}

func reply(w http.ResponseWriter, status int, value any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(value)
}
