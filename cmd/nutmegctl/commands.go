package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
)

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

func checkConfig(_ context.Context, _ *client, args []string, out io.Writer) error {
	if len(args) != 1 {
		return cli.Usagef("name one settings file")
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
