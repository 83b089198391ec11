package nutmegview

import (
	"maps"
	"sync"
	"sync/atomic"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// View is one instance's beliefs. The configuration's revision never falls.
type View struct {
	config    atomic.Pointer[Config]
	upstreams atomic.Pointer[Upstreams]

	mu      sync.Mutex
	onApply []func(*Config)
	onSet   []func(*Upstreams)
}

// Upstreams is the set of upstreams that take work at one version of the
// store. It is not changed after it is set.
type Upstreams struct {
	Version   nutmegid.Version
	ByID      map[nutmegid.Upstream]Upstream
	ByService map[Service][]Upstream
}

// New returns a view without beliefs.
func New() *View {
	v := &View{}
	v.upstreams.Store(&Upstreams{})
	return v
}

// Config returns the configuration in force, nil before the first.
func (v *View) Config() *Config {
	return v.config.Load()
}

// Revision returns the revision in force, 0 before the first.
func (v *View) Revision() nutmegid.Revision {
	if c := v.Config(); c != nil {
		return c.Revision
	}
	return 0
}

// Upstreams returns the present set.
func (v *View) Upstreams() *Upstreams {
	return v.upstreams.Load()
}

// OnApply registers fn to be told of each applied configuration, in order. It
// is called before the view is used.
func (v *View) OnApply(fn func(*Config)) {
	v.onApply = append(v.onApply, fn)
}

// OnUpstreams registers fn to be told of each new set, in order. It is called
// before the view is used.
func (v *View) OnUpstreams(fn func(*Upstreams)) {
	v.onSet = append(v.onSet, fn)
}

// Apply puts a configuration into force if its revision is higher than the
// present one's.
func (v *View) Apply(c *Config) bool {
	v.mu.Lock()
	defer v.mu.Unlock()
	if c.Revision <= v.Revision() {
		return false
	}
	c.Index()
	v.config.Store(c)
	for _, fn := range v.onApply {
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
	for _, fn := range v.onSet {
		fn(set)
	}
}
