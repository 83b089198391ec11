package nutmegtrace

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// SoakConfig configures one randomized run.
type SoakConfig struct {
	Seed       uint64
	Length     time.Duration
	Deployment string // chosen by the seed if empty
	BrokenKind string // kind of objects whose invariant the run breaks on purpose; none if empty
}

const (
	soakInstances = 4
	soakEngines   = 4
	soakServices  = 2
	maxSoakFaults = 4   // per run
	minFaultShare = 0.1 // of the run's length, as the duration of a fault
	maxFaultShare = 0.5
	soakRate      = 6 // highest rate of a load, in requests per second
	lowBudgetOdds = 4 // one run in this many gets budgets that run out

	brokenBudget    = 1500 // tokens of each workspace in a run with a broken invariant
	brokenBursts    = 40   // per run
	brokenMaxTokens = 100  // tokens
	brokenRepeat    = 3    // chats per burst and instance

	brokenInstance = "instance:0"
)

// GenerateSoakTrace generates a trace of random load and faults from a seed. The
// outcome that it expects holds in every run.
func GenerateSoakTrace(cfg SoakConfig) (Trace, error) {
	random := rand.New(rand.NewPCG(cfg.Seed, 0))
	names := sortedKeys(deployments)
	name := names[random.IntN(len(names))]
	if cfg.Deployment != "" {
		name = cfg.Deployment
	}
	if deployments[name] == nil {
		return Trace{}, fmt.Errorf("deployment %q does not exist; use one of %v", name, names)
	}
	t := Trace{
		Name: fmt.Sprintf("soak-%d", cfg.Seed), Seed: cfg.Seed,
		Fleet: FleetSpec{Deployment: name, Instances: soakInstances, Engines: soakEngines, Services: soakServices},
		Outcome: map[string]int64{
			"overspend_tokens": 0, "double_billed": 0, "cut_answers": 0, "wrong_answers": 0, "wrong_owner": 0,
			"protected_double_runs": 0, "not_run_but_ran": 0, "sent_to_leaving": 0, "config_reverts": 0,
		},
	}
	t.applyDeployment()
	g := traceGenerator{random: random, trace: &t, length: cfg.Length}
	g.addLoads()
	for range 1 + random.IntN(maxSoakFaults) {
		g.addFault()
	}
	g.addOperatorSteps()
	if cfg.BrokenKind != "" {
		g.addInvariantBreak(cfg.BrokenKind)
	}
	return t, nil
}

// ReplayEmbedded replays a trace on its own embedded fleet.
func ReplayEmbedded(ctx context.Context, t Trace) (report Report, err error) {
	fleet, err := NewFleet(t.FleetConfig())
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	return Replay(ctx, ReplayConfig{Fleet: fleet}, t)
}

// traceGenerator generates the parts of one trace.
type traceGenerator struct {
	random *rand.Rand
	trace  *Trace
	length time.Duration
}

func (g *traceGenerator) randomDuration(low, high float64) nutmegconf.Duration {
	return nutmegconf.Duration(float64(g.length) * (low + (high-low)*g.random.Float64()))
}

func (g *traceGenerator) addLoads() {
	workloads := sortedKeys(Workloads)
	lowBudget := g.random.IntN(lowBudgetOdds) == 0
	for n := range g.trace.Workspaces {
		w := &g.trace.Workspaces[n]
		if lowBudget {
			w.Tokens = nutmegid.Tokens(2000 + g.random.IntN(8000))
		}
		g.trace.Loads = append(g.trace.Loads, Load{
			Duration: nutmegconf.Duration(g.length), Workload: workloads[g.random.IntN(len(workloads))], Workspace: w.Name,
			Rate: soakRate * g.random.Float64(),
		})
	}
}

// addFault adds one random fault that ends by itself.
func (g *traceGenerator) addFault() {
	actions := []Action{
		ActionPlatformOutage, ActionPlatformDelay, ActionPlatformLostAnswers, ActionPlatformLostRequests,
		ActionPlatformWritesFail, ActionPlatformSilentWatch, ActionStaleLiveList,
		ActionCut, ActionSilence, ActionFreeze, ActionKill, ActionReplace, ActionUpstreamSilent, ActionLoseAnswers,
	}
	step := Step{
		At: g.randomDuration(0, 1-maxFaultShare), Duration: g.randomDuration(minFaultShare, maxFaultShare),
		Action: actions[g.random.IntN(len(actions))], Instance: g.random.IntN(g.trace.Fleet.Instances),
		Delay: nutmegconf.Duration(time.Duration(50+g.random.IntN(500)) * time.Millisecond),
		Share: 0.1 + 0.8*g.random.Float64(),
	}
	endpoints := []string{endpointPeers, endpointPlatform, endpointUpstreams, endpointAll}
	step.From, step.To = fmt.Sprintf("instance:%d", step.Instance), endpoints[g.random.IntN(len(endpoints))]
	switch step.Action {
	case ActionSilence, ActionReplace:
		step.Duration = 0
	case ActionUpstreamSilent:
		step.Upstreams = []nutmegid.Upstream{nutmegid.Upstream(fmt.Sprintf("engine-%d", 1+g.random.IntN(soakEngines)))}
	case ActionLoseAnswers:
		step.Upstreams = []nutmegid.Upstream{nutmegid.Upstream(fmt.Sprintf("service-%d", 1+g.random.IntN(soakServices)))}
	}
	if g.hasInstanceFault(step) {
		return
	}
	g.trace.Steps = append(g.trace.Steps, step)
}

// hasInstanceFault reports whether the step kills, replaces or freezes an instance
// for which another step does so already. An instance has one such fault per run.
func (g *traceGenerator) hasInstanceFault(step Step) bool {
	actions := []Action{ActionKill, ActionReplace, ActionFreeze}
	if !slices.Contains(actions, step.Action) {
		return false
	}
	return slices.ContainsFunc(g.trace.Steps, func(o Step) bool {
		return slices.Contains(actions, o.Action) && o.Instance == step.Instance
	})
}

// addOperatorSteps adds actions of two operators: a top-up and a retirement.
func (g *traceGenerator) addOperatorSteps() {
	w := g.trace.Workspaces[g.random.IntN(len(g.trace.Workspaces))]
	g.trace.Steps = append(g.trace.Steps,
		Step{
			At: g.randomDuration(0, 1), Action: ActionTopUp, Instance: g.random.IntN(soakInstances),
			Budget: nutmegid.WorkspaceBudget(w.Name), Tokens: nutmegid.Tokens(1000 + g.random.IntN(5000)),
		},
		Step{
			At: g.randomDuration(0, 0.5), Action: ActionRetireUpstreams, Instance: g.random.IntN(soakInstances),
			Upstreams: []nutmegid.Upstream{"engine-1"},
		})
}

// addInvariantBreak breaks the invariant that a kind of objects depends on, under
// a load that needs it: the prepaid tokens of budgets are raised directly in the
// store, orders are claimed regardless of the condition of the write, and the
// configuration is rewound to an older state.
func (g *traceGenerator) addInvariantBreak(kind string) {
	switch kind {
	case "config":
		g.trace.Steps = append(g.trace.Steps,
			Step{Action: ActionTopUp, Instance: 1, Budget: nutmegid.WorkspaceBudget(g.trace.Workspaces[0].Name), Tokens: 1}, // a later revision to rewind from
			Step{At: nutmegconf.Duration(g.length * 2 / 10), Action: ActionCut, From: brokenInstance, To: "peers"},          // peers would pass on the later revision
			Step{At: nutmegconf.Duration(g.length * 3 / 10), Action: ActionPlatformRewind, Kind: kind},
			Step{At: nutmegconf.Duration(g.length * 35 / 100), Action: ActionKill, Instance: 0},
			Step{At: nutmegconf.Duration(g.length * 4 / 10), Action: ActionStart, Instance: 0})
		return
	case "budget":
		g.trace.Steps = append(g.trace.Steps, Step{
			Action: ActionPlatformEdit, Kind: kind,
			Text: fmt.Sprintf(`"prepaid":%d,`, brokenBudget), Body: fmt.Sprintf(`"prepaid":%d,`, largeBudget),
		})
	default:
		g.trace.Steps = append(g.trace.Steps, Step{Action: ActionPlatformUnchecked, Kind: kind})
	}
	for n := range g.trace.Workspaces {
		g.trace.Workspaces[n].Tokens = brokenBudget
	}
	for n := range brokenBursts {
		for instance := range soakInstances {
			g.addBurst(nutmegconf.Duration(n)*nutmegconf.Duration(g.length)/brokenBursts, instance, n)
		}
	}
}

// addBurst adds an order and a few chats at one instance. The order of a burst has
// the same key at every instance.
func (g *traceGenerator) addBurst(at nutmegconf.Duration, instance, n int) {
	workspace := g.trace.Workspaces[n%len(g.trace.Workspaces)].Name
	g.trace.Steps = append(g.trace.Steps,
		Step{At: at, Action: ActionOrder, Instance: instance, Workspace: workspace, Key: fmt.Sprintf("broken-%d", n), Body: "{}"},
		Step{
			At: at, Action: ActionChat, Instance: instance, Workspace: workspace, Prompt: fmt.Sprintf("broken %d at %d", n, instance), MaxTokens: brokenMaxTokens,
			Repeat: brokenRepeat,
		})
}
