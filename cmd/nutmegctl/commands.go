package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

// command runs one command with its arguments and writes its output to out.
type command func(ctx context.Context, c *client, args []string, out io.Writer) error

var commands = map[string]command{
	"intent":       intent,
	"confirm":      confirm,
	"kinds":        kinds,
	"history":      history,
	"status":       status,
	"bill":         bill,
	"audit":        audit,
	"timeline":     timeline,
	"check-config": checkConfig,
}

// checkConfig loads a settings file and reports its problems as a usage error.
func checkConfig(_ context.Context, _ *client, args []string, out io.Writer) error {
	if len(args) != 1 {
		return cli.Usagef("expected one settings file, got %d arguments; name one file", len(args))
	}
	if _, err := nutmegconf.LoadSettings(args[0]); err != nil {
		return &cli.UsageError{Detail: err.Error()}
	}
	_, err := fmt.Fprintf(out, "%s: no faults\n", args[0])
	return err
}

func printJSON(out io.Writer, v any) error {
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(v)
}
