package nutmegentry

import (
	"testing"
	"time"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
)

func TestDrainAcceptsRequestsThatFinishInTime(t *testing.T) {
	start := time.Unix(100, 0)
	d := newDrain(start, 7*time.Second)
	plain := &nutmegview.Route{}
	stream := &nutmegview.Route{Stream: true}
	tests := []struct {
		name     string
		route    *nutmegview.Route
		after    time.Duration
		output   int64
		accepted bool
	}{
		{"long stream before the load balancer has noticed the stop", stream, 2 * time.Second, 1000, true},
		{"long stream after that", stream, 3 * time.Second, 400, false},
		{"short stream after that", stream, 3 * time.Second, 100, true},
		{"plain call", plain, 6 * time.Second, 0, true},
		{"plain call near the cutoff", plain, 6500 * time.Millisecond, 0, false},
	}
	for _, test := range tests {
		call := &nutmegcall.Call{Route: test.route, Arrived: start.Add(test.after), Prompt: nutmegcall.Prompt{MaxOutput: test.output}}
		refusal := d.refuse(call)
		if accepted := refusal == nil; accepted != test.accepted {
			t.Errorf("%s: accepted %v, want %v", test.name, accepted, test.accepted)
		}
		if refusal != nil && (refusal.Ran != nutmegcall.NotRun || refusal.RetryAfter <= 0) {
			t.Errorf("%s: refusal %v must state that the request did not run and have a retry delay", test.name, refusal)
		}
	}
}
