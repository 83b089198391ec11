package nutmegmeter

import (
	"math"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// demandMemory is the time after which what was asked for counts for a third.
const demandMemory = 6 * time.Second

// demand estimates the tokens that the urgent requests of each workspace ask
// for. Its times come as arguments.
type demand struct {
	mu    sync.Mutex
	asked map[nutmegid.Workspace]*asked
}

// asked is a sum of tokens that fades as time goes by.
type asked struct {
	tokens float64
	at     time.Time
}

func newDemand() *demand {
	return &demand{asked: make(map[nutmegid.Workspace]*asked)}
}

// note counts one request.
func (d *demand) note(w nutmegid.Workspace, n nutmegid.Tokens, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.asked[w]
	if !ok {
		a = &asked{}
		d.asked[w] = a
	}
	a.tokens = a.faded(now) + float64(n)
	a.at = now
}

// expect returns the tokens that requests will ask for in a span, if they go on
// as of late.
func (d *demand) expect(w nutmegid.Workspace, span time.Duration, now time.Time) nutmegid.Tokens {
	d.mu.Lock()
	defer d.mu.Unlock()
	a, ok := d.asked[w]
	if !ok {
		return 0
	}
	return nutmegid.Tokens(a.faded(now) * float64(span) / float64(demandMemory))
}

func (a *asked) faded(now time.Time) float64 {
	age := max(now.Sub(a.at), 0)
	return a.tokens * math.Exp(-float64(age)/float64(demandMemory))
}
