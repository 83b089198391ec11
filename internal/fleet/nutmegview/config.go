// Package nutmegview holds what an instance believes of its deployment: the
// configuration in force, the upstreams that take work, and the other
// instances. Beliefs carry the revision that they come from.
//
// # Usage
//
//	view := nutmegview.New()
//	view.Apply(config)                 // false unless its revision is higher
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

// Service names a group of upstreams that run the same work.
type Service string

// RepeatRule tells how often a request of a route may run.
type RepeatRule int

// The repeat rules.
const (
	// RunOnce lets a request run at most once.
	RunOnce RepeatRule = iota
	// Idempotent lets a request run any number of times.
	Idempotent
)

// Share is one service's part of a route's requests.
type Share struct {
	Service Service
	Weight  int
}

// Route is one rule that sends requests to services.
type Route struct {
	Name       nutmegid.Route
	Host       string
	PathPrefix string // begins and ends with a slash
	Shares     []Share
	Repeat     RepeatRule
	Stream     bool // answers are event streams
	Resumable  bool // a broken stream may go on at another upstream
	Cached     bool // requests share parts of prompts that upstreams keep
	Public     bool // needs no key
	// MaxUpstreams is the largest number of upstreams that may run one request.
	MaxUpstreams int
	Timeout      time.Duration // after which a request gets its final answer
	Target       time.Duration // latency objective, up to the first event of a stream
	MaxGap       time.Duration // between events of a stream that is still on time
	Priority     int           // 0 is the most urgent
}

// ServiceConfig is what the configuration says of a service.
type ServiceConfig struct {
	HealthPath string
	// MaxConnections is what one upstream accepts from all instances together.
	MaxConnections int
	Engine         *Engine // nil for a plain service
}

// Engine describes the model engines of a service.
type Engine struct {
	Slots          int   // requests that run at once
	CacheTokens    int64 // memory for running requests and kept prompt parts
	TokensPerEvent int64 // at most
}

// Workspace is one group of callers that share keys and a prepaid budget.
type Workspace struct {
	Name     nutmegid.Workspace
	Keys     []string
	Priority *int            // takes precedence over the route's; nil without one
	Prepaid  nutmegid.Tokens // total of the day
	Metered  bool            // Prepaid is in force
}

// Limits bound what callers may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one accepted configuration. It is not changed after NewConfig.
type Config struct {
	Revision   nutmegid.Revision
	Routes     []Route
	Services   map[Service]ServiceConfig
	Workspaces map[nutmegid.Workspace]*Workspace
	Limits     Limits
	Raw        []byte // as the operator wrote it, for peers

	byHost map[string][]*Route // the longest prefix first
	byKey  map[string]*Workspace
}

// Index prepares the look-ups of the request path. It is called once, before
// the configuration is shared.
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

// Match returns the route of a host with the longest prefix of the path.
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

// Authenticate returns the workspace that holds a key.
func (c *Config) Authenticate(key string) (*Workspace, bool) {
	w, ok := c.byKey[key]
	return w, ok
}

// HasWorkspaces says whether requests need a key.
func (c *Config) HasWorkspaces() bool {
	return len(c.Workspaces) > 0
}

// Prepaid returns the amounts of all metered workspaces.
func (c *Config) Prepaid() map[nutmegid.Workspace]nutmegid.Tokens {
	amounts := make(map[nutmegid.Workspace]nutmegid.Tokens)
	for name, w := range c.Workspaces {
		if w.Metered {
			amounts[name] = w.Prepaid
		}
	}
	return amounts
}

// PriorityOf returns the rank of a workspace's requests on a route.
func (r *Route) PriorityOf(w *Workspace) int {
	if w != nil && w.Priority != nil {
		return *w.Priority
	}
	return r.Priority
}

// Choose returns the service of a request by the shares' weights; draw is
// uniform over all values.
func (r *Route) Choose(draw uint64) (Service, bool) {
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
