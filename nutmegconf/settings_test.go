package nutmegconf

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const goodSettings = `[instance]
name = "kaca-1"
failure_domain = "ipoh"
fleet = "kaca_amanah"

[listen]
callers = "127.0.0.1:8180"
operators = "127.0.0.1:8181"
peers = "127.0.0.1:8182"

[platform]
url = "http://127.0.0.1:7000"

[peers]
key = "sixteen-characters"
seeds = ["127.0.0.1:8282"]
`

func faultLines(t *testing.T, text string) []string {
	t.Helper()
	_, err := ParseSettings("f.toml", []byte(text))
	var settings *SettingsError
	if err != nil && !errors.As(err, &settings) {
		t.Fatalf("error is %T; want *SettingsError", err)
	}
	if settings == nil {
		return nil
	}
	lines := make([]string, 0, len(settings.Faults))
	for _, f := range settings.Faults {
		lines = append(lines, f.String())
	}
	return lines
}

func TestGoodSettingsHaveNoFaults(t *testing.T) {
	if diff := cmp.Diff([]string(nil), faultLines(t, goodSettings)); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

func TestAllFaultsAreReportedAtOnce(t *testing.T) {
	text := `[instance]
name = "kaca-1"
fleet = "kaca_amanah"
colour = "blue"
bootstrap_key_hash = "abc"

[listen]
callers = "0.0.0.0:8180"
operators = "127.0.0.1:8180"
peers = "ipoh:8182"

[platform]
url = "127.0.0.1:7000"
timeout = "2"
writes_per_second = "many"

[peers]
key = "short"
seeds = ["127.0.0.1:1", "127.0.0.1:1"]

[budget]
horizon = "10ms"

[tls.peers]
cert = "missing.pem"

[log]
format = "xml"
`
	want := []string{
		`f.toml:0: instance.failure_domain: the setting is missing; give a non-empty value`,
		`f.toml:0: tls.peers.key: the setting is missing; name a PEM file, or leave out all of tls.peers`,
		`f.toml:0: tls.peers.ca: the setting is missing; name a PEM file, or leave out all of tls.peers`,
		`f.toml:4: instance.colour: the key is unknown; see docs/operate/settings.md`,
		`f.toml:5: instance.bootstrap_key_hash: "abc" is no SHA-256; write 64 hexadecimal digits`,
		`f.toml:9: listen.operators: "127.0.0.1:8180" overlaps listen.callers; give each its own port`,
		`f.toml:10: listen.peers: "ipoh:8182" is no address; write ip:port`,
		`f.toml:13: platform.url: "127.0.0.1:7000" is no URL; write http://ip:port or https://ip:port`,
		`f.toml:14: platform.timeout: duration "2" has no unit or is not a number; write for example 250ms or 2m`,
		`f.toml:15: platform.writes_per_second: cannot decode TOML string into struct field nutmegconf.PlatformSettings.WritesPerSecond of type float64`,
		`f.toml:18: peers.key: the key has 5 characters; give all instances the same key of at least 16`,
		`f.toml:19: peers.seeds: "127.0.0.1:1" stands twice; name each peer once`,
		`f.toml:22: budget.horizon: 10ms is below budget.commit_interval 1s; a lease would run dry between two commits`,
		`f.toml:25: tls.peers.cert: file "missing.pem" is unreadable; name an existing PEM file`,
		`f.toml:28: log.format: "xml" is not allowed; use one of text, json`,
	}
	if diff := cmp.Diff(want, faultLines(t, text)); diff != "" {
		t.Errorf("faults (-want +got):\n%s", diff)
	}
}

func TestMalformedFileGivesItsLine(t *testing.T) {
	faults := faultLines(t, "[instance]\nname = \n")
	if len(faults) != 1 || faults[0][:len("f.toml:2: toml:")] != "f.toml:2: toml:" {
		t.Errorf("faults are %q; want one of line 2", faults)
	}
}

func TestMissingFileIsNamed(t *testing.T) {
	_, err := LoadSettings(filepath.Join(t.TempDir(), "none.toml"))
	if !errors.Is(err, os.ErrNotExist) {
		t.Errorf("error is %v; want one that wraps os.ErrNotExist", err)
	}
}

func TestExamplesHaveNoFaults(t *testing.T) {
	files, err := filepath.Glob("../examples/*/instance-*.toml")
	if err != nil || len(files) == 0 {
		t.Fatalf("no examples found: %v", err)
	}
	for _, file := range files {
		if _, err := LoadSettings(file); err != nil {
			t.Errorf("%v", err)
		}
	}
}
