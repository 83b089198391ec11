package nutmegnode

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// certificates keeps the PEM files of one kind of connection loaded, and loads
// them again when a file has changed.
type certificates struct {
	settings nutmegconf.CertificateSettings
	onError  func(error)

	mu        sync.Mutex
	checkedAt time.Time
	changedAt time.Time // latest change of the loaded files
	pair      *tls.Certificate
	roots     *x509.CertPool
}

// newCertificates loads the files; it fails when they do not fit together.
func newCertificates(s nutmegconf.CertificateSettings, onError func(error)) (*certificates, error) {
	c := &certificates{settings: s, onError: onError}
	changed, err := c.latestChange()
	if err != nil {
		return nil, err
	}
	return c, c.load(changed)
}

func (c *certificates) files() []string {
	files := []string{c.settings.Cert, c.settings.Key}
	if c.settings.CA != "" {
		files = append(files, c.settings.CA)
	}
	return files
}

func (c *certificates) latestChange() (time.Time, error) {
	var latest time.Time
	for _, name := range c.files() {
		info, err := os.Stat(name)
		if err != nil {
			return latest, fmt.Errorf("certificate file %q is unreadable; restore it: %w", name, err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (c *certificates) load(changed time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.settings.Cert, c.settings.Key)
	if err != nil {
		return fmt.Errorf("certificate %q and key %q do not fit together; replace both: %w", c.settings.Cert, c.settings.Key, err)
	}
	roots, err := c.loadRoots()
	if err != nil {
		return err
	}
	c.pair, c.roots, c.changedAt = &pair, roots, changed
	return nil
}

func (c *certificates) loadRoots() (*x509.CertPool, error) {
	if c.settings.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.settings.CA)
	if err != nil {
		return nil, fmt.Errorf("CA file %q is unreadable; restore it: %w", c.settings.CA, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %q holds no certificate; write PEM", c.settings.CA)
	}
	return roots, nil
}

// current returns the loaded files, after loading changed ones. Files that do
// not load leave the present ones in use.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) < certificateCheckInterval {
		return c.pair, c.roots
	}
	c.checkedAt = time.Now()
	changed, err := c.latestChange()
	if err == nil && !changed.Equal(c.changedAt) {
		err = c.load(changed)
	}
	if err != nil {
		c.onError(err)
	}
	return c.pair, c.roots
}

// serverConfig returns the TLS configuration of a listener. With a CA, the
// other side must show a certificate signed by it.
func (c *certificates) serverConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, roots := c.current()
			cfg := &tls.Config{
				MinVersion:   tls.VersionTLS12,
				Certificates: []tls.Certificate{*pair},
				NextProtos:   []string{"h2", "http/1.1"},
			}
			if roots != nil {
				cfg.ClientAuth = tls.RequireAndVerifyClientCert
				cfg.ClientCAs = roots
			}
			return cfg, nil
		},
	}
}

// clientConfig returns the TLS configuration of a connection to a peer. Peers
// are dialled by address, so the chain is checked and the name is not.
func (c *certificates) clientConfig() *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:            tls.VersionTLS12,
		Certificates:          []tls.Certificate{*pair},
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error { return verifyChain(raw, roots) },
	}
}

var errNoPeerCertificate = errors.New("peer showed no certificate; set tls.peers on every instance")

// verifyChain checks that the first certificate is signed by one of the roots.
func verifyChain(raw [][]byte, roots *x509.CertPool) error {
	if len(raw) == 0 {
		return errNoPeerCertificate
	}
	leaf, err := x509.ParseCertificate(raw[0])
	if err != nil {
		return err
	}
	intermediates := x509.NewCertPool()
	for _, der := range raw[1:] {
		if cert, err := x509.ParseCertificate(der); err == nil {
			intermediates.AddCert(cert)
		}
	}
	_, err = leaf.Verify(x509.VerifyOptions{Roots: roots, Intermediates: intermediates})
	return err
}

// listenTLS wraps a listener where TLS is on.
func listenTLS(l net.Listener, s nutmegconf.CertificateSettings, onError func(error)) (net.Listener, error) {
	if !s.Enabled() {
		return l, nil
	}
	c, err := newCertificates(s, onError)
	if err != nil {
		return nil, err
	}
	return tls.NewListener(l, c.serverConfig()), nil
}
