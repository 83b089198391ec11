package nutmegnode

import (
	"net"
	"net/http"
	"time"

	"github.com/rcrowley/go-metrics"

	"github.com/nutmegwind/nutmegwind/internal/ops/nutmegserve"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// serve starts an HTTP server with the limits from the settings.
func (n *Node) serve(name string, l net.Listener, h http.Handler) *nutmegserve.Server {
	limits := n.cfg.Settings.Limits
	conns := newConnectionLimit(limits.MaxConnections, metrics.GetOrRegisterGauge("connections_"+name, n.metrics))
	return nutmegserve.Start(l, nutmegserve.Config{
		Handler:        conns.enforce(withWriteDeadlines(time.Duration(limits.WriteTimeout), h)),
		HeaderTimeout:  time.Duration(limits.HeaderTimeout),
		IdleTimeout:    time.Duration(limits.IdleTimeout),
		MaxHeaderBytes: limits.MaxHeaderBytes,
		ConnState:      conns.trackState,
		Log:            n.log,
	})
}

// listen opens a TCP listener, with TLS if the settings enable it.
func (n *Node) listen(address string, c nutmegconf.CertificateSettings) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	wrapped, err := listenTLS(nutmegserve.Watch(l), c, n.certificateFailed)
	if err != nil {
		_ = l.Close()
	}
	return wrapped, err
}

func (n *Node) certificateFailed(err error) {
	n.count("certificate_reload_failures")
	n.log.WithError(err).Warn("reloading certificate failed; keeping the loaded one")
}
