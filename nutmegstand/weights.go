package nutmegstand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// WeightsConfig configures the weight store stand-in.
type WeightsConfig struct {
	BytesPerSecond int64            // of all fetches together
	Sizes          map[string]int64 // bytes by name; DefaultWeightBytes for others
	MaxFetches     int              // at once, more are refused; DefaultMaxFetches when zero
}

// Defaults of the weight store stand-in.
const (
	DefaultWeightBytes = 1 << 30
	DefaultMaxFetches  = 1
)

// WeightFetch is one fetch that the store has seen.
type WeightFetch struct {
	Engine  string    `json:"engine"`
	Name    string    `json:"name"`
	At      time.Time `json:"at"`
	Refused bool      `json:"refused"`
}

// Weights is a small stand-in of the rate-limited weight store.
type Weights struct {
	cfg WeightsConfig

	mu      sync.Mutex
	active  int
	fetches []WeightFetch
}

// NewWeights returns a weight store.
func NewWeights(cfg WeightsConfig) *Weights {
	if cfg.MaxFetches == 0 {
		cfg.MaxFetches = DefaultMaxFetches
	}
	return &Weights{cfg: cfg}
}

// Handler serves GET /weights/{name}, whose answer comes when the fetch has
// ended, GET /rate and GET /records.
func (s *Weights) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/weights/{name}", func(w http.ResponseWriter, r *http.Request) {
		if !s.Fetch(r.Context(), r.Header.Get("X-Engine"), chi.URLParam(r, "name")) {
			w.Header().Set("Retry-After", "1")
			http.Error(w, "too many fetches", http.StatusTooManyRequests)
		}
	})
	r.Get("/rate", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, map[string]int64{"bytes_per_second": s.cfg.BytesPerSecond})
	})
	r.Get("/records", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, s.Fetches()) })
	return r
}

// Fetch takes the time that the weights need at the store's rate. It is false
// where too many fetches run already or ctx ends.
func (s *Weights) Fetch(ctx context.Context, engine, name string) bool {
	s.mu.Lock()
	refused := s.active >= s.cfg.MaxFetches
	s.fetches = append(s.fetches, WeightFetch{Engine: engine, Name: name, At: time.Now(), Refused: refused})
	if refused {
		s.mu.Unlock()
		return false
	}
	s.active++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.active--
		s.mu.Unlock()
	}()
	timer := time.NewTimer(s.span(name))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// span is the time of a fetch.
func (s *Weights) span(name string) time.Duration {
	if s.cfg.BytesPerSecond == 0 {
		return 0
	}
	size, ok := s.cfg.Sizes[name]
	if !ok {
		size = DefaultWeightBytes
	}
	return time.Duration(float64(size) / float64(s.cfg.BytesPerSecond) * float64(time.Second))
}

// Fetches returns the fetches in the order of their begin.
func (s *Weights) Fetches() []WeightFetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]WeightFetch(nil), s.fetches...)
}
