package nutmegtrace

import (
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// checkers holds the check of each action's own fields.
var checkers = map[Action]func(c *checker, key string, t Trace, s Step){
	ActionChat:                 checkChat,
	ActionLookUp:               checkWorkspace,
	ActionOrder:                checkOrder,
	ActionTopUp:                checkTopUp,
	ActionMoveWorkspace:        checkMove,
	ActionRetireUpstreams:      checkUpstreams,
	ActionIntend:               checkIntend,
	ActionPlatformOutage:       checkNothing,
	ActionPlatformDelay:        checkDelay,
	ActionPlatformLostAnswers:  checkShare,
	ActionPlatformLostRequests: checkShare,
	ActionPlatformWritesFail:   checkNothing,
	ActionPlatformSilentWatch:  checkNothing,
	ActionPlatformUnchecked:    checkKind,
	ActionPlatformRewind:       checkKind,
	ActionPlatformEdit:         checkEdit,
	ActionPlatformHeal:         checkNothing,
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
		c.fault("name", "the trace has no name; give one")
	}
	if t.Fleet.Instances < 1 {
		c.fault("fleet.instances", "the fleet has %d instances; give at least 1 or name a deployment", t.Fleet.Instances)
	}
	if t.Fleet.Deployment != "" && deployments[t.Fleet.Deployment] == nil {
		c.fault("fleet.deployment", "deployment %q does not exist; use one of %v", t.Fleet.Deployment, sortedKeys(deployments))
	}
	for n, w := range t.Workspaces {
		if !slices.ContainsFunc(t.Owners, func(o OwnerSpec) bool { return o.Name == w.Owner }) {
			c.fault(fmt.Sprintf("workspace.%d.owner", n), "owner %q is not listed; add an [[owner]] table", w.Owner)
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
	check, ok := checkers[s.Do]
	if !ok {
		c.fault(key+".do", "action %q does not exist; use one of %v", s.Do, sortedKeys(checkers))
		return
	}
	if s.At < 0 || s.For < 0 {
		c.fault(key+".at", "times are negative; count from the trace's start")
	}
	if s.Instance < AnyInstance || s.Instance >= t.Fleet.Instances {
		c.fault(key+".instance", "instance %d of %d does not exist; count from 0, or use -1 for any", s.Instance, t.Fleet.Instances)
	}
	if s.Repeat < 0 {
		c.fault(key+".repeat", "repeat is %d; give a positive number", s.Repeat)
	}
	if s.For != 0 && !slices.Contains(lasting, s.Do) {
		c.fault(key+".for", "action %q does not end by itself; leave for out", s.Do)
	}
	check(c, key, t, s)
}

func checkNothing(*checker, string, Trace, Step) {}

func checkWorkspace(c *checker, key string, t Trace, s Step) {
	if !t.hasWorkspace(s.Workspace) {
		c.fault(key+".workspace", "workspace %q is not listed; add a [[workspace]] table", s.Workspace)
	}
}

func (t Trace) hasWorkspace(name nutmegid.Workspace) bool {
	return slices.ContainsFunc(t.Workspaces, func(w WorkspaceSpec) bool { return w.Name == name })
}

func checkChat(c *checker, key string, t Trace, s Step) {
	checkWorkspace(c, key, t, s)
	if s.MaxTokens <= 0 {
		c.fault(key+".max_tokens", "max_tokens is %d; give a positive number", s.MaxTokens)
	}
}

func checkOrder(c *checker, key string, t Trace, s Step) {
	checkWorkspace(c, key, t, s)
	if s.Key == "" {
		c.fault(key+".key", "the order has no key; give one")
	}
}

func checkTopUp(c *checker, key string, _ Trace, s Step) {
	if s.Budget == "" || s.Tokens <= 0 {
		c.fault(key+".budget", "the top-up needs budget, as workspace/NAME or owner/NAME, and positive tokens")
	}
}

func checkMove(c *checker, key string, t Trace, s Step) {
	checkWorkspace(c, key, t, s)
	if !slices.ContainsFunc(t.Owners, func(o OwnerSpec) bool { return o.Name == s.Owner }) {
		c.fault(key+".owner", "owner %q is not listed; add an [[owner]] table", s.Owner)
	}
}

func checkIntend(c *checker, key string, _ Trace, s Step) {
	intents, err := s.intents()
	if err != nil {
		c.fault(key+".intents", "an intent is malformed: %v", err)
		return
	}
	if len(intents) == 0 {
		c.fault(key+".intents", "the step has no intents; give at least one")
	}
}

func checkUpstreams(c *checker, key string, t Trace, s Step) {
	if len(s.Upstreams) == 0 {
		c.fault(key+".upstreams", "the step names no upstreams; use engine-1, service-1 and so on")
	}
	for _, name := range s.Upstreams {
		if !t.hasUpstream(name) {
			c.fault(key+".upstreams", "upstream %q does not exist; the fleet has engine-1 to engine-%d and service-1 to service-%d",
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
		c.fault(key+".delay", "the step has no delay; give for example 250ms")
	}
}

func checkUpstreamDelay(c *checker, key string, t Trace, s Step) {
	checkUpstreams(c, key, t, s)
	checkDelay(c, key, t, s)
}

func checkShare(c *checker, key string, _ Trace, s Step) {
	if s.Share <= 0 || s.Share > 1 {
		c.fault(key+".share", "share is %g; give a part of the calls, over 0 and up to 1", s.Share)
	}
}

func checkKind(c *checker, key string, _ Trace, s Step) {
	if s.Kind == "" {
		c.fault(key+".kind", "the step names no kind of objects; use for example budget, order or config")
	}
}

func checkEdit(c *checker, key string, t Trace, s Step) {
	checkKind(c, key, t, s)
	if s.Text == "" {
		c.fault(key+".text", "the step has no text; give what the objects hold, and its replacement in body")
	}
}

func checkCrash(c *checker, key string, t Trace, s Step) {
	if s.Text == "" {
		c.fault(key+".text", "the step has no text; give what a crashing request holds")
	}
	for _, name := range s.Upstreams {
		if !t.hasUpstream(name) {
			c.fault(key+".upstreams", "upstream %q does not exist", name)
		}
	}
}

func checkInstance(c *checker, key string, _ Trace, s Step) {
	if s.Instance < 0 {
		c.fault(key+".instance", "the step names no instance; count from 0")
	}
}

func checkLink(c *checker, key string, t Trace, s Step) {
	if !t.isEndpoint(s.From, endCallers, endAll) {
		c.fault(key+".from", "from is %q; use instance:N, callers or all", s.From)
	}
	if !t.isEndpoint(s.To, endPeers, endPlatform, endUpstreams, endAll) {
		c.fault(key+".to", "to is %q; use instance:N, peers, platform, upstreams or all", s.To)
	}
}

// The ends of links besides instance:N.
const (
	endCallers   = "callers"
	endPeers     = "peers"
	endPlatform  = "platform"
	endUpstreams = "upstreams"
	endAll       = "all"
)

func (t Trace) isEndpoint(end string, named ...string) bool {
	if slices.Contains(named, end) {
		return true
	}
	n, ok := instanceOf(end)
	return ok && n < t.Fleet.Instances
}

// instanceOf reads "instance:N".
func instanceOf(end string) (int, bool) {
	number, ok := strings.CutPrefix(end, "instance:")
	n, err := strconv.Atoi(number)
	return n, ok && err == nil && n >= 0
}

func (c *checker) checkOutcome(table string, outcome map[string]int64) {
	known := Measures{}.counts()
	for _, key := range sortedKeys(outcome) {
		if _, ok := known[key]; !ok {
			c.fault(table+"."+key, "%q is no measure; use one of %v", key, sortedKeys(known))
		}
	}
}
