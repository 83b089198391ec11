package nutmegentry

import (
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/internal/fleet/nutmegview"
	"github.com/nutmegwind/nutmegwind/internal/traffic/nutmegwarmup"
)

// buildWarmup must come before the placer is told of upstreams, so that no request goes
// to a cold upstream without a permit.
func (e *Entry) buildWarmup() {
	e.warmup = nutmegwarmup.NewTracker(nutmegwarmup.Config{OnChange: e.warmupChanged})
	e.view.OnConfig(e.warmup.SetConfig)
	e.view.OnUpstreams(func(set *nutmegview.Upstreams) {
		e.warmup.SetUpstreams(set, e.uptime())
		e.updateColdUpstreams()
	})
	e.view.OnEvacuation(func(c nutmegview.EvacuationChange) {
		if !c.Evacuated {
			e.warmup.EvacuationEnded(c.FailureDomain, e.uptime())
			e.updateColdUpstreams()
		}
	})
}

func (e *Entry) updateColdUpstreams() {
	metrics.GetOrRegisterGauge("cold_upstreams", e.metrics).Update(int64(e.warmup.Cold(e.uptime())))
}

// warmupChanged logs that an upstream has become cold, or is no longer cold.
func (e *Entry) warmupChanged(c nutmegwarmup.Change) {
	now := e.uptime()
	entry := e.log.WithFields(logrus.Fields{
		"process": c.Process, "source": c.Limit.Source, "rate": c.Limit.Rate, "age_ms": (now - c.Limit.HeardAt).Milliseconds(),
	})
	if c.Cold {
		e.count("upstreams_turned_cold")
		entry.WithFields(logrus.Fields{"event": "upstream_cold", "left_ms": (c.Limit.Until - now).Milliseconds()}).Info("an upstream is cold; its requests are limited over all instances")
		return
	}
	entry.WithFields(logrus.Fields{"event": "upstream_warm", "ended_by": c.Ended}).Info("an upstream is no longer cold")
}
