package nutmegstand

import (
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

// WithEvents wraps a stand-in's handler. It records each call as an event and
// serves the events at /v1/events in the same format as instances do.
func WithEvents(name string, kind nutmegtime.Kind, next http.Handler) http.Handler {
	ring := nutmegtime.NewRing(nutmegtime.RingConfig{Process: name, Clock: nutmegtime.NewClock(time.Now)})
	r := chi.NewRouter()
	r.Get("/v1/events", func(w http.ResponseWriter, r *http.Request) {
		writeJSON(w, ring.Events(nutmegtime.ParseFilter(r.URL.Query())))
	})
	r.Handle("/*", http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ring.Record(nutmegtime.Event{
			Kind:    kind,
			Request: nutmegid.RequestID(r.Header.Get("X-Request-Id")),
			Detail:  r.Method + " " + r.URL.Path,
		})
		next.ServeHTTP(w, r)
	}))
	return r
}
