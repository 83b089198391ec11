// Command nutmegload replays recorded traces, generates load, compares results
// and runs randomized soak tests.
//
// # Usage
//
//	nutmegload replay traces/demo.toml
package main

import (
	"context"
	"encoding/json"
	"flag"
	"io"
	"os"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
)

const help = `NAME
    nutmegload - recorded traces, load, comparisons and randomised trials

SYNOPSIS
    nutmegload replay [OPTIONS] FILE...
    nutmegload run [OPTIONS] FILE
    nutmegload compare [OPTIONS] A B
    nutmegload soak [OPTIONS]

DESCRIPTION
    replay runs each trace, prints its measures as a table and one JSON object,
    and compares them with the trace's stated outcome. Measures are counted from
    the stand-ins' own records. docs/TRACES.md describes the files.

    run makes the loads of a trace without its steps, scaled by settings, and
    shows its progress. Arrivals do not wait for answers, and latency counts
    from the time at which a request was due.

    compare shows two result files side by side, with a plot for each group of
    measures. With -trace, A and B are TOML settings that are laid over the
    instances' settings, and the trace is run under each.

    soak draws load and faults from seeds, run after run, and ends at the first
    run that breaks a promise, with the command that repeats it.

OPTIONS OF replay AND run
    -seed N        seed of the loads; the trace's own when 0
    -speed FACTOR  divides the trace's times (default 1)
    -fleet FILE    fleet of separate processes; an embedded one when empty
    -out FILE      write the results as JSON for compare
    -json          print JSON without the table
    -bills         print each owner's bill after each trace
    -settings TOML laid over the settings of embedded instances
    -parallel N    traces to run at once (default 1)
    -known-red FILE  failures that are passed over and printed (default KNOWN-RED.txt)
    -rate FACTOR   multiplies the rates of the loads (run)
    -for TIME      length of every load (run)

OPTIONS OF compare
    -trace FILE    trace to run under the settings A and B
    -report FILE   report to write, .md or .html (default compare.md)
    -plots FORMAT  png or svg (default svg)

OPTIONS OF soak
    -seed N        first seed (default 1)
    -runs N        number of runs; without end when 0 (default 0)
    -for TIME      length of the load of one run (default 10s)
    -deployment D  kaca_amanah or brazos (default both in turn)
    -break KIND    break the rule of a kind of objects on purpose: budget, order
                   or config

    -version       print the version and exit
    -h             print this page

EXIT STATUS
    0  all stated outcomes hold
    1  a stated outcome fails
    2  wrong use or a faulty file; faults are listed with line numbers

EXAMPLES
    nutmegload replay -embedded traces/*.toml
    nutmegload replay -fleet fleet.toml traces/kaca_amanah/ordinary_morning.toml
    nutmegload run -rate 3 -for 1m traces/brazos/ordinary_morning.toml
    nutmegload compare -report compare.html before.json after.json
    nutmegload compare -trace traces/demo.toml 'budget.horizon = "1m"' 'budget.horizon = "10m"'
    nutmegload soak -seed 7 -runs 20
`

// commands maps the names of the subcommands to their implementations.
var commands = map[string]func(ctx context.Context, args []string, out io.Writer) error{
	"replay":  replayCommand,
	"run":     runCommand,
	"compare": compareCommand,
	"soak":    soakCommand,
}

func main() {
	os.Exit(cli.Main(cli.Program{Name: "nutmegload", Help: help, Run: dispatch}))
}

// dispatch runs the subcommand named by the first argument.
func dispatch(ctx context.Context, args []string, out io.Writer) error {
	if len(args) == 0 || commands[args[0]] == nil {
		return cli.Usagef("missing or unknown command; name a command: replay, run, compare or soak")
	}
	return commands[args[0]](ctx, args[1:], out)
}

// parseFlags parses the options of a subcommand.
func parseFlags(f *flag.FlagSet, args []string) error {
	f.SetOutput(io.Discard)
	if err := f.Parse(args); err != nil {
		return cli.Usagef("%v", err)
	}
	return nil
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
