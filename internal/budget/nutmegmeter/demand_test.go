package nutmegmeter

import (
	"testing"
	"time"
)

func TestDemandExpectsWhatWasAskedForOfLate(t *testing.T) {
	d := newDemand()
	now := time.Unix(100, 0)
	for range 60 { // a minute of 1,000 tokens a second
		d.note("rack", 1000, now)
		now = now.Add(time.Second)
	}
	if got := d.expect("rack", 8*time.Second, now); got < 6000 || got > 10_000 {
		t.Errorf("expected %d tokens in 8 seconds at 1,000 a second", got)
	}
	if got := d.expect("rack", 8*time.Second, now.Add(time.Minute)); got > 100 {
		t.Errorf("expected %d tokens a minute after the last request", got)
	}
	if got := d.expect("other", time.Hour, now); got != 0 {
		t.Errorf("expected %d tokens of a workspace without requests", got)
	}
}

func TestDemandStandsAClockThatGoesBack(t *testing.T) {
	d := newDemand()
	now := time.Unix(100, 0)
	d.note("rack", 1000, now)
	if got := d.expect("rack", demandMemory, now.Add(-time.Hour)); got > 1000 {
		t.Errorf("expected %d tokens after a clock step, 1,000 were asked for", got)
	}
}
