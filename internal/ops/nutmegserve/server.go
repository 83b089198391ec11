// Package nutmegserve runs an HTTP server that stops gracefully. The context of a
// request ends when its caller leaves, also if the caller has sent further bytes after
// the request.
//
// # Usage
//
//	s := nutmegserve.Start(listener, nutmegserve.Config{Handler: handler, Log: log})
//	err := s.Stop(ctx) // waits for active requests
package nutmegserve

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// Config configures a server. A timeout of zero means no limit.
type Config struct {
	Handler        http.Handler
	HeaderTimeout  time.Duration // for reading the header of a request
	IdleTimeout    time.Duration // for a keep-alive connection between requests
	WriteTimeout   time.Duration // for one request, from the end of its header
	MaxHeaderBytes int           // http.DefaultMaxHeaderBytes when zero
	ConnState      func(net.Conn, http.ConnState)
	Limits         *Limits       // of all callers together; nil means none; not for TLS listeners
	Log            *logrus.Entry // receives net/http's messages at debug level
}

// Server is a running HTTP server.
type Server struct {
	http       *http.Server
	departures *departures
	done       chan struct{} // closed when the server no longer accepts connections
}

// Start serves on a listener until Stop or Kill.
func Start(l net.Listener, cfg Config) *Server {
	d := newDepartures()
	s := &Server{
		departures: d,
		http: &http.Server{
			Handler:           d.watch(cfg.Handler),
			ReadHeaderTimeout: cfg.HeaderTimeout,
			IdleTimeout:       cfg.IdleTimeout,
			WriteTimeout:      cfg.WriteTimeout,
			MaxHeaderBytes:    cfg.MaxHeaderBytes,
			ConnContext:       d.withConn,
			ConnState:         d.track,
			ErrorLog:          log.New(debugWriter{cfg.Log}, "", 0),
		},
		done: make(chan struct{}),
	}
	if cfg.ConnState != nil {
		s.http.ConnState = func(c net.Conn, state http.ConnState) {
			d.track(c, state)
			cfg.ConnState(c, state)
		}
	}
	l = Watch(l)
	if cfg.Limits != nil {
		l = limitListener(l, cfg.Limits)
	}
	go d.loop()
	go s.run(l)
	return s
}

func (s *Server) run(l net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(l) // returns when the listener is closed
}

// Stop stops accepting connections, closes idle ones and waits for active requests.
// When ctx ends it closes the connections that are still active.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	s.departures.close()
	return err
}

// Kill closes all connections immediately, without waiting for active requests.
func (s *Server) Kill() {
	_ = s.http.Close()
	<-s.done
	s.departures.close()
}

// debugWriter logs the messages of net/http at debug level: they concern single
// connections, which are already counted in the metrics.
type debugWriter struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (w debugWriter) Write(line []byte) (int, error) {
	w.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}
