package nutmegadmit

import (
	"math"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// tally sums up tokens by priority.
type tally struct {
	total      float64
	byPriority map[int]float64
}

func newTally() *tally {
	return &tally{byPriority: make(map[int]float64)}
}

func (t *tally) add(priority int, tokens float64) {
	t.total += tokens
	t.byPriority[priority] += tokens
}

// less returns the tokens of priorities that are less urgent than the given one.
func (t *tally) less(priority int) float64 {
	var sum float64
	for p, tokens := range t.byPriority {
		if p > priority {
			sum += tokens
		}
	}
	return sum
}

// rank returns the number of priorities that are more urgent than the given one.
func (t *tally) rank(priority int) int {
	rank := 0
	for p := range t.byPriority {
		if p < priority {
			rank++
		}
	}
	return rank
}

// share returns the share of a priority's requests that is admitted if some tokens are to
// be refused, those of less urgent priorities first.
func (t *tally) share(priority int, refused float64) float64 {
	refused -= t.less(priority) * (1 - minAdmitted)
	return clampShare(1 - max(refused, 0)/t.byPriority[priority])
}

// scale multiplies all sums and drops the priorities that have become negligible.
func (t *tally) scale(factor float64) {
	t.total = 0
	for p, tokens := range t.byPriority {
		tokens *= factor
		if tokens < minDemand {
			delete(t.byPriority, p)
			continue
		}
		t.byPriority[p] = tokens
		t.total += tokens
	}
}

// demand sums up the tokens that requests for one service asked for lately, admitted or
// not. Tokens count half after each demandHalfLife. Instead of reducing all sums at
// each request, it raises the weight of new requests; only ratios of its sums have
// a meaning.
type demand struct {
	all         *tally
	byWorkspace map[nutmegid.Workspace]*tally
	debt        float64       // tokens that were to be refused, less those that were
	since       time.Duration // when a new request weighed 1
}

func newDemand() *demand {
	return &demand{all: newTally(), byWorkspace: make(map[nutmegid.Workspace]*tally)}
}

// add adds a request and returns its tokens as they are weighed now.
func (d *demand) add(r Request, now time.Duration) float64 {
	if now-d.since > maxDemandAge {
		d.rescale(now)
	}
	weighed := float64(max(r.Tokens, 1)) / halved(now-d.since, demandHalfLife)
	w, ok := d.byWorkspace[r.Workspace]
	if !ok {
		w = newTally()
		d.byWorkspace[r.Workspace] = w
	}
	w.add(r.Priority, weighed)
	d.all.add(r.Priority, weighed)
	return weighed
}

// rescale has new requests weigh 1 and forgets workspaces without demand.
func (d *demand) rescale(now time.Duration) {
	factor := halved(now-d.since, demandHalfLife)
	d.since = now
	d.debt *= factor
	d.all.scale(factor)
	for name, w := range d.byWorkspace {
		w.scale(factor)
		if w.total == 0 {
			delete(d.byWorkspace, name)
		}
	}
}

// share returns the share of requests such as r that is admitted if there is no room for
// a share of the demand, and whether that is for its workspace's demand. Large workspaces
// are first cut down to what all can have evenly. What must be refused beyond that
// is taken from all, less urgent requests first.
func (d *demand) share(r Request, excess float64) (share float64, large bool) {
	refused := excess * d.all.total
	level := d.largeLevel(refused)
	over := d.over(level)
	w := d.byWorkspace[r.Workspace]
	ofWorkspace := w.share(r.Priority, max(w.total-level, 0)*min(refused/max(over, minDemand), 1))
	ofAll := d.all.share(r.Priority, refused-min(over, refused))
	return max(ofWorkspace*ofAll, minAdmitted), ofWorkspace < ofAll
}

// largeLevel returns the number of tokens beyond which a workspace is large if some
// tokens are to be refused.
func (d *demand) largeLevel(refused float64) float64 {
	even := d.all.total / float64(len(d.byWorkspace))
	return max(d.fairLevel(d.all.total-refused), largeFactor*even)
}

// over returns the tokens that large workspaces ask for beyond a level.
func (d *demand) over(level float64) float64 {
	var sum float64
	for _, w := range d.byWorkspace {
		sum += max(w.total-level, 0)
	}
	return sum
}

// fairLevel returns the number of tokens that each workspace may have at most for all
// of them to have the given number together (max-min fairness).
func (d *demand) fairLevel(capacity float64) float64 {
	totals := make([]float64, 0, len(d.byWorkspace))
	for _, w := range d.byWorkspace {
		totals = append(totals, w.total)
	}
	slices.Sort(totals)
	for i, total := range totals {
		even := capacity / float64(len(totals)-i)
		if total >= even {
			return even
		}
		capacity -= total
	}
	return math.Inf(1) // there is room for all
}
