// Command nutmegctl is the command-line client for operators.
//
// # Usage
//
//	nutmegctl -server http://127.0.0.1:8081 intent top_up budget=owner/brazos tokens=5000
//	nutmegctl -server http://127.0.0.1:8081 confirm PLAN
package main

import (
	"context"
	"flag"
	"io"
	"os"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
)

const help = `NAME
    nutmegctl - operators' command line of nutmegwind

SYNOPSIS
    nutmegctl [OPTIONS] COMMAND [ARGUMENTS]

DESCRIPTION
    intent KIND FIELD=VALUE...
                         ask for a plan; nothing takes effect before a confirm.
                         Further kinds begin further intents of the same plan;
                         an intent may also be given as JSON
    kinds                the kinds of intents with their fields
    confirm PLAN         put a plan into force
    history [REVISION]   who changed what, when and why, the latest first
    status               state of each instance
    bill                 bill of each owner
    audit [OWNER]        how spend and bill of each owner differ, and why; with
                         an owner's name, that owner's lines
    timeline             events of all processes, merged
    check-config FILE    check an instance's settings without starting it

OPTIONS
    -server URL[,URL]    operators' addresses of the instances; the first is
                         asked for plans, all for status and timeline
    -key KEY             operator's key; the environment's NUTMEGWIND_KEY when absent
    -reason TEXT         why, for the history of plans
    -yes                 confirm the plan without a question; a plan that has
                         become stale is still refused
    -request ID          timeline: only this request
    -budget ID           timeline: only this budget
    -upstream NAME       timeline: only this upstream
    -process NAME        timeline: only this process
    -kind KIND           timeline: only this kind of event
    -out FILE            timeline: draw a picture, .svg or .png
    -ca FILE             certificates that sign the instances' TLS, in PEM
    -json                print JSON in place of text
    -version             print the version and exit
    -h                   print this page

EXIT STATUS
    0  done
    1  refused or failed
    2  wrong use or faulty settings

EXAMPLES
    nutmegctl -reason "first order" intent add_owner owner=brazos \
        add_budget budget=owner/brazos tokens=2000000
    nutmegctl intent add_workspace workspace=lots owner=brazos key=SECRET
    nutmegctl -yes intent retire_upstreams upstreams=shop-1,shop-2
    nutmegctl confirm 5f0c7d0e-6a53-4a0f-9a70-0f4c9f3b7c11
    nutmegctl -server http://127.0.0.1:8081,http://127.0.0.1:8181 timeline -request ID
`

const defaultServer = "http://127.0.0.1:8081"

// options holds the command-line options shared by all commands.
type options struct {
	server   string
	key      string
	reason   string
	request  string
	budget   string
	upstream string
	process  string
	kind     string
	out      string
	ca       string
	json     bool
	yes      bool
}

// registerFlags registers the options with their current values as defaults, so
// that options can be given both before and after the command.
func (o *options) registerFlags(f *flag.FlagSet) {
	f.StringVar(&o.server, "server", o.server, "operators' addresses")
	f.StringVar(&o.key, "key", o.key, "operator's key")
	f.StringVar(&o.reason, "reason", o.reason, "why")
	f.StringVar(&o.request, "request", o.request, "request id")
	f.StringVar(&o.budget, "budget", o.budget, "budget id")
	f.StringVar(&o.upstream, "upstream", o.upstream, "upstream")
	f.StringVar(&o.process, "process", o.process, "process")
	f.StringVar(&o.kind, "kind", o.kind, "kind of event")
	f.StringVar(&o.out, "out", o.out, "picture file")
	f.StringVar(&o.ca, "ca", o.ca, "CA certificates in PEM")
	f.BoolVar(&o.json, "json", o.json, "print JSON")
	f.BoolVar(&o.yes, "yes", o.yes, "confirm without a question")
}

func main() {
	o := options{server: defaultServer, key: os.Getenv("NUTMEGWIND_KEY")}
	os.Exit(cli.Main(program(&o)))
}

func program(o *options) cli.Program {
	return cli.Program{
		Name:  "nutmegctl",
		Help:  help,
		Flags: o.registerFlags,
		Run: func(ctx context.Context, args []string, out io.Writer) error {
			return run(ctx, o, args, out)
		},
	}
}

// run parses the options that follow the command and runs the command.
func run(ctx context.Context, o *options, args []string, out io.Writer) error {
	if len(args) == 0 {
		return cli.Usagef("no command given; name a command")
	}
	command, ok := commands[args[0]]
	if !ok {
		return cli.Usagef("unknown command %q", args[0])
	}
	f := flag.NewFlagSet(args[0], flag.ContinueOnError)
	f.SetOutput(io.Discard)
	merged := *o
	merged.registerFlags(f)
	if err := f.Parse(args[1:]); err != nil {
		return cli.Usagef("%v", err)
	}
	c, err := newClient(merged)
	if err != nil {
		return err
	}
	return command(ctx, c, f.Args(), out)
}
