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

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), histogramMin), histogramMax))
}

func milliseconds(h *hdrhistogram.Histogram, percentile float64) int64 {
	return (h.ValueAtPercentile(percentile) + 999) / 1000
}

// countLatency takes the times of answered requests, counted from when each
// was due, so that a late sender does not hide a slow answer.
func (j *judge) countLatency() {
	first, between, lookUps, orders := newHistogram(), newHistogram(), newHistogram(), newHistogram()
	for _, s := range j.requests {
		if !s.Whole {
			continue
		}
		switch s.Step.Do {
		case ActionLookUp:
			record(lookUps, s.End.Sub(s.Due))
		case ActionOrder:
			record(orders, s.End.Sub(s.Due))
		default:
			if !s.Step.Whole {
				record(first, s.First.Sub(s.Due))
			}
			for _, gap := range s.Gaps {
				record(between, gap)
			}
		}
	}
	j.m.FirstTokenMSP50 = milliseconds(first, 50)
	j.m.FirstTokenMSP95 = milliseconds(first, 95)
	j.m.FirstTokenMSP99 = milliseconds(first, 99)
	j.m.BetweenTokensMSP95 = milliseconds(between, 95)
	j.m.BetweenTokensMSP99 = milliseconds(between, 99)
	j.m.LookUpMSP50 = milliseconds(lookUps, 50)
	j.m.LookUpMSP99 = milliseconds(lookUps, 99)
	j.m.OrderMSP50 = milliseconds(orders, 50)
	j.m.OrderMSP99 = milliseconds(orders, 99)
}
