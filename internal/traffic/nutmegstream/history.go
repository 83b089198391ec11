package nutmegstream

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// history is when this instance has last seen an upstream of each version of a service.
type history struct {
	listed   Versions
	lastSeen map[nutmegview.Service]map[nutmegview.SoftwareVersion]time.Duration
}

func newHistory() history {
	return history{lastSeen: make(map[nutmegview.Service]map[nutmegview.SoftwareVersion]time.Duration)}
}

// update records the upstreams as of now. Those that were listed before have been seen
// until now.
func (h *history) update(set *nutmegview.Upstreams, now time.Duration) {
	h.see(now)
	h.listed = make(Versions)
	for _, u := range set.ByID {
		h.listed.add(u.Service, u.Version)
	}
	h.see(now)
}

func (h *history) see(now time.Duration) {
	for service, versions := range h.listed {
		if h.lastSeen[service] == nil {
			h.lastSeen[service] = make(map[nutmegview.SoftwareVersion]time.Duration)
		}
		for _, v := range versions {
			h.lastSeen[service][v] = now
		}
	}
}

// since returns the versions of a service that were seen since a time, or are seen now.
func (h *history) since(service nutmegview.Service, at time.Duration) []nutmegview.SoftwareVersion {
	var seen []nutmegview.SoftwareVersion
	for v, last := range h.lastSeen[service] {
		if last >= at || h.listed.has(service, v) {
			seen = append(seen, v)
		}
	}
	return seen
}
