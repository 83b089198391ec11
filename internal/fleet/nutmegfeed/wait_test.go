package nutmegfeed

import (
	"testing"
	"time"
)

// longWait is the wait of polls for changes that are rare.
const longWait = 5 * time.Second / 3

// waitLong makes a member wait long for changes.
func waitLong(m *member) {
	m.wait = longWait
	m.feed.cfg.FeederWait, m.feed.cfg.PeerWait = longWait, longWait
	m.feed.cfg.MaxAge = func() time.Duration { return longWait + 400*time.Millisecond }
}

// TestRareChangesTakeFewPolls covers a kind whose objects change seldom and must be
// heeded soon: the two feeders poll the store as seldom as their waits allow, and a
// change reaches all members at once.
func TestRareChangesTakeFewPolls(t *testing.T) {
	const span = 30 * longWait
	runDomainWith(t, 40, waitLong, func(t *testing.T, d *domain) {
		d.store.mu.Lock()
		clear(d.store.polls)
		d.store.mu.Unlock()
		time.Sleep(span)
		d.store.mu.Lock()
		polls := 0
		for _, n := range d.store.polls {
			polls += n
		}
		d.store.mu.Unlock()
		if limit := feeders*int(span/longWait) + feeders; polls > limit {
			t.Errorf("%d polls of the store in %v, want at most %d", polls, span, limit)
		}
		d.store.put("u", "changed")
		checkSeen(t, d, "u", "changed", 10*time.Millisecond)
	})
}

// feeders is the number of members that poll the store.
const feeders = 2

// TestSilentFeederIsReplacedAfterLongWait covers a feeder whose connections fall silent
// just before a change: the others must see the change long before three waits.
func TestSilentFeederIsReplacedAfterLongWait(t *testing.T) {
	for name, silence := range map[string]func(d *domain){
		"to its peers":  func(d *domain) { d.set(d.silent, "i0", true) },
		"without store": func(d *domain) { d.store.set(d.store.down, "i0", true) },
	} {
		t.Run(name, func(t *testing.T) {
			runDomainWith(t, 8, waitLong, func(t *testing.T, d *domain) {
				silence(d)
				d.store.put("u", "changed")
				checkSeen(t, d, "u", "changed", 2*longWait+peerMargin, "i0")
			})
		})
	}
}
