// Package cli holds what all programs share: exit codes, the version, help
// texts and errors.
//
// # Usage
//
//	func main() { os.Exit(cli.Run("nutmegctl", help, os.Args[1:], run)) }
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
	ExitDone   = 0 // done
	ExitFailed = 1 // refused or failed
	ExitUsage  = 2 // wrong use
)

// Version is the version that all programs report.
const Version = "0.1.0"

// UsageError is a wrong use of a program.
type UsageError struct {
	Detail string
}

// Error names the mistake and the remedy.
func (e *UsageError) Error() string {
	return e.Detail + "; see -h"
}

// Usagef returns a UsageError.
func Usagef(format string, args ...any) error {
	return &UsageError{Detail: fmt.Sprintf(format, args...)}
}

// Program is one program or subcommand.
type Program struct {
	Name  string
	Help  string                // the text of -h
	Flags func(f *flag.FlagSet) // declares the options
	Run   func(ctx context.Context, args []string, out io.Writer) error
}

// Main runs a program with the process's arguments and signals, and returns
// its exit code.
func Main(p Program) int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	return Execute(ctx, p, os.Args[1:], os.Stdout, os.Stderr)
}

// Execute parses the arguments and runs the program.
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
