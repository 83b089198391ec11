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

// certificates holds the loaded PEM files for one kind of connection and reloads
// them when a file changes.
type certificates struct {
	settings nutmegconf.CertificateSettings
	onError  func(error)

	mu         sync.Mutex
	checkedAt  time.Time
	modifiedAt time.Time // latest modification time of the loaded files
	keyPair    *tls.Certificate
	roots      *x509.CertPool
}

// newCertificates loads the files. It fails if a file cannot be read or the
// certificate does not match the key.
func newCertificates(s nutmegconf.CertificateSettings, onError func(error)) (*certificates, error) {
	c := &certificates{settings: s, onError: onError}
	modified, err := c.lastModified()
	if err != nil {
		return nil, err
	}
	return c, c.load(modified)
}

func (c *certificates) files() []string {
	files := []string{c.settings.Cert, c.settings.Key}
	if c.settings.CA != "" {
		files = append(files, c.settings.CA)
	}
	return files
}

func (c *certificates) lastModified() (time.Time, error) {
	var latest time.Time
	for _, name := range c.files() {
		info, err := os.Stat(name)
		if err != nil {
			return latest, fmt.Errorf("reading certificate file %q: %w", name, err)
		}
		if info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest, nil
}

func (c *certificates) load(modified time.Time) error {
	pair, err := tls.LoadX509KeyPair(c.settings.Cert, c.settings.Key)
	if err != nil {
		return fmt.Errorf("loading certificate %q with key %q: %w", c.settings.Cert, c.settings.Key, err)
	}
	roots, err := c.loadRoots()
	if err != nil {
		return err
	}
	c.keyPair, c.roots, c.modifiedAt = &pair, roots, modified
	return nil
}

func (c *certificates) loadRoots() (*x509.CertPool, error) {
	if c.settings.CA == "" {
		return nil, nil
	}
	pem, err := os.ReadFile(c.settings.CA)
	if err != nil {
		return nil, fmt.Errorf("reading CA file %q: %w", c.settings.CA, err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, fmt.Errorf("CA file %q contains no PEM certificate", c.settings.CA)
	}
	return roots, nil
}

// current returns the loaded certificate and roots after reloading changed files.
// If a reload fails, the loaded ones stay in use.
func (c *certificates) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) < certificateCheckInterval {
		return c.keyPair, c.roots
	}
	c.checkedAt = time.Now()
	modified, err := c.lastModified()
	if err == nil && !modified.Equal(c.modifiedAt) {
		err = c.load(modified)
	}
	if err != nil {
		c.onError(err)
	}
	return c.keyPair, c.roots
}

// serverConfig returns the TLS configuration of a listener. If a CA is set,
// clients must present a certificate signed by it.
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

// clientConfig returns the TLS configuration of a connection to a peer. Peers are
// dialed by address, so it verifies the certificate chain but not the name.
func (c *certificates) clientConfig() *tls.Config {
	pair, roots := c.current()
	return &tls.Config{
		MinVersion:            tls.VersionTLS12,
		Certificates:          []tls.Certificate{*pair},
		InsecureSkipVerify:    true,
		VerifyPeerCertificate: func(raw [][]byte, _ [][]*x509.Certificate) error { return verifyChain(raw, roots) },
	}
}

var errNoPeerCertificate = errors.New("peer presented no certificate; set tls.peers on every instance")

// verifyChain checks that the first certificate chains up to one of the roots.
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

// listenTLS wraps a listener with TLS if the settings enable it.
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
