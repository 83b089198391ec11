package nutmegsuspect

import (
	"bytes"
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
)

// candidate is a suspect with enough crashes to be held back, unless another one
// explains them.
type candidate struct {
	key     Key
	record  *record
	crashes int // that count, also those that another suspect explains
	latest  time.Time
}

// judge decides which suspects are held back and until when, also those whose hold
// is over. Several suspects of one request have the same crashes, and only one of
// them is guilty. A part explains the crashes of the parts before it, because what
// most requests share comes first, and those of whole requests as long as the part
// itself is held back: a part on trial explains nothing for them. Of parts at the
// same position, the one with the most crashes comes first.
func judge(records map[Key]*record, holdTime func(extra int, k Key) time.Duration, now time.Time) map[Key]Hold {
	holds := make(map[Key]Hold)
	explained := make(explanations)
	for _, c := range candidates(records, now) {
		threshold := c.record.threshold()
		until := c.latest.Add(holdTime(c.crashes-threshold, c.key))
		hold := Hold{Suspect: Suspect{Key: c.key, Part: c.record.part}, Crashes: c.crashes, Until: until}
		if n, _ := c.record.count(explained, now); n < threshold {
			hold.From = explained.end(c, now)
		}
		isPart := c.record.part > 0
		if !hold.From.IsZero() && (isPart || !hold.From.Before(until)) {
			continue
		}
		holds[c.key] = hold
		if isPart {
			explained.add(c, until, now)
		}
	}
	return holds
}

// explanations holds the processes whose end a part explains, with the end of the
// part's hold.
type explanations map[nutmegview.Process]time.Time

// add adds the crashes that count against a part.
func (e explanations) add(c candidate, until, now time.Time) {
	for p := range c.record.crashes {
		if c.record.counts(p, now) && e[p].Before(until) {
			e[p] = until
		}
	}
}

// end returns when the last of the parts that explain a candidate's crashes is no
// longer held back.
func (e explanations) end(c candidate, now time.Time) time.Time {
	var end time.Time
	for p := range c.record.crashes {
		if c.record.counts(p, now) && e[p].After(end) {
			end = e[p]
		}
	}
	return end
}

// candidates returns the records with enough crashes, in the order in which they
// are judged.
func candidates(records map[Key]*record, now time.Time) []candidate {
	var list []candidate
	for key, r := range records {
		if len(r.crashes) < r.threshold() {
			continue
		}
		if n, latest := r.count(nil, now); n >= r.threshold() {
			list = append(list, candidate{key: key, record: r, crashes: n, latest: latest})
		}
	}
	slices.SortFunc(list, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.record.part, a.record.part), cmp.Compare(b.crashes, a.crashes), bytes.Compare(a.key[:], b.key[:]))
	})
	return list
}

// holdTime returns for how long a suspect is held back after the given number of
// crashes more than needed. Instances differ in it, so that they do not all try a
// suspect at the same moment.
func (t *Tracker) holdTime(extra int, k Key) time.Duration {
	if extra == 0 {
		return trialHold + trialDelay(t.rank(k))
	}
	hold := firstHold
	for range extra - 1 {
		hold = min(2*hold, maxHold)
	}
	random := float64(xxhash.Sum64String(string(t.cfg.Reporter)+k.String())) / math.MaxUint64
	return hold + time.Duration(holdJitter*random*float64(hold))
}

// verdicts returns the changes from one set of holds to the next.
func verdicts(before, after map[Key]Hold) []Verdict {
	var list []Verdict
	for key, hold := range after {
		if before[key].Crashes != hold.Crashes {
			list = append(list, Verdict{Hold: hold, Held: true})
		}
	}
	for key := range maps.Keys(before) {
		if _, held := after[key]; !held {
			list = append(list, Verdict{Hold: before[key]})
		}
	}
	return list
}
