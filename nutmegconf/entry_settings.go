package nutmegconf

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// EntrySettings holds the settings that an entry instance on a managed platform
// reads at startup. The platform generates the file from a template.
type EntrySettings struct {
	Instance  EntryInstanceSettings  `toml:"instance"`
	Listen    EntryListenSettings    `toml:"listen"`
	Store     EntryStoreSettings     `toml:"store"`
	Retries   EntryRetrySettings     `toml:"retries"`
	Limits    EntryLimitSettings     `toml:"limits"`
	Budget    EntryBudgetSettings    `toml:"budget"`
	Admission EntryAdmissionSettings `toml:"admission"`
	// Evacuation is empty where the operator evacuates no failure domains.
	Evacuation EntryEvacuationSettings `toml:"evacuation"`
	// Regions maps each failure domain to its region.
	Regions map[nutmegid.FailureDomain]nutmegid.Region `toml:"regions"`
	Log     LogSettings                                `toml:"log"`
}

// EntryInstanceSettings identify the instance and its location.
type EntryInstanceSettings struct {
	Name          nutmegid.Instance      `toml:"name"`
	FailureDomain nutmegid.FailureDomain `toml:"failure_domain"`
	Region        nutmegid.Region        `toml:"region"`
}

// EntryListenSettings are the listen addresses of the instance, as "ip:port".
type EntryListenSettings struct {
	Callers   string `toml:"callers"`
	Readiness string `toml:"readiness"`
	Peers     string `toml:"peers"`
	Metrics   string `toml:"metrics"`
}

// EntryStoreSettings hold the address of the platform's store and its fleet-wide
// rate limits.
type EntryStoreSettings struct {
	Address         string  `toml:"address"`
	WritesPerSecond float64 `toml:"writes_per_second"`
	ReadsPerSecond  float64 `toml:"reads_per_second"`
}

// EntryRetrySettings limit the retries of the whole fleet.
type EntryRetrySettings struct {
	Ratio  float64  `toml:"ratio"`  // retries per request to a service
	Extra  float64  `toml:"extra"`  // retries per window beyond the ratio
	Window Duration `toml:"window"` // length of the sliding window
}

// EntryLimitSettings limit the resources of the process and the time it takes to
// stop.
type EntryLimitSettings struct {
	MemoryMB        int      `toml:"memory_mb"`
	FileDescriptors int      `toml:"file_descriptors"`
	StopTimeout     Duration `toml:"stop_timeout"`
	Cores           float64  `toml:"cores"`     // processor cores that the instance may use
	LinkMbps        float64  `toml:"link_mbps"` // bandwidth of the network link, in megabits per second
	// MaxConnections is how many connections of callers may be open at once; 0 means a
	// share of FileDescriptors.
	MaxConnections int `toml:"max_connections"`
	// CallerMemoryMB is the memory that callers' connections, requests and unsent answers
	// may take; 0 means a share of MemoryMB.
	CallerMemoryMB int `toml:"caller_memory_mb"`
}

// EntryAdmissionSettings control which requests are refused while the upstreams have
// too little room for all.
type EntryAdmissionSettings struct {
	// ByRoom refuses requests to inference engines by workspace and urgency before the
	// engines are full. Without it, requests are refused only by full engines.
	ByRoom bool `toml:"by_room"`
}

// EntryBudgetSettings control the size of the leases of prepaid tokens.
type EntryBudgetSettings struct {
	Horizon Duration `toml:"horizon"` // span of spend that a lease covers
	Leased  float64  `toml:"leased"`  // share of a budget that is leased
	Even    float64  `toml:"even"`    // share of the leases that is divided evenly among instances
	// SpreadTokens is the token-weighted typical size of a request.
	SpreadTokens nutmegid.Tokens `toml:"spread_tokens"`
	// HomesPerDomain is how many instances in a failure domain lease tokens of one
	// workspace; the other instances reserve tokens there for each request.
	HomesPerDomain int `toml:"homes_per_domain"`
	// HomeDomains is in how many failure domains a workspace has such instances; 0
	// means in all.
	HomeDomains int `toml:"home_domains"`
}

// EntryEvacuationSettings control the evacuation of failure domains.
type EntryEvacuationSettings struct {
	// Bound is the time from the beginning of an evacuation until no instance sends any
	// more requests to the failure domain; 0 if none is ever evacuated.
	Bound Duration `toml:"bound"`
}

// Default entry settings.
const (
	// DefaultEntryHorizon is the span of spend that a lease covers.
	DefaultEntryHorizon = 10 * time.Second
	// DefaultEntryLeased is the share of a budget that is leased.
	DefaultEntryLeased = 0.6
	// DefaultEntryEven is the share of the leases that is divided evenly among instances.
	DefaultEntryEven = 0.25
	// DefaultEntrySpreadTokens is the token-weighted typical size of a request.
	DefaultEntrySpreadTokens = 30_000
	// DefaultEntryHomesPerDomain is how many instances in a failure domain lease tokens of one workspace.
	DefaultEntryHomesPerDomain = 1
	// DefaultEntryHomeDomains is in how many failure domains a workspace has instances that lease its tokens.
	DefaultEntryHomeDomains = 3
	// DefaultStopTimeout is how long a stopping instance waits for running requests.
	DefaultStopTimeout = 8 * time.Second
	// DefaultCores is the number of processor cores that an instance may use by default.
	DefaultCores = 1
	// DefaultLinkMbps is the default bandwidth of an instance's network link.
	DefaultLinkMbps = 1000
	// DefaultMemoryMB is the memory that an instance may use by default.
	DefaultMemoryMB = 128
	// DefaultFileDescriptors is the number of file descriptors that an instance may use by default.
	DefaultFileDescriptors = 4096
)

// DefaultEntrySettings returns the settings that a settings file overrides.
func DefaultEntrySettings() EntrySettings {
	return EntrySettings{
		Limits: EntryLimitSettings{
			MemoryMB: DefaultMemoryMB, FileDescriptors: DefaultFileDescriptors, StopTimeout: Duration(DefaultStopTimeout),
			Cores: DefaultCores, LinkMbps: DefaultLinkMbps,
		},
		Budget: EntryBudgetSettings{
			Horizon: Duration(DefaultEntryHorizon), Leased: DefaultEntryLeased, Even: DefaultEntryEven,
			SpreadTokens: DefaultEntrySpreadTokens, HomesPerDomain: DefaultEntryHomesPerDomain, HomeDomains: DefaultEntryHomeDomains,
		},
		Log: LogSettings{Level: "info", Format: "json"},
	}
}

// LoadEntrySettings reads and validates a settings file. All problems are reported
// at once in a *SettingsError.
func LoadEntrySettings(file string) (EntrySettings, error) {
	text, err := readSettings(file)
	if err != nil {
		return EntrySettings{}, err
	}
	return ParseEntrySettings(file, text)
}

// ParseEntrySettings decodes and validates the text of a settings file.
func ParseEntrySettings(file string, text []byte) (EntrySettings, error) {
	return decodeAndCheck(file, text, DefaultEntrySettings, func(c *checker, s EntrySettings) { c.checkEntry(s) })
}

func (c *checker) checkEntry(s EntrySettings) {
	c.required("instance.name", string(s.Instance.Name))
	c.required("instance.failure_domain", string(s.Instance.FailureDomain))
	c.checkDistinctPorts([]setting{
		{"listen.callers", s.Listen.Callers},
		{"listen.readiness", s.Listen.Readiness},
		{"listen.peers", s.Listen.Peers},
		{"listen.metrics", s.Listen.Metrics},
	})
	if !isAddress(s.Store.Address) {
		c.report("store.address", "%q is not an address; write ip:port", s.Store.Address)
	}
	c.between("store.writes_per_second", s.Store.WritesPerSecond, 1, maxStoreRate)
	c.between("store.reads_per_second", s.Store.ReadsPerSecond, 1, maxStoreRate)
	c.between("retries.ratio", s.Retries.Ratio, 0, 1)
	c.between("retries.extra", s.Retries.Extra, 0, maxStoreRate)
	c.positive("retries.window", s.Retries.Window)
	c.between("limits.memory_mb", float64(s.Limits.MemoryMB), minMemoryMB, maxMemoryMB)
	c.between("limits.file_descriptors", float64(s.Limits.FileDescriptors), minDescriptors, maxDescriptors)
	c.positive("limits.stop_timeout", s.Limits.StopTimeout)
	c.between("limits.cores", s.Limits.Cores, minCores, maxCores)
	c.between("limits.link_mbps", s.Limits.LinkMbps, minLinkMbps, maxLinkMbps)
	c.between("limits.max_connections", float64(s.Limits.MaxConnections), 0, maxCallerShare*float64(s.Limits.FileDescriptors))
	c.between("limits.caller_memory_mb", float64(s.Limits.CallerMemoryMB), 0, maxCallerShare*float64(s.Limits.MemoryMB))
	c.positive("budget.horizon", s.Budget.Horizon)
	c.between("budget.leased", s.Budget.Leased, 0, 1)
	c.between("budget.even", s.Budget.Even, 0, 1)
	c.between("budget.spread_tokens", float64(s.Budget.SpreadTokens), 1, maxTokens)
	c.between("budget.homes_per_domain", float64(s.Budget.HomesPerDomain), 1, maxHomesPerDomain)
	c.between("budget.home_domains", float64(s.Budget.HomeDomains), 0, maxHomeDomains)
	if s.Evacuation.Bound != 0 {
		c.between("evacuation.bound", time.Duration(s.Evacuation.Bound).Seconds(), minEvacuationBound.Seconds(), maxEvacuationBound.Seconds())
	}
	c.oneOf("log.level", s.Log.Level, "debug", "info", "warn", "error")
	c.oneOf("log.format", s.Log.Format, "json")
}
