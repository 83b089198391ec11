package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"text/tabwriter"

	"github.com/nutmegwind/nutmegwind/nutmegnode"
)

// status prints the state of every instance named by -server.
func status(ctx context.Context, c *client, _ []string, out io.Writer) error {
	var statuses []nutmegnode.Status
	var failed error
	for _, server := range c.servers() {
		var s nutmegnode.Status
		if err := c.call(ctx, server, http.MethodGet, "/v1/status", nil, &s); err != nil {
			failed = errors.Join(failed, err)
			continue
		}
		statuses = append(statuses, s)
	}
	if c.json {
		return errors.Join(failed, printJSON(out, statuses))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "INSTANCE\tREVISION\tSTORE\tREADY\tBUDGET\tFREE\tRESERVED\tUNSETTLED")
	for _, s := range statuses {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%s\n", s.Instance, s.Revision, formatUp(s.StoreUp), formatReadiness(s.NotReady))
		for _, b := range s.Balances {
			_, _ = fmt.Fprintf(w, "\t\t\t\t%s\t%d\t%d\t%d\n", b.Budget, b.Free, b.Reserved, b.Spent)
		}
	}
	if len(statuses) > 0 {
		printPeers(w, statuses[0])
	}
	return errors.Join(failed, w.Flush())
}

// printPeers prints what one instance knows about its peers, and the effects of
// confirmed plans that are still pending.
func printPeers(w io.Writer, s nutmegnode.Status) {
	_, _ = fmt.Fprintf(w, "\nPEERS OF %s\tREVISION\tSTATE\tREADY\tREQUESTS\tINCARNATION\n", s.Instance)
	for _, m := range s.Peers {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%s\t%t\t%d\t%s\n", m.Instance, m.Revision, m.State, m.Ready, m.Load, m.Incarnation)
	}
	for _, e := range s.PendingEffects {
		_, _ = fmt.Fprintf(w, "pending effect %s: %s %s%s%s\n", e.ID, e.Kind, e.Budget, e.Incarnation, e.Upstream)
	}
}

func formatUp(up bool) string {
	if up {
		return "up"
	}
	return "down"
}

func formatReadiness(reason string) string {
	if reason == "" {
		return "ready"
	}
	return reason
}
