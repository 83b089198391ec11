package nutmegtrace

import (
	"fmt"

	"github.com/BurntSushi/toml"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// fleetFile is the file format for the addresses of a fleet of separate processes.
type fleetFile struct {
	Platform    string              `toml:"platform"`
	OperatorKey string              `toml:"operator_key"`
	Model       nutmegid.Model      `toml:"model"`
	Instances   []InstanceAddress   `toml:"instance"`
	Upstreams   []fleetFileUpstream `toml:"upstream"`
}

type fleetFileUpstream struct {
	Name          nutmegid.Upstream       `toml:"name"`
	Kind          nutmegconf.UpstreamKind `toml:"kind"`
	URL           string                  `toml:"url"`
	FailureDomain nutmegid.FailureDomain  `toml:"failure_domain"`
}

// ReadTarget reads the addresses of a fleet from a file.
func ReadTarget(file string) (*Target, error) {
	var f fleetFile
	meta, err := toml.DecodeFile(file, &f)
	if err != nil {
		return nil, fmt.Errorf("cannot decode fleet file %q: %w", file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return nil, fmt.Errorf("fleet file %q has unknown keys %v; see docs/TRACES.md", file, unknown)
	}
	if f.Platform == "" || len(f.Instances) == 0 || len(f.Upstreams) == 0 {
		return nil, fmt.Errorf("fleet file %q lacks platform, [[instance]] or [[upstream]] and needs all three; see docs/TRACES.md", file)
	}
	t := NewTarget(f.Platform, f.OperatorKey)
	if f.Model != "" {
		t.Model = f.Model
	}
	for n, a := range f.Instances {
		t.SetInstance(n, a)
	}
	for _, u := range f.Upstreams {
		config := nutmegconf.UpstreamConfig{Kind: u.Kind, URL: u.URL, FailureDomain: u.FailureDomain}
		if u.Kind == nutmegconf.KindEngine {
			config.Models = []nutmegid.Model{t.Model}
		} else {
			config.Routes = []nutmegid.Route{DefaultRoute, DefaultLookUpRoute}
		}
		t.Upstreams[u.Name] = config
	}
	return t, nil
}
