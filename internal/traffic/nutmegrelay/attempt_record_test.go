package nutmegrelay

import (
	"net/http"
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegconn"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func TestFailedAttemptsAreRecordedWithTheirConclusion(t *testing.T) {
	tests := []struct {
		name    string
		route   nutmegview.Route
		handler http.HandlerFunc
		want    AttemptRecord
	}{
		{"refused", nonIdempotent, refuseRequest, AttemptRecord{Sent: nutmegconn.SentAll, Status: 503, Conclusion: ConclusionRefused, Policy: PolicyOnce}},
		{"unavailable", idempotent, status(http.StatusServiceUnavailable), AttemptRecord{Sent: nutmegconn.SentAll, Status: 503, Conclusion: ConclusionMayHaveRun, Policy: PolicyIdempotent}},
		{"closed", resumable, truncated(""), AttemptRecord{Sent: nutmegconn.SentAll, Status: 200, Conclusion: ConclusionMayHaveRun, Policy: PolicyResumable}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(t, tt.handler)
			var got []AttemptRecord
			f.relay.cfg.OnDecision = func(_ *nutmegcall.Call, d Decision) {
				if d.Record != nil {
					got = append(got, *d.Record)
				}
			}
			_, _ = f.relay.Serve(t.Context(), newCall(tt.route), &recorder{})
			tt.want.Process = f.view.Upstreams().ByID["u0"].Process()
			if diff := cmp.Diff([]AttemptRecord{tt.want}, got); diff != "" {
				t.Error(diff)
			}
		})
	}
}

func TestAttemptWithoutConnectionIsRecordedAsNotSent(t *testing.T) {
	f := newFleet(t, text("never"))
	u := f.view.Upstreams().ByID["u0"]
	u.Address = "127.0.0.1:1"
	f.relay.cfg.Placer.SetUpstreams(&nutmegview.Upstreams{ByID: map[nutmegid.Upstream]nutmegview.Upstream{"u0": u}})
	var got []Conclusion
	f.relay.cfg.OnDecision = func(_ *nutmegcall.Call, d Decision) {
		if d.Record != nil {
			got = append(got, d.Record.Conclusion)
		}
	}
	_, _ = f.relay.Serve(t.Context(), newCall(nonIdempotent), &recorder{})
	if diff := cmp.Diff([]Conclusion{ConclusionNotSent}, got); diff != "" {
		t.Error(diff)
	}
}
