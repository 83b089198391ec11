package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"html/template"
	"io"
	"maps"
	"os"
	"slices"
	"strings"
	texttemplate "text/template"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegtrace"
)

type compareOptions struct {
	trace  string
	report string
	plots  string
}

// side holds the measures of one of the two sides of a comparison.
type side struct {
	Name   string
	Counts map[string]map[string]int64 // by trace, then measure
}

// row compares one measure of one trace on both sides.
type row struct {
	Trace   string
	Measure string
	A       int64
	B       int64
	Change  string
}

func compareCommand(ctx context.Context, args []string, out io.Writer) error {
	var o compareOptions
	f := flag.NewFlagSet("compare", flag.ContinueOnError)
	f.StringVar(&o.trace, "trace", "", "trace to run under the settings A and B")
	f.StringVar(&o.report, "report", "compare.md", "report to write")
	f.StringVar(&o.plots, "plots", "svg", "png or svg")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if f.NArg() != 2 {
		return cli.Usagef("expected two arguments, got %d; name two result files, or two settings with -trace", f.NArg())
	}
	if o.plots != "svg" && o.plots != "png" {
		return cli.Usagef("unknown plot format %q; use png or svg", o.plots)
	}
	sides, err := readSides(ctx, o, f.Args())
	if err != nil {
		return err
	}
	rows := compareRows(sides[0], sides[1])
	if len(rows) == 0 {
		return cli.Usagef("the results have no trace in common; compare runs of the same traces")
	}
	plots, err := writePlots(o, sides[0].Name, sides[1].Name, rows)
	if err != nil {
		return err
	}
	if err := writeComparison(o.report, sides, rows, plots); err != nil {
		return err
	}
	_, err = fmt.Fprintf(out, "wrote %s and %d plots\n", o.report, len(plots))
	return err
}

// readSides reads the two result files or, with -trace, runs the trace under each
// of the two settings.
func readSides(ctx context.Context, o compareOptions, args []string) ([2]side, error) {
	var sides [2]side
	for n, arg := range args {
		var reports []nutmegtrace.Report
		var err error
		if o.trace == "" {
			reports, err = readReports(arg)
		} else {
			reports, err = runWithSettings(ctx, o.trace, arg)
		}
		if err != nil {
			return sides, err
		}
		sides[n] = side{Name: arg, Counts: make(map[string]map[string]int64)}
		for _, r := range reports {
			sides[n].Counts[r.Trace] = r.Measures.Counts()
		}
	}
	return sides, nil
}

func readReports(file string) ([]nutmegtrace.Report, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, cli.Usagef("cannot read results %q: %v", file, err)
	}
	var reports []nutmegtrace.Report
	if err := json.Unmarshal(raw, &reports); err != nil {
		return nil, cli.Usagef("results %q were not written by replay -out: %v", file, err)
	}
	return reports, nil
}

// runWithSettings runs a trace with settings that override those of the
// instances.
func runWithSettings(ctx context.Context, file, settings string) ([]nutmegtrace.Report, error) {
	traces, err := readTraces([]string{file})
	if err != nil {
		return nil, err
	}
	report, err := replay(ctx, replayOptions{settings: settings, json: true}, traces[0], nil, io.Discard)
	return []nutmegtrace.Report{report}, err
}

// compareRows returns a row for each measure of each trace that both sides have,
// sorted by trace and measure.
func compareRows(a, b side) []row {
	var rows []row
	for _, trace := range slices.Sorted(maps.Keys(a.Counts)) {
		if b.Counts[trace] == nil {
			continue
		}
		for _, measure := range slices.Sorted(maps.Keys(a.Counts[trace])) {
			x, y := a.Counts[trace][measure], b.Counts[trace][measure]
			rows = append(rows, row{Trace: trace, Measure: measure, A: x, B: y, Change: formatChange(x, y)})
		}
	}
	return rows
}

// formatChange describes the change from a to b in percent, or as a difference
// if a is 0.
func formatChange(a, b int64) string {
	if a == b {
		return "same"
	}
	if a == 0 {
		return fmt.Sprintf("%+d", b)
	}
	return fmt.Sprintf("%+.0f %%", 100*float64(b-a)/float64(a))
}

// comparison is the data of the report templates.
type comparison struct {
	A, B  string
	Rows  []row
	Plots []string
}

const markdownReport = `# Comparison

A: ` + "`{{.A}}`" + `

B: ` + "`{{.B}}`" + `
{{range .Plots}}
![{{.}}]({{.}})
{{end}}
| trace | measure | A | B | change |
|---|---|---:|---:|---:|
{{range .Rows}}| {{.Trace}} | {{.Measure}} | {{.A}} | {{.B}} | {{.Change}} |
{{end}}`

const htmlReport = `<!doctype html>
<meta charset="utf-8"><title>Comparison</title>
<style>body{font-family:sans-serif}td,th{padding:2px 12px;text-align:right}td:nth-child(-n+2){text-align:left}</style>
<h1>Comparison</h1><p>A: <code>{{.A}}</code></p><p>B: <code>{{.B}}</code></p>
{{range .Plots}}<p><img src="{{.}}" alt="{{.}}"></p>
{{end}}<table><tr><th>trace</th><th>measure</th><th>A</th><th>B</th><th>change</th></tr>
{{range .Rows}}<tr><td>{{.Trace}}</td><td>{{.Measure}}</td><td>{{.A}}</td><td>{{.B}}</td><td>{{.Change}}</td></tr>
{{end}}</table>
`

// writeComparison writes the report as HTML if the file name ends in .html, and
// as Markdown otherwise.
func writeComparison(file string, sides [2]side, rows []row, plots []string) error {
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	c := comparison{A: sides[0].Name, B: sides[1].Name, Rows: rows, Plots: plots}
	if strings.HasSuffix(file, ".html") {
		err = template.Must(template.New("report").Parse(htmlReport)).Execute(out, c)
	} else {
		err = texttemplate.Must(texttemplate.New("report").Parse(markdownReport)).Execute(out, c)
	}
	return errors.Join(err, out.Close())
}
