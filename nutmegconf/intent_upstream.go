package nutmegconf

import (
	"fmt"
	"net/url"
	"slices"

	"github.com/nutmegwind/nutmegwind/nutmegid"
)

func (d *draft) rule(r RepeatRule) bool {
	rules := []RepeatRule{RuleRepeatable, RuleProtected, RuleNever}
	if slices.Contains(rules, r) {
		return true
	}
	d.fault(fmt.Sprintf("use one of %v", rules), "rule %q is unknown", r)
	return false
}

func addRoute(d *draft, i Intent) {
	if !d.name("route", string(i.Route)) || !d.rule(i.Rule) || !d.priority(i.Priority) {
		return
	}
	if _, ok := d.config.Routes[i.Route]; ok {
		d.fault("choose another name", "route %q exists", i.Route)
		return
	}
	d.config.Routes[i.Route] = RouteConfig{Rule: i.Rule, Priority: i.Priority}
	d.change("", "added, "+string(i.Rule), "route %s", i.Route)
	d.affectAll("route %s can be called", i.Route)
}

func changeRoute(d *draft, i Intent) {
	r, ok := d.config.Routes[i.Route]
	if !ok {
		d.fault("name an existing route", "route %q does not exist", i.Route)
		return
	}
	if i.Kind == IntentSetRepeatRule {
		if !d.rule(i.Rule) {
			return
		}
		d.change(string(r.Rule), string(i.Rule), "repeat rule of route %s", i.Route)
		if r.Rule == RuleProtected && i.Rule != RuleProtected {
			d.warn("calls of route %q are no longer protected against running twice", i.Route)
		}
		r.Rule = i.Rule
	} else {
		if !d.priority(i.Priority) {
			return
		}
		d.change(string(r.Priority), string(i.Priority), "priority of route %s", i.Route)
		r.Priority = i.Priority
	}
	d.config.Routes[i.Route] = r
	d.affectAll("calls of route %s follow the new rule", i.Route)
}

func removeRoute(d *draft, i Intent) {
	r, ok := d.config.Routes[i.Route]
	if !ok {
		d.fault("name an existing route", "route %q does not exist", i.Route)
		return
	}
	delete(d.config.Routes, i.Route)
	d.change(string(r.Rule), "removed", "route %s", i.Route)
	d.affectAll("calls of route %s are refused as not run", i.Route)
}

// addModel adds a model or changes it.
func addModel(d *draft, i Intent) {
	before, exists := d.config.Models[i.Model]
	if exists != (i.Kind == IntentChangeModel) {
		d.fault("use add_model for a new and change_model for an existing model", "model %q exists: %t", i.Model, exists)
		return
	}
	if !d.name("model", string(i.Model)) || !d.priority(i.Priority) {
		return
	}
	if i.Tokens < 0 || i.Tokens > maxTokens {
		d.fault("give the largest answer in tokens, or 0 for no bound", "tokens is %d", i.Tokens)
		return
	}
	after := ModelConfig{MaxTokens: i.Tokens, Priority: i.Priority}
	d.config.Models[i.Model] = after
	d.change(before.text(exists), after.text(true), "model %s", i.Model)
	d.affectAll("calls of model %s follow the new limits", i.Model)
}

func (m ModelConfig) text(exists bool) string {
	if !exists {
		return ""
	}
	return fmt.Sprintf("answers up to %d tokens, priority %q", m.MaxTokens, m.Priority)
}

func removeModel(d *draft, i Intent) {
	m, ok := d.config.Models[i.Model]
	if !ok {
		d.fault("name an existing model", "model %q does not exist", i.Model)
		return
	}
	delete(d.config.Models, i.Model)
	d.change(m.text(true), "removed", "model %s", i.Model)
	d.affectAll("the limits of model %s no longer hold", i.Model)
}

// addUpstream adds an upstream or changes it.
func addUpstream(d *draft, i Intent) {
	if len(i.Upstreams) != 1 {
		d.fault("give one name in upstreams", "%d names given", len(i.Upstreams))
		return
	}
	name := i.Upstreams[0]
	before, exists := d.config.Upstreams[name]
	if exists != (i.Kind == IntentChangeUpstream) {
		d.fault("use add_upstream for a new and change_upstream for an existing upstream", "upstream %q exists: %t", name, exists)
		return
	}
	if !d.name("upstream", string(name)) || !d.upstream(name, *i.Upstream) {
		return
	}
	d.config.Upstreams[name] = *i.Upstream
	d.change(before.text(exists), i.Upstream.text(true), "upstream %s", name)
	d.affectAll("upstream %s serves models %v and routes %v", name, i.Upstream.Models, i.Upstream.Routes)
}

func (d *draft) upstream(name nutmegid.Upstream, u UpstreamConfig) bool {
	n := len(d.faults)
	if u.Kind != KindEngine && u.Kind != KindService {
		d.fault(fmt.Sprintf("use %s or %s", KindEngine, KindService), "upstream %q has the unknown kind %q", name, u.Kind)
	}
	parsed, err := url.Parse(u.URL)
	if err != nil || parsed.Host == "" || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		d.fault("write http://ip:port or https://ip:port", "upstream %q has no URL: %q", name, u.URL)
	}
	if u.FailureDomain == "" {
		d.fault("give it", "upstream %q has no failure_domain", name)
	}
	if u.Kind == KindEngine && (len(u.Routes) > 0 || len(u.Models) == 0) {
		d.fault("give an engine models and no routes", "upstream %q has %d models and %d routes", name, len(u.Models), len(u.Routes))
	}
	if u.Kind == KindService && (len(u.Models) > 0 || len(u.Routes) == 0) {
		d.fault("give a service routes and no models", "upstream %q has %d models and %d routes", name, len(u.Models), len(u.Routes))
	}
	for _, route := range u.Routes {
		if _, ok := d.config.Routes[route]; !ok {
			d.fault("add the route first", "upstream %q serves route %q, which does not exist", name, route)
		}
	}
	return len(d.faults) == n
}

func (u UpstreamConfig) text(exists bool) string {
	if !exists {
		return ""
	}
	return fmt.Sprintf("%s at %s in %s", u.Kind, u.URL, u.FailureDomain)
}

// named finds the upstreams of an intent.
func (d *draft) named(names []nutmegid.Upstream) ([]UpstreamConfig, bool) {
	var found []UpstreamConfig
	for n, name := range names {
		u, ok := d.config.Upstreams[name]
		if !ok {
			d.fault("name existing upstreams", "upstream %q does not exist", name)
		}
		if slices.Contains(names[:n], name) {
			d.fault("name each once", "upstream %q is named twice", name)
			ok = false
		}
		if ok {
			found = append(found, u)
		}
	}
	return found, len(found) == len(names)
}

func removeUpstreams(d *draft, i Intent) {
	found, ok := d.named(i.Upstreams)
	if !ok {
		return
	}
	for n, name := range i.Upstreams {
		if !found[n].Retired {
			d.fault("confirm a retire_upstreams intent first and wait until its streams end", "upstream %q is in service", name)
			continue
		}
		delete(d.config.Upstreams, name)
		d.change(found[n].text(true), "removed", "upstream %s", name)
	}
}

// retireUpstreams takes upstreams out of service or back into it.
func retireUpstreams(d *draft, i Intent) {
	found, ok := d.named(i.Upstreams)
	if !ok {
		return
	}
	retire := i.Kind == IntentRetireUpstreams
	for n, name := range i.Upstreams {
		if found[n].Retired == retire {
			d.fault("leave it out", "upstream %q is %s already", name, serviceText(retire))
			continue
		}
		found[n].Retired = retire
		d.config.Upstreams[name] = found[n]
		d.change(serviceText(!retire), serviceText(retire), "upstream %s", name)
	}
	instances, _ := d.live.Instances("")
	left := 0
	for _, u := range d.config.Upstreams {
		if !u.Retired {
			left++
		}
	}
	d.affectAll("%d of %d upstreams stay in service, at %d instances; requests in progress end first", left, len(d.config.Upstreams), instances)
}

func serviceText(retired bool) string {
	if retired {
		return "retired: no new work"
	}
	return "in service"
}

// orderEngines plans an order to each named engine.
func orderEngines(d *draft, i Intent) {
	if !d.orders {
		d.fault("give the order at the engine itself", "this fleet gives no orders to engines")
		return
	}
	found, ok := d.named(i.Upstreams)
	if !ok {
		return
	}
	for n, name := range i.Upstreams {
		if found[n].Kind != KindEngine {
			d.fault("name engines", "upstream %q is a plain service", name)
			continue
		}
		order := EngineOrder{Action: i.Kind, Model: i.Model, Adapter: i.Adapter, Version: i.Version, Role: i.EngineRole}
		d.effect(Effect{Kind: EffectOrder, Upstream: name, Order: &order})
		d.change("", order.String(), "engine %s", name)
		if !found[n].Fencing {
			d.warn("engine %q ignores fencing numbers; the order is verified by reading", name)
		}
		d.orderModels(name, found[n], i)
	}
	d.affectAll("%d engines carry out an order, one after another at the weight store's rate", len(found))
}

// orderModels keeps the list of an engine's models in step with the order.
func (d *draft) orderModels(name nutmegid.Upstream, u UpstreamConfig, i Intent) {
	switch {
	case i.Kind == IntentLoadModel && !slices.Contains(u.Models, i.Model):
		u.Models = append(slices.Clone(u.Models), i.Model)
	case i.Kind == IntentUnloadModel:
		u.Models = slices.DeleteFunc(slices.Clone(u.Models), func(m nutmegid.Model) bool { return m == i.Model })
	}
	d.config.Upstreams[name] = u
}
