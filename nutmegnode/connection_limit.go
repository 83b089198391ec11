package nutmegnode

import (
	"fmt"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
)

// connectionLimit counts a server's open connections and refuses requests while
// there are more than the limit.
type connectionLimit struct {
	limit int64
	open  atomic.Int64
	gauge metrics.Gauge
}

func newConnectionLimit(limit int, gauge metrics.Gauge) *connectionLimit {
	return &connectionLimit{limit: int64(limit), gauge: gauge}
}

// trackState is the server's ConnState hook.
func (c *connectionLimit) trackState(_ net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.gauge.Update(c.open.Add(1))
	case http.StateClosed, http.StateHijacked:
		c.gauge.Update(c.open.Add(-1))
	case http.StateActive, http.StateIdle:
	}
}

// enforce refuses requests while too many connections are open and closes the
// connections that they came on.
func (c *connectionLimit) enforce(next http.Handler) http.Handler {
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

// deadlineWriter sets a deadline for each write, so that a caller that does not
// read cannot hold its connection forever.
type deadlineWriter struct {
	http.ResponseWriter
	controller *http.ResponseController
	timeout    time.Duration
}

// Write implements http.ResponseWriter.
func (w *deadlineWriter) Write(b []byte) (int, error) {
	if err := w.controller.SetWriteDeadline(time.Now().Add(w.timeout)); err != nil {
		return 0, err
	}
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the underlying writer for http.ResponseController.
func (w *deadlineWriter) Unwrap() http.ResponseWriter {
	return w.ResponseWriter
}

// withWriteDeadlines wraps every ResponseWriter in a deadlineWriter.
func withWriteDeadlines(timeout time.Duration, next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&deadlineWriter{ResponseWriter: w, controller: http.NewResponseController(w), timeout: timeout}, r)
	})
}
