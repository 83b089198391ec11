package nutmegpermit

import (
	"fmt"
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
)

// askFor asks for permits every millisecond for a time and returns how many there
// were.
func askFor(g *Granter, r Request, s Share, from, length time.Duration) int {
	permitted := 0
	for now := from; now < from+length; now += time.Millisecond {
		if g.Ask(r, s, now).Permitted {
			permitted++
		}
	}
	return permitted
}

// TestHomePermitsItsShare guards against homes that permit more than the stated rate,
// or so much less that an upstream idles.
func TestHomePermitsItsShare(t *testing.T) {
	const seconds = 40
	for _, rate := range []nutmegnotice.Rate{0.2, 1, 7, 200} {
		for _, first := range []bool{true, false} {
			share := ShareOf(first)[LimitStated]
			got := float64(askFor(NewGranter(), Request{Process: "u@1", Rate: rate}, ShareOf(first), 0, seconds*time.Second))
			want := share.rate * float64(rate) * seconds
			if got > want+share.burst+share.rateBurst*float64(rate) || got < want-1.5 {
				t.Errorf("limit %g, first home %v: %g permits in %d s; want about %g", rate, first, got, seconds, want)
			}
		}
	}
}

// TestThreeHomesStayWithinTheLimit guards against instances that ask different homes,
// as while they disagree about the members of the fleet.
func TestThreeHomesStayWithinTheLimit(t *testing.T) {
	const window = 4750 * time.Millisecond // of permits whose requests arrive within 4 s
	for _, rate := range []nutmegnotice.Rate{0, 0.2, 1, 3} {
		sum := 0
		for _, first := range []bool{true, false, false} {
			g, share := NewGranter(), ShareOf(first)
			r := Request{Process: "u@1", Rate: rate}
			g.Ask(r, share, 0)
			sum += askFor(g, r, share, time.Minute, window)
		}
		if allowed := 1.5*float64(rate)*4 + 5; float64(sum) > allowed {
			t.Errorf("limit %g: three homes permit %d requests; want at most %g", rate, sum, allowed)
		}
	}
}

// TestHomesOfColdProcessesStayWithinTheLimit guards against shares that hold over some
// seconds, but not over each one.
func TestHomesOfColdProcessesStayWithinTheLimit(t *testing.T) {
	const window = 1750 * time.Millisecond // of permits whose requests arrive within a second
	for _, c := range []struct {
		firsts []bool
		rates  []nutmegnotice.Rate
	}{
		{[]bool{true, false}, []nutmegnotice.Rate{0.5, 10, 100, 1000}},
		{[]bool{true, false, false}, []nutmegnotice.Rate{0.5, 3, 10, 19}},
	} {
		for _, rate := range c.rates {
			sum := 0
			for _, first := range c.firsts {
				g, share := NewGranter(), ShareOf(first)
				r := Request{Process: "u@1", Kind: LimitWarmup, Rate: rate}
				g.Ask(r, share, 0)
				sum += askFor(g, r, share, time.Minute, window)
			}
			if allowed := 1.5*float64(rate) + 5; float64(sum) > allowed {
				t.Errorf("limit %g: %d homes permit %d requests; want at most %g", rate, len(c.firsts), sum, allowed)
			}
		}
	}
}

// TestLowerLimitOfAColdProcessBinds guards against a process that gets more than one of
// its two limits allows, whichever of them an asker knows.
func TestLowerLimitOfAColdProcessBinds(t *testing.T) {
	const length = 10 * time.Second
	share := ShareOf(true)
	for _, c := range []struct{ stated, warmup, want float64 }{{100, 10, 6.5}, {2, 10, 1.8}} {
		g := NewGranter()
		stated := Request{Process: "u@1", Kind: LimitStated, Rate: nutmegnotice.Rate(c.stated)}
		cold := Request{Process: "u@1", Kind: LimitWarmup, Rate: nutmegnotice.Rate(c.warmup)}
		permitted := 0
		for now := time.Duration(0); now < length; now += time.Millisecond {
			for _, r := range []Request{stated, cold} {
				if g.Ask(r, share, now).Permitted {
					permitted++
				}
			}
		}
		if got := float64(permitted) / length.Seconds(); got > c.want+0.4 || got < c.want-0.4 {
			t.Errorf("limits %g and %g: %g permits a second; want about %g", c.stated, c.warmup, got, c.want)
		}
	}
}

// TestLimitOfAColdProcessIsForgotten guards against a process that is warm and still
// gets no more than a cold one.
func TestLimitOfAColdProcessIsForgotten(t *testing.T) {
	g, share := NewGranter(), ShareOf(true)
	g.Ask(Request{Process: "u@1", Kind: LimitWarmup, Rate: 1}, share, 0)
	stated := Request{Process: "u@1", Rate: 100}
	g.Ask(stated, share, limitMemory+time.Second)
	if n := askFor(g, stated, share, limitMemory+time.Second, time.Second); n < 80 {
		t.Errorf("%d permits in a second; want about 90", n)
	}
}

// TestDeniedAskersReturnOneByOne guards against instances that all return for the
// same permit.
func TestDeniedAskersReturnOneByOne(t *testing.T) {
	g, share := NewGranter(), ShareOf(true)
	r := Request{Process: "u@1", Rate: 2}
	last := time.Duration(0)
	for range 5 {
		reply := g.Ask(r, share, 0)
		if reply.Permitted || reply.Wait < last+400*time.Millisecond {
			t.Errorf("permitted %v, wait %s after one of %s; want about half a second between askers", reply.Permitted, reply.Wait, last)
		}
		last = reply.Wait
	}
	for range 1000 {
		if wait := g.Ask(r, share, 0).Wait; wait > maxWait {
			t.Fatalf("wait %s; want at most %s", wait, maxWait)
		}
	}
}

// TestNewestStatedRateCounts guards against an asker with an old rate that overrides
// what the upstream has stated since.
func TestNewestStatedRateCounts(t *testing.T) {
	g, share := NewGranter(), ShareOf(true)
	newer := Request{Process: "u@1", Rate: 1, Age: time.Second}
	older := Request{Process: "u@1", Rate: 100, Age: 3 * time.Second}
	g.Ask(newer, share, time.Minute)
	if n := askFor(g, older, share, time.Minute, time.Second); n > 1 {
		t.Errorf("%d permits in a second for an asker with an old rate of %g; want at most 1", n, older.Rate)
	}
}

func TestNumberOfBucketsIsBounded(t *testing.T) {
	g := NewGranter()
	for n := range maxBuckets + 10 {
		g.Ask(Request{Process: nutmegview.Process(fmt.Sprint(n)), Rate: 1}, ShareOf(true), time.Duration(n)*time.Microsecond)
	}
	if got := len(g.buckets); got != maxBuckets {
		t.Errorf("%d buckets; want %d", got, maxBuckets)
	}
}
