package nutmegoverload

import "time"

// Reach detects that an instance reaches nobody: its attempts to connect to upstreams,
// peers and the store all fail. Its link is full or cut, although requests may still
// arrive. No request can be served in time then, and each is best refused at once.
//
// It is not safe for concurrent use.
type Reach struct {
	failures int // since the latest success
	hosts    [minHosts]string
	firstAt  time.Duration // of the failures
	lastAt   time.Duration
	probeAt  time.Duration // when the next request may try
}

// Succeeded records that a host answered.
func (r *Reach) Succeeded() {
	*r = Reach{}
}

// Failed records that a host did not answer in time.
func (r *Reach) Failed(host string, now time.Duration) {
	if now-r.lastAt > failureExpiry {
		*r = Reach{}
	}
	if r.failures == 0 {
		r.firstAt = now
	}
	r.failures++
	r.lastAt = now
	for i, known := range r.hosts {
		if known == host {
			return
		}
		if known == "" {
			r.hosts[i] = host
			return
		}
	}
}

// Lost reports whether the instance reaches nobody.
func (r *Reach) Lost() bool {
	return r.hosts[minHosts-1] != "" && r.Silence() >= minSilence
}

// Admit reports whether a request may try to reach a host. While reach is lost, one
// request per probeInterval may, to notice when hosts answer again.
func (r *Reach) Admit(now time.Duration) bool {
	if !r.Lost() {
		return true
	}
	if now < r.probeAt {
		return false
	}
	r.probeAt = now + probeInterval
	return true
}

// Silence returns the time from the first to the latest failure since a host answered.
func (r *Reach) Silence() time.Duration {
	return r.lastAt - r.firstAt
}
