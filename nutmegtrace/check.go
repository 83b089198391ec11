package nutmegtrace

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// stepCheckers holds the check of each action's own fields.
var stepCheckers = map[Action]func(c *checker, key string, t Trace, s Step){
	ActionChat:                 checkChat,
	ActionLookUp:               checkWorkspace,
	ActionOrder:                checkOrder,
	ActionTopUp:                checkTopUp,
	ActionMoveWorkspace:        checkMove,
	ActionRetireUpstreams:      checkUpstreams,
	ActionIntend:               checkIntend,
	ActionPlatformOutage:       checkNoFields,
	ActionPlatformDelay:        checkDelay,
	ActionPlatformLostAnswers:  checkShare,
	ActionPlatformLostRequests: checkShare,
	ActionPlatformWritesFail:   checkNoFields,
	ActionPlatformSilentWatch:  checkNoFields,
	ActionPlatformUnchecked:    checkKind,
	ActionPlatformRewind:       checkKind,
	ActionPlatformEdit:         checkEdit,
	ActionPlatformHeal:         checkNoFields,
	ActionStaleLiveList:        checkDelay,
	ActionCut:                  checkLink,
	ActionHeal:                 checkLink,
	ActionSilence:              checkLink,
	ActionKill:                 checkInstance,
	ActionStop:                 checkInstance,
	ActionStart:                checkInstance,
	ActionReplace:              checkInstance,
	ActionFreeze:               checkInstance,
	ActionThaw:                 checkInstance,
	ActionCrashOn:              checkCrash,
	ActionUpstreamSilent:       checkUpstreams,
	ActionUpstreamRefuse:       checkUpstreams,
	ActionUpstreamDelay:        checkUpstreamDelay,
	ActionLoseAnswers:          checkUpstreams,
	ActionUpstreamHeal:         checkUpstreams,
	ActionUpstreamLeave:        checkUpstreams,
}

func sortedKeys[K ~string, V any](m map[K]V) []K {
	return slices.Sorted(maps.Keys(m))
}

func (c *checker) check(t Trace) {
	if t.Name == "" {
		c.addProblem("name", "the trace has no name; give one")
	}
	if t.Fleet.Instances < 1 {
		c.addProblem("fleet.instances", "the fleet has %d instances; give at least 1 or name a deployment", t.Fleet.Instances)
	}
	if t.Fleet.Deployment != "" && deployments[t.Fleet.Deployment] == nil {
		c.addProblem("fleet.deployment", "deployment %q does not exist; use one of %v", t.Fleet.Deployment, sortedKeys(deployments))
	}
	for n, w := range t.Workspaces {
		if !slices.ContainsFunc(t.Owners, func(o OwnerSpec) bool { return o.Name == w.Owner }) {
			c.addProblem(fmt.Sprintf("workspace.%d.owner", n), "owner %q is not listed; add an [[owner]] table", w.Owner)
		}
	}
	for n, s := range t.Steps {
		c.checkStep(fmt.Sprintf("step.%d", n), t, s)
	}
	for n, l := range t.Loads {
		c.checkLoad(fmt.Sprintf("load.%d", n), t, l)
	}
	c.checkOutcome("outcome", t.Outcome)
	c.checkOutcome("at_most", t.AtMost)
	c.checkOutcome("at_least", t.AtLeast)
}

func (c *checker) checkStep(key string, t Trace, s Step) {
	check, ok := stepCheckers[s.Action]
	if !ok {
		c.addProblem(key+".do", "action %q does not exist; use one of %v", s.Action, sortedKeys(stepCheckers))
		return
	}
	if s.At < 0 || s.Duration < 0 {
		c.addProblem(key+".at", "at or for is negative; at counts from the trace's start")
	}
	if s.Instance < AnyInstance || s.Instance >= t.Fleet.Instances {
		c.addProblem(key+".instance", "instance %d of %d does not exist; count from 0, or use -1 for any", s.Instance, t.Fleet.Instances)
	}
	if s.Repeat < 0 {
		c.addProblem(key+".repeat", "repeat is %d; give a positive number", s.Repeat)
	}
	if s.Duration != 0 && !slices.Contains(timedFaults, s.Action) {
		c.addProblem(key+".for", "action %q does not end by itself; remove for", s.Action)
	}
	check(c, key, t, s)
}

func checkNoFields(*checker, string, Trace, Step) {}

func checkWorkspace(c *checker, key string, t Trace, s Step) {
	if !t.hasWorkspace(s.Workspace) {
		c.addProblem(key+".workspace", "workspace %q is not listed; add a [[workspace]] table", s.Workspace)
	}
}

func (t Trace) hasWorkspace(name nutmegid.Workspace) bool {
	return slices.ContainsFunc(t.Workspaces, func(w WorkspaceSpec) bool { return w.Name == name })
}

func checkChat(c *checker, key string, t Trace, s Step) {
	checkWorkspace(c, key, t, s)
	if s.MaxTokens <= 0 {
		c.addProblem(key+".max_tokens", "max_tokens is %d; give a positive number", s.MaxTokens)
	}
}

func checkOrder(c *checker, key string, t Trace, s Step) {
	checkWorkspace(c, key, t, s)
	if s.Key == "" {
		c.addProblem(key+".key", "the order has no key; give one")
	}
}

func checkTopUp(c *checker, key string, _ Trace, s Step) {
	if s.Budget == "" || s.Tokens <= 0 {
		c.addProblem(key+".budget", "the top-up needs budget, as workspace/NAME or owner/NAME, and positive tokens")
	}
}

func checkMove(c *checker, key string, t Trace, s Step) {
	checkWorkspace(c, key, t, s)
	if !slices.ContainsFunc(t.Owners, func(o OwnerSpec) bool { return o.Name == s.Owner }) {
		c.addProblem(key+".owner", "owner %q is not listed; add an [[owner]] table", s.Owner)
	}
}

func checkIntend(c *checker, key string, _ Trace, s Step) {
	intents, err := s.decodeIntents()
	if err != nil {
		c.addProblem(key+".intents", "an intent is malformed: %v", err)
		return
	}
	if len(intents) == 0 {
		c.addProblem(key+".intents", "the step has no intents; give at least one")
	}
}

func checkUpstreams(c *checker, key string, t Trace, s Step) {
	if len(s.Upstreams) == 0 {
		c.addProblem(key+".upstreams", "the step names no upstreams; use engine-1, service-1 and so on")
	}
	for _, name := range s.Upstreams {
		if !t.hasUpstream(name) {
			c.addProblem(key+".upstreams", "upstream %q does not exist; the fleet has engine-1 to engine-%d and service-1 to service-%d",
				name, t.Fleet.Engines, t.Fleet.Services)
		}
	}
}

func (t Trace) hasUpstream(name nutmegid.Upstream) bool {
	kind, number, _ := strings.Cut(string(name), "-")
	n, err := strconv.Atoi(number)
	count := map[string]int{"engine": t.Fleet.Engines, "service": t.Fleet.Services}[kind]
	return err == nil && n >= 1 && n <= count
}

func checkDelay(c *checker, key string, _ Trace, s Step) {
	if s.Delay <= 0 {
		c.addProblem(key+".delay", "the step has no delay; give for example 250ms")
	}
}

func checkUpstreamDelay(c *checker, key string, t Trace, s Step) {
	checkUpstreams(c, key, t, s)
	checkDelay(c, key, t, s)
}

func checkShare(c *checker, key string, _ Trace, s Step) {
	if s.Share <= 0 || s.Share > 1 {
		c.addProblem(key+".share", "share is %g; give a fraction of the calls, over 0 and up to 1", s.Share)
	}
}

func checkKind(c *checker, key string, _ Trace, s Step) {
	if s.Kind == "" {
		c.addProblem(key+".kind", "the step names no kind of objects; use for example budget, order or config")
	}
}

func checkEdit(c *checker, key string, t Trace, s Step) {
	checkKind(c, key, t, s)
	if s.Text == "" {
		c.addProblem(key+".text", "the step has no text; give the text to replace in the objects, and its replacement in body")
	}
}

func checkCrash(c *checker, key string, t Trace, s Step) {
	if s.Text == "" {
		c.addProblem(key+".text", "the step has no text; give text that a request must contain to crash an engine")
	}
	for _, name := range s.Upstreams {
		if !t.hasUpstream(name) {
			c.addProblem(key+".upstreams", "upstream %q does not exist", name)
		}
	}
}

func checkInstance(c *checker, key string, _ Trace, s Step) {
	if s.Instance < 0 {
		c.addProblem(key+".instance", "the step names no instance; count from 0")
	}
}

func checkLink(c *checker, key string, t Trace, s Step) {
	if !t.isEndpoint(s.From, endpointCallers, endpointAll) {
		c.addProblem(key+".from", "from is %q; use instance:N, callers or all", s.From)
	}
	if !t.isEndpoint(s.To, endpointPeers, endpointPlatform, endpointUpstreams, endpointAll) {
		c.addProblem(key+".to", "to is %q; use instance:N, peers, platform, upstreams or all", s.To)
	}
}

// Endpoints of links besides instance:N.
const (
	endpointCallers   = "callers"
	endpointPeers     = "peers"
	endpointPlatform  = "platform"
	endpointUpstreams = "upstreams"
	endpointAll       = "all"
)

func (t Trace) isEndpoint(endpoint string, named ...string) bool {
	if slices.Contains(named, endpoint) {
		return true
	}
	n, ok := parseInstanceEndpoint(endpoint)
	return ok && n < t.Fleet.Instances
}

// parseInstanceEndpoint returns N of the endpoint "instance:N".
func parseInstanceEndpoint(endpoint string) (int, bool) {
	number, ok := strings.CutPrefix(endpoint, "instance:")
	n, err := strconv.Atoi(number)
	return n, ok && err == nil && n >= 0
}

func (c *checker) checkOutcome(table string, outcome map[string]int64) {
	known := Measures{}.counts()
	for _, key := range sortedKeys(outcome) {
		if _, ok := known[key]; !ok {
			c.addProblem(table+"."+key, "measure %q does not exist; use one of %v", key, sortedKeys(known))
		}
	}
}
