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

// control switches faults: those of stand-ins over HTTP, those of links and
// instances in an embedded fleet.
type control struct {
	target *Target
	fleet  *Fleet // nil for a fleet by address
	state  *faultState
}

// faultState is which faults are on.
type faultState struct {
	mu       sync.Mutex
	platform nutmegstand.PlatformFaults
	engines  map[nutmegid.Upstream]nutmegstand.EngineFaults
	services map[nutmegid.Upstream]nutmegstand.ServiceFaults
	cuts     []Step
	frozen   map[int][]string // the ends that were frozen, by instance
}

func newControl(target *Target, fleet *Fleet) control {
	return control{target: target, fleet: fleet, state: &faultState{
		engines:  make(map[nutmegid.Upstream]nutmegstand.EngineFaults),
		services: make(map[nutmegid.Upstream]nutmegstand.ServiceFaults),
		frozen:   make(map[int][]string),
	}}
}

// embeddedOnly are the actions that need an embedded fleet.
var embeddedOnly = []Action{
	ActionCut, ActionHeal, ActionSilence, ActionKill, ActionStop, ActionStart, ActionReplace,
	ActionFreeze, ActionThaw, ActionUpstreamLeave,
}

// NeedsEmbedded returns the first line whose step cannot be carried out on a
// fleet of separate processes, and its action.
func (t Trace) NeedsEmbedded() (int, Action, bool) {
	for _, s := range t.Steps {
		if slices.Contains(embeddedOnly, s.Do) {
			return s.line, s.Do, true
		}
	}
	return 0, "", false
}

// apply begins or ends the fault of one step.
func (c control) apply(ctx context.Context, s Step) error {
	if c.fleet == nil && slices.Contains(embeddedOnly, s.Do) {
		return fmt.Errorf("the action needs an embedded fleet; leave -fleet out")
	}
	switch s.Do {
	case ActionCut, ActionHeal, ActionSilence:
		return c.link(s)
	case ActionKill, ActionStop, ActionStart, ActionReplace, ActionFreeze, ActionThaw:
		return c.instance(ctx, s)
	case ActionCrashOn, ActionUpstreamSilent, ActionUpstreamRefuse, ActionUpstreamDelay, ActionLoseAnswers, ActionUpstreamHeal:
		return c.upstreams(ctx, s)
	case ActionUpstreamLeave:
		c.fleet.announceLeaving(s.Upstreams)
		return nil
	case ActionPlatformRewind:
		return c.rewind(ctx, s.Kind)
	case ActionPlatformEdit:
		return c.target.put(ctx, c.target.PlatformURL+"/edit", map[string]string{"kind": s.Kind, "old": s.Text, "text": s.Body})
	}
	return c.platform(ctx, s)
}

func (c control) platform(ctx context.Context, s Step) error {
	c.state.mu.Lock()
	f := &c.state.platform
	on := !s.end
	switch s.Do {
	case ActionPlatformOutage:
		f.Outage = on
	case ActionPlatformDelay:
		f.Delay = when(on, time.Duration(s.Delay))
	case ActionPlatformLostAnswers:
		f.LostAnswers = when(on, s.Share)
	case ActionPlatformLostRequests:
		f.LostRequests = when(on, s.Share)
	case ActionPlatformWritesFail:
		f.WritesFail = on
	case ActionPlatformSilentWatch:
		f.SilentWatch = on
	case ActionPlatformUnchecked:
		f.UncheckedKind = when(on, s.Kind)
	case ActionStaleLiveList:
		f.LiveLag = when(on, time.Duration(s.Delay))
	case ActionPlatformHeal:
		*f = nutmegstand.PlatformFaults{}
	}
	faults := *f
	c.state.mu.Unlock()
	return c.target.put(ctx, c.target.PlatformURL+"/faults", faults)
}

// when returns v, or the zero value where on is false.
func when[T any](on bool, v T) T {
	if on {
		return v
	}
	var zero T
	return zero
}

// rewoundWrites covers one confirm: it writes the revision, and then its effects as done.
const rewoundWrites = "?writes=2"

func (c control) rewind(ctx context.Context, kind string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.target.PlatformURL+"/rewind/"+kind+rewoundWrites, nil)
	if err != nil {
		return err
	}
	return c.target.do(req, nil)
}

// upstreams switches the faults of the named upstreams; of all engines where
// crash_on names none.
func (c control) upstreams(ctx context.Context, s Step) error {
	names := s.Upstreams
	if s.Do == ActionCrashOn && len(names) == 0 {
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

func (c control) engineNames() []nutmegid.Upstream {
	var names []nutmegid.Upstream
	for name, u := range c.target.Upstreams {
		if u.Kind == nutmegconf.KindEngine {
			names = append(names, name)
		}
	}
	return names
}

func (c control) engineFaults(name nutmegid.Upstream, s Step) nutmegstand.EngineFaults {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	f := c.state.engines[name]
	on := !s.end
	switch s.Do {
	case ActionCrashOn:
		f.CrashOn = when(on, s.Text)
	case ActionUpstreamSilent:
		f.Silent = on
	case ActionUpstreamRefuse:
		f.Refuse = on
	case ActionUpstreamHeal:
		f = nutmegstand.EngineFaults{}
	}
	c.state.engines[name] = f
	return f
}

func (c control) serviceFaults(name nutmegid.Upstream, s Step) nutmegstand.ServiceFaults {
	c.state.mu.Lock()
	defer c.state.mu.Unlock()
	f := c.state.services[name]
	on := !s.end
	switch s.Do {
	case ActionUpstreamDelay:
		f.Delay = when(on, time.Duration(s.Delay))
	case ActionLoseAnswers:
		f.LoseAnswer = on
	case ActionUpstreamRefuse:
		f.Refuse = on
	case ActionUpstreamHeal:
		f = nutmegstand.ServiceFaults{}
	}
	c.state.services[name] = f
	return f
}

// healAll ends all faults, so that what is left can settle before the judgement.
func (c control) healAll(ctx context.Context) error {
	if err := c.platform(ctx, Step{Do: ActionPlatformHeal}); err != nil {
		return err
	}
	for name := range c.target.Upstreams {
		if err := c.upstreams(ctx, Step{Do: ActionUpstreamHeal, Upstreams: []nutmegid.Upstream{name}}); err != nil {
			return err
		}
	}
	if c.fleet != nil {
		c.healLinks()
	}
	return nil
}

// crashes counts how often requests have crashed engines.
func (c control) crashes() int64 {
	if c.fleet == nil {
		return 0
	}
	sum := 0
	for _, e := range c.fleet.Engines {
		sum += e.Crashes()
	}
	return int64(sum)
}
