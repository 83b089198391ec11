package nutmegtrace

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
)

// Action names what a step of a trace does.
type Action string

// Requests of callers.
const (
	ActionChat   Action = "chat"
	ActionLookUp Action = "look_up"
	ActionOrder  Action = "order"
)

// Actions of operators.
const (
	ActionTopUp           Action = "top_up"
	ActionMoveWorkspace   Action = "move_workspace"
	ActionRetireUpstreams Action = "retire_upstreams"
	ActionIntend          Action = "intend"
)

// Faults of the platform.
const (
	ActionPlatformOutage       Action = "platform_outage"
	ActionPlatformDelay        Action = "platform_delay"
	ActionPlatformLostAnswers  Action = "platform_lost_answers"
	ActionPlatformLostRequests Action = "platform_lost_requests"
	ActionPlatformWritesFail   Action = "platform_writes_fail"
	ActionPlatformSilentWatch  Action = "platform_silent_watch"
	ActionPlatformUnchecked    Action = "platform_unchecked"
	ActionPlatformRewind       Action = "platform_rewind"
	ActionPlatformEdit         Action = "platform_edit"
	ActionPlatformHeal         Action = "platform_heal"
	ActionStaleLiveList        Action = "stale_live_list"
)

// Faults of links and instances.
const (
	ActionCut     Action = "cut"
	ActionHeal    Action = "heal"
	ActionSilence Action = "silence"
	ActionKill    Action = "kill"
	ActionStop    Action = "stop"
	ActionStart   Action = "start"
	ActionReplace Action = "replace"
	ActionFreeze  Action = "freeze"
	ActionThaw    Action = "thaw"
)

// Faults of upstreams.
const (
	ActionCrashOn        Action = "crash_on"
	ActionUpstreamSilent Action = "upstream_silent"
	ActionUpstreamRefuse Action = "upstream_refuse"
	ActionUpstreamDelay  Action = "upstream_delay"
	ActionLoseAnswers    Action = "lose_answers"
	ActionUpstreamHeal   Action = "upstream_heal"
	ActionUpstreamLeave  Action = "upstream_leave"
)

// Step is one action of a trace at a time after its start.
type Step struct {
	At       nutmegconf.Duration `toml:"at"`
	Duration nutmegconf.Duration `toml:"for"` // after which a fault ends by itself
	Action   Action              `toml:"do"`
	Wait     bool                `toml:"wait"` // begins only once all earlier steps have ended

	// Requests.
	Instance     int                `toml:"instance"` // from 0; AnyInstance picks them round-robin
	Workspace    nutmegid.Workspace `toml:"workspace"`
	Prompt       string             `toml:"prompt"`
	MaxTokens    nutmegid.Tokens    `toml:"max_tokens"`
	NonStreaming bool               `toml:"whole"` // requests the answer without streaming
	Key          string             `toml:"key"`
	Body         string             `toml:"body"`
	Repeat       int                `toml:"repeat"` // number of simultaneous requests; 1 if zero
	Workload     string             `toml:"workload"`

	// Actions of operators.
	Budget    nutmegid.BudgetID   `toml:"budget"`
	Tokens    nutmegid.Tokens     `toml:"tokens"`
	Owner     nutmegid.Owner      `toml:"owner"`
	Upstreams []nutmegid.Upstream `toml:"upstreams"`
	Intents   []map[string]any    `toml:"intents"`

	// Faults.
	From  string              `toml:"from"` // instance:N, callers or all
	To    string              `toml:"to"`   // instance:N, peers, platform, upstreams or all
	Delay nutmegconf.Duration `toml:"delay"`
	Share float64             `toml:"share"` // fraction of calls, from 0 to 1
	Text  string              `toml:"text"`  // that requests contain for crash_on, or objects for platform_edit
	Kind  string              `toml:"kind"`  // of objects

	line int
	at   nutmegconf.Duration // At divided by the speed
	end  bool                // ends the fault of the step
}

// String returns the step on one line, without empty fields.
func (s Step) String() string {
	text := fmt.Sprintf("at %v %s", time.Duration(s.At), s.Action)
	for _, part := range []struct{ name, value string }{
		{"for", time.Duration(s.Duration).String()},
		{"instance", strconv.Itoa(s.Instance)},
		{"from", s.From},
		{"to", s.To},
		{"upstreams", fmt.Sprint(s.Upstreams)},
		{"delay", time.Duration(s.Delay).String()},
		{"share", fmt.Sprintf("%.2f", s.Share)},
		{"workspace", string(s.Workspace)},
		{"budget", string(s.Budget)},
		{"tokens", fmt.Sprint(s.Tokens)},
		{"kind", s.Kind},
	} {
		if !slices.Contains([]string{"", "0s", "[]", "0.00"}, part.value) && (part.name != "tokens" || s.Tokens > 0) {
			text += " " + part.name + "=" + part.value
		}
	}
	return text
}

// AnyInstance leaves the choice of a request's instance to load balancing.
const AnyInstance = -1

// FleetSpec sizes the embedded fleet of a trace. Values that are zero come from
// the deployment.
type FleetSpec struct {
	Deployment      string                   `toml:"deployment"`
	Instances       int                      `toml:"instances"`
	Engines         int                      `toml:"engines"`
	Services        int                      `toml:"services"`
	FailureDomains  []nutmegid.FailureDomain `toml:"failure_domains"`
	TokenTime       nutmegconf.Duration      `toml:"token_time"`
	LinkDelay       nutmegconf.Duration      `toml:"link_delay"`   // one way between failure domains
	CallerDelay     nutmegconf.Duration      `toml:"caller_delay"` // one way between callers and instances
	WritesPerSecond float64                  `toml:"writes_per_second"`
	ReadsPerSecond  float64                  `toml:"reads_per_second"`
	Settings        string                   `toml:"settings"` // TOML that overrides each instance's settings
}

// CallerSpec holds the timeouts of callers.
type CallerSpec struct {
	RequestTimeout nutmegconf.Duration `toml:"patience"` // until a caller gives up a request
	IdleTimeout    nutmegconf.Duration `toml:"idle"`     // silence after which a caller reconnects
}

// Trace is a recorded trace: a fleet, its load, the actions that happen meanwhile,
// and the expected outcome.
type Trace struct {
	Name       string           `toml:"name"`
	Seed       uint64           `toml:"seed"`
	Fleet      FleetSpec        `toml:"fleet"`
	Callers    CallerSpec       `toml:"callers"`
	Owners     []OwnerSpec      `toml:"owner"`
	Workspaces []WorkspaceSpec  `toml:"workspace"`
	Loads      []Load           `toml:"load"`
	Steps      []Step           `toml:"step"`
	Outcome    map[string]int64 `toml:"outcome"`
	AtMost     map[string]int64 `toml:"at_most"`
	AtLeast    map[string]int64 `toml:"at_least"`
}

// Check lists the expected outcomes that the measures do not meet.
func (t Trace) Check(m Measures) []Failure {
	counts := m.counts()
	var failures []Failure
	for _, key := range sortedKeys(t.Outcome) {
		if counts[key] != t.Outcome[key] {
			failures = append(failures, Failure{Measure: key, Got: counts[key], Want: t.Outcome[key]})
		}
	}
	for _, key := range sortedKeys(t.AtMost) {
		if counts[key] > t.AtMost[key] {
			failures = append(failures, Failure{Measure: key, Got: counts[key], Want: t.AtMost[key], Bound: "at most "})
		}
	}
	for _, key := range sortedKeys(t.AtLeast) {
		if counts[key] < t.AtLeast[key] {
			failures = append(failures, Failure{Measure: key, Got: counts[key], Want: t.AtLeast[key], Bound: "at least "})
		}
	}
	return failures
}
