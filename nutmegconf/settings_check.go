package nutmegconf

import (
	"encoding/hex"
	"fmt"
	"net"
	"net/url"
	"os"
	"slices"
	"strings"
)

// checker gathers what is wrong with settings that could be decoded.
type checker struct {
	file   string
	lines  map[string]int // of each key that the file sets
	faults []Fault
}

func (c *checker) fault(key, format string, args ...any) {
	// A value that was not decoded has its fault already.
	reported := func(f Fault) bool { return f.Line == c.lines[key] && f.Line != 0 }
	if slices.ContainsFunc(c.faults, reported) {
		return
	}
	c.faults = append(c.faults, Fault{File: c.file, Line: c.lines[key], Key: key, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) check(s Settings) {
	c.instance(s.Instance)
	c.addresses(s.Listen)
	c.platform(s.Platform)
	c.peers(s.Peers)
	c.budget(s.Budget, s.Platform)
	c.witnesses(s.Budget)
	c.limits(s.Limits)
	c.certificate("tls.callers", s.TLS.Callers, false)
	c.certificate("tls.operators", s.TLS.Operators, false)
	c.certificate("tls.peers", s.TLS.Peers, true)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
}

func (c *checker) instance(s InstanceSettings) {
	c.required("instance.name", string(s.Name))
	c.required("instance.failure_domain", string(s.FailureDomain))
	c.required("instance.fleet", s.Fleet)
	if s.BootstrapKeyHash == "" {
		return
	}
	if _, err := hex.DecodeString(s.BootstrapKeyHash); err != nil || len(s.BootstrapKeyHash) != keyHashLength {
		c.fault("instance.bootstrap_key_hash", "%q is no SHA-256; write %d hexadecimal digits", s.BootstrapKeyHash, keyHashLength)
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

func (c *checker) between(key string, value, low, high float64) {
	if value < low || value > high {
		c.fault(key, "%v is out of range; use %v to %v", value, low, high)
	}
}

func (c *checker) positive(key string, d Duration) {
	if d <= 0 {
		c.fault(key, "%q is not positive; write for example 250ms or 2m", d)
	}
}

type address struct{ key, value string }

func (c *checker) addresses(l ListenSettings) {
	c.separate([]address{{"listen.callers", l.Callers}, {"listen.operators", l.Operators}, {"listen.peers", l.Peers}})
}

// separate checks addresses that must not claim the same port.
func (c *checker) separate(all []address) {
	var valid []address
	for _, a := range all {
		if !isAddress(a.value) {
			c.fault(a.key, "%q is no address; write ip:port", a.value)
			continue
		}
		for _, other := range valid {
			if overlap(a.value, other.value) {
				c.fault(a.key, "%q overlaps %s; give each its own port", a.value, other.key)
			}
		}
		valid = append(valid, a)
	}
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

// overlap reports whether two valid addresses claim the same port. Port 0
// means any free port; an unspecified address claims the port on all others.
func overlap(a, b string) bool {
	hostA, portA, _ := net.SplitHostPort(a)
	hostB, portB, _ := net.SplitHostPort(b)
	if portA != portB || portA == "0" {
		return false
	}
	ipA, ipB := net.ParseIP(hostA), net.ParseIP(hostB)
	return ipA.Equal(ipB) || ipA.IsUnspecified() || ipB.IsUnspecified()
}

func (c *checker) platform(p PlatformSettings) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.fault("platform.url", "%q is no URL; write http://ip:port or https://ip:port", p.URL)
	}
	c.positive("platform.timeout", p.Timeout)
	c.between("platform.writes_per_second", p.WritesPerSecond, 1, 1000)
	c.between("platform.reads_per_second", p.ReadsPerSecond, 1, 10_000)
	c.between("platform.weight_bytes_per_second", float64(p.WeightBytesPerSecond), 0, 1<<50)
}

func (c *checker) peers(p PeerSettings) {
	if len(p.Key) < minPeerKeyLength {
		c.fault("peers.key", "the key has %d characters; give all instances the same key of at least %d", len(p.Key), minPeerKeyLength)
	}
	c.positive("peers.dead_after", p.DeadAfter)
	for i, seed := range p.Seeds {
		if !isAddress(seed) {
			c.fault("peers.seeds", "%q is no address; write ip:port", seed)
		}
		if slices.Contains(p.Seeds[:i], seed) {
			c.fault("peers.seeds", "%q stands twice; name each peer once", seed)
		}
	}
}

func (c *checker) budget(b BudgetSettings, p PlatformSettings) {
	c.between("budget.shards", float64(b.Shards), 1, maxBudgetShards)
	c.positive("budget.horizon", b.Horizon)
	c.positive("budget.commit_interval", b.CommitInterval)
	if b.MinLease < 1 {
		c.fault("budget.min_lease_tokens", "%d is not positive; give at least 1 token", b.MinLease)
	}
	if b.Horizon < b.CommitInterval {
		c.fault("budget.horizon", "%s is below budget.commit_interval %s; a lease would run dry between two commits", b.Horizon, b.CommitInterval)
	}
	if b.CommitInterval > 0 && float64(b.Shards)/b.CommitInterval.seconds() > p.WritesPerSecond {
		c.fault("budget.shards", "%d shards each %s need more than platform.writes_per_second %v; raise budget.commit_interval", b.Shards, b.CommitInterval, p.WritesPerSecond)
	}
}

func (c *checker) witnesses(b BudgetSettings) {
	c.between("budget.witnesses", float64(b.Witnesses), 0, maxWitnesses)
	if b.Slice < 0 {
		c.fault("budget.slice", "%s is negative; use 0s for leases without witnesses", b.Slice)
	}
	for owner, o := range b.Owners {
		c.ownerBudget("budget.owners."+string(owner), o)
	}
}

func (c *checker) ownerBudget(section string, o OwnerBudgetSettings) {
	if o.Horizon != nil {
		c.positive(section+".horizon", *o.Horizon)
	}
	if o.MinLease != nil && *o.MinLease < 1 {
		c.fault(section+".min_lease_tokens", "%d is not positive; give at least 1 token", *o.MinLease)
	}
	if o.Slice != nil && *o.Slice < 0 {
		c.fault(section+".slice", "%s is negative; use 0s for leases without witnesses", *o.Slice)
	}
}

func (c *checker) limits(l LimitSettings) {
	c.between("limits.max_body_bytes", float64(l.MaxBodyBytes), 1<<10, 64<<20)
	c.between("limits.max_header_bytes", float64(l.MaxHeaderBytes), 1<<10, 1<<20)
	c.between("limits.max_connections", float64(l.MaxConnections), 1, 1<<20)
	c.positive("limits.header_timeout", l.HeaderTimeout)
	c.positive("limits.body_timeout", l.BodyTimeout)
	c.positive("limits.write_timeout", l.WriteTimeout)
	c.positive("limits.idle_timeout", l.IdleTimeout)
	c.positive("limits.keep_unread", l.KeepUnread)
	c.positive("limits.upstream_idle", l.UpstreamIdle)
	c.positive("limits.shutdown_timeout", l.ShutdownTimeout)
	c.positive("limits.finish_timeout", l.FinishTimeout)
	if l.DrainDelay < 0 || l.DrainDelay >= l.ShutdownTimeout {
		c.fault("limits.drain_delay", "%s is not from 0s to below limits.shutdown_timeout %s", l.DrainDelay, l.ShutdownTimeout)
	}
}

// certificate checks that the files of one kind of connection go together.
func (c *checker) certificate(key string, s CertificateSettings, needCA bool) {
	if s == (CertificateSettings{}) {
		return
	}
	files := []address{{key + ".cert", s.Cert}, {key + ".key", s.Key}}
	if needCA || s.CA != "" {
		files = append(files, address{key + ".ca", s.CA})
	}
	for _, f := range files {
		if f.value == "" {
			c.fault(f.key, "the setting is missing; name a PEM file, or leave out all of %s", key)
			continue
		}
		if _, err := os.Stat(f.value); err != nil {
			c.fault(f.key, "file %q is unreadable; name an existing PEM file", f.value)
		}
	}
}
