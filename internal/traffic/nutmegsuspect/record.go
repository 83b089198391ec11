package nutmegsuspect

import (
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// record holds what is known of one suspect.
type record struct {
	part      int                              // as in Suspect
	crashes   map[nutmegview.Process]time.Time // when each process ended
	acquitted map[nutmegview.Process]bool      // processes whose end does not count
	updatedAt time.Time
}

func newRecord(part int) *record {
	return &record{part: part, crashes: make(map[nutmegview.Process]time.Time), acquitted: make(map[nutmegview.Process]bool)}
}

// threshold returns how many processes must end before the suspect is held back.
func (r *record) threshold() int {
	if r.part > 0 {
		return crashesToHoldPart
	}
	return crashesToHold
}

// addCrash adds the end of a process. Of several times for it the earliest counts.
func (r *record) addCrash(p nutmegview.Process, at, now time.Time) {
	if known, ok := r.crashes[p]; !ok || at.Before(known) {
		r.crashes[p] = at
	}
	r.updatedAt = now
}

// counts reports whether the end of a process counts against the suspect.
func (r *record) counts(p nutmegview.Process, now time.Time) bool {
	at, crashed := r.crashes[p]
	return crashed && !r.acquitted[p] && now.Sub(at) <= ReportLifetime
}

// count returns the number of crashes that count, and the time of the latest one.
// Those in explained are left out.
func (r *record) count(explained explanations, now time.Time) (int, time.Time) {
	var latest time.Time
	n := 0
	for p, at := range r.crashes {
		if _, ok := explained[p]; ok || !r.counts(p, now) {
			continue
		}
		n++
		if at.After(latest) {
			latest = at
		}
	}
	return n, latest
}

// acquit stops counting the end of a process.
func (r *record) acquit(p nutmegview.Process, now time.Time) {
	r.acquitted[p] = true
	r.updatedAt = now
}

// acquitAll stops counting the processes that have ended, and returns an acquittal
// for each that counted until now.
func (r *record) acquitAll(k Key, now time.Time) []Acquittal {
	var list []Acquittal
	for p := range r.crashes {
		if !r.acquitted[p] {
			r.acquit(p, now)
			list = append(list, Acquittal{Suspect: Suspect{Key: k, Part: r.part}, Process: p})
		}
	}
	return list
}
