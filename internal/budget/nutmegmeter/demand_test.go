package nutmegmeter

import (
	"testing"
	"time"
)

func TestDemandForecastFollowsRecentRequests(t *testing.T) {
	d := newDemand()
	now := time.Unix(100, 0)
	for range 60 { // one minute at 1,000 tokens per second
		d.record("rack", 1000, now)
		now = now.Add(time.Second)
	}
	if got := d.forecast("rack", 8*time.Second, now); got < 6000 || got > 10_000 {
		t.Errorf("forecast %d tokens for 8 seconds at 1,000 tokens per second", got)
	}
	if got := d.forecast("rack", 8*time.Second, now.Add(time.Minute)); got > 100 {
		t.Errorf("forecast %d tokens one minute after the last request", got)
	}
	if got := d.forecast("other", time.Hour, now); got != 0 {
		t.Errorf("forecast %d tokens for a workspace without requests", got)
	}
}

func TestDemandToleratesClockGoingBack(t *testing.T) {
	d := newDemand()
	now := time.Unix(100, 0)
	d.record("rack", 1000, now)
	if got := d.forecast("rack", demandTimeConstant, now.Add(-time.Hour)); got > 1000 {
		t.Errorf("forecast %d tokens after the clock went back, want at most the 1,000 requested", got)
	}
}
