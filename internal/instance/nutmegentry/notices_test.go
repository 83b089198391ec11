package nutmegentry

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegpermit"
)

// TestLimitNamesAreReadBack guards against homes that count the requests to a cold
// process against another limit than their askers mean.
func TestLimitNamesAreReadBack(t *testing.T) {
	for _, process := range []nutmegview.Process{"u@1", "u/warmup@1", "/warmup@-62135596800000", "@0"} {
		for _, kind := range []nutmegpermit.LimitKind{nutmegpermit.LimitStated, nutmegpermit.LimitWarmup} {
			want := nutmegpermit.Request{Process: process, Kind: kind}
			var got nutmegpermit.Request
			got.Process, got.Kind = parseLimitName(limitName(want))
			if diff := cmp.Diff(want, got); diff != "" {
				t.Errorf("limit (-want +got):\n%s", diff)
			}
		}
	}
}
