package nutmegview

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// TestRequestsStayInTheRegionsOfRouteAndWorkspace checks that both limits bind and
// that an unknown region is allowed only without a limit.
func TestRequestsStayInTheRegionsOfRouteAndWorkspace(t *testing.T) {
	type regions = []nutmegid.Region
	candidates := regions{"east", "west", "north", ""}
	for name, c := range map[string]struct {
		route     regions
		workspace *Workspace
		want      regions
	}{
		"no limit":              {nil, &Workspace{}, candidates},
		"public route":          {nil, nil, candidates},
		"route":                 {regions{"east"}, &Workspace{}, regions{"east"}},
		"limited public route":  {regions{"west"}, nil, regions{"west"}},
		"workspace":             {nil, &Workspace{Regions: regions{"north", "west"}}, regions{"west", "north"}},
		"both":                  {regions{"east", "west"}, &Workspace{Regions: regions{"west", "north"}}, regions{"west"}},
		"nothing in common":     {regions{"east"}, &Workspace{Regions: regions{"west"}}, nil},
		"an empty region named": {regions{""}, nil, nil},
	} {
		limit := LimitRegions(&Route{Regions: c.route}, c.workspace)
		var got regions
		for _, r := range candidates {
			if limit.Allows(r) {
				got = append(got, r)
			}
		}
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s: allowed regions (-want +got):\n%s", name, diff)
		}
	}
}
