// Package nutmegexport serves a go-metrics registry in the Prometheus text format.
//
// # Usage
//
//	r.Method(http.MethodGet, "/metrics", nutmegexport.Handler(registry))
package nutmegexport

import (
	"net/http"
	"strings"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/rcrowley/go-metrics"
)

// Prefix is prepended to the name of each metric.
const Prefix = "nutmegwind_"

// quantiles are the quantiles that a summary exports.
var quantiles = []float64{0.5, 0.95, 0.99}

// collector exposes the metrics of a go-metrics registry to Prometheus.
type collector struct {
	registry metrics.Registry
}

// Describe implements prometheus.Collector. It describes no metrics, because the
// registry's metrics are registered and removed while the instance runs.
func (c collector) Describe(chan<- *prometheus.Desc) {}

// Collect implements prometheus.Collector.
func (c collector) Collect(out chan<- prometheus.Metric) {
	c.registry.Each(func(name string, m any) {
		desc := prometheus.NewDesc(Prefix+metricName(name), "see docs/operate/metrics.md", nil, nil)
		switch m := m.(type) {
		case metrics.Counter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()))
		case metrics.Gauge:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, float64(m.Value()))
		case metrics.GaugeFloat64:
			out <- prometheus.MustNewConstMetric(desc, prometheus.GaugeValue, m.Value())
		case metrics.Meter:
			out <- prometheus.MustNewConstMetric(desc, prometheus.CounterValue, float64(m.Count()))
		case metrics.Histogram:
			s := m.Snapshot()
			out <- summary(desc, s.Count(), s.Sum(), s.Percentiles(quantiles))
		case metrics.Timer:
			s := m.Snapshot()
			out <- summary(desc, s.Count(), s.Sum(), s.Percentiles(quantiles))
		}
	})
}

func summary(desc *prometheus.Desc, count, sum int64, values []float64) prometheus.Metric {
	byQuantile := make(map[float64]float64, len(quantiles))
	for i, q := range quantiles {
		byQuantile[q] = values[i]
	}
	return prometheus.MustNewConstSummary(desc, uint64(count), float64(sum), byQuantile)
}

// metricName replaces each character that Prometheus does not allow in a metric
// name with an underscore.
func metricName(name string) string {
	return strings.Map(func(r rune) rune {
		switch {
		case r >= 'a' && r <= 'z', r >= 'A' && r <= 'Z', r >= '0' && r <= '9', r == '_':
			return r
		}
		return '_'
	}, name)
}

// Handler serves the metrics of the registry, of the Go runtime and of the
// process.
func Handler(r metrics.Registry) http.Handler {
	registry := prometheus.NewRegistry()
	registry.MustRegister(
		collector{registry: r},
		collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}),
	)
	return promhttp.HandlerFor(registry, promhttp.HandlerOpts{})
}
