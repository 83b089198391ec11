package nutmegmeter

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// peerReservations tracks the reservations held for requests of other instances.
// A reservation that is not settled in time is settled at its full size, because
// its request may have run.
type peerReservations struct {
	mu   sync.Mutex
	byID map[nutmegid.ReservationID]peerReservation
}

type peerReservation struct {
	nutmegbudget.Reservation
	expires time.Time
}

func newPeerReservations() *peerReservations {
	return &peerReservations{byID: make(map[nutmegid.ReservationID]peerReservation)}
}

// add tracks a reservation until it is settled or expires.
func (p *peerReservations) add(id nutmegid.ReservationID, r nutmegbudget.Reservation, expires time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.byID[id] = peerReservation{Reservation: r, expires: expires}
}

// settle settles the given reservations and ignores unknown ones.
func (p *peerReservations) settle(settlements []nutmegpeer.Settlement) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, s := range settlements {
		if r, ok := p.byID[s.Reservation]; ok {
			r.Settle(s.Used)
			delete(p.byID, s.Reservation)
		}
	}
}

// expire settles overdue reservations at their full size and returns their
// number.
func (p *peerReservations) expire(now time.Time) int {
	return p.settleFull(func(r peerReservation) bool { return now.After(r.expires) })
}

// expireAll settles all reservations at their full size and returns their number.
func (p *peerReservations) expireAll() int {
	return p.settleFull(func(peerReservation) bool { return true })
}

func (p *peerReservations) settleFull(match func(peerReservation) bool) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	settled := 0
	for id, r := range p.byID {
		if match(r) {
			r.Settle(r.Tokens())
			delete(p.byID, id)
			settled++
		}
	}
	return settled
}

// count returns the number of unsettled reservations.
func (p *peerReservations) count() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.byID)
}
