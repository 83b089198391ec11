package nutmegpermit

import "slices"

// disturb restarts or freezes an instance, adds one, or cuts one off from the store.
func (m *model) disturb() {
	m.after(m.exponential(disturbance), m.disturb)
	i := m.instances[m.random.IntN(len(m.instances))]
	switch m.random.IntN(4) {
	case 0:
		m.start(i, m.now)
		m.readColdTimes(i)
		i.excused = m.now + excusedAfter
	case 1:
		i.frozen = m.now + freezeTime
		i.excused = i.frozen + excusedAfter
	case 2:
		m.addInstance(m.now)
	case 3:
		i.storeCut = m.now + m.jitter(storeCutTime)
	}
}

// divide cuts half of the instances off from the store for the rest of the time, and
// lets as many others join.
func (m *model) divide() {
	for n, i := range slices.Clone(m.instances) {
		if n%2 == 0 {
			i.storeCut = modelLength
			m.after(messageTime, func() { m.addInstance(m.now) })
		}
	}
}

// changeLimit changes or ends the limit of an upstream.
func (m *model) changeLimit(u *modelUpstream) {
	m.after(m.exponential(changeOfLimit), func() { m.changeLimit(u) })
	u.limit *= 0.3 + 2*m.random.Float64()
	if m.random.IntN(4) == 0 {
		u.limit = 0
		u.first = -1
		for _, i := range m.instances {
			delete(i.told, u.number)
		}
	} else if u.limit == 0 {
		u.limit = 1 + m.random.Float64()
	}
	u.limits = append(u.limits, limitSpan{m.now, u.limit})
}
