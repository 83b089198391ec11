package nutmegconf

import (
	"fmt"
	"time"

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
	return []byte(d.String()), nil
}

// String returns the duration in the format of the settings file.
func (d Duration) String() string {
	return time.Duration(d).String()
}

func (d Duration) seconds() float64 {
	return time.Duration(d).Seconds()
}

// Settings holds the settings that one entry instance reads at startup.
type Settings struct {
	Instance InstanceSettings `toml:"instance"`
	Listen   ListenSettings   `toml:"listen"`
	TLS      TLSSettings      `toml:"tls"`
	Platform PlatformSettings `toml:"platform"`
	Peers    PeerSettings     `toml:"peers"`
	Budget   BudgetSettings   `toml:"budget"`
	Limits   LimitSettings    `toml:"limits"`
	Log      LogSettings      `toml:"log"`
}

// InstanceSettings identify the instance and its failure domain.
type InstanceSettings struct {
	Name          nutmegid.Instance      `toml:"name"`
	FailureDomain nutmegid.FailureDomain `toml:"failure_domain"`
	Fleet         string                 `toml:"fleet"`
	// BootstrapKeyHash is the SHA-256 of the operator key that is valid until the first operator is configured.
	BootstrapKeyHash string `toml:"bootstrap_key_hash"`
}

// ListenSettings are the listen addresses of the instance, as "ip:port".
type ListenSettings struct {
	Callers   string `toml:"callers"`
	Operators string `toml:"operators"`
	Peers     string `toml:"peers"`
}

// TLSSettings enable TLS per kind of connection. The files are reloaded when they
// change.
type TLSSettings struct {
	Callers   CertificateSettings `toml:"callers"`
	Operators CertificateSettings `toml:"operators"`
	Peers     CertificateSettings `toml:"peers"`
}

// CertificateSettings name PEM files. If CA is set, the other side's certificate
// must be signed by it; peers require it.
type CertificateSettings struct {
	Cert string `toml:"cert"`
	Key  string `toml:"key"`
	CA   string `toml:"ca"`
}

// Enabled reports whether TLS is enabled.
func (c CertificateSettings) Enabled() bool {
	return c.Cert != ""
}

// PlatformSettings hold the platform's URL and the instance's share of its rate
// limits.
type PlatformSettings struct {
	URL             string   `toml:"url"`
	Timeout         Duration `toml:"timeout"`
	WritesPerSecond float64  `toml:"writes_per_second"`
	ReadsPerSecond  float64  `toml:"reads_per_second"`
	// WeightBytesPerSecond is the fleet-wide rate limit of the weight store; 1 GiB/s when zero.
	WeightBytesPerSecond int64 `toml:"weight_bytes_per_second"`
}

// PeerSettings hold the key that the fleet shares and the seed peers.
type PeerSettings struct {
	Key   string   `toml:"key"`
	Seeds []string `toml:"seeds"`
	// DeadAfter is how long a peer may be suspected before it is declared dead and its ledger lines are adopted.
	DeadAfter Duration `toml:"dead_after"`
}

// BudgetSettings control the size and the safety of leases.
type BudgetSettings struct {
	Shards         int             `toml:"shards"`
	Horizon        Duration        `toml:"horizon"`
	MinLease       nutmegid.Tokens `toml:"min_lease_tokens"`
	CommitInterval Duration        `toml:"commit_interval"`
	// Share allows instances to transfer tokens to each other.
	Share bool `toml:"share"`
	// Slice is the span of spend that witnesses acknowledge in advance; with 0, leases have no witnesses.
	Slice Duration `toml:"slice"`
	// Witnesses is how many instances in other failure domains witness a lease.
	Witnesses int `toml:"witnesses"`
	// Owners holds overrides for the budgets of an owner and of its workspaces.
	Owners map[nutmegid.Owner]OwnerBudgetSettings `toml:"owners"`
}

// OwnerBudgetSettings are one owner's trade-off between overspend and false
// refusals. A field that is not set defaults to the one in BudgetSettings.
type OwnerBudgetSettings struct {
	Horizon  *Duration        `toml:"horizon"`
	MinLease *nutmegid.Tokens `toml:"min_lease_tokens"`
	Share    *bool            `toml:"share"`
	Slice    *Duration        `toml:"slice"`
}

// LimitSettings limit what callers may send and how long they may take.
type LimitSettings struct {
	MaxBodyBytes   int64    `toml:"max_body_bytes"`
	MaxHeaderBytes int      `toml:"max_header_bytes"`
	MaxConnections int      `toml:"max_connections"`
	HeaderTimeout  Duration `toml:"header_timeout"`
	BodyTimeout    Duration `toml:"body_timeout"`
	WriteTimeout   Duration `toml:"write_timeout"`
	IdleTimeout    Duration `toml:"idle_timeout"`
	// DrainDelay is how long a stopping instance answers new requests with a refusal
	// before it closes its listeners, so that the load balancer sees /readyz fail.
	DrainDelay      Duration `toml:"drain_delay"`
	ShutdownTimeout Duration `toml:"shutdown_timeout"`
	// KeepUnread is how long an answer continues after its caller disconnected.
	KeepUnread Duration `toml:"keep_unread"`
	// UpstreamIdle is how long a connection to an upstream may be idle before it is replaced.
	UpstreamIdle Duration `toml:"upstream_idle"`
	// FinishTimeout is the timeout for returning leases and writing the ledger after the last request.
	FinishTimeout Duration `toml:"finish_timeout"`
}

// LogSettings hold the level and the format of the log.
type LogSettings struct {
	Level  string `toml:"level"`
	Format string `toml:"format"`
}

// DefaultSettings returns the settings that a settings file overrides.
func DefaultSettings() Settings {
	return Settings{
		Platform: PlatformSettings{
			Timeout:         Duration(DefaultPlatformTimeout),
			WritesPerSecond: DefaultWritesPerSecond,
			ReadsPerSecond:  DefaultReadsPerSecond,
		},
		Peers: PeerSettings{DeadAfter: Duration(DefaultDeadAfter)},
		Budget: BudgetSettings{
			Shards:         DefaultBudgetShards,
			Horizon:        Duration(DefaultHorizon),
			MinLease:       DefaultMinLeaseTokens,
			CommitInterval: Duration(DefaultCommitInterval),
			Share:          true,
			Slice:          Duration(DefaultSlice),
			Witnesses:      DefaultWitnesses,
		},
		Limits: LimitSettings{
			MaxBodyBytes:    DefaultMaxBodyBytes,
			MaxHeaderBytes:  DefaultMaxHeaderBytes,
			MaxConnections:  DefaultMaxConnections,
			HeaderTimeout:   Duration(DefaultHeaderTimeout),
			BodyTimeout:     Duration(DefaultBodyTimeout),
			WriteTimeout:    Duration(DefaultWriteTimeout),
			IdleTimeout:     Duration(DefaultIdleTimeout),
			DrainDelay:      Duration(DefaultDrainDelay),
			ShutdownTimeout: Duration(DefaultShutdownTimeout),
			KeepUnread:      Duration(DefaultKeepUnread),
			UpstreamIdle:    Duration(DefaultUpstreamIdle),
			FinishTimeout:   Duration(DefaultFinishTimeout),
		},
		Log: LogSettings{Level: "info", Format: "text"},
	}
}
