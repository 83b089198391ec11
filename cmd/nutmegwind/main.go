// Command nutmegwind runs one entry instance of the router fleet.
//
// # Usage
//
//	nutmegwind -config instance.toml
//
// On the users' platform it runs without options: the platform provides the path
// of the settings file.
package main

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
	nutmegplatform "github.com/nutmegwind/nutmegwind/platform"
)

const help = `NAME
    nutmegwind - entry instance of a router fleet for prepaid token budgets

SYNOPSIS
    nutmegwind -config FILE
    nutmegwind

DESCRIPTION
    Takes callers' requests, reserves their tokens from leases on prepaid
    budgets, sends them to upstreams and bills them once. The instance keeps
    nothing on disk. SIGTERM or SIGINT stops it gracefully: it takes no new
    work, ends what runs, returns its leases and writes the ledger.

    Without options it runs on the users' platform, with the settings that the
    platform has filled in from deploy/entry.toml. It then follows the
    configuration and the upstreams that lie in the platform's store, and
    writes its log to standard output, a JSON object a line.

OPTIONS
    -config FILE   settings in TOML; see docs/operate/settings.md
    -version       print the version and exit
    -h             print this page

EXIT STATUS
    0  stopped gracefully
    1  failed to start or to stop
    2  wrong use or faulty settings

EXAMPLES
    nutmegwind -config examples/kaca_amanah/instance-1.toml
    nutmegctl check-config examples/kaca_amanah/instance-1.toml
`

type options struct {
	config string
}

func main() {
	var o options
	os.Exit(cli.Main(cli.Program{
		Name: "nutmegwind",
		Help: help,
		Flags: func(f *flag.FlagSet) {
			f.StringVar(&o.config, "config", "", "settings in TOML")
		},
		Run: func(ctx context.Context, args []string, out io.Writer) error {
			return run(ctx, o, args, out)
		},
	}))
}

func run(ctx context.Context, o options, args []string, out io.Writer) error {
	if file, ok := nutmegplatform.SettingsFile(); ok && o.config == "" && len(args) == 0 {
		return runEntry(ctx, file)
	}
	if o.config == "" || len(args) > 0 {
		return cli.Usagef("give the settings file with -config and no other arguments")
	}
	settings, err := nutmegconf.LoadSettings(o.config)
	if err != nil {
		return &cli.UsageError{Detail: err.Error()}
	}
	node, err := nutmegnode.New(nutmegnode.Config{Settings: settings, Log: newLog(settings.Log)})
	if err != nil {
		return err
	}
	if err := node.Start(); err != nil {
		return err
	}
	a := node.Addresses()
	_, _ = fmt.Fprintf(out, "callers %s operators %s peers %s\n", a.Callers, a.Operators, a.Peers)
	<-ctx.Done()
	stop, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Duration(settings.Limits.ShutdownTimeout))
	defer cancel()
	return node.Stop(stop)
}

func newLog(s nutmegconf.LogSettings) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(os.Stderr)
	if s.Format == "json" {
		log.SetFormatter(&logrus.JSONFormatter{})
	}
	if level, err := logrus.ParseLevel(s.Level); err == nil {
		log.SetLevel(level)
	}
	return log
}
