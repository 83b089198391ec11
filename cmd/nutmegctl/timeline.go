package main

import (
	"context"
	"errors"
	"fmt"
	"image/color"
	"io"
	"net/http"
	"slices"
	"text/tabwriter"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/palette"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"

	"github.com/nutmegwind/nutmegwind/nutmegid"
	"github.com/nutmegwind/nutmegwind/nutmegtime"
)

const (
	plotWidth      = 16 * vg.Inch
	plotMargin     = 2 * vg.Inch
	laneHeight     = 0.6 * vg.Inch // height of the lane of one process
	glyphRadius    = 3             // radius in points
	legendFraction = 0.12          // fraction of the time axis left free for the legend
	saturation     = 1.0
	brightness     = 0.85
	microsPerMilli = 1000
)

// timeline merges the events of all processes and prints or plots them.
func timeline(ctx context.Context, c *client, _ []string, out io.Writer) error {
	events, failed := fetchEvents(ctx, c)
	if len(events) == 0 && failed != nil {
		return failed
	}
	if c.out != "" {
		return errors.Join(failed, plotTimeline(events, c.out))
	}
	if c.json {
		return errors.Join(failed, printJSON(out, events))
	}
	return errors.Join(failed, printTimeline(out, events))
}

// fetchEvents fetches and merges the events of all servers. If some servers
// fail, it returns the events of the others together with the errors.
func fetchEvents(ctx context.Context, c *client) ([]nutmegtime.Event, error) {
	filter := nutmegtime.Filter{
		Request:  nutmegid.RequestID(c.request),
		Budget:   nutmegid.BudgetID(c.budget),
		Upstream: nutmegid.Upstream(c.upstream),
		Process:  c.process,
		Kind:     nutmegtime.Kind(c.kind),
	}
	var lists [][]nutmegtime.Event
	var failed error
	for _, server := range c.servers() {
		var events []nutmegtime.Event
		if err := c.call(ctx, server, http.MethodGet, "/v1/events?"+filter.Query().Encode(), nil, &events); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		lists = append(lists, events)
	}
	return nutmegtime.Merge(lists...), failed
}

func printTimeline(out io.Writer, events []nutmegtime.Event) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "TIME\tPROCESS\tKIND\tREQUEST\tBUDGET\tUPSTREAM\tTOKENS\tDETAIL")
	for _, e := range events {
		at := time.UnixMicro(e.At.Micros).UTC().Format("15:04:05.000000")
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s\t%d\t%s\n",
			at, e.Process, e.Kind, e.Request, e.Budget, e.Upstream, e.Tokens, e.Detail)
	}
	return w.Flush()
}

// plotTimeline writes a plot with a lane for each process and a color for each
// kind of event. The file extension selects the format.
func plotTimeline(events []nutmegtime.Event, file string) error {
	if len(events) == 0 {
		return errors.New("no event matches the filter; widen the filter")
	}
	lanes, kinds := processesAndKinds(events)
	p := plot.New()
	p.Title.Text = "events of all processes"
	p.X.Label.Text = "milliseconds since the first event"
	p.Legend.Top = true
	colors := palette.Rainbow(len(kinds), palette.Blue, palette.Red, saturation, brightness, 1).Colors()
	for i, kind := range kinds {
		if err := addScatter(p, events, kind, lanes, colors[i]); err != nil {
			return err
		}
	}
	p.NominalY(lanes...)
	p.Y.Min, p.Y.Max = -1, float64(len(lanes))
	p.X.Max += legendFraction * (p.X.Max - p.X.Min)
	height := plotMargin + laneHeight*vg.Length(len(lanes))
	if err := p.Save(plotWidth, height, file); err != nil {
		return fmt.Errorf("cannot write picture %q; end its name in .svg or .png: %w", file, err)
	}
	return nil
}

// processesAndKinds returns the sorted processes, one per lane, and the sorted
// kinds of the events.
func processesAndKinds(events []nutmegtime.Event) (lanes []string, kinds []nutmegtime.Kind) {
	for _, e := range events {
		if !slices.Contains(lanes, e.Process) {
			lanes = append(lanes, e.Process)
		}
		if !slices.Contains(kinds, e.Kind) {
			kinds = append(kinds, e.Kind)
		}
	}
	slices.Sort(lanes)
	slices.Sort(kinds)
	return lanes, kinds
}

// addScatter adds the events of one kind to the plot and its legend.
func addScatter(p *plot.Plot, events []nutmegtime.Event, kind nutmegtime.Kind, lanes []string, c color.Color) error {
	first := events[0].At.Micros
	var points plotter.XYs
	for _, e := range events {
		if e.Kind == kind {
			points = append(points, plotter.XY{
				X: float64(e.At.Micros-first) / microsPerMilli,
				Y: float64(slices.Index(lanes, e.Process)),
			})
		}
	}
	scatter, err := plotter.NewScatter(points)
	if err != nil {
		return err
	}
	scatter.GlyphStyle = draw.GlyphStyle{Color: c, Radius: vg.Points(glyphRadius), Shape: draw.CircleGlyph{}}
	p.Add(scatter)
	p.Legend.Add(string(kind), scatter)
	return nil
}
