package nutmegsuspect

import "time"

// answers remembers the keys of requests that upstreams have answered, for
// answerLifetime to twice that.
type answers struct {
	current  map[Key]struct{}
	previous map[Key]struct{}
	since    time.Time // start of current
}

// add remembers a key. While current is full, further keys are not remembered.
func (a *answers) add(k Key, now time.Time) {
	a.rotate(now)
	if len(a.current) < maxAnswers {
		a.current[k] = struct{}{}
	}
}

// has reports whether a request with the key was answered lately.
func (a *answers) has(k Key, now time.Time) bool {
	a.rotate(now)
	_, current := a.current[k]
	_, previous := a.previous[k]
	return current || previous
}

// rotate starts a new map after answerLifetime. Time may jump, in both directions.
func (a *answers) rotate(now time.Time) {
	age := now.Sub(a.since)
	if a.current != nil && age >= 0 && age < answerLifetime {
		return
	}
	a.previous = a.current
	if age >= 2*answerLifetime {
		a.previous = nil
	}
	a.current = make(map[Key]struct{})
	a.since = now
}
