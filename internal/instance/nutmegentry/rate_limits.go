package nutmegentry

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegcall"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegnotice"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegrelay"
)

// rateLimits implements nutmegrelay.RateLimits.
type rateLimits struct {
	entry *Entry
}

var _ nutmegrelay.RateLimits = rateLimits{}

// Record implements nutmegrelay.RateLimits.
func (l rateLimits) Record(call *nutmegcall.Call, u nutmegview.Upstream, n nutmegnotice.Notice) {
	e := l.entry
	if n.Unclear {
		e.count("rate_limits_unreadable")
	}
	e.notices.Record(u, call.ID, n, e.uptime())
}

func (e *Entry) buildNotices() {
	e.notices = nutmegnotice.NewTracker(nutmegnotice.Config{OnChange: e.rateLimitChanged})
	e.view.OnUpstreams(func(set *nutmegview.Upstreams) { e.notices.Forget(set, e.uptime()) })
}

// rateLimitChanged logs that an upstream states a rate limit, another one, or none
// any more.
func (e *Entry) rateLimitChanged(c nutmegnotice.Change) {
	e.count("rate_limits_" + string(c.Kind))
	metrics.GetOrRegisterGauge("rate_limited_upstreams", e.metrics).Update(int64(e.notices.Count()))
	e.event("upstream_rate_limit").WithFields(logrus.Fields{
		"change": c.Kind, "process": c.Process, "before": c.Before, "after": c.After, "request": c.Request,
	}).Info("an upstream's answer changes its rate limit")
}
