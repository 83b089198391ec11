package nutmegnode

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// connLimit counts a server's open connections and refuses requests on those
// over the limit.
type connLimit struct {
	limit int64
	open  atomic.Int64
	gauge metrics.Gauge
}

func newConnLimit(limit int, gauge metrics.Gauge) *connLimit {
	return &connLimit{limit: int64(limit), gauge: gauge}
}

// state is the server's ConnState hook.
func (c *connLimit) state(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.gauge.Update(c.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		c.gauge.Update(c.open.Add(-1))
	case http.StateActive, http.StateIdle:
	}
}

// refuse answers requests while too many connections are open, and closes
// their connections.
func (c *connLimit) refuse(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c.open.Load() <= c.limit {
			next.ServeHTTP(w, r)
			return
		}
		w.Header().Set("Connection", "close")
		writeError(w, refusal(http.StatusServiceUnavailable, "too_many_connections",
			fmt.Sprintf("the instance has %d connections open; use fewer, or another instance", c.limit)))
	})
}

// slowWriter gives each write a deadline, so that a caller that does not read
// does not hold its connection for ever.
type slowWriter struct {
	http.ResponseWriter
	control *http.ResponseController
	timeout time.Duration
}

// Write implements http.ResponseWriter.
func (w *slowWriter) Write(b []byte) (int, error) {
	if err := w.control.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap serves http.ResponseController.
func (w *slowWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// limitWrites puts a slowWriter before every answer.
func limitWrites(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&slowWriter{ResponseWriter: w, control: http.NewResponseController(w), timeout: timeout}, r)
	})
}
