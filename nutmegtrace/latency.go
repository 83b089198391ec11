package nutmegtrace

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramMin    = 1             // microseconds
	histogramMax    = 3_600_000_000 // microseconds
	histogramDigits = 3             // significant
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(histogramMin, histogramMax, histogramDigits)
}

func recordDuration(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func percentileMillis(h *hdrhistogram.Histogram, percentile float64) int64 {
	return (h.ValueAtPercentile(percentile) + 999) / 1000
}

// countLatency computes the latencies of answered requests. They count from the
// time when each request was due, so that a delay in sending does not hide a slow
// answer.
func (ev *evaluator) countLatency() {
	first, between, lookUps, orders := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, r := range ev.requests {
		if !r.Complete {
			continue
		}
		switch r.Step.Action {
		case ActionLookUp:
			recordDuration(lookUps, r.EndedAt.Sub(r.DueAt))
		case ActionOrder:
			recordDuration(orders, r.EndedAt.Sub(r.DueAt))
		default:
			if !r.Step.NonStreaming {
				recordDuration(first, r.FirstTokenAt.Sub(r.DueAt))
			}
			for _, gap := range r.TokenGaps {
				recordDuration(between, gap)
			}
		}
	}
	ev.measures.FirstTokenMSP50 = percentileMillis(first, 50)
	ev.measures.FirstTokenMSP95 = percentileMillis(first, 95)
	ev.measures.FirstTokenMSP99 = percentileMillis(first, 99)
	ev.measures.BetweenTokensMSP95 = percentileMillis(between, 95)
	ev.measures.BetweenTokensMSP99 = percentileMillis(between, 99)
	ev.measures.LookUpMSP50 = percentileMillis(lookUps, 50)
	ev.measures.LookUpMSP99 = percentileMillis(lookUps, 99)
	ev.measures.OrderMSP50 = percentileMillis(orders, 50)
	ev.measures.OrderMSP99 = percentileMillis(orders, 99)
}
