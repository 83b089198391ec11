// Command nutmegload replays recorded traces and reports the measures.
//
// # Usage
//
//	nutmegload replay -embedded traces/demo.toml
package main

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegtrace"
)

const help = `NAME
    nutmegload - replay of recorded traces with measures

SYNOPSIS
    nutmegload replay [-bills] FILE...

DESCRIPTION
    Runs each trace against a fleet embedded in this process, prints its
    measures as JSON and compares them with the trace's stated outcome. The
    measures are counted from the stand-ins' own records.

OPTIONS
    -bills     print each owner's bill after each trace
    -version   print the version and exit
    -h         print this page

EXIT STATUS
    0  all stated outcomes hold
    1  a stated outcome fails
    2  wrong use or a faulty trace file

EXAMPLES
    nutmegload replay traces/demo.toml
`

type options struct {
	bills bool
}

func main() {
	os.Exit(cli.Main(cli.Program{Name: "nutmegload", Help: help, Run: run}))
}

func run(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 || args[0] != "replay" {
		return cli.Usagef("name a command: replay")
	}
	var o options
	f := flag.NewFlagSet("replay", flag.ContinueOnError)
	f.SetOutput(io.Discard)
	f.BoolVar(&o.bills, "bills", false, "print bills")
	if err := f.Parse(args[1:]); err != nil {
		return cli.Usagef("%v", err)
	}
	if f.NArg() == 0 {
		return cli.Usagef("name at least one trace file")
	}
	return replayAll(ctx, o, f.Args(), out)
}

func replayAll(ctx context.Context, o options, files []string, out io.Writer) error {
	var failed error
	for _, file := range files {
		trace, err := nutmegtrace.Load(file)
		if err != nil {
			return &cli.UsageError{Detail: err.Error()}
		}
		if err := replay(ctx, o, trace, out); err != nil {
			failed = errors.Join(failed, fmt.Errorf("trace %q: %w", trace.Name, err))
		}
	}
	return failed
}

func replay(ctx context.Context, o options, trace nutmegtrace.Trace, out io.Writer) (err error) {
	fleet, err := nutmegtrace.NewFleet(nutmegtrace.FleetConfig{
		Instances: trace.Fleet.Instances, Engines: trace.Fleet.Engines, Services: trace.Fleet.Services,
	})
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, fleet.Close()) }()
	measures, err := nutmegtrace.Replay(ctx, fleet, trace)
	if err != nil {
		return err
	}
	if err := printJSON(out, map[string]any{"trace": trace.Name, "measures": measures}); err != nil {
		return err
	}
	if o.bills {
		bills, err := fleet.Bills(ctx)
		if err != nil {
			return err
		}
		if err := printJSON(out, bills); err != nil {
			return err
		}
	}
	var failed error
	for _, failure := range measures.Check(trace.Outcome) {
		failed = errors.Join(failed, errors.New(failure))
	}
	return failed
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
