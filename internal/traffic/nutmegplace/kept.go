package nutmegplace

import (
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// place is where a prompt part was last used by this instance.
type place struct {
	upstream nutmegid.Upstream
	at       time.Duration
}

// keptParts remembers where prompt parts were last used.
type keptParts struct {
	places map[string]place
}

func (k *keptParts) use(part string, u nutmegid.Upstream, now time.Duration) {
	if _, known := k.places[part]; !known && len(k.places) >= maxKept {
		k.dropOld(now)
	}
	k.places[part] = place{upstream: u, at: now}
}

// find returns where a part was last used, "" where that is too long ago.
func (k *keptParts) find(part string, now time.Duration) nutmegid.Upstream {
	found, ok := k.places[part]
	if !ok || now-found.at > keptFor {
		return ""
	}
	return found.upstream
}

func (k *keptParts) holds(part string, u nutmegid.Upstream, now time.Duration) bool {
	return u != "" && k.find(part, now) == u
}

// forget drops what an upstream kept in an earlier process.
func (k *keptParts) forget(u nutmegid.Upstream) {
	for part, found := range k.places {
		if found.upstream == u {
			delete(k.places, part)
		}
	}
}

// dropOld makes room: first all that is too old, else any one part.
func (k *keptParts) dropOld(now time.Duration) {
	for part, found := range k.places {
		if now-found.at > keptFor {
			delete(k.places, part)
		}
	}
	if len(k.places) < maxKept {
		return
	}
	for part := range k.places {
		delete(k.places, part)
		return
	}
}
