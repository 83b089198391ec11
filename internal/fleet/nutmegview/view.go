package nutmegview

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// View is an instance's local view of its deployment. The configuration's revision
// never decreases.
type View struct {
	config      atomic.Pointer[Config]
	upstreams   atomic.Pointer[Upstreams]
	evacuations atomic.Pointer[map[nutmegid.FailureDomain]EvacuationChange] // the latest of each domain; read-only once set
	regions     map[nutmegid.FailureDomain]nutmegid.Region                  // read-only

	mu           sync.Mutex
	onConfig     []func(*Config)
	onUpstreams  []func(*Upstreams)
	onEvacuation []func(EvacuationChange)
}

// Upstreams is the set of upstreams that take requests at one version of the
// store. It is read-only once set.
type Upstreams struct {
	Version   nutmegid.Version
	ByID      map[nutmegid.Upstream]Upstream
	ByService map[Service][]Upstream
}

// New returns an empty view.
func New() *View {
	v := &View{}
	v.upstreams.Store(&Upstreams{})
	v.evacuations.Store(&map[nutmegid.FailureDomain]EvacuationChange{})
	return v
}

// Config returns the configuration in force, or nil if there is none yet.
func (v *View) Config() *Config {
	return v.config.Load()
}

// Revision returns the revision in force, or 0 if there is none yet.
func (v *View) Revision() nutmegid.Revision {
	if c := v.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// Upstreams returns the current set.
func (v *View) Upstreams() *Upstreams {
	return v.upstreams.Load()
}

// OnConfig registers fn to be called in order with each applied configuration. It
// must be called before the view is used.
func (v *View) OnConfig(fn func(*Config)) {
	v.onConfig = append(v.onConfig, fn)
}

// OnUpstreams registers fn to be called in order with each new set. It must be
// called before the view is used.
func (v *View) OnUpstreams(fn func(*Upstreams)) {
	v.onUpstreams = append(v.onUpstreams, fn)
}

// Apply puts a configuration into force if its revision is higher than the current
// one, and reports whether it did.
func (v *View) Apply(c *Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Revision <= v.Revision() {
		return false
	}
	c.Index()
	v.config.Store(c)
	for _, fn := range v.onConfig {
		fn(c)
	}
	return true
}

// SetUpstreams replaces the set of upstreams.
func (v *View) SetUpstreams(version nutmegid.Version, byID map[nutmegid.Upstream]Upstream) {
	set := &Upstreams{Version: version, ByID: maps.Clone(byID), ByService: make(map[Service][]Upstream)}
	for _, u := range byID {
		set.ByService[u.Service] = append(set.ByService[u.Service], u)
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	v.upstreams.Store(set)
	for _, fn := range v.onUpstreams {
		fn(set)
	}
}
