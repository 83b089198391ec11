// Package nutmegserve runs an HTTP server that stops gracefully.
//
// # Usage
//
//	s := nutmegserve.Start(listener, nutmegserve.Config{Handler: handler, Log: log})
//	err := s.Stop(ctx) // waits for running requests
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

// Config configures a server. Timeouts that are zero set no limit.
type Config struct {
	Handler        http.Handler
	HeaderTimeout  time.Duration // of reading a request's header
	IdleTimeout    time.Duration // of a connection without requests
	WriteTimeout   time.Duration // of one request, from its header on
	MaxHeaderBytes int           // http.DefaultMaxHeaderBytes when zero
	ConnState      func(net.Conn, http.ConnState)
	Log            *logrus.Entry // takes debug lines about single connections
}

// Server is one HTTP server with its done channel.
type Server struct {
	http *http.Server
	done chan struct{}
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
			ErrorLog:          log.New(debugLines{cfg.Log}, "", 0),
		},
		done: make(chan struct{}),
	}
	go s.run(l)
	return s
}

func (s *Server) run(l net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(l) // ends with the close of the listener
}

// Stop closes idle connections and waits for running requests; those that
// outlast ctx are cut.
func (s *Server) Stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return err
}

// Kill cuts all connections at once.
func (s *Server) Kill() {
	_ = s.http.Close()
	<-s.done
}

// debugLines turns an HTTP server's own messages into debug lines: they are
// about single connections, which the counters cover.
type debugLines struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (l debugLines) Write(line []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}
