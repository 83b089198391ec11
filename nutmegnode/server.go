package nutmegnode

import (
	"bytes"
	"context"
	"log"
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// server is one HTTP server with its done channel.
type server struct {
	http *http.Server
	done chan struct{}
}

// serve starts a server with the limits of the settings.
func (n *Node) serve(name string, l net.Listener, h http.Handler) *server {
	limits := n.cfg.Settings.Limits
	conns := newConnLimit(limits.MaxConnections, metrics.GetOrRegisterGauge("connections_"+name, n.metrics))
	s := &server{
		http: &http.Server{
			Handler:           conns.refuse(limitWrites(time.Duration(limits.WriteTimeout), h)),
			ReadHeaderTimeout: time.Duration(limits.HeaderTimeout),
			IdleTimeout:       time.Duration(limits.IdleTimeout),
			MaxHeaderBytes:    limits.MaxHeaderBytes,
			ConnState:         conns.state,
			ErrorLog:          log.New(serverLog{n.log}, "", 0),
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

// stop waits for running requests; those that outlast ctx are cut.
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

// serverLog turns an HTTP server's own messages into debug lines: they are
// about single connections, which the counters cover.
type serverLog struct {
	log *logrus.Entry
}

// Write implements io.Writer.
func (l serverLog) Write(line []byte) (int, error) {
	l.log.Debug(string(bytes.TrimSpace(line)))
	return len(line), nil
}

// listen opens a listener, with TLS where the settings turn it on.
func (n *Node) listen(address string, c nutmegconf.CertificateSettings) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped, err := listenTLS(l, c, n.certificateFailed)
	if err != nil {
		_ = l.Close()
	}
	return wrapped, err
}

func (n *Node) certificateFailed(err error) {
	n.count("certificate_reload_failures")
	n.log.WithError(err).Warn("certificate was not reloaded; the present one stays in use")
}
