// Package nutmegview holds an instance's local view of its deployment: the
// configuration in force and the upstreams that take requests, each with the
// revision it comes from. It also defines the entries of instances.
//
// # Usage
//
//	view := nutmegview.New()
//	view.Apply(config)                 // false if its revision is not higher
//	view.SetUpstreams(version, list)
//	route, ok := view.Config().Match("desk.example", "/orders/17")
//	workspace, ok := view.Config().Authenticate(key)
package nutmegview

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Service names a group of upstreams that run the same workload.
type Service string

// RetryPolicy states whether a request of a route may run more than once.
type RetryPolicy int

// The retry policies.
const (
	// AtMostOnce allows a request to run at most once.
	AtMostOnce RetryPolicy = iota
	// Idempotent allows a request to run any number of times.
	Idempotent
)

// Share is a service's weighted share of a route's requests.
type Share struct {
	Service Service
	Weight  int
}

// Route maps a host and path prefix to services.
type Route struct {
	Name          nutmegid.Route
	Host          string
	PathPrefix    string // begins and ends with a slash
	Shares        []Share
	RetryPolicy   RetryPolicy
	Stream        bool // answers are event streams
	Resumable     bool // a broken stream may resume at another upstream
	PrefixCaching bool // upstreams cache common prompt prefixes
	Public        bool // no key required
	// MaxUpstreams is the maximum number of upstreams that may run one request.
	MaxUpstreams  int
	Timeout       time.Duration // for the final answer
	LatencyTarget time.Duration // for the response, or for the first event of a stream
	MaxEventGap   time.Duration // target for the time between events of a stream
	Priority      int           // 0 is the most urgent
	// Regions are the only ones in which requests may run; all may if it is empty.
	Regions []nutmegid.Region
}

// ServiceConfig configures a service.
type ServiceConfig struct {
	HealthPath string
	// MaxConnections limits the connections to one upstream from all instances
	// together.
	MaxConnections int
	Engine         *Engine // nil for a plain service
	// WarmupTime is how long an upstream is cold after its start.
	WarmupTime time.Duration
	// WarmupRate limits the requests per second from all instances together to an
	// upstream that is cold; 0 means that nothing is stated.
	WarmupRate float64
}

// Engine describes the inference engines of a service.
type Engine struct {
	Slots          int   // concurrent requests
	CacheTokens    int64 // KV cache size, shared by running requests and cached prefixes
	TokensPerEvent int64 // upper bound
}

// Workspace is a group of callers that share keys and a prepaid budget.
type Workspace struct {
	Name     nutmegid.Workspace
	Keys     []string
	Priority *int            // overrides the route's if set
	Prepaid  nutmegid.Tokens // total for the day
	Metered  bool            // Prepaid is enforced
	// Regions are the only ones in which requests may run; all may if it is empty.
	Regions []nutmegid.Region
}

// Limits bounds the requests of callers.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is an accepted configuration. It is read-only after Index.
type Config struct {
	Revision   nutmegid.Revision
	Routes     []Route
	Services   map[Service]ServiceConfig
	Workspaces map[nutmegid.Workspace]*Workspace
	Limits     Limits
	Raw        []byte // as written by the operator; served to peers

	byHost map[string][]*Route // longest prefix first
	byKey  map[string]*Workspace
}

// Index builds the lookup tables for the request path. It must be called once,
// before the configuration is shared.
func (c *Config) Index() {
	c.byHost = make(map[string][]*Route)
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, routes := range c.byHost {
		slices.SortStableFunc(routes, func(a, b *Route) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	c.byKey = make(map[string]*Workspace)
	for _, w := range c.Workspaces {
		for _, key := range w.Keys {
			c.byKey[key] = w
		}
	}
}

// Match returns the route for a host with the longest matching path prefix.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Authenticate returns the workspace that a key belongs to.
func (c *Config) Authenticate(key string) (*Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// HasWorkspaces reports whether the configuration defines any workspaces.
func (c *Config) HasWorkspaces() bool {
	return len(c.Workspaces) > 0
}

// Prepaid returns the prepaid amounts of all metered workspaces.
func (c *Config) Prepaid() map[nutmegid.Workspace]nutmegid.Tokens {
	amounts := make(map[nutmegid.Workspace]nutmegid.Tokens)
	for name, w := range c.Workspaces {
		if w.Metered {
			amounts[name] = w.Prepaid
		}
	}
	return amounts
}

// PriorityOf returns the priority of a workspace's requests on the route.
func (r *Route) PriorityOf(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// ChooseService picks a service by the weights of the shares. draw must be
// uniformly distributed over all values.
func (r *Route) ChooseService(draw uint64) (Service, bool) {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		return "", false
	}
	at := int(draw % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service, true
		}
	}
	return "", false
}
