package nutmegstream

import (
	"context"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// publish writes this instance's statement if it has changed and a service has several
// versions. Once none has, the statement becomes empty.
func (r *Registry) publish(ctx context.Context) error {
	if !r.mayPublish() {
		return nil
	}
	if err := r.inherit(ctx); err != nil {
		r.cfg.OnEvent(Event{Kind: EventUnknown, Err: err})
		return err
	}
	statement, streams := r.statement()
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	err := r.cfg.Store.PutStatement(ctx, statement)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.changed = true
		r.cfg.OnEvent(Event{Kind: EventNotStated, Streams: streams, Err: err})
		return err
	}
	r.stated = len(statement.Announced) > 0
	return nil
}

// mayPublish reports whether there is a statement to write, or one to empty.
func (r *Registry) mayPublish() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.expire()
	for service := range r.lifetimes {
		if r.isMixed(service) {
			return r.changed || !r.stated
		}
	}
	return r.stated
}

// inherit takes over the statement of this instance's former process, once, before it is
// replaced: callers may still take up its streams. Without one, any version may have been
// open there.
func (r *Registry) inherit(ctx context.Context) error {
	r.mu.Lock()
	inherited := r.inherited
	r.mu.Unlock()
	if inherited {
		return nil
	}
	known, err := r.consult(ctx, r.cfg.Elapsed())
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inherited = true
	r.inheritedOpen = make(Versions)
	for service, announced := range known.announced {
		known.own.addUnlisted(r.inheritedOpen, service, announced)
	}
	known.own.Streams.each(func(k key, o origin) {
		if _, own := r.streams[k]; !own {
			r.remember(k, o)
		}
	})
	return nil
}

// statement returns the streams of services with several versions, and their number.
func (r *Registry) statement() (s Statement, streams int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changed = false
	s = Statement{Streams: make(List), Open: make(Versions), Announced: make(Versions)}
	for service, lifetime := range r.lifetimes {
		if !r.isMixed(service) {
			continue
		}
		s.Announced[service] = r.announced[service]
		s.Open.merge(Versions{service: openVersions(r.upstreams.ByService[service])})
		if r.cfg.Elapsed() < lifetime {
			s.Open.merge(Versions{service: r.inheritedOpen[service]})
		}
	}
	for k, remembered := range r.streams {
		if _, mixed := s.Announced[remembered.service]; mixed {
			s.Streams.add(k, remembered.service, remembered.version)
			streams++
		}
	}
	return s, streams
}

// openVersions returns the versions of upstreams that take new requests, in order.
func openVersions(upstreams []nutmegview.Upstream) []nutmegview.SoftwareVersion {
	var open []nutmegview.SoftwareVersion
	for _, u := range upstreams {
		if at, found := slices.BinarySearch(open, u.Version); !u.Leaving && !found {
			open = slices.Insert(open, at, u.Version)
		}
	}
	return open
}

// expire forgets the streams that cannot be taken up any more. The caller must hold mu.
func (r *Registry) expire() {
	now := r.cfg.Elapsed()
	for k, s := range r.streams {
		if now >= s.expires {
			delete(r.streams, k)
		}
	}
}

// knowledge is what the store holds of all instances' streams.
type knowledge struct {
	readAt    time.Duration  // before the read
	streams   map[key]origin // nil before the first read
	own       Statement      // of this instance, maybe of its former process
	announced Versions
	unlisted  Versions // at which streams that no instance lists may have begun
}

// consult returns what the store holds, read after a time. Callers share reads.
func (r *Registry) consult(ctx context.Context, after time.Duration) (knowledge, error) {
	select {
	case r.consulting <- struct{}{}:
	case <-ctx.Done():
		return knowledge{}, ctx.Err()
	}
	defer func() { <-r.consulting }()
	if r.latest.streams != nil && r.latest.readAt >= after {
		return r.latest, nil
	}
	wait := r.latest.readAt + minConsultPause - r.cfg.Elapsed()
	if r.latest.streams != nil && wait > 0 && !sleep(ctx, wait) {
		return knowledge{}, ctx.Err()
	}
	read, err := r.read(ctx)
	if err == nil {
		r.latest = read
	}
	return read, err
}

func (r *Registry) read(ctx context.Context) (knowledge, error) {
	ctx, cancel := context.WithTimeout(ctx, consultTimeout)
	defer cancel()
	read := knowledge{readAt: r.cfg.Elapsed(), streams: make(map[key]origin), unlisted: make(Versions)}
	all, err := r.cfg.Store.Statements(ctx)
	if err != nil {
		return knowledge{}, err
	}
	// Last, so that no version that was announced meanwhile is missed.
	if read.announced, err = r.cfg.Store.Versions(ctx); err != nil {
		return knowledge{}, err
	}
	read.own = all[r.cfg.Instance]
	for _, instance := range r.cfg.Instances() {
		if _, stated := all[instance]; !stated {
			all[instance] = Statement{} // it may have begun streams at any version
		}
	}
	for _, s := range all {
		s.Streams.each(func(k key, o origin) { read.streams[k] = o })
		for service, announced := range read.announced {
			s.addUnlisted(read.unlisted, service, announced)
		}
	}
	return read, nil
}

// originOf returns where a stream of a service has begun: as an instance lists it, or at
// the only version that a stream which none lists can have begun at.
func (k knowledge) originOf(id nutmegid.RequestID, service nutmegview.Service) (origin, bool) {
	if o, listed := k.streams[keyOf(id)]; listed && id != "" {
		return o, true
	}
	for _, candidates := range []Versions{k.announced, k.unlisted} {
		if versions := candidates[service]; len(versions) == 1 {
			return origin{service: service, version: versions[0]}, true
		}
	}
	return origin{}, false
}

func sleep(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
