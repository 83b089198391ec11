package nutmegtrace

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Load is an open-loop generator of requests: arrivals do not wait for answers.
// Sizes that are zero come from the workload.
type Load struct {
	Start     nutmegconf.Duration `toml:"from"`
	Duration  nutmegconf.Duration `toml:"for"`
	Workload  string              `toml:"workload"`
	Workspace nutmegid.Workspace  `toml:"workspace"`
	Rate      float64             `toml:"rate"`     // requests per second
	Arrivals  Arrivals            `toml:"arrivals"` // poisson if empty
	Sizes     Sizes               `toml:"sizes"`    // log_normal if empty
	Prompt    int                 `toml:"prompt_bytes"`
	MaxTokens nutmegid.Tokens     `toml:"max_tokens"`
	Instance  *int                `toml:"instance"` // any if absent
}

// Arrivals names the distribution of interarrival times.
type Arrivals string

// Distributions of interarrival times.
const (
	ArrivalsPoisson  Arrivals = "poisson"
	ArrivalsConstant Arrivals = "constant"
)

// Sizes names the distribution of prompt and answer sizes around their mean.
type Sizes string

// Distributions of sizes.
const (
	SizesLogNormal Sizes = "log_normal"
	SizesUniform   Sizes = "uniform"
	SizesFixed     Sizes = "fixed"
)

// Workload describes one kind of request.
type Workload struct {
	Action       Action
	Prompt       int             // bytes, mean
	MaxTokens    nutmegid.Tokens // mean
	NonStreaming bool            // requests the answer without streaming
}

const (
	logNormalSigma  = 0.5 // standard deviation of the logarithm of sizes
	maxSizeFactor   = 4   // largest size as a multiple of the mean
	maxLoadRequests = 1_000_000
)

func (c *checker) checkLoad(key string, t Trace, l Load) {
	if _, ok := Workloads[l.Workload]; !ok {
		c.addProblem(key+".workload", "workload %q does not exist; use one of %v", l.Workload, sortedKeys(Workloads))
	}
	if !t.hasWorkspace(l.Workspace) {
		c.addProblem(key+".workspace", "workspace %q is not listed; add a [[workspace]] table", l.Workspace)
	}
	if l.Rate <= 0 || l.Rate*time.Duration(l.Duration).Seconds() > maxLoadRequests {
		c.addProblem(key+".rate", "rate is %g requests per second; give a positive rate with at most %d requests in total", l.Rate, maxLoadRequests)
	}
	if l.Duration <= 0 {
		c.addProblem(key+".for", "the load has no duration; give one, for example 30s")
	}
	if !slices.Contains([]Arrivals{"", ArrivalsPoisson, ArrivalsConstant}, l.Arrivals) {
		c.addProblem(key+".arrivals", "arrivals is %q; use poisson or constant", l.Arrivals)
	}
	if !slices.Contains([]Sizes{"", SizesLogNormal, SizesUniform, SizesFixed}, l.Sizes) {
		c.addProblem(key+".sizes", "sizes is %q; use log_normal, uniform or fixed", l.Sizes)
	}
	if l.Instance != nil && (*l.Instance < AnyInstance || *l.Instance >= t.Fleet.Instances) {
		c.addProblem(key+".instance", "instance %d of %d does not exist; count from 0", *l.Instance, t.Fleet.Instances)
	}
}

// Schedule returns all steps in order of time: those of the file, the requests
// that the loads generate from the seed, and the ends of timed faults. Speed
// divides all times and does not change the number of requests.
func (t Trace) Schedule(seed uint64, speed float64) []Step {
	steps := slices.Clone(t.Steps)
	for n, l := range t.Loads {
		random := rand.New(rand.NewPCG(seed, uint64(n)))
		steps = append(steps, l.steps(random, n)...)
	}
	for _, s := range t.Steps {
		if s.Duration > 0 {
			end := s
			end.At, end.end, end.Wait = s.At+s.Duration, true, false
			steps = append(steps, end)
		}
	}
	for n := range steps {
		steps[n].at = nutmegconf.Duration(float64(steps[n].At) / speed)
	}
	slices.SortStableFunc(steps, func(a, b Step) int { return cmp.Compare(a.at, b.at) })
	return steps
}

// OnlyLoads returns the trace without its steps and with the rates of its loads
// multiplied by rate. Unless length is zero, all loads start at once and last that
// long.
func (t Trace) OnlyLoads(rate float64, length time.Duration) Trace {
	t.Steps = nil
	t.Loads = slices.Clone(t.Loads)
	for n := range t.Loads {
		t.Loads[n].Rate *= rate
		if length > 0 {
			t.Loads[n].Start, t.Loads[n].Duration = 0, nutmegconf.Duration(length)
		}
	}
	return t
}

// steps generates the load's requests.
func (l Load) steps(random *rand.Rand, number int) []Step {
	w := Workloads[l.Workload]
	instance := AnyInstance
	if l.Instance != nil {
		instance = *l.Instance
	}
	var steps []Step
	end := time.Duration(l.Start + l.Duration)
	for at := time.Duration(l.Start) + l.arrivalGap(random); at < end; at += l.arrivalGap(random) {
		n := len(steps)
		steps = append(steps, Step{
			At: nutmegconf.Duration(at), Action: w.Action, Instance: instance, Workspace: l.Workspace, Workload: l.Workload,
			Prompt:       l.prompt(random, w, number, n),
			MaxTokens:    nutmegid.Tokens(l.size(random, cmp.Or(float64(l.MaxTokens), float64(w.MaxTokens)))),
			NonStreaming: w.NonStreaming,
			Key:          fmt.Sprintf("%s-%d-%d", l.Workload, number, n),
			Body:         fmt.Sprintf(`{"item":"%s-%d-%d"}`, l.Workload, number, n),
		})
	}
	return steps
}

func (l Load) arrivalGap(random *rand.Rand) time.Duration {
	mean := float64(time.Second) / l.Rate
	if l.Arrivals == ArrivalsConstant {
		return time.Duration(mean)
	}
	return time.Duration(mean * random.ExpFloat64())
}

func (l Load) size(random *rand.Rand, mean float64) int64 {
	factor := 1.0
	switch l.Sizes {
	case SizesFixed:
	case SizesUniform:
		factor = 2 * random.Float64()
	default:
		factor = math.Exp(logNormalSigma*random.NormFloat64() - logNormalSigma*logNormalSigma/2)
	}
	return max(1, int64(mean*min(factor, maxSizeFactor)))
}

// prompt returns a text that no other request of the trace has.
func (l Load) prompt(random *rand.Rand, w Workload, number, n int) string {
	size := l.size(random, cmp.Or(float64(l.Prompt), float64(w.Prompt)))
	name := fmt.Sprintf("%s %d/%d ", l.Workload, number, n)
	return name + strings.Repeat("x", max(0, int(size)-len(name)))
}

// timedFaults lists the actions whose faults can end by themselves after a time.
var timedFaults = []Action{
	ActionPlatformOutage, ActionPlatformDelay, ActionPlatformLostAnswers, ActionPlatformLostRequests,
	ActionPlatformWritesFail, ActionPlatformSilentWatch, ActionPlatformUnchecked, ActionStaleLiveList,
	ActionCut, ActionFreeze, ActionKill, ActionStop,
	ActionCrashOn, ActionUpstreamSilent, ActionUpstreamRefuse, ActionUpstreamDelay, ActionLoseAnswers,
}
