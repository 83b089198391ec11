package nutmegtrace

import (
	"errors"
	"fmt"
	"slices"

	"github.com/BurntSushi/toml"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Action names what a step of a trace does.
type Action string

// The actions.
const (
	ActionChat  Action = "chat"
	ActionOrder Action = "order"
	ActionTopUp Action = "top_up"
)

// Step is one act of a trace at a time after its start.
type Step struct {
	At        nutmegconf.Duration `toml:"at"`
	Do        Action              `toml:"do"`
	Instance  int                 `toml:"instance"` // from 0
	Workspace nutmegid.Workspace  `toml:"workspace"`
	Prompt    string              `toml:"prompt"`
	MaxTokens nutmegid.Tokens     `toml:"max_tokens"`
	Key       string              `toml:"key"`
	Body      string              `toml:"body"`
	Budget    nutmegid.BudgetID   `toml:"budget"`
	Tokens    nutmegid.Tokens     `toml:"tokens"`
	Repeat    int                 `toml:"repeat"` // sends the step so many times at once; 1 when zero
}

// FleetSpec sizes the embedded fleet of a trace.
type FleetSpec struct {
	Instances int `toml:"instances"`
	Engines   int `toml:"engines"`
	Services  int `toml:"services"`
}

// Trace is a recorded trace: a workload, what happens meanwhile and the stated outcome.
type Trace struct {
	Name       string           `toml:"name"`
	Fleet      FleetSpec        `toml:"fleet"`
	Owners     []OwnerSpec      `toml:"owner"`
	Workspaces []WorkspaceSpec  `toml:"workspace"`
	Steps      []Step           `toml:"step"`
	Outcome    map[string]int64 `toml:"outcome"`
}

// Load reads and checks a trace file.
func Load(file string) (Trace, error) {
	var t Trace
	meta, err := toml.DecodeFile(file, &t)
	if err != nil {
		var parse toml.ParseError
		if errors.As(err, &parse) {
			return t, fmt.Errorf("%s:%d: %s", file, parse.Position.Line, parse.Message)
		}
		return t, fmt.Errorf("trace %q: %w", file, err)
	}
	if unknown := meta.Undecoded(); len(unknown) > 0 {
		return t, fmt.Errorf("trace %q has unknown keys %v; see docs/TRACES.md", file, unknown)
	}
	return t, t.check(file)
}

func (t Trace) check(file string) error {
	actions := []Action{ActionChat, ActionOrder, ActionTopUp}
	var faults []error
	for n, s := range t.Steps {
		if !slices.Contains(actions, s.Do) {
			faults = append(faults, fmt.Errorf("%s: step %d does %q; use one of %v", file, n+1, s.Do, actions))
		}
		if s.Instance < 0 || s.Instance >= t.Fleet.Instances {
			faults = append(faults, fmt.Errorf("%s: step %d names instance %d of %d; count from 0", file, n+1, s.Instance, t.Fleet.Instances))
		}
	}
	known := Measures{}.counts()
	for key := range t.Outcome {
		if _, ok := known[key]; !ok {
			faults = append(faults, fmt.Errorf("%s: outcome %q is no measure; see docs/TRACES.md", file, key))
		}
	}
	return errors.Join(faults...)
}
