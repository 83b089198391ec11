// Package nutmegstream knows which software version of a service has begun each stream
// that callers may take up again with another request. What two versions generate does
// not fit together, so that a stream may go on only at the version that began it.
//
// An instance remembers its own streams. Callers take streams up at other instances,
// also after the first one, or all of them, have ended. Two kinds of objects in the store
// serve for that:
//
//   - The announced versions of each service: all those of which a stream may be under
//     way. An instance announces a version before it sends a request to an upstream of it,
//     and retires one after all streams that it may have begun are over. While a single
//     version is announced, it has begun every stream.
//   - The statement of each instance, written only while a service has several versions:
//     its streams, and the versions at which it begins new ones. A stream that was not
//     stated before its instance ended began at one of the latter.
//
// A stream of which this does not tell the version may not go on.
//
// # Usage
//
//	streams := nutmegstream.New(nutmegstream.Config{Store: store, Apply: placer.SetUpstreams, ...})
//	view.OnConfig(streams.SetConfig)
//	view.OnUpstreams(streams.SetUpstreams)
//	streams.Start(ctx)
//	version, refusal := streams.Origin(ctx, call) // of a call that takes up a stream
package nutmegstream

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Config configures a Registry.
type Config struct {
	Store    Store
	Instance nutmegid.Instance
	// Instances returns all instances of the fleet.
	Instances func() []nutmegid.Instance
	// Interval returns the time between two writes of this instance's statement.
	Interval func() time.Duration
	// Apply is called with the upstreams to which requests may be sent, in order.
	Apply func(*nutmegview.Upstreams)
	// Elapsed returns the monotonic time since the start of the instance.
	Elapsed func() time.Duration
	OnEvent func(Event) // may be nil
}

// Event is a change of what a Registry knows, for logs.
type Event struct {
	Kind    EventKind
	Service nutmegview.Service
	Version nutmegview.SoftwareVersion
	Streams int // in a statement
	Err     error
}

// EventKind is the kind of an Event.
type EventKind string

// The kinds of events.
const (
	EventAnnounced    EventKind = "version_announced"
	EventRetired      EventKind = "version_retired"
	EventNotAnnounced EventKind = "version_not_announced"
	EventNotStated    EventKind = "streams_not_written"
	EventUnknown      EventKind = "streams_unknown" // the statements cannot be read
)

// key identifies a stream by the request that brought its first event.
type key uint64

func keyOf(id nutmegid.RequestID) key {
	return key(xxhash.Sum64String(string(id)))
}

// origin is where a stream began.
type origin struct {
	service nutmegview.Service
	version nutmegview.SoftwareVersion
}

// stream is what is remembered of a stream.
type stream struct {
	origin
	expires time.Duration
}

// Registry remembers streams and tells which version has begun them. It is safe for
// concurrent use.
type Registry struct {
	cfg  Config
	wake chan struct{} // signals that the loop has work
	done chan struct{}

	mu        sync.Mutex
	lifetimes map[nutmegview.Service]time.Duration // of streams that may be taken up
	upstreams *nutmegview.Upstreams                // the latest, nil before
	history   history
	announced Versions // as the store has confirmed it; nil before the first time
	streams   map[key]stream
	changed   bool // the statement is not written yet
	stated    bool // the statement in the store is not empty
	again     bool // the announced versions may be lost and are written again
	inherited bool // the statement of this instance's former process is known
	// inheritedOpen are the versions at which the former process may have begun streams
	// that it did not state.
	inheritedOpen Versions

	consulting chan struct{} // held during one read of the store
	latest     knowledge     // guarded by consulting
}

// New returns a Registry that knows nothing yet.
func New(cfg Config) *Registry {
	if cfg.OnEvent == nil {
		cfg.OnEvent = func(Event) {}
	}
	return &Registry{
		cfg: cfg, wake: make(chan struct{}, 1), done: make(chan struct{}), consulting: make(chan struct{}, 1),
		history: newHistory(), streams: make(map[key]stream),
	}
}

// SetConfig takes over how long streams may be taken up: as long as the longest request
// of a resumable route of their service, and a while.
func (r *Registry) SetConfig(c *nutmegview.Config) {
	lifetimes := make(map[nutmegview.Service]time.Duration)
	for _, route := range c.Routes {
		if !route.Stream || !route.Resumable {
			continue
		}
		for _, share := range route.Shares {
			lifetimes[share.Service] = max(lifetimes[share.Service], route.Timeout+lifetimeMargin)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lifetimes = lifetimes
	r.apply()
}

// SetUpstreams takes over the upstreams and passes on those whose versions are announced.
func (r *Registry) SetUpstreams(set *nutmegview.Upstreams) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.opensOthers(set) {
		r.changed = true
		r.signal()
	}
	r.upstreams = set
	r.history.update(set, r.cfg.Elapsed())
	r.apply()
}

// opensOthers reports whether new requests can go to other versions than before. The
// caller must hold mu.
func (r *Registry) opensOthers(set *nutmegview.Upstreams) bool {
	if r.upstreams == nil {
		return true
	}
	for service := range r.lifetimes {
		if !slices.Equal(openVersions(set.ByService[service]), openVersions(r.upstreams.ByService[service])) {
			return true
		}
	}
	return false
}

// apply passes on the upstreams to which requests may be sent. The caller must hold mu.
func (r *Registry) apply() {
	if r.upstreams == nil {
		return
	}
	if len(r.missing()) > 0 {
		r.signal()
	}
	r.cfg.Apply(r.usable())
}

// usable returns the upstreams without those whose version is not announced.
func (r *Registry) usable() *nutmegview.Upstreams {
	set := &nutmegview.Upstreams{
		Version: r.upstreams.Version, ByID: make(map[nutmegid.Upstream]nutmegview.Upstream), ByService: make(map[nutmegview.Service][]nutmegview.Upstream),
	}
	for id, u := range r.upstreams.ByID {
		if r.lifetimes[u.Service] > 0 && !r.announced.has(u.Service, u.Version) {
			continue
		}
		set.ByID[id] = u
		set.ByService[u.Service] = append(set.ByService[u.Service], u)
	}
	return set
}

// missing returns the versions of upstreams that are not announced.
func (r *Registry) missing() Versions {
	missing := make(Versions)
	for _, u := range r.upstreams.ByID {
		if r.lifetimes[u.Service] > 0 && !r.announced.has(u.Service, u.Version) {
			missing.add(u.Service, u.Version)
		}
	}
	return missing
}

// Known reports whether the announced versions are known.
func (r *Registry) Known() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.announced != nil || len(r.lifetimes) == 0
}

// Begun records that the first event of a call's stream goes to its caller.
func (r *Registry) Begun(call *nutmegcall.Call, version nutmegview.SoftwareVersion) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.remember(keyOf(firstRequest(call)), origin{service: call.Service, version: version})
}

// firstRequest returns the request that has brought the first event of a call's stream.
func firstRequest(call *nutmegcall.Call) nutmegid.RequestID {
	if call.Resumed.First != "" {
		return call.Resumed.First
	}
	return call.ID
}

// remember records a stream. The caller must hold mu.
func (r *Registry) remember(k key, o origin) {
	lifetime := r.lifetimes[o.service]
	if lifetime == 0 {
		return
	}
	r.streams[k] = stream{origin: o, expires: r.cfg.Elapsed() + lifetime}
	r.changed = true
}

// Ended records that a call's stream has ended. One that is not complete may be taken up
// elsewhere at once.
func (r *Registry) Ended(call *nutmegcall.Call, complete bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	k := keyOf(firstRequest(call))
	s, known := r.streams[k]
	if !known {
		return
	}
	if complete {
		s.expires = min(s.expires, r.cfg.Elapsed()+completedLifetime)
		r.streams[k] = s
		return
	}
	if r.changed && r.isMixed(s.service) {
		r.signal()
	}
}

// isMixed reports whether streams of several versions of a service may be under way. The
// caller must hold mu.
func (r *Registry) isMixed(service nutmegview.Service) bool {
	lifetime := r.lifetimes[service]
	return lifetime > 0 && (len(r.announced[service]) > 1 || len(r.history.since(service, r.cfg.Elapsed()-lifetime)) > 1)
}

// StoreRestored makes the registry write again what the store may have lost.
func (r *Registry) StoreRestored() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.again, r.changed = true, true
	r.signal()
}

func (r *Registry) signal() {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Start announces and retires versions and writes statements until ctx ends.
func (r *Registry) Start(ctx context.Context) {
	go r.run(ctx)
}

// Wait blocks until the registry has stopped.
func (r *Registry) Wait() {
	<-r.done
}

func (r *Registry) run(ctx context.Context) {
	defer close(r.done)
	retireAt := r.cfg.Elapsed() + retireSpread
	for {
		failed := r.announce(ctx) != nil
		if now := r.cfg.Elapsed(); now >= retireAt {
			failed = r.retire(ctx) != nil || failed
			retireAt = now + retireSpread/2 + rand.N(retireSpread)
		}
		failed = r.publish(ctx) != nil || failed
		pause := r.cfg.Interval()
		if failed {
			pause = retryInterval
		}
		if !r.pause(ctx, pause, failed) {
			return
		}
	}
}

// pause waits for work, at most for about a time. After a failure it waits for all of it.
func (r *Registry) pause(ctx context.Context, d time.Duration, failed bool) bool {
	wake := r.wake
	if failed {
		wake = nil
	}
	if !sleep(ctx, minWritePause) {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-wake:
	case <-timer.C:
	}
	return true
}
