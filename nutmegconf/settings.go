package nutmegconf

import (
	"errors"
	"fmt"
	"net"
	"net/url"
	"slices"
	"strings"
	"time"

	"github.com/BurntSushi/toml"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Duration is a time.Duration written as "250ms" or "2m".
type Duration time.Duration

// UnmarshalText implements encoding.TextUnmarshaler.
func (d *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return fmt.Errorf("duration %q has no unit or is not a number; write for example 250ms or 2m", text)
	}
	*d = Duration(parsed)
	return nil
}

// MarshalText implements encoding.TextMarshaler.
func (d Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(d).String()), nil
}

// Settings is what one entry instance reads at start.
type Settings struct {
	Instance InstanceSettings `toml:"instance"`
	Listen   ListenSettings   `toml:"listen"`
	Platform PlatformSettings `toml:"platform"`
	Peers    PeerSettings     `toml:"peers"`
	Budget   BudgetSettings   `toml:"budget"`
	Limits   LimitSettings    `toml:"limits"`
	Log      LogSettings      `toml:"log"`
}

// InstanceSettings name the instance and where it runs.
type InstanceSettings struct {
	Name          nutmegid.Instance      `toml:"name"`
	FailureDomain nutmegid.FailureDomain `toml:"failure_domain"`
	Fleet         string                 `toml:"fleet"`
	// BootstrapKeyHash is the SHA-256 of the operator key that works until the first operator is configured.
	BootstrapKeyHash string `toml:"bootstrap_key_hash"`
}

// ListenSettings are the addresses of the instance, "ip:port".
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// PlatformSettings locate the platform and the instance's share of its rates.
type PlatformSettings struct {
	URL             string   `toml:"url"`
	Timeout         Duration `toml:"timeout"`
	WritesPerSecond float64  `toml:"writes_per_second"`
	ReadsPerSecond  float64  `toml:"reads_per_second"`
}

// PeerSettings hold the fleet's secret and the first peers.
type PeerSettings struct {
	Key   string   `toml:"key"`
	Seeds []string `toml:"seeds"`
}

// BudgetSettings size leases.
type BudgetSettings struct {
	Shards         int             `toml:"shards"`
	Horizon        Duration        `toml:"horizon"`
	MinLease       nutmegid.Tokens `toml:"min_lease_tokens"`
	CommitInterval Duration        `toml:"commit_interval"`
}

// LimitSettings bound what callers may send.
type LimitSettings struct {
	MaxBodyBytes    int64    `toml:"max_body_bytes"`
	MaxHeaderBytes  int      `toml:"max_header_bytes"`
	MaxConnections  int      `toml:"max_connections"`
	ShutdownTimeout Duration `toml:"shutdown_timeout"`
	// KeepUnread is how long an answer goes on after its caller went away.
	KeepUnread Duration `toml:"keep_unread"`
	// UpstreamIdle is the silence after which a connection to an upstream is replaced.
	UpstreamIdle Duration `toml:"upstream_idle"`
}

// LogSettings choose the form of the logs.
type LogSettings struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// DefaultSettings returns the settings that a file starts from.
func DefaultSettings() Settings {
	return Settings{
		Budget: BudgetSettings{
			Shards: DefaultBudgetShards,
		},
		Limits: LimitSettings{
			MaxBodyBytes:    DefaultMaxBodyBytes,
			MaxHeaderBytes:  DefaultMaxHeaderBytes,
			MaxConnections:  DefaultMaxConnections,
			ShutdownTimeout: Duration(DefaultShutdownTimeout),
			KeepUnread:      Duration(DefaultKeepUnread),
			UpstreamIdle:    Duration(DefaultUpstreamIdle),
		},
		Log: LogSettings{Level: "info", Format: "text"},
	}
}

// Fault is one mistake in a settings file.
type Fault struct {
	File   string
	Line   int // 0 where the setting is missing
	Key    string
	Detail string
}

// String returns "file:line: key: detail".
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d: %s: %s", f.File, f.Line, f.Key, f.Detail)
}

// SettingsError lists all faults of a settings file.
type SettingsError struct {
	Faults []Fault
}

// Error lists the faults, a line each.
func (e *SettingsError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// LoadSettings reads and checks a settings file as a whole.
func LoadSettings(file string) (Settings, error) {
	settings := DefaultSettings()
	meta, err := toml.DecodeFile(file, &settings)
	if err != nil {
		return settings, &SettingsError{Faults: []Fault{decodeFault(file, err)}}
	}
	c := checker{file: file}
	for _, key := range meta.Undecoded() {
		c.fault(key.String(), "the key is unknown; see docs/operate/settings.md")
	}
	c.check(settings)
	if len(c.faults) > 0 {
		return settings, &SettingsError{Faults: c.faults}
	}
	return settings, nil
}

func decodeFault(file string, err error) Fault {
	fault := Fault{File: file, Detail: err.Error()}
	var parse toml.ParseError
	if errors.As(err, &parse) {
		fault.Line = parse.Position.Line
		fault.Key = parse.LastKey
		fault.Detail = parse.Message
	}
	return fault
}

type checker struct {
	file   string
	faults []Fault
}

func (c *checker) fault(key, format string, args ...any) {
	c.faults = append(c.faults, Fault{File: c.file, Key: key, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) check(s Settings) {
	c.required("instance.name", string(s.Instance.Name))
	c.required("instance.failure_domain", string(s.Instance.FailureDomain))
	c.required("instance.fleet", s.Instance.Fleet)
	c.required("peers.key", s.Peers.Key)
	c.addresses(s.Listen)
	c.platform(s.Platform)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
	if s.Budget.Shards < 1 || s.Budget.Shards > 4096 {
		c.fault("budget.shards", "%d is out of range; use 1 to 4096", s.Budget.Shards)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.fault(key, "the setting is missing; give a non-empty value")
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.fault(key, "%q is not allowed; use one of %s", value, strings.Join(allowed, ", "))
	}
}

func (c *checker) addresses(l ListenSettings) {
	seen := make(map[string]string)
	for _, a := range []struct{ key, value string }{
		{"listen.callers", l.Callers}, {"listen.operators", l.Operators}, {"listen.peers", l.Peers},
	} {
		if _, _, err := net.SplitHostPort(a.value); err != nil {
			c.fault(a.key, "%q is no address; write ip:port", a.value)
			continue
		}
		if first, ok := seen[a.value]; ok && !strings.HasSuffix(a.value, ":0") {
			c.fault(a.key, "%q is also %s; give each its own port", a.value, first)
		}
		seen[a.value] = a.key
	}
}

func (c *checker) platform(p PlatformSettings) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault("platform.url", "%q is no URL; write http://ip:port or https://ip:port", p.URL)
	}
}
