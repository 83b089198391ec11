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

// checker validates decoded settings and collects the problems.
type checker struct {
	file     string
	lines    map[string]int // line number of each key that the file sets
	problems []Problem
	// undecoded holds the lines whose values failed to decode; the decoder has
	// reported them.
	undecoded map[int]bool
}

// report adds a problem with the value of a key.
func (c *checker) report(key, format string, args ...any) {
	if c.undecoded[c.lines[key]] {
		return
	}
	c.problems = append(c.problems, Problem{File: c.file, Line: c.lines[key], Key: key, Detail: fmt.Sprintf(format, args...)})
}

func (c *checker) checkSettings(s Settings) {
	c.checkInstance(s.Instance)
	c.checkListen(s.Listen)
	c.checkPlatform(s.Platform)
	c.checkPeers(s.Peers)
	c.checkBudget(s.Budget, s.Platform)
	c.checkWitnesses(s.Budget)
	c.checkLimits(s.Limits)
	c.checkCertificate("tls.callers", s.TLS.Callers, false)
	c.checkCertificate("tls.operators", s.TLS.Operators, false)
	c.checkCertificate("tls.peers", s.TLS.Peers, true)
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "text", "json")
}

func (c *checker) checkInstance(s InstanceSettings) {
	c.required("instance.name", string(s.Name))
	c.required("instance.failure_domain", string(s.FailureDomain))
	c.required("instance.fleet", s.Fleet)
	if s.BootstrapKeyHash == "" {
		return
	}
	if _, err := hex.DecodeString(s.BootstrapKeyHash); err != nil || len(s.BootstrapKeyHash) != keyHashDigits {
		c.report("instance.bootstrap_key_hash", "%q is not a SHA-256; write %d hexadecimal digits", s.BootstrapKeyHash, keyHashDigits)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.report(key, "the setting is missing; give a non-empty value")
	}
}

func (c *checker) oneOf(key, value string, allowed ...string) {
	if !slices.Contains(allowed, value) {
		c.report(key, "%q is not allowed; use one of %s", value, strings.Join(allowed, ", "))
	}
}

func (c *checker) between(key string, value, low, high float64) {
	if value < low || value > high {
		c.report(key, "%v is out of range; use %v to %v", value, low, high)
	}
}

func (c *checker) positive(key string, d Duration) {
	if d <= 0 {
		c.report(key, "%q is not positive; write for example 250ms or 2m", d)
	}
}

// setting is the key and the value of one setting.
type setting struct{ key, value string }

func (c *checker) checkListen(l ListenSettings) {
	c.checkDistinctPorts([]setting{{"listen.callers", l.Callers}, {"listen.operators", l.Operators}, {"listen.peers", l.Peers}})
}

// checkDistinctPorts checks addresses that must not bind the same port.
func (c *checker) checkDistinctPorts(all []setting) {
	var valid []setting
	for _, a := range all {
		if !isAddress(a.value) {
			c.report(a.key, "%q is not an address; write ip:port", a.value)
			continue
		}
		for _, other := range valid {
			if overlap(a.value, other.value) {
				c.report(a.key, "%q overlaps %s; give each its own port", a.value, other.key)
			}
		}
		valid = append(valid, a)
	}
}

func isAddress(value string) bool {
	host, port, err := net.SplitHostPort(value)
	return err == nil && port != "" && net.ParseIP(host) != nil
}

// overlap reports whether two valid addresses bind the same port. Port 0 means any
// free port; an unspecified IP address binds the port on all addresses.
func overlap(a, b string) bool {
	hostA, portA, _ := net.SplitHostPort(a)
	hostB, portB, _ := net.SplitHostPort(b)
	if portA != portB || portA == "0" {
		return false
	}
	ipA, ipB := net.ParseIP(hostA), net.ParseIP(hostB)
	return ipA.Equal(ipB) || ipA.IsUnspecified() || ipB.IsUnspecified()
}

func (c *checker) checkPlatform(p PlatformSettings) {
	u, err := url.Parse(p.URL)
	if err != nil || u.Host == "" || (u.Scheme != "http" && u.Scheme != "https") {
		c.report("platform.url", "%q is not a URL; write http://ip:port or https://ip:port", p.URL)
	}
	c.positive("platform.timeout", p.Timeout)
	c.between("platform.writes_per_second", p.WritesPerSecond, 1, 1000)
	c.between("platform.reads_per_second", p.ReadsPerSecond, 1, 10_000)
	c.between("platform.weight_bytes_per_second", float64(p.WeightBytesPerSecond), 0, 1<<50)
}

func (c *checker) checkPeers(p PeerSettings) {
	if len(p.Key) < minPeerKeyLength {
		c.report("peers.key", "the key has %d characters; give all instances the same key of at least %d", len(p.Key), minPeerKeyLength)
	}
	c.positive("peers.dead_after", p.DeadAfter)
	for i, seed := range p.Seeds {
		if !isAddress(seed) {
			c.report("peers.seeds", "%q is not an address; write ip:port", seed)
		}
		if slices.Contains(p.Seeds[:i], seed) {
			c.report("peers.seeds", "%q is listed twice; name each peer once", seed)
		}
	}
}

func (c *checker) checkBudget(b BudgetSettings, p PlatformSettings) {
	c.between("budget.shards", float64(b.Shards), 1, maxBudgetShards)
	c.positive("budget.horizon", b.Horizon)
	c.positive("budget.commit_interval", b.CommitInterval)
	if b.MinLease < 1 {
		c.report("budget.min_lease_tokens", "%d is not positive; give at least 1 token", b.MinLease)
	}
	if b.Horizon < b.CommitInterval {
		c.report("budget.horizon", "%s is shorter than budget.commit_interval %s; use at least that, or a lease would run out between two commits", b.Horizon, b.CommitInterval)
	}
	if b.CommitInterval > 0 && float64(b.Shards)/b.CommitInterval.seconds() > p.WritesPerSecond {
		c.report("budget.shards", "committing %d shards every %s needs more than platform.writes_per_second %v; raise budget.commit_interval", b.Shards, b.CommitInterval, p.WritesPerSecond)
	}
}

func (c *checker) checkWitnesses(b BudgetSettings) {
	c.between("budget.witnesses", float64(b.Witnesses), 0, maxWitnesses)
	if b.Slice < 0 {
		c.report("budget.slice", "%s is negative; use 0s for leases without witnesses", b.Slice)
	}
	for owner, o := range b.Owners {
		c.checkOwnerBudget("budget.owners."+string(owner), o)
	}
}

func (c *checker) checkOwnerBudget(section string, o OwnerBudgetSettings) {
	if o.Horizon != nil {
		c.positive(section+".horizon", *o.Horizon)
	}
	if o.MinLease != nil && *o.MinLease < 1 {
		c.report(section+".min_lease_tokens", "%d is not positive; give at least 1 token", *o.MinLease)
	}
	if o.Slice != nil && *o.Slice < 0 {
		c.report(section+".slice", "%s is negative; use 0s for leases without witnesses", *o.Slice)
	}
}

func (c *checker) checkLimits(l LimitSettings) {
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
		c.report("limits.drain_delay", "%s is out of range; use 0s to less than limits.shutdown_timeout %s", l.DrainDelay, l.ShutdownTimeout)
	}
}

// checkCertificate checks that either no file or all required files of one kind of
// connection are set, and that they exist.
func (c *checker) checkCertificate(key string, s CertificateSettings, needCA bool) {
	if s == (CertificateSettings{}) {
		return
	}
	files := []setting{{key + ".cert", s.Cert}, {key + ".key", s.Key}}
	if needCA || s.CA != "" {
		files = append(files, setting{key + ".ca", s.CA})
	}
	for _, f := range files {
		if f.value == "" {
			c.report(f.key, "the setting is missing; name a PEM file, or leave out all of %s", key)
			continue
		}
		if _, err := os.Stat(f.value); err != nil {
			c.report(f.key, "file %q cannot be read (%v); name an existing PEM file", f.value, err)
		}
	}
}
