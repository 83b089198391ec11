package nutmegentry

import (
	"net/http"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegexport"
)

// readinessHandler reports whether the instance accepts new callers.
func (e *Entry) readinessHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/*", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.WriteHeader(http.StatusOK)
	})
	return r
}

func (e *Entry) metricsHandler() http.Handler {
	r := chi.NewRouter()
	r.Method(http.MethodGet, "/metrics", nutmegexport.Handler(e.metrics))
	return r
}
