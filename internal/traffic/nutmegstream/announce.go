package nutmegstream

import (
	"context"
	"maps"
	"slices"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// Versions are the software versions of each service, in order.
type Versions map[nutmegview.Service][]nutmegview.SoftwareVersion

func (v Versions) has(service nutmegview.Service, version nutmegview.SoftwareVersion) bool {
	_, found := slices.BinarySearch(v[service], version)
	return found
}

func (v Versions) add(service nutmegview.Service, version nutmegview.SoftwareVersion) {
	at, found := slices.BinarySearch(v[service], version)
	if !found {
		v[service] = slices.Insert(slices.Clone(v[service]), at, version)
	}
}

func (v Versions) remove(service nutmegview.Service, version nutmegview.SoftwareVersion) {
	if at, found := slices.BinarySearch(v[service], version); found {
		v[service] = slices.Delete(slices.Clone(v[service]), at, at+1)
	}
}

// merge adds all versions of other and reports whether there were new ones.
func (v Versions) merge(other Versions) bool {
	grew := false
	for service, versions := range other {
		for _, version := range versions {
			grew = grew || !v.has(service, version)
			v.add(service, version)
		}
	}
	return grew
}

// announce writes the versions of upstreams that are not announced yet. Only then may
// requests go to these.
func (r *Registry) announce(ctx context.Context) error {
	wanted, again := r.unannounced()
	if wanted == nil {
		return nil
	}
	err := r.updateVersions(ctx, func(all Versions) bool { return all.merge(wanted) })
	if err != nil && again {
		r.StoreRestored()
	}
	for service, versions := range wanted {
		for _, version := range versions {
			kind := EventAnnounced
			if err != nil {
				kind = EventNotAnnounced
			}
			r.cfg.OnEvent(Event{Kind: kind, Service: service, Version: version, Err: err})
		}
	}
	return err
}

// unannounced returns the versions to announce, or nil if there is nothing to do. After a
// restore of the store, again is set, and these are all of which a stream may be under way.
func (r *Registry) unannounced() (wanted Versions, again bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.upstreams == nil || len(r.lifetimes) == 0 {
		return nil, false
	}
	wanted, again = r.missing(), r.again
	if !again && len(wanted) == 0 && r.announced != nil {
		return nil, false
	}
	r.again = false
	if !again {
		return wanted, false
	}
	now := r.cfg.Elapsed()
	for service, lifetime := range r.lifetimes {
		for _, version := range r.history.since(service, now-lifetime) {
			wanted.add(service, version)
		}
	}
	return wanted, true
}

// retire removes the versions of which no stream can be under way any more: none of their
// upstreams was seen for the lifetime of a stream.
func (r *Registry) retire(ctx context.Context) error {
	gone := r.forgetUnseen()
	if len(gone) == 0 {
		return nil
	}
	err := r.updateVersions(ctx, func(all Versions) bool {
		shrunk := false
		for service, versions := range gone {
			for _, version := range versions {
				if len(all[service]) > 1 && all.has(service, version) {
					all.remove(service, version)
					shrunk = true
				}
			}
		}
		return shrunk
	})
	for service, versions := range gone {
		for _, version := range versions {
			r.cfg.OnEvent(Event{Kind: EventRetired, Service: service, Version: version, Err: err})
		}
	}
	return err
}

// forgetUnseen returns the announced versions that were not seen for long enough. This
// instance announces them anew if they come back.
func (r *Registry) forgetUnseen() Versions {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := r.cfg.Elapsed()
	gone := make(Versions)
	for service, lifetime := range r.lifetimes {
		if now < lifetime {
			continue // nothing was seen before the start
		}
		seen := r.history.since(service, now-lifetime)
		for _, version := range r.announced[service] {
			if len(seen) > 0 && !slices.Contains(seen, version) {
				gone.add(service, version)
			}
		}
	}
	for service, versions := range gone {
		for _, version := range versions {
			r.announced.remove(service, version)
		}
	}
	return gone
}

// updateVersions changes the announced versions in the store and takes over the result.
func (r *Registry) updateVersions(ctx context.Context, change func(Versions) bool) error {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	announced, err := r.cfg.Store.UpdateVersions(ctx, change)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		return err
	}
	r.announced = maps.Clone(announced)
	if r.announced == nil {
		r.announced = make(Versions)
	}
	if r.upstreams != nil {
		r.cfg.Apply(r.usable())
	}
	return nil
}
