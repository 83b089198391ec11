package nutmegadmit

import "time"

// service is what an instance knows of one service.
type service struct {
	reports  reportSum
	demand   *demand
	targets  map[int]time.Duration // latency target of the newest request, by priority
	holdTime time.Duration         // mean time of a request at its engine

	settled   float64 // share of the demand that there has been no room for, at length
	decidedAt time.Duration
}

func newService() *service {
	return &service{demand: newDemand(), targets: make(map[int]time.Duration), holdTime: initialHoldTime}
}

// excess returns the share of the demand that there is no room for. It follows the load
// at once only in part and settles slowly where the load stays as it should be, so that
// a fleet with late reports does not swing between refusing all and admitting all.
func (s *service) excess(room Room, now time.Duration) float64 {
	passed := min(now-s.decidedAt, maxSettlePeriod)
	s.decidedAt = now
	if !room.Known() || room.Load < calmLoad {
		s.settled = 0
		return 0
	}
	over := room.Load - fullLoad
	rate := settleRate
	if over < 0 {
		rate = releaseRate
	}
	s.settled = share(s.settled + rate*over*passed.Seconds())
	return share(s.settled + promptShare*over)
}

// share limits x to the range from 0 to 1.
func share(x float64) float64 {
	return min(max(x, 0), 1)
}

// lateness returns the share of the demand to refuse so that requests of no priority
// wait for longer than their latency target.
func (s *service) lateness(room Room) float64 {
	late := 0.0
	for priority := range s.demand.all.byPriority {
		target := float64(s.targets[priority])
		ahead := 1 - s.demand.all.less(priority)/s.demand.all.total // engines admit less urgent ones later
		wait := room.Waiting * ahead * float64(s.holdTime)
		if target > 0 && wait > target {
			late = max(late, 1-target/wait)
		}
	}
	return late
}

// decide returns the share of requests such as r that is admitted now, and the reason
// for which the others are refused. Weighed are the tokens of r in the demand.
func (s *service) decide(r Request, weighed float64, now time.Duration) Decision {
	d := Decision{Share: 1, Room: s.reports.room(now), Rank: s.demand.all.rank(r.Priority)}
	excess := s.excess(d.Room, now)
	if excess == 0 {
		s.demand.debt = 0
		return d
	}
	late := s.lateness(d.Room)
	missing := max(excess, late)
	s.demand.debt += missing * weighed
	var large bool
	d.Share, large = s.demand.share(r, share(missing+s.demand.debt/s.demand.all.total))
	switch {
	case d.Share == 1:
	case large:
		d.Reason = ReasonWorkspace
	case late > excess:
		d.Reason = ReasonLate
	default:
		d.Reason = ReasonPriority
	}
	return d
}
