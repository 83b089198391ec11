package nutmegentry

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"

	"github.com/sirupsen/logrus"
)

// server is one HTTP server with its done channel.
type server struct {
	http *http.Server
	done chan struct{}
}

func serve(l net.Listener, h http.Handler, entry *logrus.Entry) *server {
	s := &server{
		http: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       callerIdle,
			WriteTimeout:      writeTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			ErrorLog:          log.New(serverLog{entry}, "", 0),
		},
		done: make(chan struct{}),
	}
	go s.run(l)
	return s
}

func (s *server) run(l net.Listener) {
	defer close(s.done)
	_ = s.http.Serve(l)
}

// stop closes idle connections and waits for running requests; those that
// outlast ctx are cut.
func (s *server) stop(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	if err != nil {
		_ = s.http.Close()
	}
	<-s.done
	return err
}

// kill cuts all connections at once.
func (s *server) kill() {
	_ = s.http.Close()
	<-s.done
}

// serverLog turns an HTTP server's own messages about single connections into
// debug lines.
type serverLog struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}
