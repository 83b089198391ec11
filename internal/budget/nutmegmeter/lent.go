package nutmegmeter

import (
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegbudget"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegpeer"
)

// lent keeps the reservations that this instance holds for requests of others.
// One that is not settled in time counts as used up: its request may have run.
type lent struct {
	mu   sync.Mutex
	byID map[nutmegid.ReservationID]lentReservation
}

type lentReservation struct {
	nutmegbudget.Reservation
	until time.Time
}

func newLent() *lent {
	return &lent{byID: make(map[nutmegid.ReservationID]lentReservation)}
}

// add keeps a reservation until it is settled.
func (l *lent) add(id nutmegid.ReservationID, r nutmegbudget.Reservation, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id] = lentReservation{Reservation: r, until: until}
}

// settle ends the reservations that are known here.
func (l *lent) settle(settlements []nutmegpeer.Settlement) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range settlements {
		if r, ok := l.byID[s.Reservation]; ok {
			r.Settle(s.Used)
			delete(l.byID, s.Reservation)
		}
	}
}

// expire counts reservations as used up whose time is over, and returns how
// many there were.
func (l *lent) expire(now time.Time) int {
	return l.useUp(func(r lentReservation) bool { return now.After(r.until) })
}

// expireAll counts all reservations as used up.
func (l *lent) expireAll() int {
	return l.useUp(func(lentReservation) bool { return true })
}

func (l *lent) useUp(chosen func(lentReservation) bool) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	used := 0
	for id, r := range l.byID {
		if chosen(r) {
			r.Settle(r.Tokens())
			delete(l.byID, id)
			used++
		}
	}
	return used
}

// count returns how many reservations are held.
func (l *lent) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.byID)
}
