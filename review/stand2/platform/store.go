// Package platform holds the stand-ins that the cases of this review share: the platform's
// store, servers, clients and the settings of an entry instance. They follow the users'
// protocol page and use nothing but the standard library.
package platform

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Object is an object of the platform's store.
type Object struct {
	Metadata      Metadata        `json:"metadata"`
	Specification json.RawMessage `json:"specification"`
	Status        json.RawMessage `json:"status"`
}

// Metadata names an object and its last change.
type Metadata struct {
	Name            string   `json:"name"`
	Revision        uint64   `json:"revision"`
	Created         uint64   `json:"created"`
	Finalizers      []string `json:"finalizers"`
	DeletionPending bool     `json:"deletionPending"`
}

// Event is one change of an object.
type Event struct {
	Object  Object `json:"object"`
	Deleted bool   `json:"deleted"`

	kind     string
	revision uint64
}

// Store is a sound store of the platform.
type Store struct {
	Address string

	mu       sync.Mutex
	revision uint64
	objects  map[string]map[string]Object // by kind and name
	events   []Event
	changed  chan struct{} // closed at the next change
}

const listPage = 500 // objects in one answer to a list

// NewStore starts a store on a free loopback port.
func NewStore() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{Address: l.Addr().String(), revision: 1, objects: make(map[string]map[string]Object), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

// Put writes an object without a condition, as the operator and the servers do.
func (s *Store) Put(kind, name string, specification any) {
	text, _ := json.Marshal(specification)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(kind, name, text)
}

func (s *Store) put(kind, name string, specification json.RawMessage) Object {
	s.revision++
	o, known := s.objects[kind][name]
	if !known {
		o.Metadata = Metadata{Name: name, Created: s.revision, Finalizers: []string{}}
	}
	o.Metadata.Revision = s.revision
	o.Specification = specification
	if s.objects[kind] == nil {
		s.objects[kind] = make(map[string]Object)
	}
	s.objects[kind][name] = o
	s.announce(Event{Object: o, kind: kind})
	return o
}

func (s *Store) announce(e Event) {
	e.revision = s.revision
	s.events = append(s.events, e)
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	path, ok := strings.CutPrefix(r.URL.Path, "/objects/")
	if !ok {
		w.WriteHeader(http.StatusNotFound)
		return
	}
	kind, name, _ := strings.Cut(path, "/")
	switch {
	case r.Method == http.MethodGet && name == "" && r.URL.Query().Has("watch"):
		s.watch(w, r, kind)
	case r.Method == http.MethodGet && name == "":
		s.list(w, r, kind)
	case r.Method == http.MethodGet:
		s.get(w, kind, name)
	default:
		s.write(w, r, kind, name)
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *Store) get(w http.ResponseWriter, kind, name string) {
	s.mu.Lock()
	o, ok := s.objects[kind][name]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	reply(w, http.StatusOK, o)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request, kind string) {
	after := r.URL.Query().Get("afterRevision")
	s.mu.Lock()
	items := []Object{}
	for name, o := range s.objects[kind] {
		if name > after {
			items = append(items, o)
		}
	}
	at := s.revision
	s.mu.Unlock()
	sort.Slice(items, func(a, b int) bool { return items[a].Metadata.Name < items[b].Metadata.Name })
	more := len(items) > listPage
	if more {
		items = items[:listPage]
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "hasMore": more, "at": at})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request, kind string) {
	since, _ := strconv.ParseUint(r.URL.Query().Get("watch"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []Event{}
		for _, e := range s.events {
			if e.kind == kind && e.revision > since {
				events = append(events, e)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, map[string]any{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) write(w http.ResponseWriter, r *http.Request, kind, name string) {
	var body Object
	if r.Method != http.MethodDelete {
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
	}
	condition := body.Metadata.Revision
	if text := r.URL.Query().Get("revision"); text != "" {
		condition, _ = strconv.ParseUint(text, 10, 64)
	}
	if r.Method == http.MethodPost {
		name = body.Metadata.Name
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	o, known := s.objects[kind][name]
	switch {
	case r.Method == http.MethodPost && known, known && condition != 0 && condition != o.Metadata.Revision:
		reply(w, http.StatusConflict, o)
	case r.Method == http.MethodPost:
		reply(w, http.StatusOK, s.put(kind, name, body.Specification))
	case !known:
		reply(w, http.StatusNotFound, struct{}{})
	case r.Method == http.MethodPut:
		reply(w, http.StatusOK, s.put(kind, name, body.Specification))
	case r.Method == http.MethodDelete:
		delete(s.objects[kind], name)
		s.revision++
		s.announce(Event{Object: o, Deleted: true, kind: kind})
		reply(w, http.StatusOK, o)
	default:
		reply(w, http.StatusMethodNotAllowed, struct{}{})
	}
}
