package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/nutmegwind/nutmegwind/cmd/internal/cli"
	"github.com/nutmegwind/nutmegwind/nutmegconf"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
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

func status(ctx context.Context, c *client, _ []string, out io.Writer) error {
	var all []nutmegnode.Status
	var failed error
	for _, server := range c.servers() {
		var s nutmegnode.Status
		if err := c.call(ctx, server, http.MethodGet, "/v1/status", nil, &s); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		all = append(all, s)
	}
	if c.json {
		return errors.Join(failed, printJSON(out, all))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tREVISION\tSTORE\tREADY\tBUDGET\tFREE\tRESERVED\tUNSETTLED")
	for _, s := range all {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", s.Instance, s.Revision, upDown(s.StoreUp), readiness(s.NotReady))
		for _, b := range s.Balances {
			_, _ = fmt.Fprintf(w, "\t\t\t\t%s\t%d\t%d\t%d\n", b.Budget, b.Free, b.Reserved, b.Spent)
		}
	}
	return errors.Join(failed, w.Flush())
}

func upDown(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func readiness(reason string) string {
	if reason == "" {
		return "ready"
	}
	return reason
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
