package main

import (
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	barWidth   = 8   // in points
	plotHeight = 300 // in points
	plotMargin = 200 // in points
	groupWidth = 60  // width of one measure in points
)

// plotGroup is a group of measures that are plotted on the same scale.
type plotGroup struct {
	name     string
	measures []string
}

var plotGroups = []plotGroup{
	{name: "requests", measures: []string{"answered", "refused_not_run", "refused_other", "unanswered", "false_refusals"}},
	{name: "promises", measures: []string{
		"double_billed", "unbilled", "cut_answers", "wrong_answers", "protected_double_runs", "not_run_but_ran", "sent_to_leaving", "config_reverts",
	}},
	{name: "tokens", measures: []string{"overspend_tokens", "stranded_tokens", "served_tokens"}},
	{name: "latency_ms", measures: []string{
		"first_token_ms_p50", "first_token_ms_p95", "first_token_ms_p99", "between_tokens_ms_p95", "look_up_ms_p99", "order_ms_p99", "config_in_force_ms_max",
	}},
	{name: "platform_calls", measures: []string{"platform_reads", "platform_writes"}},
}

// writePlots writes a bar chart for each plot group to the folder of the report.
// Each measure is summed over all traces. It returns the file names.
func writePlots(o compareOptions, a, b string, rows []row) ([]string, error) {
	var files []string
	for _, group := range plotGroups {
		p, err := groupPlot(group, a, b, rows)
		if err != nil {
			return nil, err
		}
		base := strings.TrimSuffix(filepath.Base(o.report), filepath.Ext(o.report))
		file := base + "-" + group.name + "." + o.plots
		width := vg.Points(plotMargin + groupWidth*float64(len(group.measures)))
		if err := p.Save(width, vg.Points(plotHeight), filepath.Join(filepath.Dir(o.report), file)); err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

// groupPlot returns the bar chart of one group for the sides named a and b.
func groupPlot(group plotGroup, a, b string, rows []row) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = group.name
	p.NominalX(group.measures...)
	p.X.Tick.Label.Rotation = 0.5
	p.X.Tick.Label.XAlign = -0.8
	p.Legend.Top = true
	for n, name := range []string{a, b} {
		bars, err := plotter.NewBarChart(groupValues(group, rows, n == 0), vg.Points(barWidth))
		if err != nil {
			return nil, err
		}
		bars.Offset = vg.Points(barWidth * float64(2*n-1) / 2)
		bars.Color = plotutil.Color(n)
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	return p, nil
}

// groupValues sums each measure of a group over all rows, for side A if first is
// set and for side B otherwise.
func groupValues(group plotGroup, rows []row, first bool) plotter.Values {
	values := make(plotter.Values, len(group.measures))
	for n, measure := range group.measures {
		for _, r := range rows {
			switch {
			case r.Measure != measure:
			case first:
				values[n] += float64(r.A)
			default:
				values[n] += float64(r.B)
			}
		}
	}
	return values
}
