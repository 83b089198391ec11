package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"time"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegtrace"
)

type soakOptions struct {
	seed         uint64
	runs         int
	loadDuration time.Duration
	deployment   string
	brokenKind   string
}

func soakCommand(ctx context.Context, args []string, out io.Writer) error {
	var o soakOptions
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	f.Uint64Var(&o.seed, "seed", 1, "first seed")
	f.IntVar(&o.runs, "runs", 0, "number of runs")
	f.DurationVar(&o.loadDuration, "for", 10*time.Second, "length of the load of one run")
	f.StringVar(&o.deployment, "deployment", "", "kaca_amanah or brazos")
	f.StringVar(&o.brokenKind, "break", "", "kind of objects whose rule is broken")
	if err := parseFlags(f, args); err != nil {
		return err
	}
	if f.NArg() != 0 {
		return cli.Usagef("soak takes no files, got %d arguments", f.NArg())
	}
	for n := 0; (o.runs == 0 || n < o.runs) && ctx.Err() == nil; n++ {
		if err := soakOnce(ctx, o, o.seed+uint64(n), out); err != nil {
			return err
		}
	}
	return ctx.Err()
}

// soakOnce replays the trace generated from one seed. If the run fails, it
// prints the steps and the report and returns an error with the command that
// repeats the run.
func soakOnce(ctx context.Context, o soakOptions, seed uint64, out io.Writer) error {
	trace, err := nutmegtrace.GenerateSoakTrace(nutmegtrace.SoakConfig{
		Seed: seed, Length: o.loadDuration, Deployment: o.deployment, BrokenKind: o.brokenKind,
	})
	if err != nil {
		return &cli.UsageError{Detail: err.Error()}
	}
	report, err := nutmegtrace.ReplayEmbedded(ctx, trace)
	if err != nil {
		return fmt.Errorf("soak with seed %d: %w; repeat it with: %s", seed, err, repeatCommand(o, seed))
	}
	m := report.Measures
	_, _ = fmt.Fprintf(out, "seed %d  %s  requests %d  answered %d  refused %d  false refusals %d  stranded %d\n",
		seed, trace.Fleet.Deployment, m.Requests, m.Answered, m.RefusedNotRun, m.FalseRefusals, m.StrandedTokens)
	if len(report.Failures) == 0 {
		return nil
	}
	for _, s := range trace.Steps {
		_, _ = fmt.Fprintf(out, "  %v\n", s)
	}
	if err := report.Write(out); err != nil {
		return err
	}
	return fmt.Errorf("soak with seed %d: %v; repeat it with: %s", seed, report.Failures, repeatCommand(o, seed))
}

// repeatCommand returns the command that repeats the run with the given seed.
func repeatCommand(o soakOptions, seed uint64) string {
	command := fmt.Sprintf("nutmegload soak -seed %d -runs 1 -for %v", seed, o.loadDuration)
	if o.deployment != "" {
		command += " -deployment " + o.deployment
	}
	if o.brokenKind != "" {
		command += " -break " + o.brokenKind
	}
	return command
}
