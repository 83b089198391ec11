package nutmegnode

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// authority is a CA that issues certificates for tests.
type authority struct {
	t    *testing.T
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newAuthority(t *testing.T) *authority {
	t.Helper()
	a := &authority{t: t, dir: t.TempDir()}
	a.key = newKey(t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "test CA"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &a.key.PublicKey, a.key)
	if err != nil {
		t.Fatal(err)
	}
	if a.cert, err = x509.ParseCertificate(der); err != nil {
		t.Fatal(err)
	}
	writePEM(t, a.file("ca.pem"), "CERTIFICATE", der)
	return a
}

func newKey(t *testing.T) *ecdsa.PrivateKey {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	return key
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	t.Helper()
	if err := os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600); err != nil {
		t.Fatal(err)
	}
}

func (a *authority) file(name string) string {
	return filepath.Join(a.dir, name)
}

// issue writes a certificate with the given serial number and its key, and returns
// the settings that name the files.
func (a *authority) issue(name string, serial int64) nutmegconf.CertificateSettings {
	a.t.Helper()
	key := newKey(a.t)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: name}, IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.cert, &key.PublicKey, a.key)
	if err != nil {
		a.t.Fatal(err)
	}
	keyDER, err := x509.MarshalECPrivateKey(key)
	if err != nil {
		a.t.Fatal(err)
	}
	s := nutmegconf.CertificateSettings{Cert: a.file(name + ".pem"), Key: a.file(name + ".key"), CA: a.file("ca.pem")}
	writePEM(a.t, s.Cert, "CERTIFICATE", der)
	writePEM(a.t, s.Key, "EC PRIVATE KEY", keyDER)
	return s
}

// handshake connects over loopback and returns the serial number of the server's
// certificate. The client reads one byte, because a TLS 1.3 server rejects a client
// certificate only after the client's handshake has completed.
func handshake(t *testing.T, server, client *certificates) (int64, error) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = l.Close() }()
	go sendByte(tls.NewListener(l, server.serverConfig()))
	dialer := tls.Dialer{Config: client.clientConfig()}
	conn, err := dialer.DialContext(t.Context(), "tcp", l.Addr().String())
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// sendByte sends one byte on the first connection.
func sendByte(l net.Listener) {
	conn, err := l.Accept()
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_, _ = conn.Write([]byte{1})
}

func loadCertificates(t *testing.T, s nutmegconf.CertificateSettings) *certificates {
	t.Helper()
	c, err := newCertificates(s, func(err error) { t.Logf("reload: %v", err) })
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestReplacedCertificateIsUsedWithoutRestart(t *testing.T) {
	a := newAuthority(t)
	settings := a.issue("server", 7)
	server, client := loadCertificates(t, settings), loadCertificates(t, a.issue("client", 8))
	first, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	a.issue("server", 9)
	later := time.Now().Add(time.Minute)
	for _, file := range []string{settings.Cert, settings.Key} {
		if err := os.Chtimes(file, later, later); err != nil {
			t.Fatal(err)
		}
	}
	server.checkedAt = time.Time{} // makes the next handshake check the files
	second, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff([]int64{7, 9}, []int64{first, second}); diff != "" {
		t.Errorf("serial numbers (-want +got):\n%s", diff)
	}
}

func TestDamagedCertificateLeavesThePresentOneInUse(t *testing.T) {
	a := newAuthority(t)
	settings := a.issue("server", 7)
	server, client := loadCertificates(t, settings), loadCertificates(t, a.issue("client", 8))
	if err := os.WriteFile(settings.Cert, []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	server.checkedAt, server.modifiedAt = time.Time{}, time.Time{}
	serial, err := handshake(t, server, client)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(int64(7), serial); diff != "" {
		t.Errorf("serial number (-want +got):\n%s", diff)
	}
}

func TestForeignPeerIsRefused(t *testing.T) {
	ours, foreign := newAuthority(t), newAuthority(t)
	server, client := loadCertificates(t, ours.issue("server", 7)), loadCertificates(t, foreign.issue("client", 8))
	if _, err := handshake(t, server, client); err == nil {
		t.Error("peer with a certificate from a foreign CA was accepted")
	}
}
