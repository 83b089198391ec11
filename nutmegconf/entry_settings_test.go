package nutmegconf

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"
)

const validEntrySettings = `[instance]
name = "kaca-1"
failure_domain = "ipoh"

[listen]
callers = "127.0.0.1:8180"
readiness = "127.0.0.1:8181"
peers = "127.0.0.1:8182"
metrics = "127.0.0.1:8183"

[store]
address = "127.0.0.1:7000"
writes_per_second = 400
reads_per_second = 2000

[retries]
window = "10s"

[limits]
memory_mb = 100
file_descriptors = 1000
`

// TestCallersLeaveResourcesToTheInstance checks that callers cannot be given so much that
// too little is left for the store, upstreams and other instances.
func TestCallersLeaveResourcesToTheInstance(t *testing.T) {
	tests := []struct {
		name, lines string
		want        []string
	}{
		{"shares", "", nil},
		{"set", "max_connections = 600\ncaller_memory_mb = 60\n", nil},
		{"too much", "max_connections = 601\ncaller_memory_mb = 61\n", []string{
			"f.toml:22: limits.max_connections: 601 is out of range; use 0 to 600",
			"f.toml:23: limits.caller_memory_mb: 61 is out of range; use 0 to 60",
		}},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := ParseEntrySettings("f.toml", []byte(validEntrySettings+tt.lines))
			var problems *SettingsError
			if err != nil && !errors.As(err, &problems) {
				t.Fatal(err)
			}
			var got []string
			if problems != nil {
				for _, p := range problems.Problems {
					got = append(got, p.String())
				}
			}
			if diff := cmp.Diff(tt.want, got); diff != "" {
				t.Errorf("problems (-want +got):\n%s", diff)
			}
		})
	}
}
