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
	seed       uint64
	runs       int
	length     time.Duration
	deployment string
	broken     string
}

func soakCommand(ctx context.Context, args []string, out io.Writer) error {
	var o soakOptions
	f := flag.NewFlagSet("soak", flag.ContinueOnError)
	f.Uint64Var(&o.seed, "seed", 1, "first seed")
	f.IntVar(&o.runs, "runs", 0, "number of runs")
	f.DurationVar(&o.length, "for", 10*time.Second, "length of the load of one run")
	f.StringVar(&o.deployment, "deployment", "", "kaca_amanah or brazos")
	f.StringVar(&o.broken, "break", "", "kind of objects whose rule is broken")
	if err := parse(f, args); err != nil {
		return err
	}
	if f.NArg() != 0 {
		return cli.Usagef("soak takes no files")
	}
	for n := 0; (o.runs == 0 || n < o.runs) && ctx.Err() == nil; n++ {
		if err := soakOnce(ctx, o, o.seed+uint64(n), out); err != nil {
			return err
		}
	}
	return ctx.Err()
}

func soakOnce(ctx context.Context, o soakOptions, seed uint64, out io.Writer) error {
	trace, err := nutmegtrace.GenerateSoakTrace(nutmegtrace.SoakConfig{
		Seed: seed, Length: o.length, Deployment: o.deployment, BrokenKind: o.broken,
	})
	if err != nil {
		return &cli.UsageError{Detail: err.Error()}
	}
	report, err := nutmegtrace.ReplayEmbedded(ctx, trace)
	if err != nil {
		return fmt.Errorf("soak with seed %d: %w; repeat it with: %s", seed, err, soakAgain(o, seed))
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
	return fmt.Errorf("soak with seed %d: %v; repeat it with: %s", seed, report.Failures, soakAgain(o, seed))
}

// soakAgain is the command that repeats one run.
func soakAgain(o soakOptions, seed uint64) string {
	command := fmt.Sprintf("nutmegload soak -seed %d -runs 1 -for %v", seed, o.length)
	if o.deployment != "" {
		command += " -deployment " + o.deployment
	}
	if o.broken != "" {
		command += " -break " + o.broken
	}
	return command
}
