package nutmegadmit

import "time"

// service is what an instance knows of one service.
type service struct {
	reports     reportSum
	demand      *demand
	serviceTime time.Duration // mean time of a request at its engine

	settled   float64 // share of the demand that there has been no room for, at length
	decidedAt time.Duration
}

func newService() *service {
	return &service{demand: newDemand(), serviceTime: initialServiceTime}
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
	s.settled = clampShare(s.settled + rate*over*passed.Seconds())
	return clampShare(s.settled + promptShare*over)
}

// clampShare limits x to the range from 0 to 1.
func clampShare(x float64) float64 {
	return min(max(x, 0), 1)
}

// wait estimates for how long a request waits at its engine.
func (s *service) wait(r Request, room Room) time.Duration {
	ahead := 1 - s.demand.all.less(r.Priority)/s.demand.all.total // engines admit less urgent ones later
	return time.Duration(room.Waiting * ahead * float64(s.serviceTime))
}

// decide returns the share of requests such as r that is admitted now, and the reason
// for which the others are refused. weighed is the number of tokens of r, as weighted
// in the demand.
func (s *service) decide(r Request, weighed float64, now time.Duration) Decision {
	d := Decision{Share: 1, Room: s.reports.room(now), Rank: s.demand.all.rank(r.Priority)}
	excess := s.excess(d.Room, now)
	if excess == 0 {
		s.demand.debt = 0
		return d
	}
	s.demand.debt += excess * weighed
	var large bool
	d.Share, large = s.demand.share(r, clampShare(excess+s.demand.debt/s.demand.all.total))
	switch {
	case d.Share == 1:
	case large:
		d.Reason = ReasonWorkspace
	default:
		d.Reason = ReasonPriority
	}
	if wait := s.wait(r, d.Room); wait > r.LatencyTarget && r.LatencyTarget > 0 {
		d.Share = max(d.Share*float64(r.LatencyTarget)/float64(wait), minAdmitted)
		d.Reason = ReasonLate
	}
	return d
}
