package nutmegoverload

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// samplePattern feeds a lag pattern to the detector and returns the times at which
// its state changed.
func samplePattern(d *Detector, to time.Duration, lag func(at time.Duration) time.Duration) []time.Duration {
	var changes []time.Duration
	for at := time.Duration(0); at < to; at += SampleInterval {
		if d.Sample(Sample{Lag: lag(at), At: at}) {
			changes = append(changes, at)
		}
	}
	return changes
}

// TestLateTimersCauseOverload simulates a surge of requests on a weak instance:
// timers fire a quarter of a second late until callers move away.
func TestLateTimersCauseOverload(t *testing.T) {
	d := New()
	changes := samplePattern(d, 20*time.Second, func(at time.Duration) time.Duration {
		if at < 5*time.Second || at > 12*time.Second {
			return 2 * time.Millisecond
		}
		return 250 * time.Millisecond
	})
	if len(changes) != 2 || changes[0] > 5500*time.Millisecond || changes[1] < 12*time.Second || changes[1] > 13*time.Second {
		t.Errorf("the state changed at %v, want within half a second of the start of the surge and a second of its end", changes)
	}
}

func TestSinglePauseIsNotOverload(t *testing.T) {
	d := New()
	changes := samplePattern(d, 5*time.Second, func(at time.Duration) time.Duration {
		if at == time.Second {
			return 250 * time.Millisecond
		}
		return time.Millisecond
	})
	if diff := cmp.Diff([]time.Duration(nil), changes); diff != "" {
		t.Errorf("changes after one pause (-want +got):\n%s", diff)
	}
}

func TestSmallTimerLagIsNotOverload(t *testing.T) {
	d := New()
	changes := samplePattern(d, 30*time.Second, func(at time.Duration) time.Duration {
		return at % (40 * time.Millisecond)
	})
	if diff := cmp.Diff([]time.Duration(nil), changes); diff != "" {
		t.Errorf("changes at lags of up to 40 ms (-want +got):\n%s", diff)
	}
}

// TestOverloadHasMinimumDuration simulates a load that ends abruptly. The overload
// must last long enough for callers to move away.
func TestOverloadHasMinimumDuration(t *testing.T) {
	d := New()
	changes := samplePattern(d, 10*time.Second, func(at time.Duration) time.Duration {
		if at < time.Second {
			return 300 * time.Millisecond
		}
		return 0
	})
	if len(changes) != 2 || changes[1]-changes[0] < minDuration {
		t.Errorf("the state changed at %v, want an overload of at least %v", changes, minDuration)
	}
}

// TestFullLinkIsOverload simulates bursts of long prompts on an instance with a
// slow link.
func TestFullLinkIsOverload(t *testing.T) {
	d := New()
	var changes []time.Duration
	for at := time.Duration(0); at < 20*time.Second; at += SampleInterval {
		link := 0.1
		if at > 5*time.Second && at < 10*time.Second && at%(200*time.Millisecond) != 0 {
			link = 1
		}
		if d.Sample(Sample{Callers: link, At: at}) {
			changes = append(changes, at)
		}
	}
	if len(changes) != 2 || changes[0] < 5*time.Second || changes[0] > 7*time.Second || changes[1] < 10*time.Second || changes[1] > 13*time.Second {
		t.Errorf("the state changed at %v, want within two seconds of the start of the surge and three of its end", changes)
	}
}

func TestHalfUsedLinkIsNotOverload(t *testing.T) {
	d := New()
	for at := time.Duration(0); at < 20*time.Second; at += SampleInterval {
		if d.Sample(Sample{Callers: 0.5, At: at}) {
			t.Fatalf("overloaded at %v with half of the link's bandwidth in use", at)
		}
	}
}

// fillLink simulates a workspace that fills the link whenever it is sent here, which
// it is 2 s after each end of an overload. It returns how long the overloads lasted.
func fillLink(weak bool, to time.Duration) []time.Duration {
	d := New()
	var durations []time.Duration
	var changed time.Duration
	for at := time.Duration(0); at < to; at += SampleInterval {
		callers := 0.0
		if !d.Overloaded() && at-changed > 2*time.Second {
			callers = 1
		}
		if !d.Sample(Sample{Callers: callers, Weak: weak, At: at}) {
			continue
		}
		if !d.Overloaded() {
			durations = append(durations, at-changed)
		}
		changed = at
	}
	return durations
}

// TestBusyWorkspaceDoesNotReturnToWeakInstance simulates a workspace that fills one
// instance's link after another. Where others have faster links, it must have time to
// reach one of these before it can return.
func TestBusyWorkspaceDoesNotReturnToWeakInstance(t *testing.T) {
	durations := fillLink(true, 50*time.Second)
	if len(durations) != 2 || durations[0] < weakDuration || durations[1] < 2*weakDuration {
		t.Errorf("overloads lasted %v, want %v at least and twice that after the return", durations, weakDuration)
	}
}

// TestOverloadAmongEqualsIsShort simulates the same workspace where no instance has a
// faster link: staying away would only load the others.
func TestOverloadAmongEqualsIsShort(t *testing.T) {
	for _, duration := range fillLink(false, 30*time.Second) {
		if duration > minDuration+time.Second {
			t.Errorf("an overload lasted %v, want %v at most", duration, minDuration+time.Second)
		}
	}
}

// TestConnectionsStayOpenOnceLoadIsGone simulates callers whose new connections go to
// another instance. The open ones are worth keeping: closing them loads the others.
func TestConnectionsStayOpenOnceLoadIsGone(t *testing.T) {
	d := New()
	for at := time.Duration(0); at < 6*time.Second; at += SampleInterval {
		callers := 1.0
		if at > 2*time.Second {
			callers = 0.2
		}
		d.Sample(Sample{Callers: callers, Weak: true, At: at})
		if at == 2*time.Second && !d.Loaded() {
			t.Error("the instance is not loaded while callers fill its link")
		}
	}
	if !d.Overloaded() || d.Loaded() {
		t.Errorf("overloaded %v, loaded %v; want an overload that goes on without load", d.Overloaded(), d.Loaded())
	}
}
