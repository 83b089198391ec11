package nutmegstand

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"
)

// WeightStoreConfig configures the weight store stand-in.
type WeightStoreConfig struct {
	BytesPerSecond int64            // rate shared by all fetches; unlimited when zero
	Sizes          map[string]int64 // bytes by name; DefaultWeightBytes for names not listed
	MaxFetches     int              // concurrent fetches, further ones are refused; DefaultMaxFetches when zero
}

// Defaults of the weight store stand-in.
const (
	DefaultWeightBytes = 1 << 30
	DefaultMaxFetches  = 1
)

// WeightFetch records one fetch request to the store.
type WeightFetch struct {
	Engine  string    `json:"engine"`
	Name    string    `json:"name"`
	At      time.Time `json:"at"`
	Refused bool      `json:"refused"`
}

// WeightStore simulates the rate-limited store of model weights.
type WeightStore struct {
	cfg WeightStoreConfig

	mu      sync.Mutex
	active  int
	fetches []WeightFetch
}

// NewWeightStore returns a weight store.
func NewWeightStore(cfg WeightStoreConfig) *WeightStore {
	if cfg.MaxFetches == 0 {
		cfg.MaxFetches = DefaultMaxFetches
	}
	return &WeightStore{cfg: cfg}
}

// Handler returns the handler of GET /weights/{name}, which answers when the
// fetch has ended, of GET /rate and of GET /records.
func (s *WeightStore) Handler() http.Handler {
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

// Fetch blocks for the time that the transfer takes at the store's rate. It
// returns false if too many fetches are already running or ctx ends.
func (s *WeightStore) Fetch(ctx context.Context, engine, name string) bool {
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
	timer := time.NewTimer(s.fetchTime(name))
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// fetchTime returns how long a fetch takes.
func (s *WeightStore) fetchTime(name string) time.Duration {
	if s.cfg.BytesPerSecond == 0 {
		return 0
	}
	size, ok := s.cfg.Sizes[name]
	if !ok {
		size = DefaultWeightBytes
	}
	return time.Duration(float64(size) / float64(s.cfg.BytesPerSecond) * float64(time.Second))
}

// Fetches returns all fetches in the order in which they began.
func (s *WeightStore) Fetches() []WeightFetch {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]WeightFetch(nil), s.fetches...)
}
