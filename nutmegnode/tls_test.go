package nutmegnode

import (
	"crypto/tls"
	"crypto/x509"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// startTLS starts an instance that uses TLS on all its listeners.
func startTLS(t *testing.T, a *authority, platform string, name nutmegid.Instance, seeds []string) *Node {
	t.Helper()
	s := nutmegconf.DefaultSettings()
	s.Instance = nutmegconf.InstanceSettings{Name: name, FailureDomain: "ipoh", Fleet: "fleet"}
	s.Listen = nutmegconf.ListenSettings{Callers: "127.0.0.1:0", Operators: "127.0.0.1:0", Peers: "127.0.0.1:0"}
	s.Platform.URL = platform
	s.Peers.Key, s.Peers.Seeds = "a-key-of-this-fleet", seeds
	s.Limits.DrainDelay = 0
	public := a.issue(string(name)+"-public", 1)
	public.CA = ""
	s.TLS = nutmegconf.TLSSettings{Callers: public, Operators: public, Peers: a.issue(string(name)+"-peer", 2)}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n, err := New(Config{Settings: s, Log: log})
	if err != nil {
		t.Fatal(err)
	}
	if err := n.Start(); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = n.Stop(t.Context()) })
	return n
}

func countLivePeers(n *Node) int {
	alive := 0
	for _, m := range n.peers.Members() {
		if m.State == nutmegpeer.StateAlive {
			alive++
		}
	}
	return alive
}

func TestInstancesSpeakTLSToCallersAndPeers(t *testing.T) {
	a := newAuthority(t)
	platform := httptest.NewServer(nutmegstand.NewPlatform(nutmegstand.PlatformConfig{}).Handler())
	t.Cleanup(platform.Close)
	first := startTLS(t, a, platform.URL, "kaca-1", nil)
	second := startTLS(t, a, platform.URL, "kaca-2", []string{first.Addresses().Peers})
	stranger := startTLS(t, newAuthority(t), platform.URL, "stranger", []string{first.Addresses().Peers})

	deadline := time.Now().Add(time.Minute)
	for (countLivePeers(first) == 0 || countLivePeers(second) == 0) && time.Now().Before(deadline) {
		time.Sleep(10 * time.Millisecond)
	}
	got := []int{countLivePeers(first), countLivePeers(second), countLivePeers(stranger)}
	if diff := cmp.Diff([]int{1, 1, 0}, got); diff != "" {
		t.Errorf("live peers of the first instance, the second and one with a foreign CA (-want +got):\n%s", diff)
	}
	pem, err := os.ReadFile(a.file("ca.pem"))
	if err != nil {
		t.Fatal(err)
	}
	roots := x509.NewCertPool()
	roots.AppendCertsFromPEM(pem)
	client := &http.Client{Transport: &http.Transport{TLSClientConfig: &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}}}
	defer client.CloseIdleConnections()
	for _, address := range []string{first.Addresses().Callers, first.Addresses().Operators} {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "https://"+address+"/healthz", nil)
		if err != nil {
			t.Fatal(err)
		}
		resp, err := client.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		_ = resp.Body.Close()
		if diff := cmp.Diff(http.StatusOK, resp.StatusCode); diff != "" {
			t.Errorf("status over TLS (-want +got):\n%s", diff)
		}
	}
}
