package nutmegconf

import (
	"fmt"
	"net/url"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func (b *planBuilder) checkRetryPolicy(r RetryPolicy) bool {
	policies := []RetryPolicy{RetryRepeatable, RetryProtected, RetryNever}
	if slices.Contains(policies, r) {
		return true
	}
	b.addError(fmt.Sprintf("use one of %v", policies), "rule %q is unknown", r)
	return false
}

func addRoute(b *planBuilder, i Intent) {
	if !b.checkName("route", string(i.Route)) || !b.checkRetryPolicy(i.RetryPolicy) || !b.checkPriority(i.Priority) {
		return
	}
	if _, ok := b.config.Routes[i.Route]; ok {
		b.addError("choose another name", "route %q exists", i.Route)
		return
	}
	b.config.Routes[i.Route] = RouteConfig{RetryPolicy: i.RetryPolicy, Priority: i.Priority}
	b.addChange("", "added, "+string(i.RetryPolicy), "route %s", i.Route)
	b.addAffectedOwners("route %s can be called", i.Route)
}

func changeRoute(b *planBuilder, i Intent) {
	r, ok := b.config.Routes[i.Route]
	if !ok {
		b.addError("name an existing route", "route %q does not exist", i.Route)
		return
	}
	if i.Kind == IntentSetRetryPolicy {
		if !b.checkRetryPolicy(i.RetryPolicy) {
			return
		}
		b.addChange(string(r.RetryPolicy), string(i.RetryPolicy), "repeat rule of route %s", i.Route)
		if r.RetryPolicy == RetryProtected && i.RetryPolicy != RetryProtected {
			b.addWarning("calls of route %q are no longer protected against running twice", i.Route)
		}
		r.RetryPolicy = i.RetryPolicy
	} else {
		if !b.checkPriority(i.Priority) {
			return
		}
		b.addChange(string(r.Priority), string(i.Priority), "priority of route %s", i.Route)
		r.Priority = i.Priority
	}
	b.config.Routes[i.Route] = r
	b.addAffectedOwners("calls of route %s follow the new rule", i.Route)
}

func removeRoute(b *planBuilder, i Intent) {
	r, ok := b.config.Routes[i.Route]
	if !ok {
		b.addError("name an existing route", "route %q does not exist", i.Route)
		return
	}
	delete(b.config.Routes, i.Route)
	b.addChange(string(r.RetryPolicy), "removed", "route %s", i.Route)
	b.addAffectedOwners("calls of route %s are refused as not run", i.Route)
}

// addModel adds or changes a model, depending on the kind of the intent.
func addModel(b *planBuilder, i Intent) {
	before, exists := b.config.Models[i.Model]
	if exists != (i.Kind == IntentChangeModel) {
		b.addError("use add_model for a new and change_model for an existing model", "model %q exists: %t", i.Model, exists)
		return
	}
	if !b.checkName("model", string(i.Model)) || !b.checkPriority(i.Priority) {
		return
	}
	if i.Tokens < 0 || i.Tokens > maxTokens {
		b.addError("give the largest answer in tokens, or 0 for no bound", "tokens is %d", i.Tokens)
		return
	}
	after := ModelConfig{MaxTokens: i.Tokens, Priority: i.Priority}
	b.config.Models[i.Model] = after
	b.addChange(before.describe(exists), after.describe(true), "model %s", i.Model)
	b.addAffectedOwners("calls of model %s follow the new limits", i.Model)
}

// describe returns the model's limits as they are shown in a plan.
func (m ModelConfig) describe(exists bool) string {
	if !exists {
		return ""
	}
	return fmt.Sprintf("answers up to %d tokens, priority %q", m.MaxTokens, m.Priority)
}

func removeModel(b *planBuilder, i Intent) {
	m, ok := b.config.Models[i.Model]
	if !ok {
		b.addError("name an existing model", "model %q does not exist", i.Model)
		return
	}
	delete(b.config.Models, i.Model)
	b.addChange(m.describe(true), "removed", "model %s", i.Model)
	b.addAffectedOwners("the limits of model %s no longer hold", i.Model)
}

// addUpstream adds or changes an upstream, depending on the kind of the intent.
func addUpstream(b *planBuilder, i Intent) {
	if len(i.Upstreams) != 1 {
		b.addError("give one name in upstreams", "%d names given", len(i.Upstreams))
		return
	}
	name := i.Upstreams[0]
	before, exists := b.config.Upstreams[name]
	if exists != (i.Kind == IntentChangeUpstream) {
		b.addError("use add_upstream for a new and change_upstream for an existing upstream", "upstream %q exists: %t", name, exists)
		return
	}
	if !b.checkName("upstream", string(name)) || !b.checkUpstream(name, *i.Upstream) {
		return
	}
	b.config.Upstreams[name] = *i.Upstream
	b.addChange(before.describe(exists), i.Upstream.describe(true), "upstream %s", name)
	b.addAffectedOwners("upstream %s serves models %v and routes %v", name, i.Upstream.Models, i.Upstream.Routes)
}

// checkUpstream adds an error for each invalid field of an upstream. It reports
// whether there were none.
func (b *planBuilder) checkUpstream(name nutmegid.Upstream, u UpstreamConfig) bool {
	n := len(b.errs)
	if u.Kind != KindEngine && u.Kind != KindService {
		b.addError(fmt.Sprintf("use %s or %s", KindEngine, KindService), "upstream %q has the unknown kind %q", name, u.Kind)
	}
	parsed, err := url.Parse(u.URL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		b.addError("write http://ip:port or https://ip:port", "upstream %q has no URL: %q", name, u.URL)
	}
	if u.FailureDomain == "" {
		b.addError("give it", "upstream %q has no failure_domain", name)
	}
	if u.Kind == KindEngine && (len(u.Routes) > 0 || len(u.Models) == 0) {
		b.addError("give an engine models and no routes", "upstream %q has %d models and %d routes", name, len(u.Models), len(u.Routes))
	}
	if u.Kind == KindService && (len(u.Models) > 0 || len(u.Routes) == 0) {
		b.addError("give a service routes and no models", "upstream %q has %d models and %d routes", name, len(u.Models), len(u.Routes))
	}
	for _, route := range u.Routes {
		if _, ok := b.config.Routes[route]; !ok {
			b.addError("add the route first", "upstream %q serves route %q, which does not exist", name, route)
		}
	}
	return len(b.errs) == n
}

// describe returns the upstream's location as it is shown in a plan.
func (u UpstreamConfig) describe(exists bool) string {
	if !exists {
		return ""
	}
	return fmt.Sprintf("%s at %s in %s", u.Kind, u.URL, u.FailureDomain)
}

// findUpstreams returns the configurations of the named upstreams. It reports
// whether all of them exist and are named once.
func (b *planBuilder) findUpstreams(names []nutmegid.Upstream) ([]UpstreamConfig, bool) {
	var found []UpstreamConfig
	for n, name := range names {
		u, ok := b.config.Upstreams[name]
		if !ok {
			b.addError("name existing upstreams", "upstream %q does not exist", name)
		}
		if slices.Contains(names[:n], name) {
			b.addError("name each once", "upstream %q is named twice", name)
			ok = false
		}
		if ok {
			found = append(found, u)
		}
	}
	return found, len(found) == len(names)
}

func removeUpstreams(b *planBuilder, i Intent) {
	found, ok := b.findUpstreams(i.Upstreams)
	if !ok {
		return
	}
	for n, name := range i.Upstreams {
		if !found[n].Retired {
			b.addError("confirm a retire_upstreams intent first and wait until its streams end", "upstream %q is in service", name)
			continue
		}
		delete(b.config.Upstreams, name)
		b.addChange(found[n].describe(true), "removed", "upstream %s", name)
	}
}

// retireUpstreams takes upstreams out of service or restores them, depending on the
// kind of the intent.
func retireUpstreams(b *planBuilder, i Intent) {
	found, ok := b.findUpstreams(i.Upstreams)
	if !ok {
		return
	}
	retire := i.Kind == IntentRetireUpstreams
	for n, name := range i.Upstreams {
		if found[n].Retired == retire {
			b.addError("leave it out", "upstream %q is %s already", name, serviceState(retire))
			continue
		}
		found[n].Retired = retire
		b.config.Upstreams[name] = found[n]
		b.addChange(serviceState(!retire), serviceState(retire), "upstream %s", name)
	}
	instances, _ := b.fleet.Instances("")
	inService := 0
	for _, u := range b.config.Upstreams {
		if !u.Retired {
			inService++
		}
	}
	b.addAffectedOwners("%d of %d upstreams stay in service, at %d instances; requests in progress end first", inService, len(b.config.Upstreams), instances)
}

func serviceState(retired bool) string {
	if retired {
		return "retired: no new work"
	}
	return "in service"
}

// orderEngines adds an effect with the order for each named engine.
func orderEngines(b *planBuilder, i Intent) {
	if !b.engineOrders {
		b.addError("give the order at the engine itself", "this fleet gives no orders to engines")
		return
	}
	found, ok := b.findUpstreams(i.Upstreams)
	if !ok {
		return
	}
	for n, name := range i.Upstreams {
		if found[n].Kind != KindEngine {
			b.addError("name engines", "upstream %q is a plain service", name)
			continue
		}
		order := EngineOrder{Action: i.Kind, Model: i.Model, Adapter: i.Adapter, Version: i.Version, Role: i.EngineRole}
		b.addEffect(Effect{Kind: EffectOrder, Upstream: name, Order: &order})
		b.addChange("", order.String(), "engine %s", name)
		if !found[n].Fencing {
			b.addWarning("engine %q ignores fencing numbers; the order is verified by reading", name)
		}
		b.updateModels(name, found[n], i)
	}
	b.addAffectedOwners("%d engines carry out an order, one after another at the weight store's rate", len(found))
}

// updateModels updates the configured models of an engine to match the order.
func (b *planBuilder) updateModels(name nutmegid.Upstream, u UpstreamConfig, i Intent) {
	switch {
	case i.Kind == IntentLoadModel && !slices.Contains(u.Models, i.Model):
		u.Models = append(slices.Clone(u.Models), i.Model)
	case i.Kind == IntentUnloadModel:
		u.Models = slices.DeleteFunc(slices.Clone(u.Models), func(m nutmegid.Model) bool { return m == i.Model })
	}
	b.config.Upstreams[name] = u
}
