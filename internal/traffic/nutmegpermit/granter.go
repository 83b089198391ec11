package nutmegpermit

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// Granter permits requests to the upstreams of whose limits this instance is the
// home. It is safe for concurrent use.
type Granter struct {
	mu      sync.Mutex
	buckets map[nutmegview.Process]*bucket
}

// bucket holds the permits for one process.
type bucket struct {
	limits  [limitKinds]limit
	permits float64       // that are left
	booked  float64       // denied requests for permits that are to come back, each for one permit
	at      time.Duration // of permits and booked
}

// limit is what a home knows of one limit of a process.
type limit struct {
	rate    float64       // requests per second
	heardAt time.Duration // when an asker learned of that rate
	askedAt time.Duration // latest request by an instance that knows the limit
	known   bool
}

// NewGranter returns a Granter that has permitted nothing yet.
func NewGranter() *Granter {
	return &Granter{buckets: make(map[nutmegview.Process]*bucket)}
}

// Ask permits one request, or says when to ask again: each denied asker is told
// another time. A request that only informs gets no permit.
func (g *Granter) Ask(r Request, s Share, now time.Duration) Reply {
	g.mu.Lock()
	defer g.mu.Unlock()
	b := g.bucket(r, now)
	b.limits[r.Kind].learn(r, now)
	rate, burst := b.share(s, now)
	b.refill(rate, burst, now)
	if r.Inform {
		return Reply{}
	}
	if b.permits >= 1 {
		b.permits--
		b.booked = max(b.booked-1, 0)
		return Reply{Permitted: true}
	}
	return Reply{Wait: b.book(rate)}
}

// bucket returns the bucket of a process. A new one is empty: another home may just
// have permitted requests.
func (g *Granter) bucket(r Request, now time.Duration) *bucket {
	b, known := g.buckets[r.Process]
	if !known {
		g.makeRoom(now)
		b = &bucket{at: now}
		g.buckets[r.Process] = b
	}
	return b
}

// makeRoom removes the buckets that are no longer asked for, or the one that was
// asked for first, if there are too many.
func (g *Granter) makeRoom(now time.Duration) {
	if len(g.buckets) < maxBuckets {
		return
	}
	var oldest nutmegview.Process
	for p, b := range g.buckets {
		if now-b.at > bucketExpiry {
			delete(g.buckets, p)
			continue
		}
		if oldest == "" || b.at < g.buckets[oldest].at {
			oldest = p
		}
	}
	if len(g.buckets) >= maxBuckets {
		delete(g.buckets, oldest)
	}
}

// learn takes over the rate that an asker knows, if it has heard it later.
func (l *limit) learn(r Request, now time.Duration) {
	if heardAt := now - r.Age; !l.known || heardAt >= l.heardAt {
		l.rate = float64(r.Rate)
		l.heardAt = heardAt
	}
	l.known = true
	l.askedAt = now
}

// share returns the rate and the burst that a home may permit: the lower ones of all
// limits that bind.
func (b *bucket) share(s Share, now time.Duration) (rate, burst float64) {
	rate, burst = math.Inf(1), math.Inf(1)
	for kind, l := range b.limits {
		if !l.known || now-l.askedAt > limitMemory {
			continue
		}
		rate = min(rate, max(l.rate, minRate)*s[kind].rate)
		burst = min(burst, s[kind].burst+s[kind].rateBurst*l.rate)
	}
	return rate, burst
}

// refill adds the permits of the time that has passed.
func (b *bucket) refill(rate, burst float64, now time.Duration) {
	added := rate * (now - b.at).Seconds()
	b.permits = min(b.permits+added, burst)
	b.booked = max(b.booked-added, 0)
	b.at = now
}

// book returns the time until a permit that no other denied asker was told of.
func (b *bucket) book(rate float64) time.Duration {
	if limit := rate * maxWait.Seconds(); b.booked < limit {
		b.booked++
	}
	seconds := (b.booked - b.permits) / rate
	return min(max(time.Duration(seconds*float64(time.Second)), minWait), maxWait)
}
