package nutmegpeer

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// fixedPermits permits nothing for a fixed time, and records requests.
type fixedPermits struct {
	requests []PermitRequest
}

func (p *fixedPermits) Permit(r PermitRequest) PermitReply {
	p.requests = append(p.requests, r)
	return PermitReply{Wait: 1500 * time.Millisecond}
}

// TestPermitIsAskedOfAPeer guards against rates that a peer could not count with.
func TestPermitIsAskedOfAPeer(t *testing.T) {
	handler := &fixedPermits{}
	f := newTestFleet(t, 2, func(_ int, cfg *Config) { cfg.Permits = handler })
	request := PermitRequest{Process: "u@1", Rate: 0.25, Age: 3 * time.Second}
	reply, err := f.peers[0].Permit(t.Context(), f.peers[1].address, request)
	if err != nil || reply.Permitted || reply.Wait != 1500*time.Millisecond {
		t.Errorf("reply %+v, error %v", reply, err)
	}
	for _, rate := range []float64{-1, math.NaN(), math.Inf(1)} {
		if _, err := f.peers[0].Permit(t.Context(), f.peers[1].address, PermitRequest{Process: "u@1", Rate: rate}); err == nil {
			t.Errorf("a request with a rate of %g was answered", rate)
		}
	}
	if diff := cmp.Diff([]PermitRequest{request}, handler.requests); diff != "" {
		t.Errorf("requests that were counted (-want +got):\n%s", diff)
	}
}
