package nutmegmeter

import (
	"testing"
	"time"
)

// TestARefusedCallerIsToldWhenTokensMayBeBack refuses a request in a cut of the
// store, while others have tokens, and when nobody alive has enough.
func TestARefusedCallerIsToldWhenTokensMayBeBack(t *testing.T) {
	tests := []struct {
		name     string
		cutOff   bool
		onlyDead bool
		silence  time.Duration
		least    time.Duration
		most     time.Duration
	}{
		{name: "cut for a moment", cutOff: true, silence: 100 * time.Millisecond, least: 2 * time.Second, most: 3 * time.Second},
		{name: "cut for three seconds", cutOff: true, silence: 3 * time.Second, least: 3 * time.Second, most: 4500 * time.Millisecond},
		{name: "cut for a minute", cutOff: true, silence: time.Minute, least: 5 * time.Second, most: 7500 * time.Millisecond},
		{name: "others have tokens", least: retryAfter, most: 600 * time.Millisecond},
		{name: "nobody alive has enough", onlyDead: true, least: 5 * time.Second, most: 7500 * time.Millisecond},
	}
	for _, test := range tests {
		m := New(Config{StoreSilence: func() time.Duration { return test.silence }})
		for range 20 {
			if got := m.returnAfter(test.cutOff, test.onlyDead); got < test.least || got > test.most {
				t.Errorf("%s: callers are to return after %v, want %v to %v", test.name, got, test.least, test.most)
			}
		}
	}
}
