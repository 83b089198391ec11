package nutmegentry

import (
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

func TestAStoppingInstanceTakesWhatEndsInTime(t *testing.T) {
	start := time.Unix(100, 0)
	s := newStopping(start, 7*time.Second)
	plain := &nutmegview.Route{}
	stream := &nutmegview.Route{Stream: true}
	tests := []struct {
		name   string
		route  *nutmegview.Route
		after  time.Duration
		output int64
		taken  bool
	}{
		{"a long stream before the balancer has seen the stop", stream, 2 * time.Second, 1000, true},
		{"a long stream after that", stream, 3 * time.Second, 400, false},
		{"a short stream after that", stream, 3 * time.Second, 100, true},
		{"a plain call", plain, 6 * time.Second, 0, true},
		{"a plain call near the end", plain, 6500 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		call := &nutmegcall.Call{Route: test.route, Arrived: start.Add(test.after), Prompt: nutmegcall.Prompt{MaxOutput: test.output}}
		refusal := s.refuse(call)
		if taken := refusal == nil; taken != test.taken {
			t.Errorf("%s: taken %v, want %v", test.name, taken, test.taken)
		}
		if refusal != nil && (refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0) {
			t.Errorf("%s: refusal %v promises nothing or names no time to come back", test.name, refusal)
		}
	}
}
