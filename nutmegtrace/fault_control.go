package nutmegtrace

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegstand"
)

// faultControl starts and ends faults: those of stand-ins over HTTP, and those of
// links and instances directly in an embedded fleet.
type faultControl struct {
	target *Target
	fleet  *Fleet // nil for a fleet by address
	state  *faultState
}

// faultState holds the faults that are active.
type faultState struct {
	mu              sync.Mutex
	platform        nutmegstand.PlatformFaults
	engines         map[nutmegid.Upstream]nutmegstand.EngineFaults
	services        map[nutmegid.Upstream]nutmegstand.ServiceFaults
	cuts            []Step
	frozenEndpoints map[int][]string // by instance
}

func newFaultControl(target *Target, fleet *Fleet) faultControl {
	return faultControl{target: target, fleet: fleet, state: &faultState{
		engines:         make(map[nutmegid.Upstream]nutmegstand.EngineFaults),
		services:        make(map[nutmegid.Upstream]nutmegstand.ServiceFaults),
		frozenEndpoints: make(map[int][]string),
	}}
}

// embeddedOnly lists the actions that need an embedded fleet.
var embeddedOnly = []Action{
	ActionCut, ActionHeal, ActionSilence, ActionKill, ActionStop, ActionStart, ActionReplace,
	ActionFreeze, ActionThaw, ActionUpstreamLeave,
}

// NeedsEmbedded returns the line and the action of the first step that cannot run
// against a fleet of separate processes.
func (t Trace) NeedsEmbedded() (int, Action, bool) {
	for _, s := range t.Steps {
		if slices.Contains(embeddedOnly, s.Action) {
			return s.line, s.Action, true
		}
	}
	return 0, "", false
}

// apply starts or ends the fault of one step.
func (c faultControl) apply(ctx context.Context, s Step) error {
	if c.fleet == nil && slices.Contains(embeddedOnly, s.Action) {
		return fmt.Errorf("action %q needs an embedded fleet; leave out -fleet", s.Action)
	}
	switch s.Action {
	case ActionCut, ActionHeal, ActionSilence:
		return c.applyLinkFault(s)
	case ActionKill, ActionStop, ActionStart, ActionReplace, ActionFreeze, ActionThaw:
		return c.applyInstanceAction(ctx, s)
	case ActionCrashOn, ActionUpstreamSilent, ActionUpstreamRefuse, ActionUpstreamDelay, ActionLoseAnswers, ActionUpstreamHeal:
		return c.applyUpstreamFault(ctx, s)
	case ActionUpstreamLeave:
		c.fleet.markLeaving(s.Upstreams)
		return nil
	case ActionPlatformRewind:
		return c.rewind(ctx, s.Kind)
	case ActionPlatformEdit:
		return c.target.put(ctx, c.target.PlatformURL+"/edit", map[string]string{"kind": s.Kind, "old": s.Text, "text": s.Body})
	}
	return c.applyPlatformFault(ctx, s)
}

func (c faultControl) applyPlatformFault(ctx context.Context, s Step) error {
	c.state.mu.Lock()
	f := &c.state.platform
	active := !s.end
	switch s.Action {
	case ActionPlatformOutage:
		f.Outage = active
	case ActionPlatformDelay:
		f.Delay = valueIf(active, time.Duration(s.Delay))
	case ActionPlatformLostAnswers:
		f.LostAnswers = valueIf(active, s.Share)
	case ActionPlatformLostRequests:
		f.LostRequests = valueIf(active, s.Share)
	case ActionPlatformWritesFail:
		f.WritesFail = active
	case ActionPlatformSilentWatch:
		f.SilentWatch = active
	case ActionPlatformUnchecked:
		f.UncheckedKind = valueIf(active, s.Kind)
	case ActionStaleLiveList:
		f.LiveLag = valueIf(active, time.Duration(s.Delay))
	case ActionPlatformHeal:
		*f = nutmegstand.PlatformFaults{}
	}
	faults := *f
	c.state.mu.Unlock()
	return c.target.put(ctx, c.target.PlatformURL+"/faults", faults)
}

// valueIf returns v if condition is true, and the zero value otherwise.
func valueIf[T any](condition bool, v T) T {
	if condition {
		return v
	}
	var zero T
	return zero
}

// rewindWritesQuery rewinds the two writes of one confirmation: the revision, and
// then its effects as done.
const rewindWritesQuery = "?writes=2"

func (c faultControl) rewind(ctx context.Context, kind string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.target.PlatformURL+"/rewind/"+kind+rewindWritesQuery, nil)
	if err != nil {
		return err
	}
	return c.target.do(req, nil)
}

// applyUpstreamFault starts or ends a fault at the named upstreams. A crash_on
// step that names none applies to all engines.
func (c faultControl) applyUpstreamFault(ctx context.Context, s Step) error {
	names := s.Upstreams
	if s.Action == ActionCrashOn && len(names) == 0 {
		names = c.engineNames()
	}
	for _, name := range names {
		u := c.target.Upstreams[name]
		var faults any
		if u.Kind == nutmegconf.KindEngine {
			faults = c.engineFaults(name, s)
		} else {
			faults = c.serviceFaults(name, s)
		}
		if err := c.target.put(ctx, u.URL+"/faults", faults); err != nil {
			return err
		}
	}
	return nil
}

func (c faultControl) engineNames() []nutmegid.Upstream {
	var names []nutmegid.Upstream
	for name, u := range c.target.Upstreams {
		if u.Kind == nutmegconf.KindEngine {
			names = append(names, name)
		}
	}
	return names
}

func (c faultControl) engineFaults(name nutmegid.Upstream, s Step) nutmegstand.EngineFaults {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	f := c.state.engines[name]
	active := !s.end
	switch s.Action {
	case ActionCrashOn:
		f.CrashOn = valueIf(active, s.Text)
	case ActionUpstreamSilent:
		f.Silent = active
	case ActionUpstreamRefuse:
		f.Refuse = active
	case ActionUpstreamHeal:
		f = nutmegstand.EngineFaults{}
	}
	c.state.engines[name] = f
	return f
}

func (c faultControl) serviceFaults(name nutmegid.Upstream, s Step) nutmegstand.ServiceFaults {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	f := c.state.services[name]
	active := !s.end
	switch s.Action {
	case ActionUpstreamDelay:
		f.Delay = valueIf(active, time.Duration(s.Delay))
	case ActionLoseAnswers:
		f.LoseAnswer = active
	case ActionUpstreamRefuse:
		f.Refuse = active
	case ActionUpstreamHeal:
		f = nutmegstand.ServiceFaults{}
	}
	c.state.services[name] = f
	return f
}

// healAll ends all faults, so that pending settlements can complete before the
// run is evaluated.
func (c faultControl) healAll(ctx context.Context) error {
	if err := c.applyPlatformFault(ctx, Step{Action: ActionPlatformHeal}); err != nil {
		return err
	}
	for name := range c.target.Upstreams {
		if err := c.applyUpstreamFault(ctx, Step{Action: ActionUpstreamHeal, Upstreams: []nutmegid.Upstream{name}}); err != nil {
			return err
		}
	}
	if c.fleet != nil {
		c.healLinks()
	}
	return nil
}

// crashes returns how often requests have crashed engines.
func (c faultControl) crashes() int64 {
	if c.fleet == nil {
		return 0
	}
	sum := 0
	for _, e := range c.fleet.Engines {
		sum += e.Crashes()
	}
	return int64(sum)
}
