package main

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/nutmegwind/nutmegwind/nutmegledger"
	"github.com/nutmegwind/nutmegwind/nutmegnode"
)

// bill prints the billed requests and tokens of each owner and its workspaces.
func bill(ctx context.Context, c *client, _ []string, out io.Writer) error {
	var bills nutmegledger.Bills
	if err := c.call(ctx, c.servers()[0], http.MethodGet, "/v1/bill", nil, &bills); err != nil {
		return err
	}
	if c.json {
		return printJSON(out, bills)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "OWNER\tWORKSPACE\tREQUESTS\tTOKENS")
	for _, owner := range slices.Sorted(maps.Keys(bills.Owners)) {
		b := bills.Owners[owner]
		_, _ = fmt.Fprintf(w, "%s\t\t%d\t%d\n", owner, b.Requests, b.Tokens)
		for _, workspace := range slices.Sorted(maps.Keys(b.Workspaces)) {
			_, _ = fmt.Fprintf(w, "\t%s\t\t%d\n", workspace, b.Workspaces[workspace])
		}
	}
	return w.Flush()
}

// audit prints how the spending and the bill of each owner differ and, given an
// owner's name, that owner's ledger lines. It fails if a statement does not hold.
func audit(ctx context.Context, c *client, args []string, out io.Writer) error {
	query := url.Values{}
	if len(args) > 0 {
		query.Set("owner", args[0])
	}
	var a nutmegnode.Audit
	if err := c.call(ctx, c.servers()[0], http.MethodGet, "/v1/audit?"+query.Encode(), nil, &a); err != nil {
		return err
	}
	if c.json {
		return printJSON(out, a)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	printLines(w, a.Lines)
	_, _ = fmt.Fprintln(w, "OWNER\tREQUESTS\tBILLED\tSPENT\tUNBILLED\tUNSETTLED\tLEASED\tWRITTEN OFF\tHOLDS")
	overbilled := 0
	for _, s := range a.Statements {
		_, _ = fmt.Fprintf(w, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%t\n",
			s.Owner, s.Requests, s.Billed, s.Spent, s.Unbilled, s.Unsettled, s.Leased, s.WrittenOff, s.Consistent)
		if !s.Consistent {
			overbilled++
		}
	}
	if err := w.Flush(); err != nil {
		return err
	}
	if overbilled > 0 {
		return fmt.Errorf("%d owners are billed for more than their budgets could have spent; compare the lines with the callers' records", overbilled)
	}
	return nil
}

func printLines(w io.Writer, lines []nutmegledger.Line) {
	if len(lines) == 0 {
		return
	}
	_, _ = fmt.Fprintln(w, "ENDED\tREQUEST\tWORKSPACE\tUPSTREAM\tTOKENS\tEXACT")
	for _, l := range lines {
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d\t%t\n",
			l.EndedAt.UTC().Format(time.RFC3339), l.Request, l.Workspace, l.Upstream, l.Tokens, l.Exact)
	}
	_, _ = fmt.Fprintln(w)
}
