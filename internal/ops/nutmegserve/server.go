// Package nutmegserve runs an HTTP server that stops gracefully.
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
	Log            *logrus.Entry // receives net/http's messages at debug level
}

// Server is a running HTTP server.
type Server struct {
	http *http.Server
	done chan struct{} // closed when the server no longer accepts connections
}

// Start serves on a listener until Stop or Kill.
func Start(l net.Listener, cfg Config) *Server {
	s := &Server{
		http: &http.Server{
			Handler:           cfg.Handler,
			ReadHeaderTimeout: cfg.HeaderTimeout,
			IdleTimeout:       cfg.IdleTimeout,
			WriteTimeout:      cfg.WriteTimeout,
			MaxHeaderBytes:    cfg.MaxHeaderBytes,
			ConnState:         cfg.ConnState,
			ErrorLog:          log.New(debugWriter{cfg.Log}, "", 0),
		},
		done: make(chan struct{}),
	}
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
	return err
}

// Kill closes all connections immediately, without waiting for active requests.
func (s *Server) Kill() {
	_ = s.http.Close()
	<-s.done
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
