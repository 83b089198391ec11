package nutmegrelay

import (
	"sync"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// maxBoundChanges limits the changes that are kept, of all services together.
const maxBoundChanges = 256

// tokenBounds remembers how the maximum number of tokens in one event of each service
// has changed. A call is charged by the largest maximum since its admission: its
// upstream may follow any of these configurations.
type tokenBounds struct {
	mu      sync.Mutex
	current map[nutmegview.Service]int64 // of the services that are engines
	changes []boundChange                // in order
	dropped nutmegid.Revision            // of the newest change that is no longer kept
}

type boundChange struct {
	revision       nutmegid.Revision
	service        nutmegview.Service
	tokensPerEvent int64
}

// record takes note of a configuration that is in force now.
func (b *tokenBounds) record(c *nutmegview.Config) {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := make(map[nutmegview.Service]int64)
	for name, s := range c.Services {
		if s.Engine == nil {
			continue
		}
		current[name] = tokensPerEvent(s.Engine)
		if b.current[name] != current[name] {
			b.changes = append(b.changes, boundChange{revision: c.Revision, service: name, tokensPerEvent: current[name]})
		}
	}
	b.current = current
	if over := len(b.changes) - maxBoundChanges; over > 0 {
		b.dropped = b.changes[over-1].revision
		b.changes = append(b.changes[:0], b.changes[over:]...)
	}
}

// largest returns the largest maximum for a call since its admission, and false if
// that is no longer known.
func (b *tokenBounds) largest(call *nutmegcall.Call) (int64, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if call.Revision < b.dropped {
		return 0, false
	}
	largest := tokensPerEvent(call.Engine)
	for _, change := range b.changes {
		if change.service == call.Service && change.revision > call.Revision {
			largest = max(largest, change.tokensPerEvent)
		}
	}
	return largest, true
}

// tokensPerEvent returns the maximum number of tokens in one event of an engine, or of
// a plain service, whose engine is nil.
func tokensPerEvent(engine *nutmegview.Engine) int64 {
	if engine == nil {
		return 1
	}
	return max(engine.TokensPerEvent, 1)
}
