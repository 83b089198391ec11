package nutmegstream

import (
	"encoding/binary"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

const keyBytes = 8 // of a stream's key in a list

// Statement is what an instance writes of its streams while a service has several
// versions.
type Statement struct {
	Streams List `json:"streams"`
	// Open are the versions at which this instance may have begun streams that are not in
	// the list yet: those of upstreams that take new requests. Announced are all versions
	// that it knew of; later ones may be open as well.
	Open      Versions `json:"open"`
	Announced Versions `json:"announced"`
}

// List holds the keys of an instance's streams by service and version, each in keyBytes.
type List map[nutmegview.Service]map[nutmegview.SoftwareVersion][]byte

func (l List) add(k key, service nutmegview.Service, version nutmegview.SoftwareVersion) {
	if l[service] == nil {
		l[service] = make(map[nutmegview.SoftwareVersion][]byte)
	}
	l[service][version] = binary.BigEndian.AppendUint64(l[service][version], uint64(k))
}

// each calls fn with each stream of the list.
func (l List) each(fn func(k key, o origin)) {
	for service, versions := range l {
		for version, keys := range versions {
			for ; len(keys) >= keyBytes; keys = keys[keyBytes:] {
				fn(key(binary.BigEndian.Uint64(keys)), origin{service: service, version: version})
			}
		}
	}
}

// addUnlisted adds the versions at which streams that the statement does not list may
// have begun: the open ones, and those that were announced later.
func (s Statement) addUnlisted(to Versions, service nutmegview.Service, announced []nutmegview.SoftwareVersion) {
	for _, version := range announced {
		if s.Open.has(service, version) || !s.Announced.has(service, version) {
			to.add(service, version)
		}
	}
}
