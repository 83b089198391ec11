package nutmegstand

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// ServiceConfig configures the service stand-in.
type ServiceConfig struct {
	Name string
}

// ServiceFaults are the injectable faults of a service.
type ServiceFaults struct {
	Delay      time.Duration `json:"delay"`       // delay before each answer
	LoseAnswer bool          `json:"lose_answer"` // calls are executed but get no answer
	Refuse     bool          `json:"refuse"`      // reject calls as not executed
}

// ServiceCall records one call that the service executed.
type ServiceCall struct {
	Request string    `json:"request"`
	Key     string    `json:"key"`
	Method  string    `json:"method"`
	Path    string    `json:"path"`
	Body    string    `json:"body"`
	At      time.Time `json:"at"`
}

// Service simulates a plain service. It does not deduplicate repeated calls.
type Service struct {
	cfg ServiceConfig

	mu     sync.Mutex
	faults ServiceFaults
	calls  []ServiceCall
}

// NewService returns a service that has not executed any calls.
func NewService(cfg ServiceConfig) *Service {
	return &Service{cfg: cfg}
}

// Handler returns a handler that executes calls of any method on any path
// except those of PUT /faults, GET /records and GET /healthz.
func (s *Service) Handler() http.Handler {
	r := chi.NewRouter()
	r.Put("/faults", s.putFaults)
	r.Get("/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Calls()) })
	r.Get("/healthz", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	r.HandleFunc("/*", s.call)
	return r
}

// SetFaults replaces the injected faults.
func (s *Service) SetFaults(f ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the executed calls in order.
func (s *Service) Calls() []ServiceCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

func (s *Service) call(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Refuse {
		w.Header().Set("X-Not-Run", "1")
		http.Error(w, "the service takes no calls", http.StatusServiceUnavailable)
		return
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, 16<<20))
	if err != nil {
		return
	}
	n := s.addCall(ServiceCall{
		Request: r.Header.Get("X-Request-Id"),
		Key:     r.Header.Get("Idempotency-Key"),
		Method:  r.Method,
		Path:    r.URL.Path,
		Body:    string(body),
		At:      time.Now(),
	})
	if !waitFor(r, faults.Delay) {
		return
	}
	if faults.LoseAnswer {
		panic(http.ErrAbortHandler)
	}
	writeJSON(w, map[string]string{"service": s.cfg.Name, "confirmation": fmt.Sprintf("%s-%d", s.cfg.Name, n)})
}

// addCall records a call and returns the number of calls so far.
func (s *Service) addCall(call ServiceCall) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, call)
	return len(s.calls)
}

func (s *Service) putFaults(w http.ResponseWriter, r *http.Request) {
	var faults ServiceFaults
	if readJSON(w, r, &faults) {
		s.SetFaults(faults)
	}
}
