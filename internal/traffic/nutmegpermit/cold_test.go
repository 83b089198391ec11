package nutmegpermit

import "testing"

// coldFleet is a fleet whose upstreams turn cold one by one, and once all together,
// under several times the requests that cold ones take.
func coldFleet() modelConfig {
	limits := make([]float64, 90)
	for n := range limits {
		limits[n] = 9.9
	}
	return modelConfig{instances: 77, limits: limits, rate: 2500, cold: true}
}

// coldSeeds returns the number of seeds of a fleet; runs of large ones take long.
func (c modelConfig) coldSeeds() uint64 {
	if len(c.limits) > modelSeeds {
		return 1
	}
	return modelSeeds
}

// coldFleets are the sizes and limits of fleets with cold upstreams.
func coldFleets() []modelConfig {
	return []modelConfig{
		coldFleet(),
		{instances: 7, limits: []float64{9.9, 1, 40}, rate: 300, cold: true},
		{instances: 450, limits: []float64{0.5, 9.9, 9.9, 15}, rate: 300, cold: true},
	}
}

// coolAll lets all upstreams turn cold at once.
func (m *model) coolAll() {
	for _, u := range m.upstreams {
		m.cool(u)
	}
}

// coolAgain lets an upstream turn cold, and later again.
func (m *model) coolAgain(u *modelUpstream) {
	m.cool(u)
	m.after(m.exponential(coldInterval), func() { m.coolAgain(u) })
}

// cool lets an upstream turn cold. Instances learn of that one after the other.
func (m *model) cool(u *modelUpstream) {
	u.coldFrom, u.coldTo = m.now, m.now+coldTime
	began := m.now
	for _, i := range m.instances {
		delete(i.told, u.number)
		m.after(m.jitter(spreadTime), func() {
			if _, known := i.told[u.number]; !known && u.coldFrom == began && m.now < u.coldTo {
				i.told[u.number] = m.now
			}
		})
	}
}

// readColdTimes lets an instance that has just started read the upstreams' entries.
func (m *model) readColdTimes(i *modelInstance) {
	for _, u := range m.upstreams {
		if m.cfg.cold && m.now < u.coldTo && m.now-u.coldFrom > spreadTime/2 {
			i.told[u.number] = m.now
		}
	}
}

func playColdFleets(t *testing.T, adjust func(*modelConfig)) {
	t.Helper()
	for _, cfg := range coldFleets() {
		adjust(&cfg)
		for cfg.seed = range cfg.coldSeeds() {
			if r := newModel(cfg).run(); r.excess > 0 {
				t.Errorf("%d instances, seed %d: %+v; want no excess", cfg.instances, cfg.seed, r)
			}
		}
	}
}

// TestColdUpstreamsGetNoMoreInAnySecond guards against upstreams that turn cold in the
// middle of a burst, or all at once, and get more in some second than they bear.
func TestColdUpstreamsGetNoMoreInAnySecond(t *testing.T) {
	t.Parallel()
	playColdFleets(t, func(*modelConfig) {})
}

// TestColdUpstreamsWhileTheFleetChanges plays the same with instances that restart,
// freeze, join, or do not reach the store.
func TestColdUpstreamsWhileTheFleetChanges(t *testing.T) {
	t.Parallel()
	playColdFleets(t, func(cfg *modelConfig) { cfg.disturbed = true })
}

// TestColdUpstreamsInADividedFleet plays the same with two views of the members, so that
// a process has two homes.
func TestColdUpstreamsInADividedFleet(t *testing.T) {
	t.Parallel()
	playColdFleets(t, func(cfg *modelConfig) { cfg.divided = true })
}

// TestModelNoticesBrokenPermitsOfColdUpstreams checks that the model fails instances of
// which each keeps the limit for itself, and homes that permit three times their share.
func TestModelNoticesBrokenPermitsOfColdUpstreams(t *testing.T) {
	t.Parallel()
	alone := coldFleet()
	alone.alone = true
	if r := newModel(alone).run(); r.excess <= 0 {
		t.Errorf("instances that count alone: %+v; want an excess", r)
	}
	broken := coldFleet()
	broken.overstate = true
	if r := newModel(broken).run(); r.excess <= 0 {
		t.Errorf("homes that permit three times their share: %+v; want an excess", r)
	}
}

// counted returns how many arrivals count, over all upstreams.
func (m *model) counted() int {
	n := 0
	for _, u := range m.upstreams {
		n += len(u.arrivals)
	}
	return n
}

// TestModelOfColdUpstreamsCountsArrivals guards against a model in which nothing counts,
// or in which cold upstreams get nothing.
func TestModelOfColdUpstreamsCountsArrivals(t *testing.T) {
	m := newModel(coldFleet())
	m.run()
	perSecond := float64(m.counted()) / float64(len(m.upstreams)) / coldLength.Seconds()
	share := coldTime.Seconds() / coldInterval.Seconds()
	if perSecond < 0.25*9.9*share {
		t.Errorf("a cold upstream gets %.1f requests a second; want a quarter of its limit or more", perSecond/share)
	}
}
