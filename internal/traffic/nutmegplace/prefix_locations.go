package nutmegplace

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// location is the upstream to which this instance last sent a prompt prefix.
type location struct {
	upstream nutmegid.Upstream
	at       time.Duration
}

// prefixLocations records the upstreams to which prompt prefixes were last sent,
// which probably still have them cached. A prefix is identified by the ID of its
// last part.
type prefixLocations struct {
	locations map[string]location
}

// record stores the upstream to which a prefix was sent.
func (l *prefixLocations) record(prefix string, u nutmegid.Upstream, now time.Duration) {
	if _, known := l.locations[prefix]; !known && len(l.locations) >= maxPrefixes {
		l.evict(now)
	}
	l.locations[prefix] = location{upstream: u, at: now}
}

// find returns the upstream to which a prefix was last sent, or "" if it is not
// known or older than prefixTTL.
func (l *prefixLocations) find(prefix string, now time.Duration) nutmegid.Upstream {
	found, ok := l.locations[prefix]
	if !ok || now-found.at > prefixTTL {
		return ""
	}
	return found.upstream
}

// isAt reports whether a prefix was last sent to the given upstream.
func (l *prefixLocations) isAt(prefix string, u nutmegid.Upstream, now time.Duration) bool {
	return u != "" && l.find(prefix, now) == u
}

// forget removes the prefixes of an upstream whose process was replaced.
func (l *prefixLocations) forget(u nutmegid.Upstream) {
	for prefix, found := range l.locations {
		if found.upstream == u {
			delete(l.locations, prefix)
		}
	}
}

// evict removes all expired prefixes, or an arbitrary one if none has expired.
func (l *prefixLocations) evict(now time.Duration) {
	for prefix, found := range l.locations {
		if now-found.at > prefixTTL {
			delete(l.locations, prefix)
		}
	}
	if len(l.locations) < maxPrefixes {
		return
	}
	for prefix := range l.locations {
		delete(l.locations, prefix)
		return
	}
}
