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

// SoakConfig configures one randomised run.
type SoakConfig struct {
	Seed       uint64
	Length     time.Duration
	Deployment string // drawn from the seed when empty
	Broken     string // kind of objects whose conditional writes are not checked; none when empty
}

const (
	soakInstances  = 4
	soakEngines    = 4
	soakServices   = 2
	soakFaults     = 4   // drawn for each run, at most
	soakShortest   = 0.1 // of the run's length, for a fault
	soakLongest    = 0.5
	soakRate       = 6 // requests a second of a load
	soakBudgetLean = 4 // runs in so many whose budgets run out

	brokenBudget = 1500 // tokens of each workspace while a rule is broken
	brokenBursts = 40   // in a run
	brokenAnswer = 100  // tokens
	brokenRepeat = 3    // chats of a burst

	brokenInstance = "instance:0"
)

// Soak draws a trace of load and faults from a seed. Its outcome states the
// promises that hold in every run.
func Soak(cfg SoakConfig) (Trace, error) {
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
	s := soaker{random: random, trace: &t, length: cfg.Length}
	s.loads()
	for range 1 + random.IntN(soakFaults) {
		s.fault()
	}
	s.operators()
	if cfg.Broken != "" {
		s.breakRule(cfg.Broken)
	}
	return t, nil
}

// ReplayEmbedded replays a trace on an embedded fleet of its own.
func ReplayEmbedded(ctx context.Context, t Trace) (report Report, err error) {
	fleet, err := NewFleet(t.FleetConfig())
	if err != nil {
		return Report{}, err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	return Replay(ctx, ReplayConfig{Fleet: fleet}, t)
}

// soaker draws the parts of one trace.
type soaker struct {
	random *rand.Rand
	trace  *Trace
	length time.Duration
}

func (s *soaker) between(low, high float64) nutmegconf.Duration {
	return nutmegconf.Duration(float64(s.length) * (low + (high-low)*s.random.Float64()))
}

func (s *soaker) loads() {
	kinds := sortedKeys(Workloads)
	lean := s.random.IntN(soakBudgetLean) == 0
	for n := range s.trace.Workspaces {
		w := &s.trace.Workspaces[n]
		if lean {
			w.Tokens = nutmegid.Tokens(2000 + s.random.IntN(8000))
		}
		s.trace.Loads = append(s.trace.Loads, Load{
			For: nutmegconf.Duration(s.length), Workload: kinds[s.random.IntN(len(kinds))], Workspace: w.Name,
			Rate: soakRate * s.random.Float64(),
		})
	}
}

// fault draws one fault that ends by itself.
func (s *soaker) fault() {
	kinds := []Action{
		ActionPlatformOutage, ActionPlatformDelay, ActionPlatformLostAnswers, ActionPlatformLostRequests,
		ActionPlatformWritesFail, ActionPlatformSilentWatch, ActionStaleLiveList,
		ActionCut, ActionSilence, ActionFreeze, ActionKill, ActionReplace, ActionUpstreamSilent, ActionLoseAnswers,
	}
	step := Step{
		At: s.between(0, 1-soakLongest), For: s.between(soakShortest, soakLongest),
		Do: kinds[s.random.IntN(len(kinds))], Instance: s.random.IntN(s.trace.Fleet.Instances),
		Delay: nutmegconf.Duration(time.Duration(50+s.random.IntN(500)) * time.Millisecond),
		Share: 0.1 + 0.8*s.random.Float64(),
	}
	ends := []string{endPeers, endPlatform, endUpstreams, endAll}
	step.From, step.To = fmt.Sprintf("instance:%d", step.Instance), ends[s.random.IntN(len(ends))]
	switch step.Do {
	case ActionSilence, ActionReplace:
		step.For = 0
	case ActionUpstreamSilent:
		step.Upstreams = []nutmegid.Upstream{nutmegid.Upstream(fmt.Sprintf("engine-%d", 1+s.random.IntN(soakEngines)))}
	case ActionLoseAnswers:
		step.Upstreams = []nutmegid.Upstream{nutmegid.Upstream(fmt.Sprintf("service-%d", 1+s.random.IntN(soakServices)))}
	}
	if s.isBusy(step) {
		return
	}
	s.trace.Steps = append(s.trace.Steps, step)
}

// isBusy reports whether the step's instance is killed, replaced or frozen by
// another step; one instance meets one such fault in a run.
func (s *soaker) isBusy(step Step) bool {
	ends := []Action{ActionKill, ActionReplace, ActionFreeze}
	if !slices.Contains(ends, step.Do) {
		return false
	}
	return slices.ContainsFunc(s.trace.Steps, func(o Step) bool {
		return slices.Contains(ends, o.Do) && o.Instance == step.Instance
	})
}

// operators draws acts of two operators: a top-up and a retirement.
func (s *soaker) operators() {
	w := s.trace.Workspaces[s.random.IntN(len(s.trace.Workspaces))]
	s.trace.Steps = append(s.trace.Steps,
		Step{
			At: s.between(0, 1), Do: ActionTopUp, Instance: s.random.IntN(soakInstances),
			Budget: nutmegid.WorkspaceBudget(w.Name), Tokens: nutmegid.Tokens(1000 + s.random.IntN(5000)),
		},
		Step{
			At: s.between(0, 0.5), Do: ActionRetireUpstreams, Instance: s.random.IntN(soakInstances),
			Upstreams: []nutmegid.Upstream{"engine-1"},
		})
}

// breakRule breaks the rule that a kind of objects rests on, under a load that
// needs it: budgets are raised behind their owners' back, orders are claimed
// whatever the condition of the write, and the configuration goes back to an
// older state.
func (s *soaker) breakRule(kind string) {
	switch kind {
	case "config":
		s.trace.Steps = append(s.trace.Steps,
			Step{Do: ActionTopUp, Instance: 1, Budget: nutmegid.WorkspaceBudget(s.trace.Workspaces[0].Name), Tokens: 1}, // a revision to go back from
			Step{At: nutmegconf.Duration(s.length * 2 / 10), Do: ActionCut, From: brokenInstance, To: "peers"},          // they would tell the later revision
			Step{At: nutmegconf.Duration(s.length * 3 / 10), Do: ActionPlatformRewind, Kind: kind},
			Step{At: nutmegconf.Duration(s.length * 35 / 100), Do: ActionKill, Instance: 0},
			Step{At: nutmegconf.Duration(s.length * 4 / 10), Do: ActionStart, Instance: 0})
		return
	case "budget":
		s.trace.Steps = append(s.trace.Steps, Step{
			Do: ActionPlatformEdit, Kind: kind,
			Text: fmt.Sprintf(`"prepaid":%d,`, brokenBudget), Body: fmt.Sprintf(`"prepaid":%d,`, largeBudget),
		})
	default:
		s.trace.Steps = append(s.trace.Steps, Step{Do: ActionPlatformUnchecked, Kind: kind})
	}
	for n := range s.trace.Workspaces {
		s.trace.Workspaces[n].Tokens = brokenBudget
	}
	for n := range brokenBursts {
		for instance := range soakInstances {
			s.burst(nutmegconf.Duration(n)*nutmegconf.Duration(s.length)/brokenBursts, instance, n)
		}
	}
}

// burst sends the same order and a few chats at one instance.
func (s *soaker) burst(at nutmegconf.Duration, instance, n int) {
	workspace := s.trace.Workspaces[n%len(s.trace.Workspaces)].Name
	s.trace.Steps = append(s.trace.Steps,
		Step{At: at, Do: ActionOrder, Instance: instance, Workspace: workspace, Key: fmt.Sprintf("broken-%d", n), Body: "{}"},
		Step{
			At: at, Do: ActionChat, Instance: instance, Workspace: workspace, Prompt: fmt.Sprintf("broken %d at %d", n, instance), MaxTokens: brokenAnswer,
			Repeat: brokenRepeat,
		})
}
