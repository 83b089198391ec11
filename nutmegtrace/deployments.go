package nutmegtrace

import (
	"cmp"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Workloads holds the kinds of requests of both deployments by name.
var Workloads = map[string]Workload{
	"batch_plan":       {Action: ActionChat, Prompt: 2000, MaxTokens: 400},
	"cut_list":         {Action: ActionChat, Prompt: 300, MaxTokens: 120},
	"quick_check":      {Action: ActionChat, Prompt: 80, MaxTokens: 16, NonStreaming: true},
	"stock_look_up":    {Action: ActionLookUp},
	"pane_order":       {Action: ActionOrder},
	"build_sheet":      {Action: ActionChat, Prompt: 3000, MaxTokens: 250},
	"rework_plan":      {Action: ActionChat, Prompt: 1200, MaxTokens: 350},
	"clerk_question":   {Action: ActionChat, Prompt: 120, MaxTokens: 40},
	"inspection_check": {Action: ActionChat, Prompt: 200, MaxTokens: 12, NonStreaming: true},
	"shipping_release": {Action: ActionOrder},
}

// deployment holds the defaults of a trace that runs on the present fleet of one
// of the two organizations.
type deployment struct {
	fleet      FleetSpec
	owner      OwnerSpec
	workspaces []WorkspaceSpec
}

const (
	kacaAmanah = "kaca_amanah"
	brazos     = "brazos"

	largeBudget nutmegid.Tokens = 4_000_000
	smallBudget nutmegid.Tokens = 400_000

	platformWrites = 300  // per second
	platformReads  = 2000 // per second
)

var deployments = map[string]*deployment{
	kacaAmanah: {
		fleet: FleetSpec{
			Instances: 7, Engines: 20, Services: 3,
			FailureDomains:  []nutmegid.FailureDomain{"shah_alam", "ipoh", "johor_bahru"},
			LinkDelay:       nutmegconf.Duration(500 * time.Microsecond),
			CallerDelay:     nutmegconf.Duration(time.Millisecond),
			WritesPerSecond: platformWrites, ReadsPerSecond: platformReads,
		},
		owner: OwnerSpec{Name: kacaAmanah, Tokens: 3 * largeBudget},
		workspaces: deploymentWorkspaces(kacaAmanah,
			[]nutmegid.Workspace{"longhouse_plans", "cutting_desk", "glass_rack"},
			[]nutmegid.Workspace{"village_homes", "surau", "flood_repair", "edge_checks", "stock", "north_crew", "south_crew"}),
	},
	brazos: {
		fleet: FleetSpec{
			Instances: 7, Engines: 12, Services: 3,
			FailureDomains:  []nutmegid.FailureDomain{"waco_a", "waco_b", "temple_c"},
			LinkDelay:       nutmegconf.Duration(1500 * time.Microsecond),
			CallerDelay:     nutmegconf.Duration(3 * time.Millisecond),
			WritesPerSecond: platformWrites, ReadsPerSecond: platformReads,
		},
		owner: OwnerSpec{Name: brazos, Tokens: 3 * largeBudget},
		workspaces: deploymentWorkspaces(brazos,
			[]nutmegid.Workspace{"build_sheets", "rework", "quality"},
			[]nutmegid.Workspace{"clerks", "dock", "line_1", "line_2", "line_3", "mainframe", "shipping"}),
	},
}

func deploymentWorkspaces(owner nutmegid.Owner, large, small []nutmegid.Workspace) []WorkspaceSpec {
	var specs []WorkspaceSpec
	for _, name := range large {
		specs = append(specs, WorkspaceSpec{Name: name, Owner: owner, Tokens: largeBudget, Priority: nutmegconf.PrioritySteady})
	}
	for _, name := range small {
		specs = append(specs, WorkspaceSpec{Name: name, Owner: owner, Tokens: smallBudget, Priority: nutmegconf.PriorityCheck})
	}
	return specs
}

// applyDeployment sets the values that the trace leaves to its deployment.
func (t *Trace) applyDeployment() {
	d := deployments[t.Fleet.Deployment]
	if d == nil {
		return
	}
	f := &t.Fleet
	f.Instances = cmp.Or(f.Instances, d.fleet.Instances)
	f.Engines = cmp.Or(f.Engines, d.fleet.Engines)
	f.Services = cmp.Or(f.Services, d.fleet.Services)
	f.LinkDelay = cmp.Or(f.LinkDelay, d.fleet.LinkDelay)
	f.CallerDelay = cmp.Or(f.CallerDelay, d.fleet.CallerDelay)
	f.WritesPerSecond = cmp.Or(f.WritesPerSecond, d.fleet.WritesPerSecond)
	f.ReadsPerSecond = cmp.Or(f.ReadsPerSecond, d.fleet.ReadsPerSecond)
	if len(f.FailureDomains) == 0 {
		f.FailureDomains = d.fleet.FailureDomains
	}
	if !t.hasOwner(d.owner.Name) {
		t.Owners = append(t.Owners, d.owner)
	}
	for _, w := range d.workspaces {
		if !t.hasWorkspace(w.Name) {
			t.Workspaces = append(t.Workspaces, w)
		}
	}
}

func (t *Trace) hasOwner(name nutmegid.Owner) bool {
	for _, o := range t.Owners {
		if o.Name == name {
			return true
		}
	}
	return false
}
