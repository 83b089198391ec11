package nutmegadmit

import (
	"math"
	"time"
)

// Report is the load that one engine states.
type Report struct {
	Running int
	Waiting int
	Slots   int // concurrent requests
}

// Room is what is known of the room at the engines of a service.
type Room struct {
	Load    float64       // requests per slot, running and waiting
	Waiting float64       // waiting requests per slot
	Reports float64       // weight of the reports; a new one counts 1
	Age     time.Duration // mean age of the reports
}

// Known reports whether there are enough recent reports.
func (r Room) Known() bool {
	return r.Reports >= minReports
}

// reportSum sums up reports, whose weight falls with age and with each newer report.
type reportSum struct {
	load    float64 // per slot
	waiting float64 // per slot
	reports float64
	age     float64 // in seconds
	at      time.Duration
}

// add adds a report. All engines count alike, and each within bounds, so that what one of
// them states wrongly does not decide for the service.
func (s *reportSum) add(r Report, now time.Duration) {
	if r.Slots <= 0 {
		return
	}
	s.decay(now)
	s.scale(1 - 1/maxReports)
	slots := float64(r.Slots)
	running := min(float64(r.Running)/slots, 1)
	waiting := min(float64(r.Waiting)/slots, maxWaiting)
	s.load += running + waiting
	s.waiting += waiting
	s.reports++
}

// decay reduces the weight of all reports to that at the given time.
func (s *reportSum) decay(now time.Duration) {
	passed := max(now-s.at, 0)
	s.age += s.reports * passed.Seconds()
	s.scale(halved(passed, reportHalfLife))
	s.at = max(now, s.at)
}

// scale multiplies the weight of all reports.
func (s *reportSum) scale(factor float64) {
	s.load *= factor
	s.waiting *= factor
	s.reports *= factor
	s.age *= factor
}

// room returns what the reports say at the given time.
func (s *reportSum) room(now time.Duration) Room {
	s.decay(now)
	if s.reports == 0 {
		return Room{}
	}
	return Room{
		Load: s.load / s.reports, Waiting: s.waiting / s.reports, Reports: s.reports,
		Age: time.Duration(s.age / s.reports * float64(time.Second)),
	}
}

// halved returns the weight of what counts half after each half-life.
func halved(age, halfLife time.Duration) float64 {
	return math.Exp2(-float64(age) / float64(halfLife))
}
