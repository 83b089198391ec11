package nutmegpermit

import "time"

// judge compares the arrivals in all windows with the bound.
func (m *model) judge() {
	limits := 0.0
	served := 0
	b := m.cfg.bound()
	m.result.excess = -b.allowance
	for _, u := range m.upstreams {
		limits += u.limit * modelLength.Seconds()
		served += u.served
		first := 0
		for last, at := range u.arrivals {
			for at-u.arrivals[first] > b.window {
				first++
			}
			if over := float64(last-first+1) - b.factor*u.allowed(at, b.window) - b.allowance; over > m.result.excess {
				m.result.excess, m.result.upstream, m.result.at = over, u.number, at
			}
		}
	}
	m.result.used = float64(served) / limits
}

// allowed returns what the limits allow in the window that ends at the time given.
// The limit before a change counts for half a second more.
func (u *modelUpstream) allowed(end, window time.Duration) float64 {
	sum := 0.0
	for at := end - window; at < end; at += modelTick {
		sum += max(u.limitAt(at), u.limitAt(at-toldDelay)) * modelTick.Seconds()
	}
	return sum
}

const modelTick = 50 * time.Millisecond

func (u *modelUpstream) limitAt(at time.Duration) float64 {
	limit := u.limits[0].limit
	for _, s := range u.limits {
		if s.from <= at {
			limit = s.limit
		}
	}
	return limit
}
