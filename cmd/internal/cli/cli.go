// Package cli provides what all programs share: flag parsing, help and version
// output, usage errors and exit codes.
//
// # Usage
//
//	func main() {
//		os.Exit(cli.Main(cli.Program{Name: "nutmegctl", Help: help, Run: run}))
//	}
package cli

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
)

// Exit codes of all programs.
const (
	ExitDone   = 0 // success
	ExitFailed = 1 // refused or failed
	ExitUsage  = 2 // usage error
)

// Version is the version that all programs report.
const Version = "0.1.0"

// UsageError reports an incorrect use of a program, such as a wrong argument.
type UsageError struct {
	Detail string
}

// Error returns the detail and points to the help page.
func (e *UsageError) Error() string {
	return e.Detail + "; see -h"
}

// Usagef returns a UsageError with a formatted detail.
func Usagef(format string, args ...any) error {
	return &UsageError{Detail: fmt.Sprintf(format, args...)}
}

// Program describes a program.
type Program struct {
	Name  string
	Help  string                // text printed by -h
	Flags func(f *flag.FlagSet) // registers the options; may be nil
	Run   func(ctx context.Context, args []string, out io.Writer) error
}

// Main runs a program with the arguments and standard output of the process and
// returns the exit code. SIGINT and SIGTERM cancel the context of the program.
func Main(p Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Execute(ctx, p, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute parses the arguments, runs the program and returns its exit code.
func Execute(ctx context.Context, p Program, args []string, out, errOut io.Writer) int {
	f := flag.NewFlagSet(p.Name, flag.ContinueOnError)
	f.SetOutput(io.Discard)
	version := f.Bool("version", false, "print the version and exit")
	if p.Flags != nil {
		p.Flags(f)
	}
	err := f.Parse(args)
	switch {
	case errors.Is(err, flag.ErrHelp):
		_, _ = io.WriteString(out, p.Help)
		return ExitDone
	case err != nil:
		_, _ = fmt.Fprintf(errOut, "%s: %v; see -h\n", p.Name, err)
		return ExitUsage
	case *version:
		_, _ = fmt.Fprintf(out, "%s %s\n", p.Name, Version)
		return ExitDone
	}
	return exitCode(p.Name, p.Run(ctx, f.Args(), out), errOut)
}

func exitCode(name string, err error, errOut io.Writer) int {
	if err == nil {
		return ExitDone
	}
	_, _ = fmt.Fprintf(errOut, "%s: %v\n", name, err)
	var usage *UsageError
	if errors.As(err, &usage) {
		return ExitUsage
	}
	return ExitFailed
}
