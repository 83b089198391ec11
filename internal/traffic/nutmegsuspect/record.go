package nutmegsuspect

import "time"

// record holds what is known of requests with one key.
type record struct {
	crashes   map[Process]time.Time // when each process ended
	acquitted map[Process]bool      // processes whose end no longer counts
	updatedAt time.Time
}

func newRecord() *record {
	return &record{crashes: make(map[Process]time.Time), acquitted: make(map[Process]bool)}
}

// addCrash adds the end of a process. Of several times for it the earliest counts.
func (r *record) addCrash(p Process, at, now time.Time) {
	if known, ok := r.crashes[p]; !ok || at.Before(known) {
		r.crashes[p] = at
	}
	r.updatedAt = now
}

// counted returns the number of crashes that count, and the time of the latest.
func (r *record) counted(now time.Time) (int, time.Time) {
	var latest time.Time
	n := 0
	for process, at := range r.crashes {
		if r.acquitted[process] || now.Sub(at) > ReportLifetime {
			continue
		}
		n++
		if at.After(latest) {
			latest = at
		}
	}
	return n, latest
}

// heldUntil returns the number of crashes that count and until when the requests
// are held back; the zero time if they are not.
func (r *record) heldUntil(now time.Time) (int, time.Time) {
	n, latest := r.counted(now)
	if n < crashesToHold {
		return n, time.Time{}
	}
	hold := firstHold
	for range n - crashesToHold {
		hold = min(2*hold, maxHold)
	}
	until := latest.Add(hold)
	if !now.Before(until) {
		return n, time.Time{}
	}
	return n, until
}

// compare orders records by importance: those that hold requests back are the most
// important, and then the latest.
func (r *record) compare(other *record, now time.Time) int {
	_, until := r.heldUntil(now)
	_, otherUntil := other.heldUntil(now)
	if until.IsZero() != otherUntil.IsZero() {
		if until.IsZero() {
			return -1
		}
		return 1
	}
	return r.updatedAt.Compare(other.updatedAt)
}

// acquit stops counting crashes, and reports whether one of them counted before.
func (r *record) acquit(processes []Process, now time.Time) bool {
	r.updatedAt = now
	changed := false
	for _, p := range processes {
		_, crashed := r.crashes[p]
		changed = changed || crashed && !r.acquitted[p]
		r.acquitted[p] = true
	}
	return changed
}

// open returns the processes whose end counts.
func (r *record) open() []Process {
	var list []Process
	for p := range r.crashes {
		if !r.acquitted[p] {
			list = append(list, p)
		}
	}
	return list
}
